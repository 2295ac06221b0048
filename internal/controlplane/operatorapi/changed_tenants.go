package operatorapi

import (
	"maps"
	"slices"

	"comethold/internal/controlplane/schema"
	"comethold/internal/routing"
)

// changedTenants returns the sorted names of the tenants that were added, removed or changed
// between two configurations. If old is nil, it returns all tenants of next.
func changedTenants(old, next *routing.Configuration) []string {
	changed := map[string]bool{}
	previous := map[string]routing.Tenant{}
	if old != nil {
		for _, tenant := range old.Tenants {
			previous[tenant.Name] = tenant
			changed[tenant.Name] = true // deleted below if next contains it unchanged
		}
	}
	for _, tenant := range next.Tenants {
		before, existed := previous[tenant.Name]
		if existed && schema.EqualEncoding(before, tenant) {
			delete(changed, tenant.Name)
		} else {
			changed[tenant.Name] = true
		}
	}
	return slices.Sorted(maps.Keys(changed))
}
