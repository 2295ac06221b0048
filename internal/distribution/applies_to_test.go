package distribution

import "testing"

// TestEndpointListAppliesTo: a full list replaces an older list or none, and changes apply only
// to their base revision. Guards against a receiver that applies a late or repeated message.
func TestEndpointListAppliesTo(t *testing.T) {
	revision := func(term, sequence uint64) Revision { return Revision{Term: term, Sequence: sequence} }
	full := &EndpointList{Revision: revision(2, 5)}
	delta := &EndpointList{Revision: revision(2, 5), Delta: true, Base: revision(2, 3)}
	backwards := &EndpointList{Revision: revision(2, 3), Delta: true, Base: revision(2, 5)}
	for _, c := range []struct {
		name    string
		list    *EndpointList
		held    Revision
		hasList bool
		want    bool
	}{
		{"full list, no list held", full, Revision{}, false, true},
		{"full list, older sequence held", full, revision(2, 4), true, true},
		{"full list, older term held", full, revision(1, 9), true, true},
		{"full list, same revision held", full, revision(2, 5), true, false},
		{"full list, newer term held", full, revision(3, 1), true, false},
		{"changes, base revision held", delta, revision(2, 3), true, true},
		{"changes, other revision held", delta, revision(2, 4), true, false},
		{"changes, no list held", delta, revision(2, 3), false, false},
		{"changes to an older revision", backwards, revision(2, 5), true, false},
	} {
		if got := c.list.AppliesTo(c.held, c.hasList); got != c.want {
			t.Errorf("%s: AppliesTo returned %v, want %v", c.name, got, c.want)
		}
	}
}

// TestNodeListAppliesTo: a full directory replaces an older one, and changes apply only to
// their base. Guards against a receiver that applies a late or repeated message.
func TestNodeListAppliesTo(t *testing.T) {
	full := &NodeList{LogIndex: 9}
	delta := &NodeList{LogIndex: 9, Delta: true, Base: 7}
	for _, c := range []struct {
		name string
		list *NodeList
		held uint64
		want bool
	}{
		{"full directory, none held", full, 0, true},
		{"full directory, same log index held", full, 9, false},
		{"full directory, newer log index held", full, 10, false},
		{"changes, base held", delta, 7, true},
		{"changes, older log index held", delta, 6, false},
		{"changes, same log index held", delta, 9, false},
	} {
		if got := c.list.AppliesTo(c.held); got != c.want {
			t.Errorf("%s: AppliesTo returned %v, want %v", c.name, got, c.want)
		}
	}
}

// TestMarksDigest: equal log indexes have equal digests, and a different log index of any search
// index gives a different digest.
func TestMarksDigest(t *testing.T) {
	if got := MarksDigest(nil); got != 0 {
		t.Errorf("MarksDigest of no marks returned %d, want 0", got)
	}
	digest := MarksDigest(map[string]uint64{"a": 1, "b": 2})
	if got := MarksDigest(map[string]uint64{"b": 2, "a": 1}); got != digest {
		t.Errorf("MarksDigest of equal marks returned %d and %d, want equal digests", got, digest)
	}
	for _, other := range []map[string]uint64{{"a": 1}, {"a": 2, "b": 1}, {"a": 1, "b": 3}, {"a": 1, "c": 2}} {
		if MarksDigest(other) == digest {
			t.Errorf("MarksDigest(%v) returned the digest of different marks, want another digest", other)
		}
	}
}

// TestRequestNumberIsStale: a request is stale only after a newer request of the same incarnation
// was committed. Requests of other incarnations don't make it stale.
func TestRequestNumberIsStale(t *testing.T) {
	number := NewRequestNumber()
	first := number.Next()
	second := number.Next()
	if !first.IsStale(second) {
		t.Error("IsStale returned false for the first request after the second was committed, want true")
	}
	if second.IsStale(first) || second.IsStale(second) {
		t.Error("IsStale returned true for the second request although no newer one was committed, want false")
	}
	other := RequestNumber{Incarnation: first.Incarnation + 1, Sequence: 99}
	if first.IsStale(other) {
		t.Error("IsStale returned true after a request of another incarnation was committed, want false")
	}
}
