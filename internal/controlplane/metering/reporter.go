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
	// Run keeps the lease, or tries to get it, until stop is closed; it then gives it back.
	Run(ctx context.Context)
	// Held returns the term under which this node holds the lease now.
	Held() (term uint64, held bool)
	// FenceCondition returns a condition that holds while nobody else has taken the lease.
	FenceCondition(term uint64) (condition paxos.Condition, held bool)
	// Forfeit ends what this node holds.
	Forfeit()
}

// State reads and changes the replicated state that reports stand in.
type State interface {
	// View runs a function that looks at the state of the meta cell as it is applied here.
	// It reports false if there is none to look at.
	View(read func(*paxos.Replica)) bool
	// Commit proposes a transaction to the meta cell and reports whether it was surely
	// committed. It gives up after a time of its own and is not cancelled when the node
	// stops: that the platform has taken a report should be noted.
	Commit(txn paxos.Txn) bool
}

// Peers are the control nodes that counts are collected from.
type Peers interface {
	// LivePeers lists, by address, the control nodes heard within a time, this one too.
	LivePeers(within time.Duration) map[string]replicahost.PeerInfo
	// CallPeer makes an RPC to a control node.
	CallPeer(ctx context.Context, address, path string, request, response any) error
}

// ReporterOptions are what a Reporter needs.
type ReporterOptions struct {
	Collector *Collector
	Platform  *PlatformClient
	Lease     Lease
	State     State
	Peers     Peers
	Nodes     func() map[string]distribution.Node // by name; not to be changed
	Address   string                              // of this node
	Voters    int                                 // control nodes that agree on the time
	Window    time.Duration                       // length of a window
	Delay     time.Duration                       // after a window's end when its report is due
	Log       *logging.Logger
}

// Reporter reports what tenants use, while this node holds the lease. Its state belongs to
// the goroutine of Run.
type Reporter struct {
	options ReporterOptions
	// accepted holds, by key, when this incarnation noted that the platform took a report.
	accepted map[string]time.Time
	// firstWindow is from where this incarnation reports where nothing is reported yet; 0 if
	// that has not been asked.
	firstWindow uint64
}

// NewReporter returns a Reporter; Run starts it.
func NewReporter(options ReporterOptions) *Reporter {
	return &Reporter{options: options, accepted: map[string]time.Time{}}
}

// Run keeps the agreed time, and reports while this node holds the lease, until the context
// ends. The lease is given back only after the last call has ended.
func (r *Reporter) Run(ctx context.Context) {
	leaseCtx, stopLease := context.WithCancel(context.WithoutCancel(ctx))
	var lease sync.WaitGroup
	lease.Go(func() { r.options.Lease.Run(leaseCtx) })
	defer lease.Wait()
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
			// What is under way when the node stops is brought to its end.
			reportCtx := context.WithoutCancel(ctx)
			r.commitReports(reportCtx, agreedTime, window, term)
			r.sendReports(reportCtx, term)
		}
	}
}

// rows lists the rows of the reports, oldest first.
func (r *Reporter) rows() (rows []schema.StoredRow) {
	r.options.State.View(func(replica *paxos.Replica) { rows = schema.UsageReportRows(replica) })
	return rows
}

// ownerToken is the claim of a report by the holder of a term.
func ownerToken(term uint64) string { return "usage/" + strconv.FormatUint(term, 10) }
