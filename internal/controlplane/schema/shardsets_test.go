package schema_test

import (
	"fmt"
	"testing"

	"comethold/internal/controlplane/schema"
)

// TestAssignIndexes checks that a configuration change keeps the index cell of a group if the group
// has most of the cell's routes, or else the same services. Otherwise, a change would replace cells
// that are still needed.
func TestAssignIndexes(t *testing.T) {
	old := map[string]schema.IndexRecord{
		"i1": {Routes: []string{"r1", "r2", "r3"}, Services: []string{"a"}},
		"i2": {Routes: []string{"r4"}, Services: []string{"b"}},
		"i3": {Routes: []string{"r5"}, Services: []string{"c"}},
	}
	for _, c := range []struct {
		name           string
		groups         map[string][]string
		kept           string
		added, removed string
	}{
		{
			name:    "nothing changes",
			groups:  map[string][]string{"a": {"r1", "r2", "r3"}, "b": {"r4"}, "c": {"r5"}},
			kept:    "map[i1:a i2:b i3:c]",
			added:   "[]",
			removed: "[]",
		},
		{
			name:    "most of the routes get another service",
			groups:  map[string][]string{"a": {"r3"}, "d": {"r1", "r2"}, "b": {"r4"}, "c": {"r5"}},
			kept:    "map[i1:d i2:b i3:c]",
			added:   "[a]",
			removed: "[]",
		},
		{
			name:    "an index without remaining routes is kept for its services",
			groups:  map[string][]string{"a": {"r1"}, "b": {"r8"}},
			kept:    "map[i1:a i2:b]",
			added:   "[]",
			removed: "[i3]",
		},
		{
			name:    "a new group gets a new index",
			groups:  map[string][]string{"a": {"r1"}, "b": {"r4"}, "c": {"r5"}, "e": {"r9"}},
			kept:    "map[i1:a i2:b i3:c]",
			added:   "[e]",
			removed: "[]",
		},
		{
			name:    "all routes are removed",
			groups:  nil,
			kept:    "map[]",
			added:   "[]",
			removed: "[i1 i2 i3]",
		},
	} {
		kept, added, removed := schema.AssignIndexes(old, c.groups)
		if fmt.Sprint(kept) != c.kept || fmt.Sprint(added) != c.added || fmt.Sprint(removed) != c.removed {
			t.Errorf("%s: AssignIndexes returned kept %v, added %v, removed %v, want %s, %s, %s",
				c.name, kept, added, removed, c.kept, c.added, c.removed)
		}
	}
}
