// Package entrylog implements the in-memory log of one replica: the entries that the replica has
// accepted or learned and that are not compacted away. Package paxos decides which of them are
// committed, and the owner of the replica stores them on disk.
package entrylog

import "sort"

// Log is the log of one replica.
//
// Invariants: the log holds no entry at or below compactedIndex and at most one at each later
// index, and bytes is the sum of their estimated sizes. Entries after the applied index of the
// replica may still be replaced, and there may be gaps between them.
type Log struct {
	entries        map[uint64]*Entry
	compactedIndex uint64
	bytes          int
}

// New returns an empty log.
func New() Log { return Log{entries: map[uint64]*Entry{}} }

// CompactedIndex returns the index up to which the log is compacted. The log has no entry at or below it.
func (l *Log) CompactedIndex() uint64 { return l.compactedIndex }

// Bytes returns the estimated encoded size of all entries in bytes.
func (l *Log) Bytes() int { return l.bytes }

// Store stores an entry at its index. It replaces an older entry at that index.
func (l *Log) Store(entry Entry) {
	if old := l.entries[entry.Index]; old != nil {
		l.bytes -= old.size()
	}
	l.entries[entry.Index] = &entry
	l.bytes += entry.size()
}

// At returns the entry at an index, or nil if there is none.
func (l *Log) At(index uint64) *Entry { return l.entries[index] }

// CompactTo removes the entries up to and including an index.
func (l *Log) CompactTo(index uint64) {
	for i, entry := range l.entries {
		if i <= index {
			l.bytes -= entry.size()
			delete(l.entries, i)
		}
	}
	l.compactedIndex = index
}

// Between returns, in ascending order of index, the entries after index after, up to and including
// index upTo.
func (l *Log) Between(after, upTo uint64) []Entry {
	var found []Entry
	for index, entry := range l.entries {
		if index > after && index <= upTo {
			found = append(found, *entry)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Index < found[j].Index })
	return found
}
