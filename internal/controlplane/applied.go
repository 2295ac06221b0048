package controlplane

import (
	"comethold/internal/controlplane/schema"
	"comethold/internal/paxos"
)

// onApply passes changes of the replicated state to the components that depend on them. It
// runs on the host's event loop. It reads only the state that changed, because lease
// renewals trigger it several times a second.
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
	// Wakes the reconciler after both updates, so that one round handles them together.
	if changed.AnyWithPrefix(schema.NodeKeyPrefix) || changed.AnyWithPrefix(schema.IndexKeyPrefix) {
		s.reconciler.Wake()
	}
}

// applyConfiguration passes the configuration to the distributor. It runs in a background
// task, because parsing would block the event loop for too long.
func (s *Server) applyConfiguration(version uint64, raw []byte) {
	if s.distributor.SetConfiguration(version, raw) {
		s.consumer.Wake()
	}
	s.reconciler.Wake()
}

// openListedIndexes opens the replicas of the index cells that the meta cell lists and closes
// the others.
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
