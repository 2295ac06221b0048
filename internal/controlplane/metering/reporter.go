package metering

import (
	"context"
	"strconv"
	"sync"
	"time"

	"comethold/internal/controlplane/replicahost"
	"comethold/internal/controlplane/schema"
	"comethold/internal/distribution"
	"comethold/internal/logging"
	"comethold/internal/paxos"
	"comethold/internal/usage"
)

// LeaseDuration is how long the lease on reporting lasts unless it is renewed.
const LeaseDuration = 1500 * time.Millisecond

const reportInterval = 150 * time.Millisecond

// Lease is the lease on reporting.
type Lease interface {
	LeaseTimer
	// Run acquires and renews the lease until ctx is done, then releases it.
	Run(ctx context.Context)
	// Held returns the term under which this node holds the lease now.
	Held() (term uint64, held bool)
	// FenceCondition returns a condition that fails once another node has acquired the lease.
	FenceCondition(term uint64) (condition paxos.Condition, held bool)
	// Forfeit ends this node's hold on the lease.
	Forfeit()
}

// State gives access to the replicated state that contains the reports.
type State interface {
	// View runs a function that reads the applied state of the meta cell. It reports false
	// if the function did not run.
	View(read func(*paxos.Replica)) bool
	// Commit proposes a transaction to the meta cell and reports whether it is known to be
	// committed. It has its own time-out and is not cancelled when the node stops, so that
	// accepted reports are recorded.
	Commit(txn paxos.Txn) bool
}

// Peers are the control nodes that counts are collected from.
type Peers interface {
	// LivePeers returns, by address, this node and the control nodes that were in contact within
	// the given time.
	LivePeers(within time.Duration) map[string]replicahost.PeerInfo
	// CallPeer makes an RPC to a control node.
	CallPeer(ctx context.Context, address, path string, request, response any) error
}

// ReporterOptions are the dependencies and settings of a Reporter.
type ReporterOptions struct {
	Collector *Collector
	Platform  *PlatformClient
	Lease     Lease
	State     State
	Peers     Peers
	Nodes     func() map[string]distribution.Node // by name; read-only
	Address   string                              // of this node
	Voters    int                                 // number of control nodes that agree on the time
	Window    time.Duration                       // length of a window
	Delay     time.Duration                       // from the end of a window until its report is due
	Log       *logging.Logger
}

// Reporter reports the tenants' usage while this node holds the lease. Only Run's goroutine
// uses its state.
type Reporter struct {
	options ReporterOptions
	// accepted holds, by row key, the time at which this incarnation last proposed to record that
	// the platform accepted a report. An entry is removed once the record is applied here.
	accepted map[string]time.Time
	// firstWindow is the first window to report if there is no report yet; 0 until it is
	// determined.
	firstWindow uint64
}

// NewReporter returns a Reporter; Run starts it.
func NewReporter(options ReporterOptions) *Reporter {
	return &Reporter{options: options, accepted: map[string]time.Time{}}
}

// Run updates the agreed time and keeps trying to hold the lease. It reports while this node holds
// the lease. When the context ends, it releases the lease only after the last call has ended.
func (r *Reporter) Run(ctx context.Context) {
	leaseCtx, stopLease := context.WithCancel(context.WithoutCancel(ctx))
	var leaseRun sync.WaitGroup
	leaseRun.Go(func() { r.options.Lease.Run(leaseCtx) })
	defer leaseRun.Wait()
	defer stopLease()
	lastUpdate := time.Now()
	for {
		select {
		case <-time.After(reportInterval):
		case <-ctx.Done():
			return
		}
		now := time.Now()
		r.options.Collector.clock.Update(now.UnixNano(), r.options.Voters, now.Sub(lastUpdate), now)
		lastUpdate = now
		agreedTime, agreed := r.options.Collector.clock.Now(now)
		if !agreed {
			continue
		}
		window := usage.WindowAt(agreedTime, r.options.Window)
		r.options.Collector.store.RemoveOld(window)
		if term, held := r.options.Lease.Held(); held {
			// Not cancelled when the node stops, because the result must be recorded.
			reportCtx := context.WithoutCancel(ctx)
			r.commitReports(reportCtx, agreedTime, window, term)
			r.sendReports(reportCtx, term)
		}
	}
}

// rows returns the rows of the reports, oldest first.
func (r *Reporter) rows() (rows []schema.StoredRow) {
	r.options.State.View(func(replica *paxos.Replica) { rows = schema.UsageReportRows(replica) })
	return rows
}

// ownerToken returns the owner token of rows that the lease holder of a term claims.
func ownerToken(term uint64) string { return "usage/" + strconv.FormatUint(term, 10) }
