package retrybudget

import (
	"testing"
	"time"
)

// TestBudgetHoldsOverAnyWindow: over any window the further attempts of all nodes
// stay within the ratio of the requests and the slack, whatever the order they
// come in.
func TestBudgetHoldsOverAnyWindow(t *testing.T) {
	const (
		nodes  = 4
		window = 10 * time.Second
		step   = 20 * time.Millisecond
		end    = 60 * time.Second
	)
	config := Config{Ratio: 0.2, Slack: 20, Window: window}
	start := time.Now()
	var budgets [nodes]*Budget
	for i := range budgets {
		budgets[i] = New(config, start)
		budgets[i].SetNodeCount(nodes)
	}
	var requests, attempts []time.Duration
	for at := time.Duration(0); at < end; at += step {
		budget := budgets[int(at/step)%nodes]
		now := start.Add(at)
		if at/time.Second%7 < 4 { // traffic with pauses
			budget.Deposit("s", now)
			requests = append(requests, at)
		}
		for range 3 {
			if budget.TryWithdraw("s", now, 0) {
				attempts = append(attempts, at)
			}
		}
	}
	if len(attempts) == 0 {
		t.Fatal("nothing was ever withdrawn")
	}
	count := func(list []time.Duration, from time.Duration) (n float64) {
		for _, at := range list {
			if at >= from && at < from+window {
				n++
			}
		}
		return n
	}
	for from := -window; from < end; from += 250 * time.Millisecond {
		most := 0.2*max(count(requests, from), count(requests, from-window), count(requests, from-window/2)) + 20
		if got := count(attempts, from); got > most {
			t.Fatalf("%v further attempts in the window from %v, at most %v", got, from, most)
		}
	}
	if fresh := New(config, start); fresh.TryWithdraw("s", start, 0) {
		t.Fatal("a node that has just started has slack")
	}
}

// TestWithdrawLeavesReserve: a withdrawal that leaves a reserve stops before one
// that leaves none, and services have budgets of their own.
func TestWithdrawLeavesReserve(t *testing.T) {
	start := time.Now()
	withdrawn := func(reserve float64) (n int) {
		budget := New(Config{Ratio: 0.5, Window: 10 * time.Second}, start)
		for range 100 {
			budget.Deposit("s", start)
		}
		for budget.TryWithdraw("s", start, reserve) {
			n++
		}
		if budget.TryWithdraw("other", start, 0) {
			t.Error("a service without requests has a budget")
		}
		return n
	}
	if got := withdrawn(0); got != 42 { // 0.85 of half of 100
		t.Errorf("%d withdrawn, want 42", got)
	}
	if got := withdrawn(0.6); got != 17 {
		t.Errorf("%d withdrawn with a reserve, want 17", got)
	}
}

// TestWindowDropsOldCounts: what is older than a window no longer counts, whether time goes
// on bucket by bucket or at once.
func TestWindowDropsOldCounts(t *testing.T) {
	for _, step := range []int64{1, 7, ringBuckets, 10 * ringBuckets} {
		window := &slidingWindow{}
		window.addRequest()
		window.addExtraAttempt()
		for bucket := step; ; bucket += step {
			window.advance(bucket)
			wantRequests, wantAttempts := 0.0, 0.0
			if bucket < windowBuckets {
				wantRequests = 1
			}
			if bucket <= windowBuckets {
				wantAttempts = 1
			}
			if window.requestCount() != wantRequests || window.extraAttemptCount() != wantAttempts {
				t.Errorf("step %d, bucket %d: %v requests and %v attempts, want %v and %v",
					step, bucket, window.requestCount(), window.extraAttemptCount(), wantRequests, wantAttempts)
			}
			if bucket > 3*ringBuckets {
				break
			}
		}
	}
}
