package distribution

import (
	"reflect"
	"strings"

	"comethold/internal/routing"
)

// ConfigUpdate is a configuration as it is sent to nodes: in full, or as the changes since
// BaseVersion. The control plane has already decoded and validated it, so that nodes don't
// spend CPU time on that while they serve requests.
type ConfigUpdate struct {
	Version uint64 `cbor:"1,keyasint"`
	// BaseVersion is the version that the changes apply to; 0 for a full configuration.
	BaseVersion     uint64            `cbor:"2,keyasint,omitempty"`
	Routes          []routing.Route   `cbor:"3,keyasint,omitempty"`
	Services        []routing.Service `cbor:"4,keyasint,omitempty"`
	Limits          routing.Limits    `cbor:"5,keyasint"`
	RemovedRoutes   []string          `cbor:"6,keyasint,omitempty"` // by routeKey
	RemovedServices []string          `cbor:"7,keyasint,omitempty"` // by name
	Tenants         []routing.Tenant  `cbor:"8,keyasint,omitempty"`
	RemovedTenants  []string          `cbor:"9,keyasint,omitempty"` // by name
}

// routeKey identifies a route within a configuration.
func routeKey(r *routing.Route) string { return strings.ToLower(r.Hostname) + " " + r.PathPrefix }

func serviceKey(s *routing.Service) string { return s.Name }

func tenantKey(t *routing.Tenant) string { return t.Name }

// FullConfig returns an update that holds the whole configuration.
func FullConfig(c *routing.Configuration) *ConfigUpdate {
	return &ConfigUpdate{
		Version:  c.Version,
		Routes:   c.Routes,
		Services: c.Services,
		Tenants:  c.Tenants,
		Limits:   c.Limits,
	}
}

// ConfigDelta returns the update that changes old into next.
func ConfigDelta(old, next *routing.Configuration) *ConfigUpdate {
	u := &ConfigUpdate{Version: next.Version, BaseVersion: old.Version, Limits: next.Limits}
	u.Routes, u.RemovedRoutes = changesBetween(old.Routes, next.Routes, routeKey)
	u.Services, u.RemovedServices = changesBetween(old.Services, next.Services, serviceKey)
	u.Tenants, u.RemovedTenants = changesBetween(old.Tenants, next.Tenants, tenantKey)
	return u
}

// changesBetween returns the items of next that are new or differ from old, and the keys of
// those that next lacks, each in the order of its list.
func changesBetween[V any](old, next []V, key func(*V) string) (changed []V, removed []string) {
	unmatched := make(map[string]*V, len(old))
	for i := range old {
		unmatched[key(&old[i])] = &old[i]
	}
	for i := range next {
		k := key(&next[i])
		if before := unmatched[k]; before == nil || !reflect.DeepEqual(*before, next[i]) {
			changed = append(changed, next[i])
		}
		delete(unmatched, k)
	}
	for i := range old {
		if k := key(&old[i]); unmatched[k] != nil {
			removed = append(removed, k)
		}
	}
	return changed, removed
}

// ApplyTo returns the configuration that results from applying u to old. old is the
// configuration that the receiver holds, or nil if it holds none. ApplyTo reports false if
// the base version of u is not the version of old, or if u is not newer than old.
func (u *ConfigUpdate) ApplyTo(old *routing.Configuration) (*routing.Configuration, bool) {
	if old != nil && old.Version >= u.Version {
		return nil, false
	}
	next := &routing.Configuration{
		Version:  u.Version,
		Routes:   u.Routes,
		Services: u.Services,
		Tenants:  u.Tenants,
		Limits:   u.Limits,
	}
	if u.BaseVersion == 0 {
		return next, true
	}
	if old == nil || old.Version != u.BaseVersion {
		return nil, false
	}
	next.Routes = withChanges(old.Routes, u.Routes, u.RemovedRoutes, routeKey)
	next.Services = withChanges(old.Services, u.Services, u.RemovedServices, serviceKey)
	next.Tenants = withChanges(old.Tenants, u.Tenants, u.RemovedTenants, tenantKey)
	return next, true
}

// withChanges returns the unchanged items of old, followed by the changed ones.
func withChanges[V any](old, changed []V, removed []string, key func(*V) string) []V {
	replaced := make(map[string]bool, len(changed)+len(removed))
	for i := range changed {
		replaced[key(&changed[i])] = true
	}
	for _, k := range removed {
		replaced[k] = true
	}
	result := make([]V, 0, len(old)+len(changed))
	for i := range old {
		// Skips computing the key if there are no changes.
		if len(replaced) == 0 || !replaced[key(&old[i])] {
			result = append(result, old[i])
		}
	}
	return append(result, changed...)
}
