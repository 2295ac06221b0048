package allocation

import (
	"sync"
	"time"

	"comethold/internal/quota"
	"comethold/internal/routing"
)

// Tenants applies the quotas of tenants to this node's allocator.
type Tenants struct {
	rules     quota.AdmissionBounds
	allocator *quota.Allocator

	mu        sync.Mutex // guards the fields below
	version   uint64     // of the configuration that was applied last
	hasLimits bool       // some of its tenants have limits
}

// NewTenants returns Tenants that have applied no configuration.
func NewTenants(rules quota.AdmissionBounds, allocator *quota.Allocator) *Tenants {
	return &Tenants{rules: rules, allocator: allocator}
}

// SetTenants applies the tenants of a configuration, unless it is not newer than the last.
func (t *Tenants) SetTenants(configuration *routing.Configuration) {
	limits := map[string]quota.BucketLimits{}
	for _, tenant := range configuration.Tenants {
		tenantLimits := t.rules.LimitsFor(tenant.RatePerSecond, tenant.BurstSize)
		if tenantLimits.Limited() {
			limits[tenant.Name] = tenantLimits
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if configuration.Version <= t.version {
		return
	}
	t.version = configuration.Version
	t.hasLimits = len(limits) > 0
	t.allocator.SetTenants(limits, time.Now())
}

// HasLimits reports whether some tenants have limits.
func (t *Tenants) HasLimits() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.hasLimits
}
