package paxos

import (
	"testing"
	"time"
)

// TestTouched: the owner of a member learns which keys a change touched, and
// that all may have been where a snapshot was taken in.
func TestTouched(t *testing.T) {
	seats := []Voter{{ID: "a", Addr: "a"}}
	m := NewReplica(Config{Cell: "c", Self: "a", Alpha: 3, MaxQueue: 8, MaxBatch: 4, RetainedEntries: 16,
		HeartbeatInterval: 100 * time.Millisecond, ElectionTimeout: 400 * time.Millisecond, Jitter: func() float64 { return 0.5 }},
		PersistedState{Snapshot: &Snapshot{State: map[string]Value{"x": Int(1)}, Memberships: []Membership{{EffectiveFrom: 1, Voters: seats}}}}, 0)
	now := time.Duration(0)
	run := func() (what ChangedKeys) {
		for range 20 {
			now += 50 * time.Millisecond
			m.Tick(now)
			out := m.Ready()
			what.All = what.All || out.ChangedKeys.All
			what.Keys = append(what.Keys, out.ChangedKeys.Keys...)
			for _, msg := range append(out.Messages, out.MessagesAfterSync...) {
				m.Step(now, msg)
			}
		}
		return what
	}
	if what := run(); !what.AnyWithPrefix("anything") {
		t.Error("a start does not touch all")
	}
	for _, c := range []struct {
		why  string
		t    Txn
		want map[string]bool
	}{
		{"put and delete", Txn{ID: "1", Ops: []Op{{Kind: OpPut, Key: "node/a", Value: Int(1)}, {Kind: OpDelete, Key: "x"}}}, map[string]bool{"node/": true, "x": true, "y": false}},
		{"append", Txn{ID: "2", Ops: []Op{{Kind: OpAppend, Key: "log/", Value: Int(1)}}}, map[string]bool{"log/": true, "node/": false}},
		{"ignored", Txn{ID: "3", Conditions: []Condition{{Key: "x", Equals: Int(1)}}, Ops: []Op{{Kind: OpPut, Key: "y", Value: Int(1)}}}, map[string]bool{"y": false}},
	} {
		if err := m.Propose(now, c.t); err != nil {
			t.Fatal(err)
		}
		what := run()
		for prefix, want := range c.want {
			if what.AnyWithPrefix(prefix) != want {
				t.Errorf("%s: Any(%q) is %v", c.why, prefix, !want)
			}
		}
	}
}
