// Package allocation divides limits that many nodes share.
//
// Shares. A rate limit of a service, or the tenants' quotas, is divided by the leader of the
// meta cell: each holder leases a number of thousandths. shareAllocator works out who may have
// how much, and ShareService commits that in the replicated state and answers requests. Data
// plane nodes and object caches hold shares of the rate limits; control nodes hold shares of
// the quotas.
//
// Tenants' quotas. Each control node has a slice of every tenant's token bucket in a
// quota.Allocator. Tenants brings the limits of a configuration into force, QuotaShareRenewer
// keeps the lease on this node's share, TokenServer grants tokens to data plane nodes and
// borrows what is missing from other control nodes, and WatermarkStore keeps on the disk how
// full the buckets are at least, so that a restart need not begin with empty ones.
//
// A share is used only while its lease runs by the clock of the holder, counted from before
// it asked. It is given to others only after the leader has seen it unrenewed for much longer
// than that. So the shares in use never exceed the whole.
package allocation
