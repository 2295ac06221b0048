package paxos

import (
	"testing"
	"time"
)

// TestReadyReportsChangedKeys guards against watchers that miss a change. Ready must report each key
// that a committed transaction changed. After a start from a snapshot, Ready must report that all
// keys may have changed.
func TestReadyReportsChangedKeys(t *testing.T) {
	snapshot := initialSnapshot(votersOf("a"))
	snapshot.State["x"] = Int(1)
	c := newTestCluster([]ReplicaID{"a"}, func(ReplicaID) PersistedState {
		return PersistedState{Snapshot: snapshot}
	})
	replica := c.replicas["a"]
	run := func() ChangedKeys {
		var changed ChangedKeys
		for range 20 {
			c.now += 50 * time.Millisecond
			replica.Tick(c.now)
			ready := replica.Ready()
			changed.All = changed.All || ready.ChangedKeys.All
			changed.Keys = append(changed.Keys, ready.ChangedKeys.Keys...)
			for _, msg := range allMessages(ready) {
				replica.Step(c.now, msg)
			}
		}
		return changed
	}
	if changed := run(); !changed.AnyWithPrefix("anything") {
		t.Error("ChangedKeys after the start does not include every prefix, want All to be set")
	}
	putY := putInt("3", "y", 1)
	putY.Conditions = []Condition{{Key: "x", Equals: Int(1)}}
	for _, test := range []struct {
		name string
		txn  Txn
		want map[string]bool
	}{
		{
			name: "put and delete",
			txn: Txn{ID: "1", Ops: []Op{
				{Kind: OpPut, Key: "node/a", Value: Int(1)},
				{Kind: OpDelete, Key: "x"},
			}},
			want: map[string]bool{"node/": true, "x": true, "y": false},
		},
		{
			name: "append",
			txn:  Txn{ID: "2", Ops: []Op{{Kind: OpAppend, Key: "log/", Value: Int(1)}}},
			want: map[string]bool{"log/": true, "node/": false},
		},
		{
			name: "ignored",
			txn:  putY,
			want: map[string]bool{"y": false},
		},
	} {
		if err := replica.Propose(c.now, test.txn); err != nil {
			t.Fatal(err)
		}
		changed := run()
		for prefix, want := range test.want {
			if changed.AnyWithPrefix(prefix) != want {
				t.Errorf("%s: AnyWithPrefix(%q) returned %v, want %v", test.name, prefix, !want, want)
			}
		}
	}
}
