// Package metering counts the tenants' usage and reports it to the platform.
//
// Data plane nodes report their counts to control nodes, which keep them in a Collector by
// window of time and by incarnation of the node, and agree on the time of day among
// themselves. CountStore keeps the newest windows on the disk.
//
// Every control node runs a Reporter, which is active while its node holds the lease. After
// the end of a window it adds up the counts of all control nodes, and commits the report as a
// row in the replicated state before it sends it, so that the same bytes are sent after a
// failover. PlatformClient makes the calls. A call ends before the lease expires, so that no
// two control nodes call at a time, and carries the term of the lease as a fencing token.
package metering
