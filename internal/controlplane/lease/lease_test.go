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

// sharedCell is the meta cell as several nodes see it.
type sharedCell struct {
	mu       sync.Mutex // guards the fields below
	state    *schematest.Cell
	cutOff   map[paxos.ReplicaID]bool // nodes whose proposals fail
	lost     map[paxos.ReplicaID]bool // replicas that are gone for good
	voteless map[paxos.ReplicaID]bool // replicas that have lost their vote
}

func newSharedCell(t *testing.T) *sharedCell {
	t.Helper()
	return &sharedCell{
		state:    schematest.NewCell(t),
		cutOff:   map[paxos.ReplicaID]bool{},
		lost:     map[paxos.ReplicaID]bool{},
		voteless: map[paxos.ReplicaID]bool{},
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
	return !v.voteless[v.self]
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
		return false, errors.New("cut off")
	}
	return v.state.Commit(txn), nil
}

func (v nodeView) IncarnationEnded(id paxos.ReplicaID) bool {
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

// startNodes runs the lease at a, which acquires it, then at b.
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
	t.Fatal("the lease is not taken")
	return 0
}

// TestLeaseIsRenewed: while its holder is in touch nobody else takes a lease, and its term
// stays.
func TestLeaseIsRenewed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b, _, stop := startNodes(t.Context(), newSharedCell(t))
		defer stop()
		waitHeld(t, a)
		for range 1000 {
			time.Sleep(testDuration / 50)
			if term, held := a.Held(); !held || term != 1 {
				t.Fatalf("a holds %v under term %d", held, term)
			}
			if _, held := b.Held(); held {
				t.Fatal("b holds it too")
			}
			if condition, held := a.FenceCondition(1); !held || condition.Absent {
				t.Fatal("there is no condition for its holder")
			}
		}
	})
}

// TestLeaseOfLostHolder: a lease that is not renewed is taken only after its holder has
// surely stopped, under a higher term; sooner if the holder is gone for good.
func TestLeaseOfLostHolder(t *testing.T) {
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
				t.Errorf("lost %v: both hold it", isLost)
			}
			if a.Remaining(1) > 0 || b.Remaining(1) > 0 {
				t.Errorf("lost %v: the former term lasts", isLost)
			}
			if term, _ := b.Held(); term != 2 {
				t.Errorf("lost %v: the term is %d", isLost, term)
			}
			if isLost != (waited < (ClockSkewFactor-1)*testDuration) {
				t.Errorf("lost %v: taken after %v", isLost, waited)
			}
		})
	}
}

// TestLeaseIsGivenBack: a holder that stops, or yields, need not be waited for.
func TestLeaseIsGivenBack(t *testing.T) {
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
				t.Errorf("yields %v: taken after %v", yields, waited)
			}
			if _, held := a.FenceCondition(1); held {
				t.Errorf("yields %v: the former holder has a condition", yields)
			}
		})
	}
}

// TestForfeit: what a holder has forfeited it holds under another term only.
func TestForfeit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, _, _, stop := startNodes(t.Context(), newSharedCell(t))
		defer stop()
		waitHeld(t, a)
		a.Forfeit()
		if _, held := a.Held(); held {
			t.Error("it is held still")
		}
		waitHeld(t, a)
		if term, _ := a.Held(); term != 2 {
			t.Errorf("the term is %d", term)
		}
	})
}

// TestLeaseOfFormerVoter guards against a lease that nobody holds until it expires, since its
// holder has lost its vote and renews it no more.
func TestLeaseOfFormerVoter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cell := newSharedCell(t)
		a, b, _, stop := startNodes(t.Context(), cell)
		defer stop()
		waitHeld(t, a)
		cell.set(cell.voteless, "a")
		if took := waitHeld(t, b); took > testDuration/2 {
			t.Errorf("it is taken after %v", took)
		}
		if _, held := a.Held(); held {
			t.Error("both hold it")
		}
	})
}
