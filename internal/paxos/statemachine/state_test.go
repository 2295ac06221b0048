package statemachine

import (
	"testing"
)

const testAlpha = 3

// newInitialState returns a state with one key and the voters a, b and c.
func newInitialState() State {
	state := NewState()
	state.Load(&Snapshot{
		State:       map[string]Value{"x": Int(1)},
		Memberships: []Membership{{EffectiveFrom: 1, Voters: voters("a", "b", "c")}},
	})
	return state
}

func voters(ids ...ReplicaID) []Voter {
	var list []Voter
	for _, id := range ids {
		list = append(list, Voter{ID: id})
	}
	return list
}

// TestApplyIsAllOrNothing checks that a transaction changes the state if its conditions hold and all
// its operations are possible, and that any other transaction changes nothing.
func TestApplyIsAllOrNothing(t *testing.T) {
	putY := Op{Kind: OpPut, Key: "y", Value: Int(5)}
	for name, test := range map[string]struct {
		txn  Txn
		want bool
	}{
		"no condition":       {Txn{Ops: []Op{putY}}, true},
		"equal":              {Txn{Conditions: []Condition{{Key: "x", Equals: Int(1)}}, Ops: []Op{putY}}, true},
		"other value":        {Txn{Conditions: []Condition{{Key: "x", Equals: Int(2)}}, Ops: []Op{putY}}, false},
		"other type":         {Txn{Conditions: []Condition{{Key: "x", Equals: Bytes([]byte("1"))}}, Ops: []Op{putY}}, false},
		"absent":             {Txn{Conditions: []Condition{{Key: "z", Absent: true}}, Ops: []Op{putY}}, true},
		"not absent":         {Txn{Conditions: []Condition{{Key: "x", Absent: true}}, Ops: []Op{putY}}, false},
		"missing":            {Txn{Conditions: []Condition{{Key: "z", Equals: Int(1)}}, Ops: []Op{putY}}, false},
		"adds to bytes":      {Txn{Ops: []Op{putY, {Kind: OpPut, Key: "b"}, {Kind: OpAdd, Key: "b", Value: Int(1)}}}, false},
		"patch does not fit": {Txn{Ops: []Op{putY, {Kind: OpPatch, Key: "z", Value: Bytes([]byte{200})}}}, false},
		"unknown operation":  {Txn{Ops: []Op{putY, {Kind: 99}}}, false},
	} {
		state := newInitialState()
		if got := state.Apply(test.txn, 1, testAlpha); got != test.want {
			t.Errorf("%s: Apply returned %v, want %v", name, got, test.want)
		}
		if _, changed := state.Get("y"); changed != test.want {
			t.Errorf("%s: key y exists: %v, want %v", name, changed, test.want)
		}
	}
}

// TestApplyOperations checks each operation, and that an operation sees the results of earlier ones
// of the same transaction.
func TestApplyOperations(t *testing.T) {
	state := newInitialState()
	txn := Txn{ID: "t", Ops: []Op{
		{Kind: OpAdd, Key: "x", Value: Int(2)},
		{Kind: OpAdd, Key: "x", Value: Int(3)},
		{Kind: OpAdd, Key: "new", Value: Int(4)},
		{Kind: OpPut, Key: "gone", Value: Int(1)},
		{Kind: OpDelete, Key: "gone"},
		{Kind: OpPut, Key: "bytes", Value: Bytes([]byte("{a}{b}"))},
		{Kind: OpPatch, Key: "bytes", Value: Bytes(MakePatch([]byte("{a}{b}"), []byte("{a}{c}")))},
		{Kind: OpAppend, Key: "list/", Value: Int(7)},
	}}
	if !state.Apply(txn, 12, testAlpha) {
		t.Fatal("Apply returned false, want true")
	}
	want := map[string]Value{
		"x": Int(6), "new": Int(4), "bytes": Bytes([]byte("{a}{c}")), AppendedKey("list/", 12, "t"): Int(7),
	}
	if keys := state.Keys(); len(keys) != len(want) {
		t.Errorf("keys are %q, want x, new, bytes and the key appended under list/", keys)
	}
	for key, value := range want {
		if got, _ := state.Get(key); !got.Equal(value) {
			t.Errorf("%s is %v, want %v", key, got, value)
		}
	}
}

// TestMembershipChangesByOneVoter checks that a membership change is ignored if it adds or removes
// more than one voter, or if the previous change is not in effect yet.
func TestMembershipChangesByOneVoter(t *testing.T) {
	for name, test := range map[string]struct {
		next []Voter
		want bool
	}{
		"one added":    {voters("a", "b", "c", "d"), true},
		"one removed":  {voters("a", "b"), true},
		"one replaced": {voters("a", "b", "d"), true},
		"two replaced": {voters("a", "d", "e"), false},
		"two added":    {voters("a", "b", "c", "d", "e"), false},
		"unchanged":    {voters("c", "b", "a"), false},
		"duplicate":    {voters("a", "b", "b"), false},
		"empty":        {nil, false},
	} {
		state := newInitialState()
		if got := state.Apply(Txn{Ops: []Op{{Kind: OpSetVoters, Voters: test.next}}}, 5, testAlpha); got != test.want {
			t.Errorf("%s: Apply returned %v, want %v", name, got, test.want)
		}
	}
	state := newInitialState()
	change := func(index uint64, ids ...ReplicaID) bool {
		return state.Apply(Txn{Ops: []Op{{Kind: OpSetVoters, Voters: voters(ids...)}}}, index, testAlpha)
	}
	if !change(5, "a", "b", "c", "d") || change(7, "a", "b", "c") || !change(8, "a", "b", "c") {
		t.Error("want the change at 7 rejected and those at 5 and 8 applied, since the change at 5 takes effect at 8")
	}
	for index, want := range map[uint64]bool{7: false, 8: true, 10: true, 11: false} {
		if got := state.MembershipAt(index).Contains("d"); got != want {
			t.Errorf("MembershipAt(%d).Contains(d) returned %v, want %v", index, got, want)
		}
	}
	if version, _ := state.Get(MembershipVersionKey); !version.Equal(Int(2)) {
		t.Errorf("after two changes MembershipVersionKey has the value %v, want 2", version)
	}
}

// TestSnapshotIsACopy guards against a snapshot that changes when a later transaction is applied.
func TestSnapshotIsACopy(t *testing.T) {
	state := newInitialState()
	snapshot := state.Snapshot(4)
	state.Apply(Txn{Ops: []Op{{Kind: OpPut, Key: "x", Value: Int(2)}}}, 5, testAlpha)
	loaded := NewState()
	loaded.Load(snapshot)
	if x, _ := loaded.Get("x"); snapshot.AppliedIndex != 4 || !x.Equal(Int(1)) {
		t.Errorf("snapshot at index %d has x = %v, want index 4 and x = 1", snapshot.AppliedIndex, x)
	}
}

// TestApplyAllocations guards against extra allocations in Apply, which every replica calls for
// every commit. Puts and deletions allocate only the list of changed keys, which grows twice here.
func TestApplyAllocations(t *testing.T) {
	state := NewState()
	txn := Txn{
		Conditions: []Condition{{Key: "missing", Absent: true}},
		Ops:        []Op{{Kind: OpPut, Key: "k", Value: Bytes([]byte("v"))}, {Kind: OpDelete, Key: "d"}},
	}
	allocations := testing.AllocsPerRun(100, func() {
		state.Apply(txn, 1, 3)
		state.TakeChangedKeys()
	})
	if allocations > 2 {
		t.Errorf("Apply made %v allocations, want at most 2", allocations)
	}
}
