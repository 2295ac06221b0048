// Package entrylog holds the log of one replica in memory: the entries that it has accepted or
// learned and not compacted away. Package paxos decides which of them are committed; the owner
// of the replica keeps them on disk.
package entrylog

import "sort"

// Log is the log of one replica.
//
// Invariant: it holds no entry at or below compactedIndex, at most one at each other index, and
// bytes is the sum of their sizes. Entries after the replica's applied index may still be
// replaced; there may be gaps between them.
type Log struct {
	entries        map[uint64]*Entry
	compactedIndex uint64
	bytes          int
}

// New returns an empty log.
func New() Log { return Log{entries: map[uint64]*Entry{}} }

// CompactedIndex returns the last index up to which entries were compacted away.
func (l *Log) CompactedIndex() uint64 { return l.compactedIndex }

// Bytes estimates the encoded size of the entries.
func (l *Log) Bytes() int { return l.bytes }

// Store puts an entry at its index, in place of any older one.
func (l *Log) Store(entry Entry) {
	if old := l.entries[entry.Index]; old != nil {
		l.bytes -= old.size()
	}
	l.entries[entry.Index] = &entry
	l.bytes += entry.size()
}

// At returns the entry of an index, or nil.
func (l *Log) At(index uint64) *Entry { return l.entries[index] }

// CompactTo drops the entries up to an index.
func (l *Log) CompactTo(index uint64) {
	for i, entry := range l.entries {
		if i <= index {
			l.bytes -= entry.size()
			delete(l.entries, i)
		}
	}
	l.compactedIndex = index
}

// Between returns, in order, the entries after one index up to and including another.
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
