package distribution

import (
	"maps"
	"slices"
	"sort"
)

// maxKnownRevisions is the number of revisions, including the current one, since which a
// DeltaTable can return changes.
const maxKnownRevisions = 128

// DeltaTable keeps a keyed table and computes the changes that a receiver of an earlier
// revision lacks. Each entry records the revision at which this DeltaTable saw it change, and
// a removed entry leaves a tombstone.
//
// A DeltaTable knows changes only as differences between revisions that it has held, so it
// returns changes only since one of these. A receiver may hold another revision, which it got
// from another sender. That revision may contain entries that were added and removed between
// two revisions of this DeltaTable, so the receiver gets the full table.
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

// Set replaces the table with all, the entries at revision, and reports whether any entry
// changed. If none changed, the table keeps its old revision, unless the new revision has
// another term: the entries then come from a new holder of the lease.
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

// addRevision makes a revision the current one. If there are more than maxKnownRevisions, it
// drops the oldest revision and the tombstones that only receivers of that revision need.
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

// ChangesSince returns the values that were changed since the revision held and that keep
// accepts, and the removed keys, both sorted by key. If held is not a known revision, delta is
// false and changed holds every value that keep accepts.
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

// ApplyChanges returns a copy of the receiver's table with the result of ChangesSince applied.
// key returns the key of a value. The given table is not modified.
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
