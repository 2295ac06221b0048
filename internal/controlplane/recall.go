package controlplane

import (
	"time"

	"comethold/internal/controlplane/schema"
	"comethold/internal/paxos"
)

// minPurgeRetention is how long purges are kept at least.
const minPurgeRetention = 60 * time.Second

// sweepPurges forgets recalls that no copy can predate any more: this node's own
// steady clock saw each of them for longer than any copy may be kept.
func (r *Server) sweepPurges(first map[string]time.Time) {
	keep := minPurgeRetention
	var keys []string
	var held paxos.Value
	var known bool
	if !r.viewMetaCell(func(m *paxos.Replica) {
		keys = m.KeysWithPrefix(schema.PurgeKeyPrefix, schema.PurgeKeyPrefix)
		held, known = m.Get(schema.PurgeCompactedKey)
	}) {
		return
	}
	now := time.Now()
	if len(keys) > 0 && now.Sub(first[keys[0]]) > keep && !first[keys[0]].IsZero() {
		if cfg := r.committedConfiguration(); cfg != nil {
			for i := range cfg.Routes {
				keep = max(keep, 2*cfg.Routes[i].CacheTTL()+minPurgeRetention)
			}
		}
	}
	var old []string
	listed := map[string]bool{}
	for _, k := range keys {
		listed[k] = true
		if first[k].IsZero() {
			first[k] = now
		}
		if now.Sub(first[k]) > keep {
			old = append(old, k)
		}
	}
	for k := range first {
		if !listed[k] {
			delete(first, k)
		}
	}
	if len(old) > 0 {
		r.propose(schema.MetaCell, ForgetPurgesTxn(held, known, old))
	}
}

// ForgetPurgesTxn forgets recalls, in order of position, and raises the floor from where it is
// held: one that is late would lower it, and a node that lacks what was forgotten would
// not be told.
func ForgetPurgesTxn(held paxos.Value, known bool, old []string) (t paxos.Txn) {
	cond := paxos.Condition{Key: schema.PurgeCompactedKey, Absent: true}
	if known {
		cond = paxos.Condition{Key: schema.PurgeCompactedKey, Equals: held}
	}
	t.Conditions = []paxos.Condition{cond}
	for _, k := range old {
		t.Ops = append(t.Ops, paxos.Op{Kind: paxos.OpDelete, Key: k})
	}
	t.Ops = append(t.Ops, paxos.Op{Kind: paxos.OpPut, Key: schema.PurgeCompactedKey, Value: schema.UintValue(schema.LogIndexOfKey(old[len(old)-1], schema.PurgeKeyPrefix))})
	return t
}
