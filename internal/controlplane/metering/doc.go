// Package metering collects the tenants' request counts and reports them to the platform, an
// external HTTP service.
//
// Data plane nodes report their counts to control nodes. Each control node keeps the counts that
// it receives in a Collector, by time window and by incarnation of the data plane node. The
// control nodes agree on a common time. CountStore stores the newest windows on disk.
//
// Every control node runs a Reporter, which is active while its node holds the lease. After
// the end of a window the Reporter adds up the counts of all control nodes. It commits the report
// as a row in the replicated state before it sends it, so that the same bytes are sent after a
// failover. PlatformClient makes the calls. A call ends before the lease expires, so that no
// two control nodes call at the same time, and carries the term of the lease as a fencing token.
package metering
