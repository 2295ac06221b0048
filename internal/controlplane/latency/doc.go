// Package latency collects the latency estimates of the data plane nodes for operators.
//
// Each data plane node estimates how long lookups take at each replica. Collector requests the
// estimates of the nodes and merges them. Every exportInterval, Exporter appends the estimates of
// its zone to an ExportFile, so that operators can read earlier estimates.
package latency
