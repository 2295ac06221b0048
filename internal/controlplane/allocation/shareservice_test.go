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

// leaderState is the replicated state at the leader.
type leaderState struct {
	cell *schematest.Cell

	mu        sync.Mutex // guards the fields below
	commits   int
	conflicts int // how many commits are still to fail since the table has changed
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

// TestSharesAreCommitted: shares that many nodes ask for at once never exceed the whole, and
// stand in the replicated state, each table for itself.
func TestSharesAreCommitted(t *testing.T) {
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
				t.Errorf("%s: %+v, %v", request.Node, grant, err)
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
			t.Errorf("%s: %d shares of %d in all", key, len(table), sum)
		}
	}
}

// TestChangedTableIsReadAgain: a table that has changed meanwhile is decided anew, up to a
// number of times.
func TestChangedTableIsReadAgain(t *testing.T) {
	service, state := startShareService(t)
	request := distribution.ShareRequest{Table: distribution.RateShares, Node: "n", HoldsNone: true}
	for conflicts, wantErr := range map[int]bool{maxCommitAttempts - 1: false, maxCommitAttempts: true} {
		state.mu.Lock()
		state.conflicts = conflicts
		state.mu.Unlock()
		grant, err := service.Request(t.Context(), request)
		if (err != nil) != wantErr || grant.Granted == wantErr {
			t.Errorf("%d conflicts: %+v, %v", conflicts, grant, err)
		}
	}
}

// TestStoppedServiceAnswersUnknown: once the service has stopped, nobody waits for it.
func TestStoppedServiceAnswersUnknown(t *testing.T) {
	service := NewShareService(&leaderState{cell: schematest.NewCell(t)}, lease.ClockSkewFactor)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	service.Run(ctx)
	waiting, cancelWait := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancelWait()
	result := service.DecideLocal(waiting, distribution.ShareRequest{Node: "n"})
	if !result.Unknown || waiting.Err() != nil {
		t.Errorf("the result is %+v, %v", result, waiting.Err())
	}
}

// slowState is the replicated state at a leader whose commits hang until they are let go.
type slowState struct {
	leaderState
	begun chan struct{} // gets an element when a commit has begun
	goOn  chan struct{} // closed to let commits go
}

func (s *slowState) ProposeLocal(ctx context.Context, cell string, txn paxos.Txn) replicahost.ProposeResult {
	s.begun <- struct{}{}
	<-s.goOn
	return s.leaderState.ProposeLocal(ctx, cell, txn)
}

// TestStopKeepsNobodyWaiting: when the node stops, a request that is being decided is
// answered at once; the decision is brought to its end.
func TestStopKeepsNobodyWaiting(t *testing.T) {
	state := &slowState{
		leaderState: leaderState{cell: schematest.NewCell(t)},
		begun:       make(chan struct{}, 1),
		goOn:        make(chan struct{}),
	}
	service := NewShareService(state, lease.ClockSkewFactor)
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { service.Run(ctx) })
	results := make(chan replicahost.ProposeResult, 1)
	go func() {
		results <- service.DecideLocal(t.Context(), distribution.ShareRequest{Node: "n", HoldsNone: true})
	}()
	<-state.begun
	cancel()
	select {
	case result := <-results:
		if !result.Unknown {
			t.Errorf("the result is %+v", result)
		}
	case <-time.After(10 * time.Second):
		t.Error("it is kept waiting")
	}
	close(state.goOn)
	running.Wait()
	if table, _ := service.readTable(schema.RateSharesKey); table["n"].Permille != ratelimit.FullShare {
		t.Errorf("committed are %v", table)
	}
}

// TestFullQueueIsBusy: more requests than can wait are refused at once.
func TestFullQueueIsBusy(t *testing.T) {
	service := NewShareService(nil, lease.ClockSkewFactor)
	for range cap(service.waiting) {
		service.waiting <- &pendingShareRequest{}
	}
	if result := service.DecideLocal(t.Context(), distribution.ShareRequest{Node: "n"}); !result.Busy {
		t.Errorf("the result is %+v", result)
	}
}

// TestValidShareRequests: a request names its node, a table and a part of the whole.
func TestValidShareRequests(t *testing.T) {
	service := NewShareService(nil, lease.ClockSkewFactor)
	for _, c := range []struct {
		name    string
		request distribution.ShareRequest
		want    bool
	}{
		{"all of it", distribution.ShareRequest{Node: "n", Permille: ratelimit.FullShare}, true},
		{"quotas", distribution.ShareRequest{Node: "n", Table: distribution.QuotaShares}, true},
		{"no node", distribution.ShareRequest{}, false},
		{"less than nothing", distribution.ShareRequest{Node: "n", Permille: -1}, false},
		{"more than all", distribution.ShareRequest{Node: "n", Permille: ratelimit.FullShare + 1}, false},
		{"another table", distribution.ShareRequest{Node: "n", Table: 99}, false},
	} {
		if got := service.IsValid(&c.request); got != c.want {
			t.Errorf("%s: valid is %v", c.name, got)
		}
	}
}
