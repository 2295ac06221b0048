package allocation

import (
	"sync"
	"time"

	"comethold/internal/quota"
	"comethold/internal/routing"
)

// TenantLimits applies the tenants' limits of a configuration to this node's allocator.
type TenantLimits struct {
	bounds    quota.AdmissionBounds
	allocator *quota.Allocator

	mu        sync.Mutex // guards the fields below
	version   uint64     // of the configuration applied last
	hasLimits bool       // whether any of its tenants has limits
}

// NewTenantLimits returns TenantLimits that has not applied a configuration yet.
func NewTenantLimits(bounds quota.AdmissionBounds, allocator *quota.Allocator) *TenantLimits {
	return &TenantLimits{bounds: bounds, allocator: allocator}
}

// Apply applies the tenants' limits of a configuration. It ignores a configuration that is not newer
// than the one applied last.
func (t *TenantLimits) Apply(configuration *routing.Configuration) {
	limits := map[string]quota.BucketLimits{}
	for _, tenant := range configuration.Tenants {
		tenantLimits := t.bounds.LimitsFor(tenant.RatePerSecond, tenant.BurstSize)
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

// HasLimits reports whether any tenant has limits.
func (t *TenantLimits) HasLimits() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.hasLimits
}
