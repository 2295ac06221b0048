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

// Fetcher fetches lists from peers that hold newer ones: the poller may not reach this node.
type Fetcher struct {
	store Store
	peers Peers

	stopping   chan struct{} // closed when Run ends
	isFetching atomic.Bool
	background taskgroup.Group
}

// NewFetcher makes a fetcher. Run must be running.
func NewFetcher(store Store, peers Peers) *Fetcher {
	return &Fetcher{store: store, peers: peers, stopping: make(chan struct{})}
}

// Run waits until ctx is done, lets no further fetch begin and waits for the one that runs.
func (f *Fetcher) Run(ctx context.Context) {
	<-ctx.Done()
	close(f.stopping)
	f.background.Close()
}

// OnPeerRevision takes the revision that a peer says it holds. It doesn't wait; a newer list is
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
		return // the broadcast has come
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	var list distribution.EndpointList
	err := f.peers.CallPeer(ctx, address, PathFetch, distribution.UpdateRequest{}, &list)
	if err == nil && list.Endpoints != nil {
		f.store.SetEndpoints(&list)
	}
}
