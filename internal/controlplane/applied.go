package controlplane

import (
	"comethold/internal/controlplane/schema"
	"comethold/internal/paxos"
)

// onApply passes on what changed in the replicated state. It runs on the host's event loop.
// Leases are renewed several times a second, so what a change does not touch is not read
// again.
func (s *Server) onApply(cell string, changed paxos.ChangedKeys) {
	replica := s.host.Replica(cell)
	if replica == nil {
		return
	}
	if cell != schema.MetaCell {
		s.distributor.SetMarks(schema.ReadEjections(cell, replica))
		return
	}
	if changed.AnyWithPrefix(schema.ConfigVersionKey) {
		version, raw := schema.ReadConfig(replica)
		s.tasks.Go(func() { s.applyConfiguration(version, raw) })
	}
	if changed.AnyWithPrefix(schema.PurgeKeyPrefix) || changed.AnyWithPrefix(schema.PurgeCompactedKey) {
		s.distributor.SetPurges(replica)
	}
	if changed.AnyWithPrefix(schema.OutboxKeyPrefix) {
		s.consumer.Wake()
	}
	if changed.AnyWithPrefix(schema.NodeKeyPrefix) {
		s.distributor.SetNodes(replica.AppliedIndex(), schema.ReadNodes(replica))
	}
	if changed.AnyWithPrefix(schema.IndexKeyPrefix) {
		s.openListedIndexes(schema.ReadIndexes(replica))
	}
	// Once, and only now: a round that began between the two would be followed by another.
	if changed.AnyWithPrefix(schema.NodeKeyPrefix) || changed.AnyWithPrefix(schema.IndexKeyPrefix) {
		s.reconciler.Wake()
	}
}

// applyConfiguration takes in a configuration. The event loop doesn't wait for it to be
// parsed.
func (s *Server) applyConfiguration(version uint64, raw []byte) {
	if s.distributor.SetConfiguration(version, raw) {
		s.consumer.Wake()
	}
	s.reconciler.Wake()
}

// openListedIndexes opens and closes replicas of index cells as the meta cell lists them.
func (s *Server) openListedIndexes(listed map[string]schema.IndexRecord) {
	for cell, record := range listed {
		s.host.Open(cell, record.Voters)
	}
	for _, cell := range s.host.Cells() {
		if _, isListed := listed[cell]; !isListed && cell != schema.MetaCell {
			s.host.Close(cell)
			s.distributor.DropMarks(cell)
		}
	}
}
