// Package allocation divides limits that many nodes share.
//
// Shares. The leader of the meta cell divides the services' rate limits and the tenants'
// quotas: each node leases a share in thousandths. shareAllocator computes the shares, and
// ShareService commits them to the replicated state and answers requests. Data plane nodes
// and object caches hold shares of the rate limits; control nodes hold shares of the quotas.
//
// Tenants' quotas. Each control node has a slice of every tenant's token bucket in a
// quota.Allocator. TenantLimits applies the limits of a configuration, QuotaShareRenewer renews the
// lease on this node's share, TokenServer grants tokens to data plane nodes and borrows missing
// ones from other control nodes, and WatermarkStore stores a lower bound of each bucket's level
// on disk, so that buckets are not empty after a restart.
//
// A node uses its share only until the lease expires by its own clock, counted from before it
// sent the request. The leader reassigns the share only after it has seen it unrenewed for a
// multiple of the lease. So the shares in use never exceed the whole.
package allocation
