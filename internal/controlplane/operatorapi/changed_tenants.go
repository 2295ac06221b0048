package operatorapi

import (
	"maps"
	"slices"

	"comethold/internal/controlplane/schema"
	"comethold/internal/routing"
)

// changedTenants lists, sorted, the tenants that differ in their keys or limits, or are in
// one of the configurations only. old may be nil.
func changedTenants(old, next *routing.Configuration) []string {
	changed := map[string]bool{}
	previous := map[string]routing.Tenant{}
	if old != nil {
		for _, tenant := range old.Tenants {
			previous[tenant.Name] = tenant
			changed[tenant.Name] = true // unless next has it unchanged
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
