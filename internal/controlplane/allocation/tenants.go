package allocation

import (
	"sync"
	"time"

	"comethold/internal/quota"
	"comethold/internal/routing"
)

// Tenants brings the quotas of tenants into force in this node's allocator.
type Tenants struct {
	rules     quota.Rules
	allocator *quota.Allocator

	mu        sync.Mutex // guards the fields below
	version   uint64     // of the configuration whose tenants are in force
	hasLimits bool       // some of them have limits
}

// NewTenants returns Tenants without any in force.
func NewTenants(rules quota.Rules, allocator *quota.Allocator) *Tenants {
	return &Tenants{rules: rules, allocator: allocator}
}

// SetTenants takes the tenants of a configuration that is in force. An older one than before
// is passed over.
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
