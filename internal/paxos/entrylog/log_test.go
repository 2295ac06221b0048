package entrylog

import (
	"testing"

	"comethold/internal/paxos/statemachine"
)

// putTxn is a transaction that gives an integer to a key.
func putTxn(id, key string, value int64) statemachine.Txn {
	put := statemachine.Op{Kind: statemachine.OpPut, Key: key, Value: statemachine.Int(value)}
	return statemachine.Txn{ID: id, Ops: []statemachine.Op{put}}
}

// TestLogCountsItsBytes: entries that are replaced or compacted away no longer count, and the
// rest is found in order.
func TestLogCountsItsBytes(t *testing.T) {
	log := New()
	for _, index := range []uint64{4, 2, 1, 3} {
		log.Store(Entry{Index: index, Txns: []statemachine.Txn{putTxn("first", "k", 1)}})
	}
	log.Store(Entry{Index: 3, Txns: []statemachine.Txn{putTxn("second", "a longer key", 2)}})
	log.CompactTo(2)
	remaining := log.Between(0, 10)
	if len(remaining) != 2 || remaining[0].Index != 3 || remaining[1].Index != 4 {
		t.Fatalf("after compaction it holds %v", remaining)
	}
	if remaining[0].Txns[0].ID != "second" {
		t.Errorf("entry 3 is %v", remaining[0])
	}
	if want := Size(remaining); log.Bytes() != want {
		t.Errorf("it counts %d bytes, not %d", log.Bytes(), want)
	}
	if after := log.Between(3, 3); len(after) != 0 {
		t.Errorf("after 3 up to 3 there is %v", after)
	}
}
