package distribution

import (
	"maps"
	"slices"
	"sort"
)

// maxKnownRevisions is how many former revisions a DeltaTable can send changes since.
const maxKnownRevisions = 128

// DeltaTable keeps a keyed table and works out what a receiver of a former revision lacks.
// Each entry bears the revision at which this DeltaTable saw it change; a removed entry
// leaves a tombstone.
//
// A change is known only as the difference between two revisions that this DeltaTable has
// held. So changes are sent only to a receiver of one of these: a receiver of a revision in
// between, which it got from another sender, may hold entries that were added and removed
// again unseen here, and gets the full table.
//
// The zero value is an empty table. It is not safe for concurrent use.
type DeltaTable[V comparable] struct {
	revision       Revision
	knownRevisions map[Revision]bool
	revisionOrder  []Revision // the known revisions, oldest first
	entries        map[string]entry[V]
	removed        map[string]Revision // tombstones: when each key was removed
}

type entry[V comparable] struct {
	value     V
	changedAt Revision
}

// Set replaces the table by all, which stands at revision, and reports whether any entry
// changed. A table without changes keeps its revision, unless the new one is of another
// term: then another sender vouches for it.
func (t *DeltaTable[V]) Set(revision Revision, all map[string]V) bool {
	first := t.entries == nil
	if first {
		t.entries = map[string]entry[V]{}
		t.removed = map[string]Revision{}
		t.knownRevisions = map[Revision]bool{}
	}
	changed := false
	for key, value := range all {
		if old, ok := t.entries[key]; ok && old.value == value {
			continue
		}
		t.entries[key] = entry[V]{value: value, changedAt: revision}
		delete(t.removed, key)
		changed = true
	}
	for key := range t.entries {
		if _, ok := all[key]; ok {
			continue
		}
		delete(t.entries, key)
		t.removed[key] = revision
		changed = true
	}
	if changed || first || revision.Term != t.revision.Term {
		t.addRevision(revision)
	}
	return changed
}

// addRevision makes a revision the current one. Beyond maxKnownRevisions it forgets the
// oldest, with the tombstones that only its receivers need.
func (t *DeltaTable[V]) addRevision(revision Revision) {
	t.revision = revision
	t.knownRevisions[revision] = true
	t.revisionOrder = append(t.revisionOrder, revision)
	if len(t.revisionOrder) <= maxKnownRevisions {
		return
	}
	delete(t.knownRevisions, t.revisionOrder[0])
	t.revisionOrder = slices.Clone(t.revisionOrder[1:])
	oldest := t.revisionOrder[0]
	for key, removedAt := range t.removed {
		if !oldest.Less(removedAt) {
			delete(t.removed, key)
		}
	}
}

// Revision returns the current revision.
func (t *DeltaTable[V]) Revision() Revision { return t.revision }

// Len returns the number of entries.
func (t *DeltaTable[V]) Len() int { return len(t.entries) }

// ChangesSince returns what a receiver of the revision held lacks, of the values that keep
// accepts, in the order of their keys. With delta false it is the full table, since held is
// not a known revision.
func (t *DeltaTable[V]) ChangesSince(held Revision, keep func(V) bool) (changed []V, removed []string, delta bool) {
	delta = t.knownRevisions[held]
	keys := make([]string, 0, 8)
	for key, e := range t.entries {
		if (!delta || held.Less(e.changedAt)) && keep(e.value) {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	for _, key := range keys {
		changed = append(changed, t.entries[key].value)
	}
	if !delta {
		return changed, nil, false
	}
	for key, removedAt := range t.removed {
		if held.Less(removedAt) {
			removed = append(removed, key)
		}
	}
	sort.Strings(removed)
	return changed, removed, true
}

// ApplyChanges returns the receiver's table with the result of ChangesSince applied; key
// returns the key of a value. The table that is passed in stays as it is.
func ApplyChanges[V any](
	table map[string]V, changed []V, removed []string, delta bool, key func(V) string,
) map[string]V {
	result := make(map[string]V, len(table)+len(changed))
	if delta {
		maps.Copy(result, table)
		for _, k := range removed {
			delete(result, k)
		}
	}
	for _, value := range changed {
		result[key(value)] = value
	}
	return result
}
