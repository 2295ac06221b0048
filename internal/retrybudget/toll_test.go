package retrybudget

import (
	"testing"
	"time"
)

// TestBudgetHoldsOverAnyWindow: over any window the extras of all nodes stay within the ratio of the
// requests and the slack, whatever the order they come in.
func TestBudgetHoldsOverAnyWindow(t *testing.T) {
	const nodes, window = 4, 10 * time.Second
	terms := Config{Ratio: 0.2, Slack: 20, Window: window}
	start := time.Now()
	var all [nodes]*Budget
	for i := range all {
		all[i] = New(terms, start)
		all[i].SetNodeCount(nodes)
	}
	var requests, extras []time.Duration
	for at := time.Duration(0); at < 60*time.Second; at += 20 * time.Millisecond {
		node := all[int(at/(20*time.Millisecond))%nodes]
		now := start.Add(at)
		if at/time.Second%7 < 4 { // traffic with pauses
			node.Deposit("s", now)
			requests = append(requests, at)
		}
		for range 3 {
			if node.TryWithdraw("s", now, 0) {
				extras = append(extras, at)
			}
		}
	}
	if len(extras) == 0 {
		t.Fatal("nothing was ever paid")
	}
	count := func(list []time.Duration, from time.Duration) (n float64) {
		for _, at := range list {
			if at >= from && at < from+window {
				n++
			}
		}
		return n
	}
	for from := -window; from < 60*time.Second; from += 250 * time.Millisecond {
		reqs := max(count(requests, from), count(requests, from-window), count(requests, from-window/2))
		if got, most := count(extras, from), 0.2*reqs+20; got > most {
			t.Fatalf("%v extras in the window from %v, at most %v", got, from, most)
		}
	}
	if fresh := New(terms, start); fresh.TryWithdraw("s", start, 0) {
		t.Fatal("a node that has just started has slack")
	}
}
