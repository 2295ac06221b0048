package reconcile

import (
	"context"

	"comethold/internal/controlplane/schema"
	"comethold/internal/paxos"
	"comethold/internal/routing"
	"comethold/internal/rpc"
)

// shardSetReconciler makes the index cells follow the committed configuration: it updates
// their list in the meta cell and the shard set in each of them.
type shardSetReconciler struct {
	cells       committer
	doneVersion uint64 // of the configuration that all index cells follow
}

// indexState is the part of the meta cell's state that determines the index cells.
type indexState struct {
	version     uint64 // of the configuration
	raw         []byte
	indexes     map[string]schema.IndexRecord // by name
	nextID      paxos.Value
	nextIDFound bool
	voters      []paxos.Voter // of the meta cell
}

func (s *shardSetReconciler) readState() (state indexState) {
	s.cells.View(schema.MetaCell, func(replica *paxos.Replica) {
		state.version, state.raw = schema.ReadConfig(replica)
		state.indexes = schema.ReadIndexes(replica)
		state.nextID, _ = replica.Get(schema.LastIndexIDKey)
		state.nextIDFound = state.nextID.Int != nil
		state.voters, _ = replica.Voters()
	})
	return state
}

// reconcile does nothing if the index cells follow the committed configuration already.
func (s *shardSetReconciler) reconcile(ctx context.Context) {
	state := s.readState()
	if state.version == 0 || state.version == s.doneVersion {
		return
	}
	configuration, err := routing.Parse(state.raw)
	if err != nil {
		return // can't happen: it was validated before it was committed
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
		held, exists := s.cells.Get(name, schema.ShardSetKey)
		txn, isDue := ShardSetTxn(held, exists, want)
		if isDue && !s.cells.commit(ctx, name, txn) {
			return // retried in the next round; the configuration is in effect anyway
		}
	}
	s.doneVersion = state.version
}

// planIndexes returns the index cells that a configuration needs, by name, and the transaction
// that updates their list in the meta cell. It has no operations if the list is up to date.
func planIndexes(state indexState, configuration *routing.Configuration) (map[string]schema.IndexRecord, paxos.Txn) {
	routes := schema.GroupRoutesByServices(configuration)
	kept, added, removed := schema.AssignIndexes(state.indexes, routes)
	indexes := map[string]schema.IndexRecord{}
	txn := paxos.Txn{Conditions: []paxos.Condition{
		{Key: schema.ConfigVersionKey, Equals: schema.UintValue(state.version)},
		schema.UnchangedCondition(schema.LastIndexIDKey, state.nextID, state.nextIDFound),
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
	if state.nextIDFound {
		lastID = state.nextID.Int.Int64()
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

// ShardSetTxn makes the transaction that replaces the shard set of an index cell. isDue is
// false if the stored one is newer or equal. If another transaction replaces it first, this
// one changes nothing.
func ShardSetTxn(held paxos.Value, exists bool, want schema.ShardSetRecord) (txn paxos.Txn, isDue bool) {
	var current schema.ShardSetRecord
	if exists && rpc.Unmarshal(held.Bytes, &current) == nil {
		if current.Version > want.Version {
			return paxos.Txn{}, false
		}
		current.Version = want.Version
		if schema.EqualEncoding(current, want) {
			return paxos.Txn{}, false
		}
	}
	return paxos.Txn{
		Conditions: []paxos.Condition{schema.UnchangedCondition(schema.ShardSetKey, held, exists)},
		Ops:        []paxos.Op{schema.PutOp(schema.ShardSetKey, want)},
	}, true
}
