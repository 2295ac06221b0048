package retrybudget

import (
	"testing"
	"time"
)

// TestBudgetHoldsOverAnyWindow: over any window, the extra attempts of all nodes stay within
// the ratio of the requests plus the slack, also when traffic pauses and resumes. The slack of a
// node that has just started must not be available yet.
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
		t.Fatal("TryWithdraw never allowed an extra attempt")
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
			t.Fatalf("%v extra attempts in the window from %v, want at most %v", got, from, most)
		}
	}
	if fresh := New(config, start); fresh.TryWithdraw("s", start, 0) {
		t.Fatal("TryWithdraw allowed an extra attempt on a node that has just started, want no slack")
	}
}

// TestWithdrawLeavesReserve: a withdrawal with a reserve leaves that share of the budget
// unused, and each service has a separate budget.
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
			t.Error("TryWithdraw allowed an extra attempt at a service without requests")
		}
		return n
	}
	if got := withdrawn(0); got != 42 { // usableShare 0.85 of half of 100 requests
		t.Errorf("without a reserve, %d extra attempts were allowed, want 42", got)
	}
	if got := withdrawn(0.6); got != 17 {
		t.Errorf("with a reserve of 0.6, %d extra attempts were allowed, want 17", got)
	}
}

// TestWindowDropsOldCounts: counts older than a window are not included, whether the window
// advances bucket by bucket, skips buckets or skips the whole ring. A bucket of the ring that
// is not cleared would be counted again.
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
				t.Errorf("step %d, bucket %d: %v requests and %v extra attempts, want %v and %v",
					step, bucket, window.requestCount(), window.extraAttemptCount(), wantRequests, wantAttempts)
			}
			if bucket > 3*ringBuckets {
				break
			}
		}
	}
}
