package paxos

import (
	"maps"
	"slices"
	"time"
)

// pendingSync contains the writes of one Ready and the messages to send after they are synced.
type pendingSync struct {
	dueAt    time.Duration
	replica  *Replica
	writes   Writes
	messages []Message
}

// simulatedDisk holds the durable state of a node.
type simulatedDisk struct {
	persisted PersistedState
	entries   map[uint64]Entry
}

// write applies the writes of a replica to the durable state.
func (d *simulatedDisk) write(writes Writes) {
	if d.entries == nil {
		d.entries = map[uint64]Entry{}
	}
	if writes.Promised != nil {
		d.persisted.Promised = *writes.Promised
	}
	if writes.Term != 0 {
		d.persisted.Term = writes.Term
	}
	for _, entry := range writes.Entries {
		d.entries[entry.Index] = entry
	}
	if writes.Snapshot != nil {
		d.persisted.Snapshot = writes.Snapshot
		for index := range d.entries {
			if index <= writes.TruncateTo {
				delete(d.entries, index)
			}
		}
	}
	if !writes.Empty() {
		d.persisted.CommitIndex = writes.CommitIndex
	}
}

// load returns the state from which a replica starts.
func (d *simulatedDisk) load() PersistedState {
	persisted := d.persisted
	persisted.Entries = slices.Collect(maps.Values(d.entries))
	return persisted
}

// recoverableIndex returns the applied index of a replica that restarts from the disk: the end of the
// contiguous committed entries after the snapshot.
func (d *simulatedDisk) recoverableIndex() uint64 {
	index := uint64(0)
	if d.persisted.Snapshot != nil {
		index = d.persisted.Snapshot.AppliedIndex
	}
	for ; index < d.persisted.CommitIndex; index++ {
		if _, ok := d.entries[index+1]; !ok {
			break
		}
	}
	return index
}

// stores reports whether the disk has the entry at an index, or a snapshot that includes it.
func (d *simulatedDisk) stores(index uint64) bool {
	_, ok := d.entries[index]
	return ok || d.persisted.Snapshot != nil && d.persisted.Snapshot.AppliedIndex >= index
}

// drawSyncDelay returns the random duration of a sync, which is below twice syncDelay.
func (s *cellSimulation) drawSyncDelay() time.Duration {
	if s.syncDelay == 0 {
		return 0
	}
	return s.randomDuration(2 * s.syncDelay)
}

// completeSyncs applies the syncs of a node that are due and sends the messages that waited for them.
// It returns those that are addressed to the node itself.
func (s *cellSimulation) completeSyncs(node *simulatedNode) []Message {
	var toSelf []Message
	for len(node.pendingSyncs) > 0 && !node.diskHangs && !node.diskFails && node.pendingSyncs[0].dueAt <= s.now {
		sync := node.pendingSyncs[0]
		node.pendingSyncs = node.pendingSyncs[1:]
		node.disk.write(sync.writes)
		if node.up && node.replica == sync.replica {
			toSelf = append(toSelf, s.sendMessages(node, sync.messages)...)
		}
	}
	return toSelf
}

// flushDisk completes a node's syncs and delivers the resulting messages to its own replica.
func (s *cellSimulation) flushDisk(node *simulatedNode) {
	for _, msg := range s.completeSyncs(node) {
		node.replica.Step(s.now, msg)
	}
	if node.up {
		s.handleReady(node)
	}
}

// losePower simulates a loss of power at a node. A random number of the oldest pending writes reaches
// the disk, and the others are lost.
func (s *cellSimulation) losePower(node *simulatedNode) {
	if len(node.pendingSyncs) > 0 {
		for _, sync := range node.pendingSyncs[:s.rng.Intn(len(node.pendingSyncs)+1)] {
			node.disk.write(sync.writes)
		}
	}
	node.stop()
}

// loseDisk stops a node and replaces its disk with an empty one. The node later restarts as the
// replica successor.
func (s *cellSimulation) loseDisk(node *simulatedNode, successor ReplicaID) {
	node.stop()
	node.disk = simulatedDisk{}
	node.id = successor
}

// flushDueDisks completes the syncs that are due on all running nodes.
func (s *cellSimulation) flushDueDisks() {
	for _, name := range s.nodeNames() {
		if node := s.nodes[name]; node.up && !node.paused && len(node.pendingSyncs) > 0 {
			s.flushDisk(node)
		}
	}
}

// repairDisks makes all disks that hang or fail work again, and completes the syncs that are due.
func (s *cellSimulation) repairDisks() {
	for _, name := range s.nodeNames() {
		node := s.nodes[name]
		node.diskHangs = false
		node.diskFails = false
		s.flushDisk(node)
	}
}
