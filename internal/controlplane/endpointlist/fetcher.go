package endpointlist

import (
	"context"
	"sync/atomic"
	"time"

	"comethold/internal/controlplane/taskgroup"
	"comethold/internal/distribution"
)

// fetchDelay is the time for which a node waits for the poller's broadcast before it fetches a
// newer list from a peer.
const fetchDelay = 300 * time.Millisecond

// Fetcher fetches newer lists from peers, because a broadcast of the poller may fail to reach this
// node.
type Fetcher struct {
	store Store
	peers Peers

	stopping   chan struct{} // closed when the context of Run is done
	isFetching atomic.Bool
	background taskgroup.Group
}

// NewFetcher returns a Fetcher. Run must be called, because it ends the background fetches.
func NewFetcher(store Store, peers Peers) *Fetcher {
	return &Fetcher{store: store, peers: peers, stopping: make(chan struct{})}
}

// Run waits until ctx is done, prevents further fetches and waits for the current one.
func (f *Fetcher) Run(ctx context.Context) {
	<-ctx.Done()
	close(f.stopping)
	f.background.Close()
}

// OnPeerRevision handles the revision that the peer at an address holds. If it is newer than the
// stored one and no other fetch is running, the list is fetched in the background.
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
		return // the broadcast arrived during the delay
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	var list distribution.EndpointList
	err := f.peers.CallPeer(ctx, address, PathFetch, distribution.UpdateRequest{}, &list)
	if err == nil && list.Endpoints != nil {
		f.store.SetEndpoints(&list)
	}
}
