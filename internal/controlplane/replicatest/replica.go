// Package replicatest gives tests a replica that decides alone: a cell of one voter, without
// a disk and a network, whose time the test moves on.
package replicatest

import (
	"strconv"
	"testing"
	"time"

	"comethold/internal/controlplane/schema"
	"comethold/internal/paxos"
)

const (
	tickInterval = 50 * time.Millisecond
	// electionTicks are more than a lone voter needs to become the leader.
	electionTicks = 20
)

// SingleReplica is the only replica of its cell.
type SingleReplica struct {
	*paxos.Replica

	t         *testing.T
	now       time.Duration
	proposals int
}

// New returns a replica that leads its cell.
func New(t *testing.T) *SingleReplica {
	t.Helper()
	config := paxos.Config{
		Cell:              schema.MetaCell,
		Self:              "a",
		Alpha:             3,
		MaxQueue:          8,
		MaxBatch:          4,
		RetainedEntries:   16,
		HeartbeatInterval: 100 * time.Millisecond,
		ElectionTimeout:   400 * time.Millisecond,
		Jitter:            func() float64 { return 0.5 },
	}
	founding := &paxos.Snapshot{
		State:       map[string]paxos.Value{},
		Memberships: []paxos.Membership{{EffectiveFrom: 1, Voters: []paxos.Voter{{ID: "a", Addr: "a"}}}},
	}
	r := &SingleReplica{
		Replica: paxos.NewReplica(config, paxos.PersistedState{Snapshot: founding}, 0),
		t:       t,
	}
	for range electionTicks {
		r.tick()
	}
	return r
}

// Commit has a transaction applied and reports whether it was committed.
func (r *SingleReplica) Commit(txn paxos.Txn) bool {
	r.t.Helper()
	r.proposals++
	txn.ID = strconv.Itoa(r.proposals)
	if err := r.Propose(r.now, txn); err != nil {
		r.t.Fatal(err)
	}
	return r.tick()
}

// Put commits a record under a key.
func (r *SingleReplica) Put(key string, record any) bool {
	r.t.Helper()
	return r.Commit(paxos.Txn{Ops: []paxos.Op{{Kind: paxos.OpPut, Key: key, Value: schema.MustEncode(record)}}})
}

// tick moves the time on and has the replica do what is due then.
func (r *SingleReplica) tick() (committed bool) {
	r.now += tickInterval
	r.Tick(r.now)
	for {
		ready := r.Ready()
		for _, outcome := range ready.Outcomes {
			committed = committed || outcome.Committed
		}
		messages := append(ready.Messages, ready.MessagesAfterSync...)
		if len(messages) == 0 {
			return committed
		}
		for _, message := range messages {
			r.Step(r.now, message)
		}
	}
}
