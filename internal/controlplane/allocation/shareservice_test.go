package allocation

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"comethold/internal/controlplane/lease"
	"comethold/internal/controlplane/replicahost"
	"comethold/internal/controlplane/schema"
	"comethold/internal/controlplane/schematest"
	"comethold/internal/distribution"
	"comethold/internal/paxos"
	"comethold/internal/ratelimit"
)

// leaderState is the replicated state at a leader that applies proposals at once.
type leaderState struct {
	cell *schematest.Cell

	mu        sync.Mutex // guards the fields below
	commits   int
	conflicts int // number of further proposals that fail because the table was changed concurrently
}

func (s *leaderState) View(_ string, read func(*paxos.Replica)) bool { return s.cell.View(read) }

func (s *leaderState) ProposeLocal(_ context.Context, _ string, txn paxos.Txn) replicahost.ProposeResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conflicts > 0 {
		s.conflicts--
		return replicahost.ProposeResult{}
	}
	s.commits++
	return replicahost.ProposeResult{Committed: s.cell.Commit(txn)}
}

func (s *leaderState) CallLeader(
	ctx context.Context, call replicahost.LeaderCall,
) (replicahost.ProposeResult, error) {
	result := call.Local(ctx)
	if result.Busy {
		return result, replicahost.ErrBusy
	}
	return result, nil
}

// startShareService returns a service that runs until the test ends.
func startShareService(t *testing.T) (*ShareService, *leaderState) {
	t.Helper()
	state := &leaderState{cell: schematest.NewCell(t)}
	service := NewShareService(state, lease.ClockSkewFactor)
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { service.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return service, state
}

// TestConcurrentGrantsNeverExceedFullShare: the shares granted to many concurrent requests are
// committed. In each table, they never add up to more than the full share.
func TestConcurrentGrantsNeverExceedFullShare(t *testing.T) {
	service, _ := startShareService(t)
	var requests sync.WaitGroup
	for i := range 20 {
		requests.Go(func() {
			table := distribution.RateShares
			if i%2 == 1 {
				table = distribution.QuotaShares
			}
			request := distribution.ShareRequest{Table: table, Node: fmt.Sprint("n", i), HoldsNone: true}
			if grant, err := service.Request(t.Context(), request); err != nil || !grant.Granted {
				t.Errorf("request of node %s returned %+v, %v, want a grant", request.Node, grant, err)
			}
		})
	}
	requests.Wait()
	for _, key := range []string{schema.RateSharesKey, schema.QuotaSharesKey} {
		table, _ := service.readTable(key)
		sum := 0
		for _, share := range table {
			sum += share.Permille
		}
		if len(table) != 10 || sum > ratelimit.FullShare {
			t.Errorf("%s holds %d shares of %d thousandths in total, want 10 shares of at most 1000", key, len(table), sum)
		}
	}
}

// TestCommitRetriesAfterConflict: requests are decided again if the table was changed between the
// read and the commit, but at most maxCommitAttempts times.
func TestCommitRetriesAfterConflict(t *testing.T) {
	service, state := startShareService(t)
	request := distribution.ShareRequest{Table: distribution.RateShares, Node: "n", HoldsNone: true}
	for conflicts, wantErr := range map[int]bool{maxCommitAttempts - 1: false, maxCommitAttempts: true} {
		state.mu.Lock()
		state.conflicts = conflicts
		state.mu.Unlock()
		grant, err := service.Request(t.Context(), request)
		if (err != nil) != wantErr || grant.Granted == wantErr {
			t.Errorf("request with %d conflicts got %+v, %v; want an error only after maxCommitAttempts", conflicts, grant, err)
		}
	}
}

// TestStoppedServiceReturnsUnknown: a request to a stopped service returns at once, although Run no
// longer reads the queue.
func TestStoppedServiceReturnsUnknown(t *testing.T) {
	service := NewShareService(&leaderState{cell: schematest.NewCell(t)}, lease.ClockSkewFactor)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	service.Run(ctx)
	waiting, cancelWait := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancelWait()
	result := service.DecideLocal(waiting, distribution.ShareRequest{Node: "n"})
	if !result.Unknown || waiting.Err() != nil {
		t.Errorf("DecideLocal after Run ended returned %+v, context error %v; want Unknown at once", result, waiting.Err())
	}
}

// slowState is a leaderState that blocks commits until the test releases them.
type slowState struct {
	leaderState
	started chan struct{} // receives an element when a commit starts
	release chan struct{} // closed to let commits finish
}

func (s *slowState) ProposeLocal(ctx context.Context, cell string, txn paxos.Txn) replicahost.ProposeResult {
	s.started <- struct{}{}
	<-s.release
	return s.leaderState.ProposeLocal(ctx, cell, txn)
}

// TestStopReturnsUnknownDuringCommit: when the node stops during a commit, the waiting request
// returns at once, and the commit still completes.
func TestStopReturnsUnknownDuringCommit(t *testing.T) {
	state := &slowState{
		leaderState: leaderState{cell: schematest.NewCell(t)},
		started:     make(chan struct{}, 1),
		release:     make(chan struct{}),
	}
	service := NewShareService(state, lease.ClockSkewFactor)
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { service.Run(ctx) })
	results := make(chan replicahost.ProposeResult, 1)
	go func() {
		results <- service.DecideLocal(t.Context(), distribution.ShareRequest{Node: "n", HoldsNone: true})
	}()
	<-state.started
	cancel()
	select {
	case result := <-results:
		if !result.Unknown {
			t.Errorf("DecideLocal returned %+v when the service stopped during a commit, want Unknown", result)
		}
	case <-time.After(10 * time.Second):
		t.Error("DecideLocal did not return within 10 s of the stop")
	}
	close(state.release)
	running.Wait()
	if table, _ := service.readTable(schema.RateSharesKey); table["n"].Permille != ratelimit.FullShare {
		t.Errorf("the table after the stop is %v, want 1000 thousandths for node n", table)
	}
}

// TestFullQueueReturnsBusy: a request is rejected at once if the queue is full.
func TestFullQueueReturnsBusy(t *testing.T) {
	service := NewShareService(nil, lease.ClockSkewFactor)
	for range cap(service.waiting) {
		service.waiting <- &pendingShareRequest{}
	}
	if result := service.DecideLocal(t.Context(), distribution.ShareRequest{Node: "n"}); !result.Busy {
		t.Errorf("DecideLocal with a full queue returned %+v, want Busy", result)
	}
}

// TestShareRequestValidation: a request must have a node name, a known table and a share from 0
// to the full share.
func TestShareRequestValidation(t *testing.T) {
	service := NewShareService(nil, lease.ClockSkewFactor)
	for _, c := range []struct {
		name    string
		request distribution.ShareRequest
		want    bool
	}{
		{"full share", distribution.ShareRequest{Node: "n", Permille: ratelimit.FullShare}, true},
		{"quota table", distribution.ShareRequest{Node: "n", Table: distribution.QuotaShares}, true},
		{"no node", distribution.ShareRequest{}, false},
		{"negative share", distribution.ShareRequest{Node: "n", Permille: -1}, false},
		{"more than the full share", distribution.ShareRequest{Node: "n", Permille: ratelimit.FullShare + 1}, false},
		{"unknown table", distribution.ShareRequest{Node: "n", Table: 99}, false},
	} {
		if got := service.IsValid(&c.request); got != c.want {
			t.Errorf("%s: IsValid returned %v, want %v", c.name, got, c.want)
		}
	}
}
