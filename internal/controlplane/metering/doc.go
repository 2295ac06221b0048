// Package metering counts what tenants use and reports it to the platform.
//
// Data plane nodes report their counts to control nodes, which keep them in a Collector by
// window of time and by incarnation of the node, and agree on the time of day among
// themselves. CountStore keeps the newest windows on the disk.
//
// The control node that holds the lease runs a Reporter. When a window has ended it adds up
// what all control nodes know, and commits the report as a row in the replicated state before
// a byte of it is sent: so whoever sends it, now or after a failover, sends the same bytes.
// PlatformClient makes the calls. A call is over before the lease is, so that no two control
// nodes call at a time, and carries the term of the lease as a fencing token.
package metering
