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

// fakeNodes are data plane nodes that know some slow lookups, by address.
type fakeNodes map[string][]latencyestimate.SlowLookup

func (n fakeNodes) Call(_ context.Context, address, _ string, _, out any) error {
	slow, answers := n[address]
	snapshot, ok := out.(*latencyestimate.Snapshot)
	if !answers || !ok {
		return errUnreachable
	}
	snapshot.SlowLookups = slow
	return nil
}

// TestCollectAsksServingNodes: data plane nodes are asked that are not down, in one zone or
// in all; slow lookups are in the order of their times.
func TestCollectAsksServingNodes(t *testing.T) {
	now := time.Now()
	lookup := func(age time.Duration) latencyestimate.SlowLookup {
		return latencyestimate.SlowLookup{At: now.Add(-age)}
	}
	answers := fakeNodes{
		"10.0.0.1:7121": {lookup(time.Second), lookup(time.Minute)},
		"10.0.0.2:7121": {lookup(10 * time.Second)},
		"10.0.0.9:7121": {lookup(0)},
	}
	nodes := map[string]distribution.Node{
		"a":       {Addr: "10.0.0.1", Zone: "x"},
		"b":       {Addr: "10.0.0.2", Zone: "y"},
		"silent":  {Addr: "10.0.0.3", Zone: "y"},
		"down":    {Addr: "10.0.0.9", Zone: "x", Down: true},
		"control": {Addr: "10.0.0.9", Zone: "x", ControlPlane: true},
	}
	list := func() map[string]distribution.Node { return nodes }
	collector := NewCollector(list, 7121, answers)

	all := collector.CollectAll(t.Context(), distribution.EstimatesRequest{})
	if all.Nodes != 2 || all.Unanswered != 1 || len(all.Slow) != 3 {
		t.Errorf("of all: %d nodes, %d unanswered, %d slow", all.Nodes, all.Unanswered, len(all.Slow))
	}
	if got := ages(now, all.Slow); got != "[1m0s 10s 1s]" {
		t.Errorf("the ages are %s", got)
	}
	all.KeepRecent(30 * time.Second)
	if got := ages(now, all.Slow); got != "[10s 1s]" {
		t.Errorf("the recent ages are %s", got)
	}
	if zone := collector.CollectZone(t.Context(), "y"); zone.Nodes != 1 || zone.Unanswered != 1 {
		t.Errorf("of a zone: %d nodes, %d unanswered", zone.Nodes, zone.Unanswered)
	}
}

func ages(now time.Time, slow []latencyestimate.SlowLookup) string {
	var list []time.Duration
	for _, lookup := range slow {
		list = append(list, now.Sub(lookup.At))
	}
	return fmt.Sprint(list)
}
