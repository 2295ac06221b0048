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

var errPlatform = errors.New("the platform is unavailable")

// testPlatform returns the given list and error. If onList is set, it is called first.
type testPlatform struct {
	endpoints []distribution.Endpoint
	err       error
	onList    func()
}

func (p *testPlatform) List(context.Context) ([]distribution.Endpoint, error) {
	if p.onList != nil {
		p.onList()
	}
	return p.endpoints, p.err
}

// testLease is held under the given term, or not held if the term is 0.
type testLease struct {
	term    uint64
	yielded int
}

func (l *testLease) Held() (uint64, bool) { return l.term, l.term > 0 }

func (l *testLease) Yield(context.Context) {
	l.yielded++
	l.term = 0
}

// testPeers has one peer, and records the calls to it.
type testPeers struct {
	mu    sync.Mutex
	held  distribution.Revision // revision that the peer holds
	calls []string
	list  *distribution.EndpointList // answer to PathFetch
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
		return errors.New("a push must send an endpoint list and receive a revision")
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

// takeCalls returns and clears the recorded calls.
func (p *testPeers) takeCalls() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	calls := p.calls
	p.calls = nil
	return calls
}

// testPoller is a Poller with fakes of its dependencies and a real store.
type testPoller struct {
	*Poller
	platform testPlatform
	lease    testLease
	store    *distributor.Distributor
	peers    testPeers
	changes  int // calls of OnChange
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

// pollOnce polls once and waits for the broadcast that the poll starts.
func (p *testPoller) pollOnce(t *testing.T) time.Duration {
	t.Helper()
	pause := p.poll(t.Context())
	p.broadcasting.Wait()
	return pause
}

// TestPollerBroadcasts checks that a new list is sent to the peers in full, that only the revision
// of an unchanged list is sent, and that the list is sent as well to a peer with an older
// revision. Otherwise, a peer that restarts or misses a broadcast would keep an old list.
func TestPollerBroadcasts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPoller()
		p.platform.endpoints = []distribution.Endpoint{{ID: "a"}}
		check := func(name string, sequence uint64, changes int, calls ...string) {
			t.Helper()
			p.pollOnce(t)
			if got := p.store.EndpointsRevision(); got != (distribution.Revision{Term: p.lease.term, Sequence: sequence}) {
				t.Errorf("%s: the stored revision is %v, want the current term and sequence %d", name, got, sequence)
			}
			if p.changes != changes {
				t.Errorf("%s: OnChange was called %d times in total, want %d", name, p.changes, changes)
			}
			if got := p.peers.takeCalls(); !slices.Equal(got, calls) {
				t.Errorf("%s: the calls to peers were %v, want %v", name, got, calls)
			}
		}
		check("a new list", 1, 1, "peer list")
		check("unchanged", 1, 1)
		time.Sleep(revisionInterval)
		check("unchanged for revisionInterval", 1, 1, "peer revision")
		time.Sleep(revisionInterval)
		p.peers.held = distribution.Revision{}
		check("unchanged, and the peer has lost the list", 1, 1, "peer revision", "peer list")
		p.platform.endpoints = nil
		check("an empty list", 2, 2, "peer list")
		p.lease.term = 2
		check("another term", 1, 3, "peer list")
	})
}

// TestPollerYieldsLease checks that the lease is yielded after maxPollFailures consecutive failures,
// but not if the platform's rate limit rejects the polls. Without the yield, a node that can't
// reach the platform would keep the lease.
func TestPollerYieldsLease(t *testing.T) {
	p := newTestPoller()
	p.platform.err = discovery.ErrRateLimited
	for range 2 * maxPollFailures {
		p.pollOnce(t)
	}
	if p.lease.yielded != 0 {
		t.Error("the lease was yielded after rate-limited polls, want no yield")
	}
	p.platform.err = nil
	p.pollOnce(t)
	p.platform.err = errPlatform
	for i := range maxPollFailures {
		if p.lease.yielded != 0 {
			t.Errorf("the lease was yielded after %d failed polls, want a yield only after maxPollFailures", i)
		}
		if pause := p.pollOnce(t); pause != p.interval/2 {
			t.Errorf("the pause after a failed poll is %v, want half of the interval", pause)
		}
	}
	if p.lease.yielded != 1 {
		t.Errorf("the lease was yielded %d times after maxPollFailures failed polls, want once", p.lease.yielded)
	}
	if pause := p.pollOnce(t); pause != leaseCheckInterval {
		t.Errorf("the pause without the lease is %v, want leaseCheckInterval", pause)
	}
}

// TestPollerDiscardsListAfterLeaseLoss checks that a list is neither stored nor broadcast if the
// lease ends, or is acquired again under another term, while the platform is being polled.
// Otherwise, a node that is no longer the owner would publish a list under an old term.
func TestPollerDiscardsListAfterLeaseLoss(t *testing.T) {
	for _, term := range []uint64{0, 2} {
		p := newTestPoller()
		p.platform.endpoints = []distribution.Endpoint{{ID: "a"}}
		p.platform.onList = func() { p.lease.term = term }
		p.pollOnce(t)
		if list := p.store.Endpoints(); list != nil || len(p.peers.takeCalls()) > 0 {
			t.Errorf("after the term changed to %d during a poll, the stored list is %v, want no list and no broadcast",
				term, list)
		}
	}
}

// TestFetcherWaitsForBroadcast checks that a newer list of a peer is fetched once, unless the
// poller's broadcast arrives first. Otherwise, each new list would be transferred twice.
func TestFetcherWaitsForBroadcast(t *testing.T) {
	newer := distribution.Revision{Term: 1, Sequence: 2}
	for _, c := range []struct {
		name      string
		broadcast time.Duration // time of its arrival
		want      []string
	}{
		{"no broadcast", time.Hour, []string{"peer fetch"}},
		{"broadcast during fetchDelay", fetchDelay / 2, nil},
		{"broadcast before the peer revision", 0, nil},
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
				for range 3 { // the peer reports its revision repeatedly
					fetcher.OnPeerRevision("peer", newer)
				}
				time.Sleep(2 * fetchDelay)
				cancel()
				synctest.Wait()
				if got := peers.takeCalls(); !slices.Equal(got, c.want) {
					t.Errorf("the calls to peers were %v, want %v", got, c.want)
				}
				if got := store.EndpointsRevision(); got != newer {
					t.Errorf("the stored revision is %v, want %v", got, newer)
				}
			})
		})
	}
}
