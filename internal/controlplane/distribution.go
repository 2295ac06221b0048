package controlplane

import (
	"comethold/internal/controlplane/distributor"
	"comethold/internal/controlplane/replicahost"
	"comethold/internal/distribution"
	"comethold/internal/rpc"
	"comethold/internal/storage"
)

// endpointsStorageKey is the key of the endpoint list in the node's storage.
const endpointsStorageKey = "list"

// openDistributor creates the distributor of updates to nodes. Until it receives a newer
// endpoint list, it uses the one that this node stored before its restart. Each call
// names the ID of the intended endpoint, so an outdated entry does no harm.
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

// openLongPoll creates the handler of requests for updates. It needs s.distributor, s.host and
// s.reconciler.
func (s *Server) openLongPoll() {
	s.longPoll = &distributor.LongPoll{
		Distributor: s.distributor,
		IsStale:     func() bool { return s.host.QuorumContactAge() > replicahost.StaleAfter },
		Record:      s.reconciler.Record,
		Stopping:    s.quit,
	}
}
