package controlplane

import (
	"comethold/internal/controlplane/distributor"
	"comethold/internal/controlplane/replicahost"
	"comethold/internal/distribution"
	"comethold/internal/rpc"
	"comethold/internal/storage"
)

// endpointsStorageKey is where the endpoint list is kept in the node's storage.
const endpointsStorageKey = "list"

// openDistributor makes what hands out updates to nodes. The endpoint list of the node's
// former incarnation serves until the platform has been asked: endpoints are called by ID,
// so one that is gone does no harm.
func (s *Server) openDistributor(store *storage.Store) {
	var saved *distribution.EndpointList
	if raw := store.NodeValue(endpointsStorageKey); raw != nil {
		list := &distribution.EndpointList{}
		if rpc.Unmarshal(raw, list) == nil {
			saved = list
		}
	}
	s.distributor = distributor.New(distributor.Options{
		SavedEndpoints: saved,
		SaveEndpoints: func(list *distribution.EndpointList) {
			if raw, err := rpc.Marshal(list); err == nil {
				store.QueueNodeValue(endpointsStorageKey, raw)
			}
		},
	})
}

// openLongPoll makes what answers nodes that ask for updates. The distributor, the host and
// the reconciler must be made.
func (s *Server) openLongPoll() {
	s.longPoll = &distributor.LongPoll{
		Distributor: s.distributor,
		IsStale:     func() bool { return s.host.QuorumContactAge() > replicahost.StaleAfter },
		Record:      s.reconciler.Record,
		Stopping:    s.quit,
	}
}
