// Package usage counts the requests of tenants on all nodes. Counts are grouped into windows of
// equal length by the time on which the control nodes agree.
//
// A data plane node counts with a Counter and sends CountReports to a control node. The control
// node keeps the counts in a Store and answers with a CountAck. Counts only grow, and are stored
// by the incarnation of the node that made them. A report is therefore idempotent: it may be
// duplicated, delayed or received by several control nodes. Total merges the counts of a window
// from several control nodes. Clock provides the agreed time.
//
// Callers pass in the current time; the package does no I/O.
package usage
