package latency

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"comethold/internal/distribution"
	"comethold/internal/latencyestimate"
)

var errUnreachable = errors.New("unreachable")

// fakeNodes holds the slow lookups of the reachable data plane nodes by address.
type fakeNodes map[string][]latencyestimate.SlowLookup

func (n fakeNodes) Call(_ context.Context, address, _ string, _, out any) error {
	slow, reachable := n[address]
	snapshot, ok := out.(*latencyestimate.Snapshot)
	if !reachable || !ok {
		return errUnreachable
	}
	snapshot.SlowLookups = slow
	return nil
}

// TestCollectQueriesLiveDataPlaneNodes: only data plane nodes that are not down are asked, in one zone
// or in all zones. Slow lookups are sorted by time.
func TestCollectQueriesLiveDataPlaneNodes(t *testing.T) {
	now := time.Now()
	lookup := func(age time.Duration) latencyestimate.SlowLookup {
		return latencyestimate.SlowLookup{At: now.Add(-age)}
	}
	fakes := fakeNodes{
		"10.0.0.1:7121": {lookup(time.Second), lookup(time.Minute)},
		"10.0.0.2:7121": {lookup(10 * time.Second)},
		"10.0.0.9:7121": {lookup(0)},
	}
	nodes := map[string]distribution.Node{
		"a":           {Addr: "10.0.0.1", Zone: "x"},
		"b":           {Addr: "10.0.0.2", Zone: "y"},
		"unreachable": {Addr: "10.0.0.3", Zone: "y"},
		"down":        {Addr: "10.0.0.9", Zone: "x", Down: true},
		"control":     {Addr: "10.0.0.9", Zone: "x", ControlPlane: true},
	}
	list := func() map[string]distribution.Node { return nodes }
	collector := NewCollector(list, 7121, fakes)

	all := collector.CollectAll(t.Context(), distribution.EstimatesRequest{})
	if all.Nodes != 2 || all.Unanswered != 1 || len(all.Slow) != 3 {
		t.Errorf("CollectAll: %d nodes, %d unanswered, %d slow; want 2, 1, 3", all.Nodes, all.Unanswered, len(all.Slow))
	}
	if got := ages(now, all.Slow); got != "[1m0s 10s 1s]" {
		t.Errorf("slow lookups have ages %s, want [1m0s 10s 1s]", got)
	}
	all.KeepRecent(30 * time.Second)
	if got := ages(now, all.Slow); got != "[10s 1s]" {
		t.Errorf("after KeepRecent(30s) slow lookups have ages %s, want [10s 1s]", got)
	}
	if zone := collector.CollectZone(t.Context(), "y"); zone.Nodes != 1 || zone.Unanswered != 1 {
		t.Errorf("CollectZone returned %d nodes, %d unanswered; want 1, 1", zone.Nodes, zone.Unanswered)
	}
}

// ages formats the ages of slow lookups.
func ages(now time.Time, slow []latencyestimate.SlowLookup) string {
	var list []time.Duration
	for _, lookup := range slow {
		list = append(list, now.Sub(lookup.At))
	}
	return fmt.Sprint(list)
}
