package controlplane

import (
	"comethold/internal/controlplane/outboxpublisher"
	"comethold/internal/controlplane/replicahost"
	"comethold/internal/storage"
)

// openOutbox creates the components that publish, consume and quarantine notifications. It
// needs s.host, s.distributor, s.quotas and s.placementLease.
func (s *Server) openOutbox(self replicahost.PeerInfo, store *storage.Store) {
	state := metaCell{s.host}
	s.quarantine = outboxpublisher.NewQuarantine(state, s.settings.NodeName)
	s.consumer = outboxpublisher.NewConsumer(outboxpublisher.ConsumerOptions{
		State:           state,
		Distributor:     s.distributor,
		Storage:         store,
		Quarantine:      s.quarantine,
		OnConfiguration: s.quotas.tenantLimits.Apply,
		Log:             s.log,
	})
	s.publisher = outboxpublisher.NewPublisher(outboxpublisher.PublisherOptions{
		State: state,
		Lease: s.placementLease,
		Peers: s.host,
		Local: s.consumer,
		Self:  self,
		Log:   s.log,
	})
}
