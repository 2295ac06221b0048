package distribution

import "testing"

// TestEndpointListAppliesTo: a full list replaces an older one or none, and changes apply to
// their base alone.
func TestEndpointListAppliesTo(t *testing.T) {
	revision := func(term, sequence uint64) Revision { return Revision{Term: term, Sequence: sequence} }
	full := &EndpointList{Revision: revision(2, 5)}
	delta := &EndpointList{Revision: revision(2, 5), Delta: true, Base: revision(2, 3)}
	backwards := &EndpointList{Revision: revision(2, 3), Delta: true, Base: revision(2, 5)}
	for _, c := range []struct {
		situation string
		list      *EndpointList
		held      Revision
		hasList   bool
		want      bool
	}{
		{"full, nothing held", full, Revision{}, false, true},
		{"full, an older sequence held", full, revision(2, 4), true, true},
		{"full, an older term held", full, revision(1, 9), true, true},
		{"full, the same held", full, revision(2, 5), true, false},
		{"full, a newer term held", full, revision(3, 1), true, false},
		{"changes, their base held", delta, revision(2, 3), true, true},
		{"changes, another one held", delta, revision(2, 4), true, false},
		{"changes, nothing held", delta, revision(2, 3), false, false},
		{"changes to an older revision", backwards, revision(2, 5), true, false},
	} {
		if got := c.list.AppliesTo(c.held, c.hasList); got != c.want {
			t.Errorf("%s: got %v, want %v", c.situation, got, c.want)
		}
	}
}

// TestNodeListAppliesTo: a full directory replaces an older one, and changes apply to their
// base alone.
func TestNodeListAppliesTo(t *testing.T) {
	full := &NodeList{LogIndex: 9}
	delta := &NodeList{LogIndex: 9, Delta: true, Base: 7}
	for _, c := range []struct {
		situation string
		list      *NodeList
		held      uint64
		want      bool
	}{
		{"full, nothing held", full, 0, true},
		{"full, the same held", full, 9, false},
		{"full, a newer one held", full, 10, false},
		{"changes, their base held", delta, 7, true},
		{"changes, an older one held", delta, 6, false},
		{"changes, the same held", delta, 9, false},
	} {
		if got := c.list.AppliesTo(c.held); got != c.want {
			t.Errorf("%s: got %v, want %v", c.situation, got, c.want)
		}
	}
}

// TestMarksDigest: equal marks have equal digests, and each log index counts.
func TestMarksDigest(t *testing.T) {
	if got := MarksDigest(nil); got != 0 {
		t.Errorf("the digest of no marks is %d, want 0", got)
	}
	digest := MarksDigest(map[string]uint64{"a": 1, "b": 2})
	if got := MarksDigest(map[string]uint64{"b": 2, "a": 1}); got != digest {
		t.Errorf("equal marks have the digests %d and %d", got, digest)
	}
	for _, other := range []map[string]uint64{{"a": 1}, {"a": 2, "b": 1}, {"a": 1, "b": 3}, {"a": 1, "c": 2}} {
		if MarksDigest(other) == digest {
			t.Errorf("%v has the digest of other marks", other)
		}
	}
}

// TestRequestNumbers: a request is stale after a newer one of the same incarnation, and never
// by one of another incarnation.
func TestRequestNumbers(t *testing.T) {
	number := NewRequestNumber()
	first := number.Next()
	second := number.Next()
	if !first.IsStale(second) {
		t.Error("the first request is not stale after the second")
	}
	if second.IsStale(first) || second.IsStale(second) {
		t.Error("the second request is stale without a newer one")
	}
	other := RequestNumber{Incarnation: first.Incarnation + 1, Sequence: 99}
	if first.IsStale(other) {
		t.Error("a request is stale by one of another incarnation")
	}
}
