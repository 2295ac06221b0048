// Package schematest provides a meta cell for the tests of the control plane's packages: one
// replica without disk or network. It contains no tests. Like net/http/httptest it is a
// package, because test files can't be imported; only test files import it.
package schematest

import (
	"strconv"
	"sync"
	"testing"
	"time"

	"comethold/internal/controlplane/schema"
	"comethold/internal/paxos"
)

// step is the time by which the clock advances with each transaction.
const step = 50 * time.Millisecond

// Cell is a meta cell of one replica. It is safe for concurrent use.
type Cell struct {
	tb testing.TB

	mu        sync.Mutex // guards the fields below
	replica   *paxos.Replica
	now       time.Duration
	proposals int
}

// NewCell returns a Cell whose replica is the leader.
func NewCell(tb testing.TB) *Cell {
	tb.Helper()
	initialVoters := []paxos.Voter{{ID: "a", Addr: "a"}}
	snapshot := &paxos.Snapshot{
		State:       map[string]paxos.Value{},
		Memberships: []paxos.Membership{{EffectiveFrom: 1, Voters: initialVoters}},
	}
	config := paxos.Config{
		Cell:              schema.MetaCell,
		Self:              "a",
		Alpha:             3,
		MaxQueue:          8,
		MaxBatch:          4,
		RetainedEntries:   16,
		HeartbeatInterval: 2 * step,
		ElectionTimeout:   8 * step,
		Jitter:            func() float64 { return 0.5 },
	}
	cell := &Cell{tb: tb, replica: paxos.NewReplica(config, paxos.PersistedState{Snapshot: snapshot}, 0)}
	for range 20 {
		cell.stepLocked()
	}
	return cell
}

// View runs a function that reads the applied state. It always reports true.
func (c *Cell) View(read func(*paxos.Replica)) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	read(c.replica)
	return true
}

// Replica returns the replica, for tests that use the cell on one goroutine.
func (c *Cell) Replica() *paxos.Replica { return c.replica }

// Commit applies a transaction and reports whether it was committed.
func (c *Cell) Commit(txn paxos.Txn) bool {
	c.tb.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.proposals++
	txn.ID = strconv.Itoa(c.proposals)
	if err := c.replica.Propose(c.now, txn); err != nil {
		c.tb.Errorf("Propose of transaction %s returned %v, want no error", txn.ID, err)
		return false
	}
	return c.stepLocked()
}

// stepLocked advances the clock and processes the replica's output until there is none left.
// It reports whether a transaction was committed.
func (c *Cell) stepLocked() (committed bool) {
	c.now += step
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
