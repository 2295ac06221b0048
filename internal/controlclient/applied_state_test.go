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

// testUpdate returns an update with all parts that a node sends to other nodes.
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

// TestUpdateForPeerOmitsHeldState checks that a node sends another node the state that it lacks,
// and an empty update if it lacks nothing. It guards against sending the directory of nodes to
// another zone, and against a receiver that takes state from a data plane node as confirmed.
func TestUpdateForPeerOmitsHeldState(t *testing.T) {
	sender := newTestState()
	sender.apply(testUpdate())
	for _, c := range []struct {
		receiverNode string
		sameZone     bool
		nodesIndex   uint64
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
			t.Errorf("%s holds %+v after the update, want the state of the sender: %+v", c.receiverNode, held, want)
		}
		if held.NodesIndex != c.nodesIndex {
			t.Errorf("%s holds the directory of log index %d, want %d", c.receiverNode, held.NodesIndex, c.nodesIndex)
		}
		if receiver.confirmed.Load() {
			t.Errorf("%s is confirmed after an update from a data plane node, want unconfirmed", c.receiverNode)
		}
		held.MarkLogIndexes = map[string]uint64{"ix": 12}
		if again := sender.updateFor(held, false); !again.Empty() {
			t.Errorf("%s gets %+v although it holds the same state, want an empty update", c.receiverNode, again)
		}
	}
}

// TestAppliedStateKeepsNewest guards against a delayed, older update that replaces newer state.
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
		t.Errorf("held versions after an older update are %+v, want %+v", got, want)
	}
}

// TestPurgedSinceMatchesAndDiscardedPurges guards against objects that are cached although they were
// read before a purge, including a purge that this node has discarded.
func TestPurgedSinceMatchesAndDiscardedPurges(t *testing.T) {
	s := newTestState()
	s.apply(testUpdate())
	matchesPathA := func(p distribution.Purge) bool { return p.Path == "/a" }
	if !s.purgedSince(29, matchesPathA) {
		t.Error("purgedSince(29) is false with a matching purge at 30, want true")
	}
	if s.purgedSince(30, matchesPathA) {
		t.Error("purgedSince(30) is true with the last matching purge at 30, want false")
	}
	s.apply(&distribution.Update{Purges: &distribution.PurgeUpdate{LogIndex: 40, Reset: true}})
	if !s.purgedSince(39, matchesPathA) {
		t.Error("purgedSince(39) is false after purges up to 40 were discarded, want true")
	}
	if s.purgedSince(40, matchesPathA) {
		t.Error("purgedSince(40) is true after a reset at 40, want false")
	}
}

// TestNodeCountIsMaximumInWindow guards against limits that are exceeded just after a node left: the
// limits must be divided by the highest node count of the last nodeCountWindow.
func TestNodeCountIsMaximumInWindow(t *testing.T) {
	s := newTestState()
	now := time.Unix(1000, 0)
	highestCount := func() int {
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
		{0, 0, 5}, // no directory of nodes
	} {
		now = now.Add(step.after)
		s.dataPlaneCount = step.count
		s.updateNodeCountLocked(now)
		if got := highestCount(); got != step.want {
			t.Errorf("with %d nodes at %v s: the highest count is %d, want %d", step.count, now.Unix(), got, step.want)
		}
	}
}
