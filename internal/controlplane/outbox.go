package controlplane

import (
	"comethold/internal/controlplane/outboxpublisher"
	"comethold/internal/controlplane/replicahost"
	"comethold/internal/storage"
)

// openOutbox makes what works on the outbox. The host must be made and not opened yet.
func (r *Server) openOutbox(self replicahost.PeerInfo, store *storage.Store) {
	state := metaCell{r.host}
	r.quarantine = outboxpublisher.NewQuarantine(state, r.settings.NodeName)
	r.consumer = outboxpublisher.NewConsumer(outboxpublisher.ConsumerOptions{
		State:           state,
		Distributor:     r.board,
		Storage:         store,
		Quarantine:      r.quarantine,
		OnConfiguration: r.quotas.tenants.SetTenants,
		Log:             r.log,
	})
	r.publisher = outboxpublisher.NewPublisher(outboxpublisher.PublisherOptions{
		State: state,
		Lease: r.placementLease,
		Peers: r.host,
		Local: r.consumer,
		Self:  self,
		Log:   r.log,
	})
}
