// Package latency collects the latency estimates of the data plane nodes for operators.
//
// Each data plane node estimates how long lookups take at each replica. Collector requests
// the estimates of the nodes and merges them. Exporter writes those of this zone to an ExportFile
// every exportInterval, so that operators can read former ones.
package latency
