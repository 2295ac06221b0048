package upstream

import (
	"fmt"
	"testing"

	"comethold/internal/distribution"
	"comethold/internal/logging"
)

func testLocality(node, zone string) Locality {
	return Locality{Node: node, Zone: zone, RegionOf: func(z string) string { return z[:1] }}
}

// leafsAcrossZones makes a list of so many leafs, evenly over zones.
func leafsAcrossZones(zones []string, n int) map[string]distribution.Endpoint {
	out := map[string]distribution.Endpoint{}
	for i := range n {
		id := fmt.Sprint("leaf-", i)
		out[id] = distribution.Endpoint{ID: id, Service: "s", Addr: id, Zone: zones[i%len(zones)], Slots: 2}
	}
	return out
}

func TestSubset(t *testing.T) {
	zones := []string{"a1", "a2", "b1"}
	frames := func(nodes, limit, leafs int) []*ClusterManager {
		var out []*ClusterManager
		for i := range nodes {
			f := NewClusterManager(testLocality(fmt.Sprint("node-", i), zones[i%3]), nil, logging.Nop())
			f.SetServices(map[string]int{"s": limit}, nil)
			f.SetNodeCount(nodes)
			f.SetEndpoints(leafsAcrossZones(zones, leafs))
			out = append(out, f)
		}
		return out
	}
	// A large group: near leafs first, all leafs used, no leaf by nearly all.
	users := map[string]int{}
	for i, f := range frames(60, 400, 120) {
		own := f.subset(f.clusters["s"])
		if len(own) != maxSubsetSize {
			t.Fatalf("node %d uses %d leafs", i, len(own))
		}
		for _, l := range own {
			users[l.info.Load().ID]++
			if l.info.Load().Zone != zones[i%3] {
				t.Errorf("node %d of %s uses %s of %s, with 40 leafs near", i, zones[i%3], l.info.Load().ID, l.info.Load().Zone)
			}
		}
	}
	if len(users) != 120 {
		t.Errorf("only %d of 120 leafs are used", len(users))
	}
	// A small group is used whole.
	if f := frames(1, 400, 12)[0]; len(f.subset(f.clusters["s"])) != 12 {
		t.Error("a small group is cut")
	}
	// More nodes than a leaf takes connections: each node one, within the limit.
	users = map[string]int{}
	for _, f := range frames(90, 30, 30) {
		for _, l := range f.subset(f.clusters["s"]) {
			if users[l.info.Load().ID]++; f.clusters["s"].connectionLimit != 1 {
				t.Fatal("a node may open more than one connection to a leaf")
			}
		}
	}
	for id, n := range users {
		if n > 30 {
			t.Errorf("%s is used by %d nodes and takes 30 connections", id, n)
		}
	}
	// Marks widen it: what is drained leaves its place to the next in order, and
	// when the zone has too few left the region is used.
	f := frames(1, 400, 120)[0]
	marks := map[string]distribution.EjectionMark{}
	for id, tr := range f.endpoints {
		if tr.info.Load().Zone == "a1" && len(marks) < 30 {
			marks[id] = distribution.EjectionMark{Reason: distribution.ReasonUnresponsive}
		}
	}
	f.SetFleetEjections(marks)
	near := map[string]int{}
	for _, l := range f.subset(f.clusters["s"]) {
		if _, drained := marks[l.info.Load().ID]; drained {
			t.Errorf("%s is drained and used", l.info.Load().ID)
		}
		near[l.info.Load().Zone]++
	}
	if near["a1"] != 10 || near["a2"] != maxSubsetSize-10 {
		t.Errorf("used by zone: %v", near)
	}
	// With the whole part lost, any other leaf serves.
	for _, l := range f.subset(f.clusters["s"]) {
		l.activeCalls = f.maxActiveCalls(l)
	}
	if f.Reserve("s", nil, false) == nil {
		t.Error("nothing is used when the own part is full")
	}
}
