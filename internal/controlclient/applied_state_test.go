package controlclient

import (
	"testing"
	"time"

	"comethold/internal/distribution"
	"comethold/internal/logging"
	"comethold/internal/retrybudget"
	"comethold/internal/routing"
	"comethold/internal/upstream"
)

func newTestState() *appliedState {
	upstreams := upstream.NewClusterManager(upstream.Locality{Node: "n"}, nil, logging.Nop())
	return newAppliedState(logging.Nop(), upstreams, retrybudget.New(retrybudget.Config{}, time.Now()))
}

// testUpdate is an update with each part that nodes pass on to one another.
func testUpdate() *distribution.Update {
	return &distribution.Update{
		Config:    distribution.FullConfig(&routing.Configuration{Version: 7}),
		Endpoints: &distribution.EndpointList{Revision: distribution.Revision{Term: 1, Sequence: 4}},
		EjectionMarks: []distribution.EjectionMarks{{
			IndexName: "ix",
			LogIndex:  12,
			Ejected:   map[string]distribution.EjectionMark{"l1": {Reason: distribution.ReasonUnresponsive}},
		}},
		Nodes: &distribution.NodeList{
			LogIndex:       20,
			Nodes:          []distribution.Node{{Name: "n1", Zone: "a"}},
			DataPlaneCount: 3,
		},
		Purges: &distribution.PurgeUpdate{
			LogIndex: 31,
			Purges:   []distribution.Purge{{LogIndex: 30, Host: "h", Path: "/a"}, {LogIndex: 31, Label: "l"}},
		},
	}
}

// TestUpdateForPeers: a node passes on what another one lacks, the directory of nodes within
// its zone alone, and nothing to one that holds the same.
func TestUpdateForPeers(t *testing.T) {
	sender := newTestState()
	sender.apply(testUpdate())
	for _, c := range []struct {
		situation string
		sameZone  bool
		nodes     uint64
	}{
		{"a node of the same zone", true, 20},
		{"a node of another zone", false, 0},
	} {
		receiver := newTestState()
		receiver.apply(sender.updateFor(receiver.heldVersions(), c.sameZone))
		held := receiver.heldVersions()
		want := sender.heldVersions()
		if held.ConfigVersion != want.ConfigVersion || held.EndpointRevision != want.EndpointRevision ||
			held.PurgeIndex != want.PurgeIndex || held.MarksDigest != want.MarksDigest {
			t.Errorf("%s holds %+v, the sender %+v", c.situation, held, want)
		}
		if held.NodesIndex != c.nodes {
			t.Errorf("%s holds the directory at %d, want %d", c.situation, held.NodesIndex, c.nodes)
		}
		if receiver.confirmed.Load() {
			t.Errorf("%s is confirmed by a node that is no control node", c.situation)
		}
		held.MarkLogIndexes = map[string]uint64{"ix": 12}
		if again := sender.updateFor(held, false); !again.Empty() {
			t.Errorf("%s gets what it holds: %+v", c.situation, again)
		}
	}
}

// TestAppliedStateKeepsNewest: an older update changes nothing.
func TestAppliedStateKeepsNewest(t *testing.T) {
	s := newTestState()
	s.apply(testUpdate())
	want := s.heldVersions()
	s.apply(&distribution.Update{
		Config:        distribution.FullConfig(&routing.Configuration{Version: 6}),
		Endpoints:     &distribution.EndpointList{Revision: distribution.Revision{Term: 1, Sequence: 3}},
		EjectionMarks: []distribution.EjectionMarks{{IndexName: "ix", LogIndex: 11}},
		Nodes:         &distribution.NodeList{LogIndex: 19, DataPlaneCount: 9},
		Purges:        &distribution.PurgeUpdate{LogIndex: 29},
	})
	got := s.heldVersions()
	if got.ConfigVersion != want.ConfigVersion || got.EndpointRevision != want.EndpointRevision ||
		got.MarksDigest != want.MarksDigest || got.NodesIndex != want.NodesIndex ||
		got.DataPlaneCount != want.DataPlaneCount || got.PurgeIndex != want.PurgeIndex {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// TestPurgedSince: a purge is found by those who read before it, and purges that are
// forgotten count as a match.
func TestPurgedSince(t *testing.T) {
	s := newTestState()
	s.apply(testUpdate())
	ofPathA := func(p distribution.Purge) bool { return p.Path == "/a" }
	if !s.purgedSince(29, ofPathA) {
		t.Error("a purge after the log index is not found")
	}
	if s.purgedSince(30, ofPathA) {
		t.Error("a purge up to the log index is found")
	}
	s.apply(&distribution.Update{Purges: &distribution.PurgeUpdate{LogIndex: 40, Reset: true}})
	if !s.purgedSince(39, ofPathA) {
		t.Error("a forgotten purge doesn't count as a match")
	}
	if s.purgedSince(40, ofPathA) {
		t.Error("a purge up to a reset is found after it")
	}
}

// TestNodeCountWindow: limits are divided among the most nodes that there were in the last
// nodeCountWindow.
func TestNodeCountWindow(t *testing.T) {
	s := newTestState()
	now := time.Unix(1000, 0)
	most := func() int {
		count := 0
		for _, c := range s.nodeCounts {
			count = max(count, c.count)
		}
		return count
	}
	for _, step := range []struct {
		after time.Duration
		count int
		want  int
	}{
		{0, 4, 4},
		{time.Second, 2, 4},
		{nodeCountWindow, 2, 4},
		{time.Second, 2, 2},
		{time.Second, 5, 5},
		{0, 0, 5}, // no directory
	} {
		now = now.Add(step.after)
		s.dataPlaneCount = step.count
		s.updateNodeCountLocked(now)
		if got := most(); got != step.want {
			t.Errorf("with %d nodes at %v: got %d, want %d", step.count, now.Unix(), got, step.want)
		}
	}
}
