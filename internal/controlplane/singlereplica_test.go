package controlplane

import (
	"strconv"
	"testing"
	"time"

	"comethold/internal/controlplane/schema"
	"comethold/internal/paxos"
)

// singleReplica is the meta cell with one voter, without a disk or a network.
type singleReplica struct {
	t         *testing.T
	replica   *paxos.Replica
	now       time.Duration
	proposals int
}

// newSingleReplica returns one that leads its cell.
func newSingleReplica(t *testing.T) *singleReplica {
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
	founding := paxos.PersistedState{Snapshot: &paxos.Snapshot{
		State: map[string]paxos.Value{},
		Memberships: []paxos.Membership{
			{EffectiveFrom: 1, Voters: []paxos.Voter{{ID: "a", Addr: "a"}}},
		},
	}}
	c := &singleReplica{t: t, replica: paxos.NewReplica(config, founding, 0)}
	for range 20 {
		c.step()
	}
	return c
}

// step moves time on by a tick, delivers all messages, and reports whether a transaction was
// committed.
func (c *singleReplica) step() (committed bool) {
	c.now += 50 * time.Millisecond
	c.replica.Tick(c.now)
	for {
		ready := c.replica.Ready()
		for _, outcome := range ready.Outcomes {
			committed = committed || outcome.Committed
		}
		messages := append(ready.Messages, ready.MessagesAfterSync...)
		if len(messages) == 0 {
			return committed
		}
		for _, message := range messages {
			c.replica.Step(c.now, message)
		}
	}
}

// propose has a transaction decided and reports whether it was committed.
func (c *singleReplica) propose(txn paxos.Txn) bool {
	c.t.Helper()
	c.proposals++
	txn.ID = strconv.Itoa(c.proposals)
	if err := c.replica.Propose(c.now, txn); err != nil {
		c.t.Fatal(err)
	}
	return c.step()
}
