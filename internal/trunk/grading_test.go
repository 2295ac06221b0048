package trunk

import (
	"fmt"
	"testing"

	"comethold/internal/event"
	"comethold/internal/feed"
)

func placeOf(node, zone string) Place {
	return Place{Node: node, Zone: zone, Region: func(z string) string { return z[:1] }}
}

// leafsOver makes a list of so many leafs, evenly over zones.
func leafsOver(zones []string, n int) map[string]feed.Leaf {
	out := map[string]feed.Leaf{}
	for i := range n {
		id := fmt.Sprint("leaf-", i)
		out[id] = feed.Leaf{ID: id, Service: "s", Addr: id, Zone: zones[i%len(zones)], Slots: 2}
	}
	return out
}

func TestGrading(t *testing.T) {
	zones := []string{"a1", "a2", "b1"}
	frames := func(nodes, limit, leafs int) []*Frame {
		var out []*Frame
		for i := range nodes {
			f := NewFrame(placeOf(fmt.Sprint("node-", i), zones[i%3]), nil, event.Nop())
			f.SetServices(map[string]int{"s": limit}, nil)
			f.SetNodes(nodes)
			f.SetList(leafsOver(zones, leafs))
			out = append(out, f)
		}
		return out
	}
	// A large group: near leafs first, all leafs used, no leaf by nearly all.
	users := map[string]int{}
	for i, f := range frames(60, 400, 120) {
		own := f.graded(f.groups["s"])
		if len(own) != gradeMost {
			t.Fatalf("node %d uses %d leafs", i, len(own))
		}
		for _, l := range own {
			users[l.leaf.Load().ID]++
			if l.leaf.Load().Zone != zones[i%3] {
				t.Errorf("node %d of %s uses %s of %s, with 40 leafs near", i, zones[i%3], l.leaf.Load().ID, l.leaf.Load().Zone)
			}
		}
	}
	if len(users) != 120 {
		t.Errorf("only %d of 120 leafs are used", len(users))
	}
	// A small group is used whole.
	if f := frames(1, 400, 12)[0]; len(f.graded(f.groups["s"])) != 12 {
		t.Error("a small group is cut")
	}
	// More nodes than a leaf takes connections: each node one, within the limit.
	users = map[string]int{}
	for _, f := range frames(90, 30, 30) {
		for _, l := range f.graded(f.groups["s"]) {
			if users[l.leaf.Load().ID]++; f.groups["s"].limit != 1 {
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
	marks := map[string]feed.Mark{}
	for id, tr := range f.byID {
		if tr.leaf.Load().Zone == "a1" && len(marks) < 30 {
			marks[id] = feed.Mark{Why: feed.WhySilent}
		}
	}
	f.SetMarks(marks)
	near := map[string]int{}
	for _, l := range f.graded(f.groups["s"]) {
		if _, drained := marks[l.leaf.Load().ID]; drained {
			t.Errorf("%s is drained and used", l.leaf.Load().ID)
		}
		near[l.leaf.Load().Zone]++
	}
	if near["a1"] != 10 || near["a2"] != gradeMost-10 {
		t.Errorf("used by zone: %v", near)
	}
	// With the whole part lost, any other leaf serves.
	for _, l := range f.graded(f.groups["s"]) {
		l.active = f.room(l)
	}
	if f.Seize("s", nil, false) == nil {
		t.Error("nothing is used when the own part is full")
	}
}
