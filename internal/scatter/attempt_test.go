package scatter

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"comethold/internal/latencyestimate"
	"comethold/internal/routing"
	"comethold/internal/upstream"
)

// TestHedgedState: only an attempt that is under way becomes hedged.
func TestHedgedState(t *testing.T) {
	for before, want := range map[attemptState]attemptState{
		attemptQueued:    attemptQueued,
		attemptSent:      attemptHedged,
		attemptHedged:    attemptHedged,
		attemptCompleted: attemptCompleted,
		attemptCancelled: attemptCancelled,
	} {
		a := &attempt{}
		a.setState(before)
		a.markHedged()
		if a.currentState() != want {
			t.Errorf("state %d became %d, want %d", before, a.currentState(), want)
		}
	}
}

// TestShardAttempts: a shard knows what it tried, and its newest attempt.
func TestShardAttempts(t *testing.T) {
	s := &shard{}
	if !s.isOpen() || !s.isIdle() || s.mayHaveExecuted() {
		t.Error("a new shard is not open and idle")
	}
	first, second := &upstream.Endpoint{}, &upstream.Endpoint{}
	now := time.Now()
	s.addAttempt(first, now)
	older := s.newest
	s.addAttempt(second, now.Add(time.Second))
	if s.newest == older || s.newest.endpoint != second || older.endpoint != first {
		t.Error("the newest attempt is not at the second endpoint")
	}
	if s.isIdle() || s.pendingAttempts != 2 || s.sentAttempts != 2 || len(s.triedEndpoints) != 2 {
		t.Errorf("%d pending, %d sent, %d tried", s.pendingAttempts, s.sentAttempts, len(s.triedEndpoints))
	}
}

// TestReplicaPair: two different replicas make one pair, the slower one first.
func TestReplicaPair(t *testing.T) {
	sample := func(endpoint string, latency time.Duration) latencyestimate.Sample {
		return latencyestimate.Sample{Key: latencyestimate.Key{Endpoint: endpoint}, Duration: latency}
	}
	for _, firstLatency := range []time.Duration{1, 3} {
		pair := &replicaPair{}
		if _, ok := pair.add(sample("a", firstLatency), []byte("a")); ok {
			t.Error("one replica makes a pair")
		}
		if _, ok := pair.add(sample("a", 2), []byte("a")); ok {
			t.Error("one replica twice makes a pair")
		}
		got, ok := pair.add(sample("b", 2), []byte("b"))
		slower, faster := "a", "b"
		if firstLatency < 2 {
			slower, faster = faster, slower
		}
		if !ok || got.First.Key.Endpoint != slower || got.Second.Key.Endpoint != faster ||
			string(got.FirstPart) != slower || string(got.SecondPart) != faster {
			t.Errorf("after %v: %v %+v", firstLatency, ok, got)
		}
		if _, ok := pair.add(sample("c", 2), nil); ok {
			t.Error("a third replica makes a pair")
		}
	}
}

// TestAttemptPanicFailsOnlyItsRequest guards against a panic in an attempt that ends the process or blocks its request
// until the timeout: no result would reach the fan-out.
func TestAttemptPanicFailsOnlyItsRequest(t *testing.T) {
	leafs := newLeafSet(t, func(w http.ResponseWriter, _ *http.Request, _ int64) { succeed(w, "body") }, "s-0", "s-1")
	var panics atomic.Int64
	leafs.dispatcher.OnPanic = func(any) { panics.Add(1) }
	leafs.dispatcher.AwaitRateLimit = func(context.Context, string, time.Time) (bool, time.Duration) {
		if panics.Load() == 0 {
			panic("broken rate limit")
		}
		return true, 0
	}
	started := time.Now()
	if reply := leafs.dispatch(routing.Route{TimeoutMs: 20000}); reply.Status == http.StatusOK {
		t.Error("the request whose attempt panicked has succeeded")
	}
	if waited := time.Since(started); waited > 10*time.Second {
		t.Errorf("it was answered after %v", waited)
	}
	if panics.Load() != 1 {
		t.Errorf("%d panics were told", panics.Load())
	}
	if reply := leafs.dispatch(routing.Route{}); reply.Status != http.StatusOK {
		t.Errorf("the next request is answered with %d", reply.Status)
	}
}
