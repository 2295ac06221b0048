package paxos

import "sort"

// Entry is the content of one log index. No transactions make a no-op.
type Entry struct {
	Index          uint64         `cbor:"1,keyasint"`
	ProposalNumber ProposalNumber `cbor:"2,keyasint"`
	Txns           []Txn          `cbor:"3,keyasint,omitempty"`
}

// replicaLog owns the entries that a replica has accepted or learned and not compacted away.
// Invariant: it holds no entry at or below compactedIndex, at most one at each other index,
// and bytes is the sum of their sizes. Entries after the replica's applied index may still be
// replaced; there may be gaps between them.
type replicaLog struct {
	entries        map[uint64]*Entry
	compactedIndex uint64
	bytes          int
}

// store puts an entry in place of what stood at its index.
func (l *replicaLog) store(entry Entry) {
	if old := l.entries[entry.Index]; old != nil {
		l.bytes -= entrySize(old)
	}
	l.entries[entry.Index] = &entry
	l.bytes += entrySize(&entry)
}

// at returns the entry of an index, or nil.
func (l *replicaLog) at(index uint64) *Entry { return l.entries[index] }

// compactTo drops the entries up to an index.
func (l *replicaLog) compactTo(index uint64) {
	for i, entry := range l.entries {
		if i <= index {
			l.bytes -= entrySize(entry)
			delete(l.entries, i)
		}
	}
	l.compactedIndex = index
}

// between returns in order the entries after one index up to another.
func (l *replicaLog) between(after, upTo uint64) []Entry {
	var found []Entry
	for index, entry := range l.entries {
		if index > after && index <= upTo {
			found = append(found, *entry)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Index < found[j].Index })
	return found
}

// entryOverheadBytes stands for the fields of an entry other than its transactions.
const entryOverheadBytes = 32

// entrySize is about how many bytes an entry takes.
func entrySize(entry *Entry) int {
	size := entryOverheadBytes
	for i := range entry.Txns {
		size += entry.Txns[i].Size()
	}
	return size
}

// entriesSize is about how many bytes entries take together.
func entriesSize(entries []Entry) int {
	size := 0
	for i := range entries {
		size += entrySize(&entries[i])
	}
	return size
}
