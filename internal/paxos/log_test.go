package paxos

import "testing"

// TestLogCountsItsBytes: entries that are replaced or compacted away no longer count, and the
// rest is found in order.
func TestLogCountsItsBytes(t *testing.T) {
	log := replicaLog{entries: map[uint64]*Entry{}}
	for _, index := range []uint64{4, 2, 1, 3} {
		log.store(Entry{Index: index, Txns: []Txn{putInt("first", "k", 1)}})
	}
	log.store(Entry{Index: 3, Txns: []Txn{putInt("second", "a longer key", 2)}})
	log.compactTo(2)
	remaining := log.between(0, 10)
	if len(remaining) != 2 || remaining[0].Index != 3 || remaining[1].Index != 4 {
		t.Fatalf("after compaction it holds %v", remaining)
	}
	if remaining[0].Txns[0].ID != "second" {
		t.Errorf("entry 3 is %v", remaining[0])
	}
	if want := entriesSize(remaining); log.bytes != want {
		t.Errorf("it counts %d bytes, not %d", log.bytes, want)
	}
	if after := log.between(3, 3); len(after) != 0 {
		t.Errorf("after 3 up to 3 there is %v", after)
	}
}
