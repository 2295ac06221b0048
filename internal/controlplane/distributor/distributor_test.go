package distributor

import (
	"fmt"
	"sort"
	"strconv"
	"testing"
	"time"

	"comethold/internal/distribution"
)

// TestNodeDeltas: after it applies an update, a node has the node list of the distributor, also
// if it skipped revisions before. A wrong delta would leave outdated nodes in its list.
func TestNodeDeltas(t *testing.T) {
	d := New(Options{})
	receivers := []map[string]distribution.Node{{}, {}, {}}
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
		for i := range receivers {
			if logIndex%uint64(i+1) != 0 {
				continue
			}
			update := d.Changes(&distribution.UpdateRequest{
				Node: distribution.Node{Zone: "z"},
				Held: distribution.HeldVersions{NodesIndex: held[i]},
			}).Nodes
			if update != nil {
				name := func(n distribution.Node) string { return n.Name }
				receivers[i] = distribution.ApplyChanges(receivers[i], update.Nodes, update.Removed, update.Delta, name)
				held[i] = update.LogIndex
			}
			var want, got []string
			for _, n := range all {
				want = append(want, fmt.Sprint(n))
			}
			for _, n := range receivers[i] {
				got = append(got, fmt.Sprint(n))
			}
			sort.Strings(want)
			sort.Strings(got)
			if fmt.Sprint(want) != fmt.Sprint(got) {
				t.Fatalf("node list of receiver %d at log index %d: %v, want %v", i, logIndex, got, want)
			}
		}
	}
}

// markChanges returns the update for a node that holds the versions held.
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
	held.MarkLogIndexes = logIndexes
	return held
}

// TestMarkDigests: a node receives exactly the marks that it lacks, whether or not its digest is
// known to the distributor. A node that lacks no marks receives an empty update; otherwise its
// long polls would be answered at once in a busy loop.
func TestMarkDigests(t *testing.T) {
	d := New(Options{})
	setMarks(d, "a", 1)
	setMarks(d, "b", 1, "x")
	if u := markChanges(d, distribution.HeldVersions{}); len(u.EjectionMarks) != 2 {
		t.Errorf("update for a node without marks: %v, want 2 indexes", u)
	}
	both := map[string]uint64{"a": 1, "b": 1}
	if u := markChanges(d, heldDigest(both)); !u.Empty() {
		t.Errorf("update for a node that holds all marks: %v, want it empty", u)
	}
	setMarks(d, "b", 5, "x", "y")
	u := markChanges(d, heldDigest(both))
	if len(u.EjectionMarks) != 1 || u.EjectionMarks[0].LogIndex != 5 || u.NeedMarkLogIndexes {
		t.Errorf("update for a node that holds the previous marks: %v, want only those at log index 5", u)
	}
	// The marks are from another control node: newer in one index and older in the other.
	mixed := map[string]uint64{"a": 9, "b": 2}
	if u := markChanges(d, heldDigest(mixed)); !u.NeedMarkLogIndexes || u.Empty() || len(u.EjectionMarks) > 0 {
		t.Errorf("update for an unknown digest: %v, want NeedMarkLogIndexes and no marks", u)
	}
	if u := markChanges(d, heldIndexes(mixed)); len(u.EjectionMarks) != 1 || u.EjectionMarks[0].IndexName != "b" {
		t.Errorf("update for a node that sends its log indexes: %v, want only the marks of b", u)
	}
	newer := map[string]uint64{"a": 9, "b": 9}
	if u := markChanges(d, heldIndexes(newer)); !u.Empty() {
		t.Errorf("update for the log indexes of a node with newer marks: %v, want it empty", u)
	}
	if u := markChanges(d, heldDigest(newer)); !u.Empty() {
		t.Errorf("update for the digest of a node with newer marks: %v, want it empty", u)
	}
	d.DropMarks("b")
	if u := markChanges(d, heldDigest(newer)); len(u.RemovedSearchIndexes) != 1 || len(u.EjectionMarks) != 0 {
		t.Errorf("update after the marks of b were dropped: %v, want one removed index and no marks", u)
	}
	for i := range uint64(3 * maxMarkDigests) {
		setMarks(d, "a", 10+i, "z", strconv.FormatUint(i, 10))
	}
	if digests := &d.marks.digests; len(digests.logIndexes) > maxMarkDigests || len(digests.order) > maxMarkDigests {
		t.Errorf("markDigests has %d digests, want at most maxMarkDigests in logIndexes and order", len(digests.logIndexes))
	}
}

// TestUpdateKey guards against a cached update for one zone that is sent to nodes of another. This
// happens if the zone and the version are joined without a separator in the key.
func TestUpdateKey(t *testing.T) {
	key := func(zone string, version uint64) string {
		return updateKey(&distribution.UpdateRequest{
			Node: distribution.Node{Zone: zone},
			Held: distribution.HeldVersions{ConfigVersion: version},
		}, false)
	}
	if key("z1", 12) == key("z11", 2) {
		t.Errorf("zone z1 with version 12 and zone z11 with version 2 have the same key %s", key("z1", 12))
	}
	if first, second := key("z1", 12), key("z1", 12); first != second {
		t.Errorf("equal requests have the keys %s and %s, want equal keys", first, second)
	}
}
