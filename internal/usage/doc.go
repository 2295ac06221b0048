// Package usage meters the requests of tenants over all nodes, by windows of true time.
//
// A data plane node counts with a Counter and sends CountReports to a control node,
// which keeps them in a Store and answers with a CountAck. Counts only grow, and are kept
// by the incarnation of the node that made them, so that a report that is repeated, late or
// arrives by two ways changes nothing. Total adds up what several control nodes hold
// of a window. Clock is the true time that the control plane agrees on.
//
// Time is passed in; the package does no input or output.
package usage
