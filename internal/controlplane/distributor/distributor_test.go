package distributor

import (
	"fmt"
	"sort"
	"strconv"
	"testing"
	"time"

	"comethold/internal/distribution"
)

// TestNodeDeltas: whatever a node holds, what it is sent brings it to the node list of the
// distributor.
func TestNodeDeltas(t *testing.T) {
	d := New(Options{})
	holders := []map[string]distribution.Node{{}, {}, {}}
	held := []uint64{0, 0, 0}
	for logIndex := uint64(1); logIndex < 60; logIndex++ {
		var all []distribution.Node
		for n := range uint64(8) {
			if (logIndex*7+n*n)%5 != 0 {
				all = append(all, distribution.Node{Name: fmt.Sprint("n", n), Zone: "z", Down: (logIndex+n)%4 == 0})
			}
		}
		d.nodes.publishedAt = time.Time{}
		d.SetNodes(logIndex, all)
		for i := range holders {
			if logIndex%uint64(i+1) != 0 {
				continue
			}
			update := d.Changes(&distribution.UpdateRequest{
				Node: distribution.Node{Zone: "z"},
				Held: distribution.HeldVersions{NodesIndex: held[i]},
			}).Nodes
			if update != nil {
				name := func(n distribution.Node) string { return n.Name }
				holders[i] = distribution.ApplyChanges(holders[i], update.Nodes, update.Removed, update.Delta, name)
				held[i] = update.LogIndex
			}
			var want, got []string
			for _, n := range all {
				want = append(want, fmt.Sprint(n))
			}
			for _, n := range holders[i] {
				got = append(got, fmt.Sprint(n))
			}
			sort.Strings(want)
			sort.Strings(got)
			if fmt.Sprint(want) != fmt.Sprint(got) {
				t.Fatalf("holder %d at %d: %v, not %v", i, logIndex, got, want)
			}
		}
	}
}

// markChanges are the changes that a node gets of the ejection marks.
func markChanges(d *Distributor, held distribution.HeldVersions) distribution.Update {
	return d.Changes(&distribution.UpdateRequest{Held: held})
}

func setMarks(d *Distributor, indexName string, logIndex uint64, endpoints ...string) {
	marks := distribution.EjectionMarks{
		IndexName: indexName,
		LogIndex:  logIndex,
		Ejected:   map[string]distribution.EjectionMark{},
	}
	for _, endpoint := range endpoints {
		marks.Ejected[endpoint] = distribution.EjectionMark{Reason: distribution.ReasonUnresponsive}
	}
	d.SetMarks(marks)
}

func heldDigest(logIndexes map[string]uint64) distribution.HeldVersions {
	return distribution.HeldVersions{MarksDigest: distribution.MarksDigest(logIndexes)}
}

func heldIndexes(logIndexes map[string]uint64) distribution.HeldVersions {
	held := heldDigest(logIndexes)
	held.MarkIndexes = logIndexes
	return held
}

// TestMarkDigests: whatever a node's digest stands for, be it known here or not, it gets what
// it lacks and no more, and a node that lacks nothing is not answered at once again and again.
func TestMarkDigests(t *testing.T) {
	d := New(Options{})
	setMarks(d, "a", 1)
	setMarks(d, "b", 1, "x")
	if u := markChanges(d, distribution.HeldVersions{}); len(u.EjectionMarks) != 2 {
		t.Errorf("a newcomer gets %v", u)
	}
	both := map[string]uint64{"a": 1, "b": 1}
	if u := markChanges(d, heldDigest(both)); !u.Empty() {
		t.Errorf("a node that holds all gets %v", u)
	}
	setMarks(d, "b", 5, "x", "y")
	u := markChanges(d, heldDigest(both))
	if len(u.EjectionMarks) != 1 || u.EjectionMarks[0].LogIndex != 5 || u.NeedMarkIndexes {
		t.Errorf("a node that holds the marks before gets %v", u)
	}
	// From another control node, newer in one index and older in the other.
	foreign := map[string]uint64{"a": 9, "b": 2}
	if u := markChanges(d, heldDigest(foreign)); !u.NeedMarkIndexes || u.Empty() || len(u.EjectionMarks) > 0 {
		t.Errorf("an unknown digest gets %v", u)
	}
	if u := markChanges(d, heldIndexes(foreign)); len(u.EjectionMarks) != 1 || u.EjectionMarks[0].IndexName != "b" {
		t.Errorf("a node that names its log indexes gets %v", u)
	}
	ahead := map[string]uint64{"a": 9, "b": 9}
	if u := markChanges(d, heldIndexes(ahead)); !u.Empty() {
		t.Errorf("a node that is ahead gets %v", u)
	}
	if u := markChanges(d, heldDigest(ahead)); !u.Empty() {
		t.Errorf("a node that is ahead, by its digest, gets %v", u)
	}
	d.DropMarks("b")
	if u := markChanges(d, heldDigest(ahead)); len(u.RemovedIndexes) != 1 || len(u.EjectionMarks) != 0 {
		t.Errorf("an index is removed: %v", u)
	}
	for i := range uint64(3 * maxMarkDigests) {
		setMarks(d, "a", 10+i, "z", strconv.FormatUint(i, 10))
	}
	if digests := &d.marks.digests; len(digests.logIndexes) > maxMarkDigests || len(digests.order) > maxMarkDigests {
		t.Errorf("%d digests are known", len(digests.logIndexes))
	}
}

// TestUpdateKey guards against nodes of one zone that get the update of another.
func TestUpdateKey(t *testing.T) {
	key := func(zone string, version uint64) string {
		return updateKey(&distribution.UpdateRequest{
			Node: distribution.Node{Zone: zone},
			Held: distribution.HeldVersions{ConfigVersion: version},
		}, false)
	}
	if key("z1", 12) == key("z11", 2) {
		t.Errorf("zone z1 with version 12 and zone z11 with version 2 have the key %s", key("z1", 12))
	}
	if first, second := key("z1", 12), key("z1", 12); first != second {
		t.Errorf("the same callers have the keys %s and %s", first, second)
	}
}
