package distribution

import "sort"

// DeltaTable keeps a keyed table of which holders are told only what changed. Each
// entry bears the stamp at which this ledger saw it change; entries that are
// gone leave a note.
//
// A change is known here only as the difference of two tables that this ledger
// has held. So changes are told to those alone whose stamp is one of these: who
// holds a table in between, which another source told, may hold entries that came
// and went unseen here, and is told the whole.
type DeltaTable[V comparable] struct {
	revision       Revision
	knownRevisions map[Revision]bool
	revisionOrder  []Revision // of known, oldest first
	entries        map[string]entry[V]
	removed        map[string]Revision
}

type entry[V comparable] struct {
	value     V
	changedAt Revision
}

// maxKnownRevisions is how many former tables a holder may still have and be told
// changes.
const maxKnownRevisions = 128

// Set takes the whole table as of a stamp; it reports whether anything moved. A
// table that moved nothing keeps its stamp, unless another source vouches for it.
func (l *DeltaTable[V]) Set(at Revision, all map[string]V) bool {
	first := l.entries == nil
	if first {
		l.entries, l.removed, l.knownRevisions = map[string]entry[V]{}, map[string]Revision{}, map[Revision]bool{}
	}
	moved := false
	for k, v := range all {
		if old, ok := l.entries[k]; !ok || old.value != v {
			l.entries[k] = entry[V]{v, at}
			delete(l.removed, k)
			moved = true
		}
	}
	for k := range l.entries {
		if _, ok := all[k]; !ok {
			delete(l.entries, k)
			l.removed[k] = at
			moved = true
		}
	}
	if moved || first || at.Term != l.revision.Term {
		l.addRevision(at)
	}
	return moved
}

// addRevision makes a stamp known, and forgets the oldest with what only its holders
// need.
func (l *DeltaTable[V]) addRevision(at Revision) {
	l.revision = at
	l.knownRevisions[at] = true
	l.revisionOrder = append(l.revisionOrder, at)
	if len(l.revisionOrder) <= maxKnownRevisions {
		return
	}
	delete(l.knownRevisions, l.revisionOrder[0])
	l.revisionOrder = append([]Revision(nil), l.revisionOrder[1:]...)
	for k, gone := range l.removed {
		if !l.revisionOrder[0].Less(gone) {
			delete(l.removed, k)
		}
	}
}

// Revision is the stamp of the table.
func (l *DeltaTable[V]) Revision() Revision { return l.revision }

// Len is the number of entries.
func (l *DeltaTable[V]) Len() int { return len(l.entries) }

// ChangesSince lists what a holder of the table at have lacks. Unless delta, it is
// everything.
func (l *DeltaTable[V]) ChangesSince(have Revision, keep func(V) bool) (changed []V, gone []string, delta bool) {
	delta = l.knownRevisions[have]
	keys := make([]string, 0, 8)
	for k, e := range l.entries {
		if (!delta || have.Less(e.changedAt)) && keep(e.value) {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	for _, k := range keys {
		changed = append(changed, l.entries[k].value)
	}
	if delta {
		for k, at := range l.removed {
			if have.Less(at) {
				gone = append(gone, k)
			}
		}
		sort.Strings(gone)
	}
	return changed, gone, delta
}

// ApplyChanges brings a holder's table up to what Since told.
func ApplyChanges[V any](table map[string]V, changed []V, gone []string, delta bool, key func(V) string) map[string]V {
	out := make(map[string]V, len(table)+len(changed))
	if delta {
		for k, v := range table {
			out[k] = v
		}
		for _, k := range gone {
			delete(out, k)
		}
	}
	for _, v := range changed {
		out[key(v)] = v
	}
	return out
}
