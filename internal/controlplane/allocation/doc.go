// Package allocation divides rate limits and quotas among the nodes that enforce them.
//
// Shares. The leader of the meta cell divides the services' rate limits and the tenants'
// quotas: each node leases a share in thousandths. shareAllocator computes the shares, and
// ShareService commits them to the replicated state and answers requests. Data plane nodes
// and object caches hold shares of the rate limits; control nodes hold shares of the quotas.
//
// Tenants' quotas. Each control node has a slice of every tenant's token bucket in a
// quota.Allocator. TenantLimits applies the limits of a configuration, QuotaShareRenewer renews the
// lease on this node's share, TokenServer grants tokens to data plane nodes and borrows missing
// tokens from other control nodes, and WatermarkStore stores a lower bound of each bucket's level
// on disk, so that buckets are not empty after a restart.
//
// A node uses its share until the lease expires by the node's clock; the lease starts just before
// the node sends the request. The leader reassigns a share only if it sees no renewal for a multiple
// of the lease duration, which allows for clocks that run at different rates. So the shares in use
// never add up to more than the whole limit.
package allocation
