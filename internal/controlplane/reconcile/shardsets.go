package reconcile

import (
	"context"

	"comethold/internal/controlplane/schema"
	"comethold/internal/paxos"
	"comethold/internal/routing"
	"comethold/internal/rpc"
)

// shardSetReconciler applies the committed configuration to the index cells: it updates the
// list of index cells in the meta cell, and the shard set in each index cell.
type shardSetReconciler struct {
	cells          committer
	appliedVersion uint64 // version of the last configuration that was applied to all index cells
}

// indexState is the part of the meta cell's state that determines the index cells.
type indexState struct {
	version     uint64                        // of the committed configuration
	raw         []byte                        // the encoded configuration
	indexes     map[string]schema.IndexRecord // by name
	lastID      paxos.Value                   // stored under schema.LastIndexIDKey
	lastIDFound bool
	voters      []paxos.Voter // of the meta cell
}

func (s *shardSetReconciler) readState() (state indexState) {
	s.cells.View(schema.MetaCell, func(replica *paxos.Replica) {
		state.version, state.raw = schema.ReadConfig(replica)
		state.indexes = schema.ReadIndexes(replica)
		state.lastID, _ = replica.Get(schema.LastIndexIDKey)
		state.lastIDFound = state.lastID.Int != nil
		state.voters, _ = replica.Voters()
	})
	return state
}

// reconcile applies the committed configuration to the index cells, unless it is already applied.
func (s *shardSetReconciler) reconcile(ctx context.Context) {
	state := s.readState()
	if state.version == 0 || state.version == s.appliedVersion {
		return
	}
	configuration, err := routing.Parse(state.raw)
	if err != nil {
		return // can't happen: the configuration was validated before it was committed
	}
	indexes, txn := planIndexes(state, configuration)
	if len(txn.Ops) > 0 && !s.cells.commit(ctx, schema.MetaCell, txn) {
		return
	}
	for name, index := range indexes {
		want := schema.ShardSetRecord{
			Version:  state.version,
			Services: index.Services,
			Routes:   index.Routes,
		}
		stored, exists := s.cells.Get(name, schema.ShardSetKey)
		txn, isNeeded := ShardSetTxn(stored, exists, want)
		if isNeeded && !s.cells.commit(ctx, name, txn) {
			return // retried in the next round; the configuration is in effect anyway
		}
	}
	s.appliedVersion = state.version
}

// planIndexes returns the index cells that a configuration needs, by name, and the transaction
// that updates their list in the meta cell. The transaction has no operations if the list is up
// to date.
func planIndexes(state indexState, configuration *routing.Configuration) (map[string]schema.IndexRecord, paxos.Txn) {
	routes := schema.GroupRoutesByServices(configuration)
	kept, added, removed := schema.AssignIndexes(state.indexes, routes)
	indexes := map[string]schema.IndexRecord{}
	txn := paxos.Txn{Conditions: []paxos.Condition{
		{Key: schema.ConfigVersionKey, Equals: schema.UintValue(state.version)},
		schema.UnchangedCondition(schema.LastIndexIDKey, state.lastID, state.lastIDFound),
	}}
	for name, group := range kept {
		old := state.indexes[name]
		indexes[name] = schema.IndexRecord{
			Voters:   old.Voters,
			Routes:   routes[group],
			Services: schema.ServicesOfGroup(group),
		}
		if !schema.EqualEncoding(indexes[name], old) {
			txn.Ops = append(txn.Ops, schema.PutOp(schema.IndexKeyPrefix+name, indexes[name]))
		}
	}
	lastID := int64(0)
	if state.lastIDFound {
		lastID = state.lastID.Int.Int64()
	}
	for _, group := range added {
		lastID++
		name := schema.IndexCellName(lastID)
		indexes[name] = schema.IndexRecord{
			Voters:   state.voters,
			Routes:   routes[group],
			Services: schema.ServicesOfGroup(group),
		}
		txn.Ops = append(txn.Ops, schema.PutOp(schema.IndexKeyPrefix+name, indexes[name]))
	}
	for _, name := range removed {
		txn.Ops = append(txn.Ops, schema.DeleteOp(schema.IndexKeyPrefix+name))
	}
	if len(added) > 0 {
		txn.Ops = append(txn.Ops, schema.PutValueOp(schema.LastIndexIDKey, paxos.Int(lastID)))
	}
	return indexes, txn
}

// ShardSetTxn returns the transaction that replaces the shard set of an index cell by want.
// stored is the encoded shard set as it was read, if one exists. isNeeded is false if stored has
// a newer version, or differs from want at most in its version. If another transaction replaces
// the shard set first, this one has no effect.
func ShardSetTxn(stored paxos.Value, exists bool, want schema.ShardSetRecord) (txn paxos.Txn, isNeeded bool) {
	var current schema.ShardSetRecord
	if exists && rpc.Unmarshal(stored.Bytes, &current) == nil {
		if current.Version > want.Version {
			return paxos.Txn{}, false
		}
		current.Version = want.Version
		if schema.EqualEncoding(current, want) {
			return paxos.Txn{}, false
		}
	}
	return paxos.Txn{
		Conditions: []paxos.Condition{schema.UnchangedCondition(schema.ShardSetKey, stored, exists)},
		Ops:        []paxos.Op{schema.PutOp(schema.ShardSetKey, want)},
	}, true
}
