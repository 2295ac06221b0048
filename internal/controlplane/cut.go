package controlplane

import (
	"strings"

	"comethold/internal/paxos"
	"comethold/internal/routing"
	"comethold/internal/rpc"
)

// committedConfiguration reads the configuration in force, or nil.
func (r *Server) committedConfiguration() *routing.Configuration {
	var raw []byte
	r.host.Do(func() {
		if m := r.host.Replicas[MetaCell]; m != nil {
			_, raw = ReadConfig(m)
		}
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
	var old map[string]IndexRecord
	var next paxos.Value
	var seats []paxos.Voter
	r.host.Do(func() {
		if m := r.host.Replicas[MetaCell]; m != nil {
			version, raw = ReadConfig(m)
			old = ReadIndexes(m)
			next, _ = m.Get(NextIndexIDKey)
			seats, _ = m.Voters()
		}
	})
	if version == 0 || version == *done {
		return
	}
	cfg, err := routing.Parse(raw)
	if err != nil {
		return
	}
	groups := GroupRoutesByServices(cfg)
	kept, fresh, gone := AssignIndexes(old, groups)
	var t paxos.Txn
	t.Conditions = []paxos.Condition{{Key: ConfigVersionKey, Equals: UintValue(version)}}
	cut := func(group string) []string { return strings.Split(group, "\x00") }
	records := map[string]IndexRecord{}
	for ix, g := range kept {
		rec := IndexRecord{Voters: old[ix].Voters, Routes: groups[g], Services: cut(g)}
		records[ix] = rec
		if !EqualEncoding(rec, old[ix]) {
			t.Ops = append(t.Ops, paxos.Op{Kind: paxos.OpPut, Key: IndexKeyPrefix + ix, Value: MustEncode(rec)})
		}
	}
	n := int64(0)
	if next.Int != nil {
		n = next.Int.Int64()
		t.Conditions = append(t.Conditions, paxos.Condition{Key: NextIndexIDKey, Equals: next})
	} else {
		t.Conditions = append(t.Conditions, paxos.Condition{Key: NextIndexIDKey, Absent: true})
	}
	for _, g := range fresh {
		n++
		ix := IndexCellName(n)
		records[ix] = IndexRecord{Voters: seats, Routes: groups[g], Services: cut(g)}
		t.Ops = append(t.Ops, paxos.Op{Kind: paxos.OpPut, Key: IndexKeyPrefix + ix, Value: MustEncode(records[ix])})
	}
	for _, ix := range gone {
		t.Ops = append(t.Ops, paxos.Op{Kind: paxos.OpDelete, Key: IndexKeyPrefix + ix})
	}
	if len(t.Ops) > 0 {
		if len(fresh) > 0 {
			t.Ops = append(t.Ops, paxos.Op{Kind: paxos.OpPut, Key: NextIndexIDKey, Value: paxos.Int(n)})
		}
		if !r.propose(MetaCell, t) {
			return
		}
	}
	for ix, rec := range records {
		want := ShardSetRecord{Version: version, Services: rec.Services, Routes: rec.Routes}
		v, known := r.host.Get(ix, ShardSetKey)
		t, due := ShardSetTxn(v, known, want)
		if due && !r.propose(ix, t) {
			return // the cell lags; the configuration is in force all the same
		}
	}
	*done = version
}

// ShardSetTxn puts a cut in the place of the one that an index cell holds. One that is late
// finds another there, and does nothing.
func ShardSetTxn(held paxos.Value, known bool, want ShardSetRecord) (t paxos.Txn, due bool) {
	cond := paxos.Condition{Key: ShardSetKey, Absent: true}
	if known {
		cond = paxos.Condition{Key: ShardSetKey, Equals: held}
		var have ShardSetRecord
		if rpc.Unmarshal(held.Bytes, &have) == nil {
			if have.Version > want.Version {
				return t, false
			}
			have.Version = want.Version
			if EqualEncoding(have, want) {
				return t, false
			}
		}
	}
	return paxos.Txn{Conditions: []paxos.Condition{cond}, Ops: []paxos.Op{{Kind: paxos.OpPut, Key: ShardSetKey, Value: MustEncode(want)}}}, true
}
