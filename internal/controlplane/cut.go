package controlplane

import (
	"strings"

	"comethold/internal/controlplane/schema"
	"comethold/internal/paxos"
	"comethold/internal/routing"
	"comethold/internal/rpc"
)

// committedConfiguration reads the configuration in force, or nil.
func (r *Server) committedConfiguration() *routing.Configuration {
	var raw []byte
	r.host.View(schema.MetaCell, func(m *paxos.Replica) {
		_, raw = schema.ReadConfig(m)
	})
	if raw == nil {
		return nil
	}
	cfg, err := routing.Parse(raw)
	if err != nil {
		return nil
	}
	return cfg
}

// reconcileShardSets makes the index cells follow the committed configuration.
func (r *Server) reconcileShardSets(done *uint64) {
	var version uint64
	var raw []byte
	var old map[string]schema.IndexRecord
	var next paxos.Value
	var seats []paxos.Voter
	r.host.View(schema.MetaCell, func(m *paxos.Replica) {
		version, raw = schema.ReadConfig(m)
		old = schema.ReadIndexes(m)
		next, _ = m.Get(schema.NextIndexIDKey)
		seats, _ = m.Voters()
	})
	if version == 0 || version == *done {
		return
	}
	cfg, err := routing.Parse(raw)
	if err != nil {
		return
	}
	groups := schema.GroupRoutesByServices(cfg)
	kept, fresh, gone := schema.AssignIndexes(old, groups)
	var t paxos.Txn
	t.Conditions = []paxos.Condition{{Key: schema.ConfigVersionKey, Equals: schema.UintValue(version)}}
	cut := func(group string) []string { return strings.Split(group, "\x00") }
	records := map[string]schema.IndexRecord{}
	for ix, g := range kept {
		rec := schema.IndexRecord{Voters: old[ix].Voters, Routes: groups[g], Services: cut(g)}
		records[ix] = rec
		if !schema.EqualEncoding(rec, old[ix]) {
			t.Ops = append(t.Ops, paxos.Op{Kind: paxos.OpPut, Key: schema.IndexKeyPrefix + ix, Value: schema.MustEncode(rec)})
		}
	}
	n := int64(0)
	if next.Int != nil {
		n = next.Int.Int64()
		t.Conditions = append(t.Conditions, paxos.Condition{Key: schema.NextIndexIDKey, Equals: next})
	} else {
		t.Conditions = append(t.Conditions, paxos.Condition{Key: schema.NextIndexIDKey, Absent: true})
	}
	for _, g := range fresh {
		n++
		ix := schema.IndexCellName(n)
		records[ix] = schema.IndexRecord{Voters: seats, Routes: groups[g], Services: cut(g)}
		t.Ops = append(t.Ops, paxos.Op{Kind: paxos.OpPut, Key: schema.IndexKeyPrefix + ix, Value: schema.MustEncode(records[ix])})
	}
	for _, ix := range gone {
		t.Ops = append(t.Ops, paxos.Op{Kind: paxos.OpDelete, Key: schema.IndexKeyPrefix + ix})
	}
	if len(t.Ops) > 0 {
		if len(fresh) > 0 {
			t.Ops = append(t.Ops, paxos.Op{Kind: paxos.OpPut, Key: schema.NextIndexIDKey, Value: paxos.Int(n)})
		}
		if !r.propose(schema.MetaCell, t) {
			return
		}
	}
	for ix, rec := range records {
		want := schema.ShardSetRecord{Version: version, Services: rec.Services, Routes: rec.Routes}
		v, known := r.host.Get(ix, schema.ShardSetKey)
		t, due := ShardSetTxn(v, known, want)
		if due && !r.propose(ix, t) {
			return // the cell lags; the configuration is in force all the same
		}
	}
	*done = version
}

// ShardSetTxn puts a cut in the place of the one that an index cell holds. One that is late
// finds another there, and does nothing.
func ShardSetTxn(held paxos.Value, known bool, want schema.ShardSetRecord) (t paxos.Txn, due bool) {
	cond := paxos.Condition{Key: schema.ShardSetKey, Absent: true}
	if known {
		cond = paxos.Condition{Key: schema.ShardSetKey, Equals: held}
		var have schema.ShardSetRecord
		if rpc.Unmarshal(held.Bytes, &have) == nil {
			if have.Version > want.Version {
				return t, false
			}
			have.Version = want.Version
			if schema.EqualEncoding(have, want) {
				return t, false
			}
		}
	}
	return paxos.Txn{Conditions: []paxos.Condition{cond}, Ops: []paxos.Op{{Kind: paxos.OpPut, Key: schema.ShardSetKey, Value: schema.MustEncode(want)}}}, true
}
