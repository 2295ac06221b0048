package endpointlist

import (
	"context"
	"sync/atomic"
	"time"

	"comethold/internal/controlplane/taskgroup"
	"comethold/internal/distribution"
)

// fetchDelay is how long a node waits for the poller's broadcast before it fetches a list
// from a peer.
const fetchDelay = 300 * time.Millisecond

// Fetcher fetches newer lists from peers, in case the poller can't reach this node.
type Fetcher struct {
	store Store
	peers Peers

	stopping   chan struct{} // closed when Run ends
	isFetching atomic.Bool
	background taskgroup.Group
}

// NewFetcher makes a fetcher. Run must be called to end its fetches.
func NewFetcher(store Store, peers Peers) *Fetcher {
	return &Fetcher{store: store, peers: peers, stopping: make(chan struct{})}
}

// Run waits until ctx is done, prevents further fetches and waits for the current one.
func (f *Fetcher) Run(ctx context.Context) {
	<-ctx.Done()
	close(f.stopping)
	f.background.Close()
}

// OnPeerRevision is called with the revision that a peer holds. If it is newer, the list is
// fetched in the background, one at a time.
func (f *Fetcher) OnPeerRevision(address string, revision distribution.Revision) {
	if !f.store.EndpointsRevision().Less(revision) || !f.isFetching.CompareAndSwap(false, true) {
		return
	}
	f.background.Go(func() {
		defer f.isFetching.Store(false)
		f.fetch(address, revision)
	})
}

func (f *Fetcher) fetch(address string, revision distribution.Revision) {
	select {
	case <-time.After(fetchDelay):
	case <-f.stopping:
		return
	}
	if !f.store.EndpointsRevision().Less(revision) {
		return // the broadcast has arrived
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	var list distribution.EndpointList
	err := f.peers.CallPeer(ctx, address, PathFetch, distribution.UpdateRequest{}, &list)
	if err == nil && list.Endpoints != nil {
		f.store.SetEndpoints(&list)
	}
}
