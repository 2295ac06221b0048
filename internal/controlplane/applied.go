package controlplane

import (
	"comethold/internal/controlplane/schema"
	"comethold/internal/paxos"
)

// onApply runs on the host's loop. Leases are renewed several times a second:
// what a change does not touch is not read again.
func (r *Server) onApply(name string, what paxos.ChangedKeys) {
	m := r.host.Replica(name)
	if m == nil {
		return
	}
	if name != schema.MetaCell {
		r.board.SetMarks(schema.ReadEjections(name, m))
		return
	}
	wake := false
	if what.AnyWithPrefix(schema.ConfigVersionKey) {
		version, raw := schema.ReadConfig(m)
		go func() {
			if r.board.SetConfiguration(version, raw) {
				r.consumer.Wake()
			}
			r.wakeReconciler()
		}()
	}
	if what.AnyWithPrefix(schema.PurgeKeyPrefix) || what.AnyWithPrefix(schema.PurgeCompactedKey) {
		r.board.SetPurges(m)
	}
	if what.AnyWithPrefix(schema.OutboxKeyPrefix) {
		r.consumer.Wake()
	}
	if what.AnyWithPrefix(schema.NodeKeyPrefix) {
		r.board.SetNodes(m.AppliedIndex(), schema.ReadNodes(m))
		wake = true
	}
	if what.AnyWithPrefix(schema.IndexKeyPrefix) {
		r.syncIndexReplicas(schema.ReadIndexes(m))
		wake = true
	}
	if wake {
		r.wakeReconciler()
	}
}

// syncIndexReplicas opens and closes index cells as the exchange cell lists them.
func (r *Server) syncIndexReplicas(have map[string]schema.IndexRecord) {
	for ix, rec := range have {
		r.host.Open(ix, rec.Voters)
	}
	for _, ix := range r.host.Cells() {
		if _, ok := have[ix]; !ok && ix != schema.MetaCell {
			r.host.Close(ix)
			r.board.DropMarks(ix)
		}
	}
}
