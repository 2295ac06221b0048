package distribution

import (
	"reflect"
	"strings"

	"comethold/internal/routing"
)

// ConfigUpdate is a configuration as nodes get it: read and checked where it was taken,
// whole or as what changed since the version Base. To read the operator's text again
// on every node would hold up the requests of each for as long.
type ConfigUpdate struct {
	Version         uint64            `cbor:"1,keyasint"`
	BaseVersion     uint64            `cbor:"2,keyasint,omitempty"`
	Routes          []routing.Route   `cbor:"3,keyasint,omitempty"`
	Services        []routing.Service `cbor:"4,keyasint,omitempty"`
	Limits          routing.Limits    `cbor:"5,keyasint"`
	RemovedRoutes   []string          `cbor:"6,keyasint,omitempty"`
	RemovedServices []string          `cbor:"7,keyasint,omitempty"`
	Tenants         []routing.Tenant  `cbor:"8,keyasint,omitempty"`
	RemovedTenants  []string          `cbor:"9,keyasint,omitempty"`
}

// routeKey is what no two routes share.
func routeKey(r *routing.Route) string { return strings.ToLower(r.Hostname) + " " + r.PathPrefix }

func serviceKey(s *routing.Service) string { return s.Name }

func tenantKey(t *routing.Tenant) string { return t.Name }

// FullConfig tells all of a configuration.
func FullConfig(c *routing.Configuration) *ConfigUpdate {
	return &ConfigUpdate{Version: c.Version, Routes: c.Routes, Services: c.Services, Tenants: c.Tenants, Limits: c.Limits}
}

// ConfigDelta tells what makes next of old.
func ConfigDelta(old, next *routing.Configuration) *ConfigUpdate {
	c := &ConfigUpdate{Version: next.Version, BaseVersion: old.Version, Limits: next.Limits}
	c.Routes, c.RemovedRoutes = changesBetween(old.Routes, next.Routes, routeKey)
	c.Services, c.RemovedServices = changesBetween(old.Services, next.Services, serviceKey)
	c.Tenants, c.RemovedTenants = changesBetween(old.Tenants, next.Tenants, tenantKey)
	return c
}

func changesBetween[V any](old, next []V, key func(*V) string) (changed []V, gone []string) {
	had := make(map[string]*V, len(old))
	for i := range old {
		had[key(&old[i])] = &old[i]
	}
	for i := range next {
		k := key(&next[i])
		if o := had[k]; o == nil || !reflect.DeepEqual(*o, next[i]) {
			changed = append(changed, next[i])
		}
		delete(had, k)
	}
	for i := range old { // in order
		if k := key(&old[i]); had[k] != nil {
			gone = append(gone, k)
		}
	}
	return changed, gone
}

// ApplyTo makes the configuration out of the one that a holder has, which may be nil. It
// reports false where that is not the one that this builds on, or is not older.
func (c *ConfigUpdate) ApplyTo(old *routing.Configuration) (*routing.Configuration, bool) {
	if old != nil && old.Version >= c.Version || c.BaseVersion != 0 && (old == nil || old.Version != c.BaseVersion) {
		return nil, false
	}
	next := &routing.Configuration{Version: c.Version, Routes: c.Routes, Services: c.Services, Tenants: c.Tenants, Limits: c.Limits}
	if c.BaseVersion != 0 {
		next.Routes = withChanges(old.Routes, c.Routes, c.RemovedRoutes, routeKey)
		next.Services = withChanges(old.Services, c.Services, c.RemovedServices, serviceKey)
		next.Tenants = withChanges(old.Tenants, c.Tenants, c.RemovedTenants, tenantKey)
	}
	return next, true
}

func withChanges[V any](old, changed []V, gone []string, key func(*V) string) []V {
	out := make([]V, 0, len(old)+len(changed))
	left := make(map[string]bool, len(changed)+len(gone))
	for i := range changed {
		left[key(&changed[i])] = true
	}
	for _, k := range gone {
		left[k] = true
	}
	for i := range old {
		if len(left) == 0 || !left[key(&old[i])] {
			out = append(out, old[i])
		}
	}
	return append(out, changed...)
}
