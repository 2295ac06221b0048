// Package latency collects the latency estimates of the data plane nodes for operators.
//
// Each data plane node estimates how long lookups take at each replica. Collector asks the
// nodes and joins what they know, for an operator who asks now. Exporter writes the estimates
// of this zone to a File now and then, for operators who ask later.
package latency
