package endpointlist

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"comethold/internal/controlplane/distributor"
	"comethold/internal/controlplane/replicahost"
	"comethold/internal/discovery"
	"comethold/internal/distribution"
	"comethold/internal/logging"
)

var errPlatform = errors.New("the platform is down")

// testPlatform answers as set, and calls during, if set, before it does.
type testPlatform struct {
	endpoints []distribution.Endpoint
	err       error
	during    func()
}

func (p *testPlatform) List(context.Context) ([]distribution.Endpoint, error) {
	if p.during != nil {
		p.during()
	}
	return p.endpoints, p.err
}

// testLease is held under a term, or not if that is 0.
type testLease struct {
	term    uint64
	yielded int
}

func (l *testLease) Held() (uint64, bool) { return l.term, l.term > 0 }

func (l *testLease) Yield(context.Context) {
	l.yielded++
	l.term = 0
}

// testPeers has one other control node, which keeps the calls that it gets.
type testPeers struct {
	mu    sync.Mutex
	held  distribution.Revision
	calls []string
	list  *distribution.EndpointList // that it hands out
}

func (p *testPeers) Do(task func()) { task() }

func (p *testPeers) PeerAddresses() []string { return []string{"peer"} }

func (p *testPeers) LivePeers(time.Duration) map[string]replicahost.PeerInfo {
	return map[string]replicahost.PeerInfo{"self": {}, "peer": {}}
}

func (p *testPeers) CallPeer(_ context.Context, address, path string, request, response any) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if path == PathFetch {
		p.calls = append(p.calls, address+" fetch")
		if list, isList := response.(*distribution.EndpointList); isList {
			*list = *p.list
		}
		return nil
	}
	list, isList := request.(*distribution.EndpointList)
	held, isRevision := response.(*distribution.Revision)
	if !isList || !isRevision {
		return errors.New("not a push")
	}
	if list.Endpoints == nil {
		p.calls = append(p.calls, address+" revision")
	} else {
		p.calls = append(p.calls, address+" list")
		p.held = list.Revision
	}
	*held = p.held
	return nil
}

// takeCalls returns the calls since it was called last.
func (p *testPeers) takeCalls() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	calls := p.calls
	p.calls = nil
	return calls
}

// testPoller is a poller with all that it looks at.
type testPoller struct {
	*Poller
	platform testPlatform
	lease    testLease
	store    *distributor.Distributor
	peers    testPeers
	changes  int
}

func newTestPoller() *testPoller {
	p := &testPoller{store: distributor.New(distributor.Options{}), lease: testLease{term: 1}}
	p.Poller = NewPoller(PollerOptions{
		Platform:    &p.platform,
		Lease:       &p.lease,
		Store:       p.store,
		Peers:       &p.peers,
		SelfAddress: "self",
		OnChange:    func() { p.changes++ },
		Log:         logging.Nop(),
	})
	return p
}

// pollOnce polls and waits for what it begins.
func (p *testPoller) pollOnce(t *testing.T) time.Duration {
	t.Helper()
	pause := p.poll(t.Context())
	p.broadcasting.Wait()
	return pause
}

// TestPollerBroadcasts: a list that is new goes to the other control nodes as a whole; of
// one that is unchanged they are sent the revision, and get the whole if theirs is older.
func TestPollerBroadcasts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPoller()
		p.platform.endpoints = []distribution.Endpoint{{ID: "a"}}
		check := func(when string, sequence uint64, changes int, calls ...string) {
			t.Helper()
			p.pollOnce(t)
			if got := p.store.EndpointsRevision(); got != (distribution.Revision{Term: p.lease.term, Sequence: sequence}) {
				t.Errorf("%s: the revision is %v", when, got)
			}
			if p.changes != changes {
				t.Errorf("%s: %d changes", when, p.changes)
			}
			if got := p.peers.takeCalls(); !slices.Equal(got, calls) {
				t.Errorf("%s: called are %v", when, got)
			}
		}
		check("a new list", 1, 1, "peer list")
		check("unchanged", 1, 1)
		time.Sleep(revisionInterval)
		check("unchanged for a while", 1, 1, "peer revision")
		time.Sleep(revisionInterval)
		p.peers.held = distribution.Revision{}
		check("unchanged, and the peer has lost it", 1, 1, "peer revision", "peer list")
		p.platform.endpoints = nil
		check("an empty list", 2, 2, "peer list")
		p.lease.term = 2
		check("another term", 1, 3, "peer list")
	})
}

// TestPollerYields: after some polls in a row that fail another node may try, unless it is
// the rate limit that they fail by.
func TestPollerYields(t *testing.T) {
	p := newTestPoller()
	p.platform.err = discovery.ErrRateLimited
	for range 2 * maxPollFailures {
		p.pollOnce(t)
	}
	if p.lease.yielded != 0 {
		t.Error("yielded at the rate limit")
	}
	p.platform.err = nil
	p.pollOnce(t)
	p.platform.err = errPlatform
	for i := range maxPollFailures {
		if p.lease.yielded != 0 {
			t.Errorf("yielded after %d failures", i)
		}
		if pause := p.pollOnce(t); pause != p.interval/2 {
			t.Errorf("a failed poll is made again after %v", pause)
		}
	}
	if p.lease.yielded != 1 {
		t.Errorf("yielded %d times", p.lease.yielded)
	}
	if pause := p.pollOnce(t); pause != leaseCheckInterval {
		t.Errorf("without the lease, the next look is after %v", pause)
	}
}

// TestPollerLosesLease: a list that comes after the lease has ended, or has been taken anew,
// is not stored.
func TestPollerLosesLease(t *testing.T) {
	for _, term := range []uint64{0, 2} {
		p := newTestPoller()
		p.platform.endpoints = []distribution.Endpoint{{ID: "a"}}
		p.platform.during = func() { p.lease.term = term }
		p.pollOnce(t)
		if list := p.store.Endpoints(); list != nil || len(p.peers.takeCalls()) > 0 {
			t.Errorf("then held under %d: %v is stored", term, list)
		}
	}
}

// TestFetcher: a newer list of a peer is fetched, unless the poller's broadcast comes first.
func TestFetcher(t *testing.T) {
	newer := distribution.Revision{Term: 1, Sequence: 2}
	for _, c := range []struct {
		name      string
		broadcast time.Duration // when it comes
		want      []string
	}{
		{"no broadcast", time.Hour, []string{"peer fetch"}},
		{"a broadcast", fetchDelay / 2, nil},
		{"a broadcast before", 0, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				list := &distribution.EndpointList{Revision: newer, Endpoints: []distribution.Endpoint{}}
				store := distributor.New(distributor.Options{})
				peers := &testPeers{list: list}
				fetcher := NewFetcher(store, peers)
				ctx, cancel := context.WithCancel(t.Context())
				go fetcher.Run(ctx)
				if c.broadcast == 0 {
					store.SetEndpoints(list)
				} else {
					timer := time.AfterFunc(c.broadcast, func() { store.SetEndpoints(list) })
					defer timer.Stop()
				}
				for range 3 { // the peer says so again and again
					fetcher.OnPeerRevision("peer", newer)
				}
				time.Sleep(2 * fetchDelay)
				cancel()
				synctest.Wait()
				if got := peers.takeCalls(); !slices.Equal(got, c.want) {
					t.Errorf("called are %v", got)
				}
				if got := store.EndpointsRevision(); got != newer {
					t.Errorf("the revision is %v", got)
				}
			})
		})
	}
}
