package controlplane

import (
	"sort"

	"comethold/internal/controlplane/schema"
	"comethold/internal/routing"
)

// changedTenants lists those whose keys or limits differ.
func changedTenants(old, next *routing.Configuration) (out []string) {
	had := map[string]routing.Tenant{}
	if old != nil {
		for _, t := range old.Tenants {
			had[t.Name] = t
		}
	}
	for _, t := range next.Tenants {
		if o, ok := had[t.Name]; !ok || !schema.EqualEncoding(o, t) {
			out = append(out, t.Name)
		}
		delete(had, t.Name)
	}
	for name := range had {
		out = append(out, name)
	}
	sort.Strings(out)
	return out
}
