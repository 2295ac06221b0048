package feed

import "sort"

// Ledger keeps a keyed table of which holders are told only what changed. Each
// entry bears the stamp at which this ledger saw it change; entries that are
// gone leave a note.
//
// A change is known here only as the difference of two tables that this ledger
// has held. So changes are told to those alone whose stamp is one of these: who
// holds a table in between, which another source told, may hold entries that came
// and went unseen here, and is told the whole.
type Ledger[V comparable] struct {
	at    Stamp
	known map[Stamp]bool
	order []Stamp // of known, oldest first
	items map[string]entry[V]
	gone  map[string]Stamp
}

type entry[V comparable] struct {
	v  V
	at Stamp
}

// keepStamps is how many former tables a holder may still have and be told
// changes.
const keepStamps = 128

// Set takes the whole table as of a stamp; it reports whether anything moved. A
// table that moved nothing keeps its stamp, unless another source vouches for it.
func (l *Ledger[V]) Set(at Stamp, all map[string]V) bool {
	first := l.items == nil
	if first {
		l.items, l.gone, l.known = map[string]entry[V]{}, map[string]Stamp{}, map[Stamp]bool{}
	}
	moved := false
	for k, v := range all {
		if old, ok := l.items[k]; !ok || old.v != v {
			l.items[k] = entry[V]{v, at}
			delete(l.gone, k)
			moved = true
		}
	}
	for k := range l.items {
		if _, ok := all[k]; !ok {
			delete(l.items, k)
			l.gone[k] = at
			moved = true
		}
	}
	if moved || first || at.Term != l.at.Term {
		l.note(at)
	}
	return moved
}

// note makes a stamp known, and forgets the oldest with what only its holders
// need.
func (l *Ledger[V]) note(at Stamp) {
	l.at = at
	l.known[at] = true
	l.order = append(l.order, at)
	if len(l.order) <= keepStamps {
		return
	}
	delete(l.known, l.order[0])
	l.order = append([]Stamp(nil), l.order[1:]...)
	for k, gone := range l.gone {
		if !l.order[0].Less(gone) {
			delete(l.gone, k)
		}
	}
}

// At is the stamp of the table.
func (l *Ledger[V]) At() Stamp { return l.at }

// Len is the number of entries.
func (l *Ledger[V]) Len() int { return len(l.items) }

// Since lists what a holder of the table at have lacks. Unless delta, it is
// everything.
func (l *Ledger[V]) Since(have Stamp, keep func(V) bool) (changed []V, gone []string, delta bool) {
	delta = l.known[have]
	keys := make([]string, 0, 8)
	for k, e := range l.items {
		if (!delta || have.Less(e.at)) && keep(e.v) {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	for _, k := range keys {
		changed = append(changed, l.items[k].v)
	}
	if delta {
		for k, at := range l.gone {
			if have.Less(at) {
				gone = append(gone, k)
			}
		}
		sort.Strings(gone)
	}
	return changed, gone, delta
}

// Merge brings a holder's table up to what Since told.
func Merge[V any](table map[string]V, changed []V, gone []string, delta bool, key func(V) string) map[string]V {
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
