package metering

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"comethold/internal/controlplane/replicahost"
	"comethold/internal/controlplane/schema"
	"comethold/internal/controlplane/schematest"
	"comethold/internal/distribution"
	"comethold/internal/logging"
	"comethold/internal/outbox"
	"comethold/internal/paxos"
	"comethold/internal/rpc"
	"comethold/internal/usage"
)

const (
	selfAddress  = "10.0.0.1"
	peerAddress  = "10.0.0.2"
	windowLength = 10 * time.Second
	reportDelay  = 10 * time.Second
	tenant       = "t"
	window       = 1000 // the first reported window
)

var errUnreachable = errors.New("unreachable")

// reportingLease is a fake Lease that is held while a term is set.
type reportingLease struct {
	mu        sync.Mutex // guards the fields below
	term      uint64     // 0: not held
	forfeited bool
}

func (l *reportingLease) Run(ctx context.Context) { <-ctx.Done() }

func (l *reportingLease) Held() (uint64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.term, l.term != 0
}

func (l *reportingLease) Remaining(term uint64) time.Duration {
	if held, isHeld := l.Held(); !isHeld || held != term {
		return 0
	}
	return LeaseDuration
}

func (l *reportingLease) FenceCondition(term uint64) (paxos.Condition, bool) {
	return paxos.Condition{Key: schema.LeaseKeyPrefix + "usage", Absent: true}, l.Remaining(term) > 0
}

func (l *reportingLease) Forfeit() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.term = 0
	l.forfeited = true
}

// fakePeers consists of this control node and one other.
type fakePeers struct {
	counts usage.IncarnationCounts // of the other node; nil: calls to it fail
}

func (p *fakePeers) LivePeers(time.Duration) map[string]replicahost.PeerInfo {
	return map[string]replicahost.PeerInfo{selfAddress: {}, peerAddress: {}}
}

func (p *fakePeers) CallPeer(_ context.Context, _, _ string, _, response any) error {
	counts, ok := response.(*usage.IncarnationCounts)
	if !ok || p.counts == nil {
		return errUnreachable
	}
	*counts = p.counts
	return nil
}

// fixture is a Reporter on a control node that holds the lease, with its fakes.
type fixture struct {
	t         *testing.T
	cell      *schematest.Cell
	collector *Collector
	lease     *reportingLease
	peers     *fakePeers
	nodes     map[string]distribution.Node
	reporter  *Reporter
}

// newFixture returns a fixture that sends reports to the given host:port.
func newFixture(t *testing.T, platformAddress string) *fixture {
	t.Helper()
	f := &fixture{
		t:         t,
		cell:      schematest.NewCell(t),
		collector: NewCollector(),
		lease:     &reportingLease{term: 1},
		peers:     &fakePeers{counts: usage.IncarnationCounts{}},
		nodes:     map[string]distribution.Node{},
	}
	f.reporter = NewReporter(ReporterOptions{
		Collector: f.collector,
		Platform: NewPlatformClient(PlatformClientOptions{
			Network:           rpc.TCPNetwork,
			Address:           platformAddress,
			NodeName:          "n1",
			Lease:             f.lease,
			MaxCallsPerSecond: 1e9,
			StartedAt:         time.Now().Add(-time.Hour),
		}),
		Lease:   f.lease,
		State:   f.cell,
		Peers:   f.peers,
		Nodes:   func() map[string]distribution.Node { return f.nodes },
		Address: selfAddress,
		Window:  windowLength,
		Delay:   reportDelay,
		Log:     logging.Nop(),
	})
	return f
}

// record delivers a report with a count for window to this node.
func (f *fixture) record(count uint64) {
	f.collector.Record(&usage.CountReport{
		Incarnation: 6,
		Windows:     usage.Windows{window: usage.Counts{tenant: count}},
	})
}

// commitReports commits the reports that are due. age is the time since the end of the window
// before current.
func (f *fixture) commitReports(current uint64, age time.Duration) {
	f.t.Helper()
	now := usage.WindowEnd(current-1, windowLength).Add(age)
	f.reporter.commitReports(f.t.Context(), now, current, f.lease.term)
}

func (f *fixture) wantReport(window uint64, counts usage.Counts) {
	f.t.Helper()
	for _, stored := range f.reporter.rows() {
		notification := stored.Row.Notification
		if notification.Version != window {
			continue
		}
		if want := string(usage.EncodeReport(window, counts)); string(notification.Payload) != want {
			f.t.Errorf("the report of window %d is %s, want %s", window, notification.Payload, want)
		}
		return
	}
	f.t.Errorf("no report of window %d is committed, want one", window)
}

func (f *fixture) wantReports(count int) {
	f.t.Helper()
	if got := len(f.reporter.rows()); got != count {
		f.t.Errorf("%d reports are committed, want %d", got, count)
	}
}

func (f *fixture) states() (states []outbox.State) {
	for _, stored := range f.reporter.rows() {
		states = append(states, stored.Row.State)
	}
	return states
}
