package lease

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"comethold/internal/controlplane/schematest"
	"comethold/internal/logging"
	"comethold/internal/paxos"
)

const testDuration = time.Second

// sharedCell is the meta cell of several nodes, which access it through a nodeView each.
type sharedCell struct {
	mu        sync.Mutex // guards the fields below
	state     *schematest.Cell
	cutOff    map[paxos.ReplicaID]bool // nodes whose proposals fail
	lost      map[paxos.ReplicaID]bool // replicas that IsReplicaLost reports as lost
	nonVoters map[paxos.ReplicaID]bool // replicas that have lost their vote
}

func newSharedCell(t *testing.T) *sharedCell {
	t.Helper()
	return &sharedCell{
		state:     schematest.NewCell(t),
		cutOff:    map[paxos.ReplicaID]bool{},
		lost:      map[paxos.ReplicaID]bool{},
		nonVoters: map[paxos.ReplicaID]bool{},
	}
}

// nodeView is the cell as one node sees it.
type nodeView struct {
	*sharedCell
	self paxos.ReplicaID
}

func (v nodeView) IsVoter() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return !v.nonVoters[v.self]
}

func (v nodeView) Get(_, key string) (paxos.Value, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.state.Replica().Get(key)
}

func (v nodeView) Propose(_ context.Context, _ string, txn paxos.Txn) (bool, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cutOff[v.self] {
		return false, errors.New("node is cut off from the cell")
	}
	return v.state.Commit(txn), nil
}

func (v nodeView) IsReplicaLost(id paxos.ReplicaID) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.lost[id]
}

func (c *sharedCell) set(flags map[paxos.ReplicaID]bool, id paxos.ReplicaID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	flags[id] = true
}

func (c *sharedCell) newLease(self paxos.ReplicaID) *Lease {
	return New(Options{
		Role:       "test",
		Self:       self,
		Duration:   testDuration,
		SkewFactor: ClockSkewFactor,
		Cell:       nodeView{c, self},
		Log:        logging.Nop(),
	})
}

// startNodes runs the lease at node a, which acquires it, and then at node b.
func startNodes(ctx context.Context, cell *sharedCell) (a, b *Lease, stopA, stopAll func()) {
	var running sync.WaitGroup
	ctxA, stopA := context.WithCancel(ctx)
	ctxB, stopB := context.WithCancel(ctx)
	a, b = cell.newLease("a"), cell.newLease("b")
	running.Go(func() { a.Run(ctxA) })
	synctest.Wait()
	running.Go(func() { b.Run(ctxB) })
	stopAll = func() {
		stopA()
		stopB()
		running.Wait()
	}
	return a, b, stopA, stopAll
}

// waitHeld waits until a lease is held and returns how long that took.
func waitHeld(t *testing.T, l *Lease) time.Duration {
	t.Helper()
	start := time.Now()
	for time.Since(start) < 20*testDuration {
		if _, held := l.Held(); held {
			return time.Since(start)
		}
		time.Sleep(testDuration / 100)
	}
	t.Fatal("lease was not acquired within 20 lease durations")
	return 0
}

// TestLeaseIsRenewed guards against a change of owner or term while the owner can renew the
// lease.
func TestLeaseIsRenewed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b, _, stop := startNodes(t.Context(), newSharedCell(t))
		defer stop()
		waitHeld(t, a)
		for range 1000 {
			time.Sleep(testDuration / 50)
			if term, held := a.Held(); !held || term != 1 {
				t.Fatalf("a.Held reports %v under term %d, want true under term 1", held, term)
			}
			if _, held := b.Held(); held {
				t.Fatal("b.Held reports true while a holds the lease, want false")
			}
			if condition, held := a.FenceCondition(1); !held || condition.Absent {
				t.Fatal("a.FenceCondition(1) reports not held or requires an absent record, want held and the stored record")
			}
		}
	})
}

// TestLeaseOfLostOwner guards against two owners at the same time. If a lease is not renewed,
// another node acquires it under a higher term, but only after it has expired even on a slow
// clock of its owner. The node acquires it sooner if the owner's replica is lost.
func TestLeaseOfLostOwner(t *testing.T) {
	for _, isLost := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			cell := newSharedCell(t)
			a, b, _, stop := startNodes(t.Context(), cell)
			defer stop()
			waitHeld(t, a)
			time.Sleep(testDuration)
			cell.set(cell.cutOff, "a")
			if isLost {
				cell.set(cell.lost, "a")
			}
			waited := waitHeld(t, b)
			if _, held := a.Held(); held {
				t.Errorf("replica lost %v: a and b both hold the lease, want only b", isLost)
			}
			if a.Remaining(1) > 0 || b.Remaining(1) > 0 {
				t.Errorf("replica lost %v: Remaining(1) returned more than 0 after b acquired the lease, want at most 0", isLost)
			}
			if term, _ := b.Held(); term != 2 {
				t.Errorf("replica lost %v: term of b is %d, want 2", isLost, term)
			}
			if isLost != (waited < (ClockSkewFactor-1)*testDuration) {
				t.Errorf("replica lost %v: b acquired the lease after %v, want under 2 s only if lost", isLost, waited)
			}
		})
	}
}

// TestLeaseIsReleased guards against a wait until the lease expires after its owner has stopped
// or yielded.
func TestLeaseIsReleased(t *testing.T) {
	for _, yields := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			a, b, stopA, stop := startNodes(t.Context(), newSharedCell(t))
			defer stop()
			waitHeld(t, a)
			if yields {
				a.Yield(t.Context())
			} else {
				stopA()
			}
			if waited := waitHeld(t, b); waited > testDuration {
				t.Errorf("yields %v: b acquired the lease after %v, want at most one lease duration", yields, waited)
			}
			if _, held := a.FenceCondition(1); held {
				t.Errorf("yields %v: a.FenceCondition(1) reports that a holds the lease, want not held", yields)
			}
		})
	}
}

// TestForfeit guards against an owner that holds a forfeited lease under its former term. It
// must acquire the lease again under a new one.
func TestForfeit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, _, _, stop := startNodes(t.Context(), newSharedCell(t))
		defer stop()
		waitHeld(t, a)
		a.Forfeit()
		if _, held := a.Held(); held {
			t.Error("lease is still held after Forfeit, want not held")
		}
		waitHeld(t, a)
		if term, _ := a.Held(); term != 2 {
			t.Errorf("term after Forfeit is %d, want 2", term)
		}
	})
}

// TestLeaseOfFormerVoter guards against a wait until the lease expires after its owner has lost
// its vote and therefore no longer renews it.
func TestLeaseOfFormerVoter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cell := newSharedCell(t)
		a, b, _, stop := startNodes(t.Context(), cell)
		defer stop()
		waitHeld(t, a)
		cell.set(cell.nonVoters, "a")
		if took := waitHeld(t, b); took > testDuration/2 {
			t.Errorf("b acquired the lease after %v, want at most half a lease duration", took)
		}
		if _, held := a.Held(); held {
			t.Error("a and b both hold the lease, want only b")
		}
	})
}
