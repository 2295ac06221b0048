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

// TestHedgedState: only a sent attempt becomes hedged. A hedge that is decided while the attempt ends must not
// overwrite the attempt's final state.
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
			t.Errorf("markHedged changed state %d to %d, want %d", before, a.currentState(), want)
		}
	}
}

// TestShardAttempts: a shard counts its attempts, lists the endpoints it tried and refers to its newest attempt. The
// first attempt is stored in the shard itself, so the second one must not overwrite it.
func TestShardAttempts(t *testing.T) {
	s := &shard{}
	if !s.isOpen() || !s.isIdle() || s.mayHaveExecuted() {
		t.Error("a new shard must be open and idle, and must not count as possibly executed")
	}
	first, second := &upstream.Endpoint{}, &upstream.Endpoint{}
	now := time.Now()
	s.addAttempt(first, now)
	older := s.newest
	s.addAttempt(second, now.Add(time.Second))
	if s.newest == older || s.newest.endpoint != second || older.endpoint != first {
		t.Error("after two attempts, the newest must be at the second endpoint and the older one at the first")
	}
	if s.isIdle() || s.pendingAttempts != 2 || s.sentAttempts != 2 || len(s.triedEndpoints) != 2 {
		t.Errorf("after two attempts: %d pending, %d sent, %d endpoints tried, want 2 of each, and not idle",
			s.pendingAttempts, s.sentAttempts, len(s.triedEndpoints))
	}
}

// TestReplicaPair: the responses of two different replicas form exactly one pair, with the slower one first, whatever
// the order in which they arrive.
func TestReplicaPair(t *testing.T) {
	sample := func(endpoint string, latency time.Duration) latencyestimate.Sample {
		return latencyestimate.Sample{Key: latencyestimate.Key{Endpoint: endpoint}, Duration: latency}
	}
	for _, firstLatency := range []time.Duration{1, 3} {
		pair := &replicaPair{}
		if _, ok := pair.add(sample("a", firstLatency), []byte("a")); ok {
			t.Error("add returned a pair after a single response")
		}
		if _, ok := pair.add(sample("a", 2), []byte("a")); ok {
			t.Error("add returned a pair for two responses of the same replica")
		}
		got, ok := pair.add(sample("b", 2), []byte("b"))
		slower, faster := "a", "b"
		if firstLatency < 2 {
			slower, faster = faster, slower
		}
		if !ok || got.First.Key.Endpoint != slower || got.Second.Key.Endpoint != faster ||
			string(got.FirstBody) != slower || string(got.SecondBody) != faster {
			t.Errorf("first replica took %v: add returned %v and %+v, want a pair with the slower replica first",
				firstLatency, ok, got)
		}
		if _, ok := pair.add(sample("c", 2), nil); ok {
			t.Error("add returned a second pair for a third replica")
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
		t.Error("the request whose attempt panicked got status 200, want a failure")
	}
	if waited := time.Since(started); waited > 10*time.Second {
		t.Errorf("the reply to the request whose attempt panicked took %v, want at most 10s", waited)
	}
	if panics.Load() != 1 {
		t.Errorf("OnPanic was called %d times, want 1", panics.Load())
	}
	if reply := leafs.dispatch(routing.Route{}); reply.Status != http.StatusOK {
		t.Errorf("the next request got status %d, want 200", reply.Status)
	}
}
