package entrylog

import (
	"testing"

	"comethold/internal/paxos/statemachine"
)

// putTxn returns a transaction that sets a key to an integer.
func putTxn(id, key string, value int64) statemachine.Txn {
	put := statemachine.Op{Kind: statemachine.OpPut, Key: key, Value: statemachine.Int(value)}
	return statemachine.Txn{ID: id, Ops: []statemachine.Op{put}}
}

// TestLogBytes checks that Bytes excludes entries that were replaced or compacted away, and that
// Between returns the remaining entries in order.
func TestLogBytes(t *testing.T) {
	log := New()
	for _, index := range []uint64{4, 2, 1, 3} {
		log.Store(Entry{Index: index, Txns: []statemachine.Txn{putTxn("first", "k", 1)}})
	}
	log.Store(Entry{Index: 3, Txns: []statemachine.Txn{putTxn("second", "a longer key", 2)}})
	log.CompactTo(2)
	remaining := log.Between(0, 10)
	if len(remaining) != 2 || remaining[0].Index != 3 || remaining[1].Index != 4 {
		t.Fatalf("after compaction to 2 the log holds %v, want entries 3 and 4", remaining)
	}
	if remaining[0].Txns[0].ID != "second" {
		t.Errorf("entry 3 is %v, want the entry of transaction second, which replaced it", remaining[0])
	}
	if want := Size(remaining); log.Bytes() != want {
		t.Errorf("Bytes returned %d, want %d", log.Bytes(), want)
	}
	if after := log.Between(3, 3); len(after) != 0 {
		t.Errorf("Between(3, 3) returned %v, want no entries", after)
	}
}
