package quota

import (
	"sync"
	"time"
)

const (
	// removedBucketRetention is how long the bucket of a removed tenant is kept. If the share
	// has been held for at least this long, a tenant without a bucket is new and starts with
	// a full slice. Otherwise its tokens may have been granted recently, so it starts with an
	// empty slice.
	removedBucketRetention = 30 * time.Second
	// maxRetryDelay bounds TenantGrant.RetryAfterMs.
	maxRetryDelay = 2 * time.Second
)

// Allocator holds one control node's slice of every tenant's bucket and grants tokens from
// it. It is safe for concurrent use.
type Allocator struct {
	mu          sync.Mutex // guards the fields below
	share       float64    // fraction of every bucket, 0 to 1
	leaseExpiry time.Time  // of the share
	heldSince   time.Time  // start of the current period in which the share is held without a gap
	limits      map[string]BucketLimits
	buckets     map[string]*bucket
	// orphanWatermarks holds the stored low watermarks of tenants that have no bucket.
	orphanWatermarks map[string]float64
}

// NewAllocator returns an allocator that holds no share.
func NewAllocator() *Allocator {
	return &Allocator{
		limits:           map[string]BucketLimits{},
		buckets:          map[string]*bucket{},
		orphanWatermarks: map[string]float64{},
	}
}

// Share returns the share held now, and whether its lease is valid. The share of a valid lease
// may be 0.
func (a *Allocator) Share(now time.Time) (share float64, leased bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.shareLocked(now), a.leasedLocked(now)
}

// Shrink reduces the share. It has no effect unless share is less than the current one.
func (a *Allocator) Shrink(share float64, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if share >= a.share {
		return
	}
	a.refillAllLocked(now)
	a.share = share
	a.refillAllLocked(now) // caps the levels at the new depths
}

// Renew sets the granted share, which expires at expiry by this node's clock. If the previous
// share was 0 or has expired, another node or a former incarnation may have granted tokens of the
// new share, so the slices start empty.
func (a *Allocator) Renew(share float64, expiry, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.shareLocked(now) > 0 {
		a.refillAllLocked(now)
	} else {
		a.heldSince = now
		for _, b := range a.buckets { // the low watermarks on disk still apply
			b.level = 0
			b.updatedAt = now
		}
		for tenant := range a.limits {
			a.addBucketLocked(tenant, 0, now)
		}
	}
	a.share = share
	a.leaseExpiry = expiry
}

// SetTenants replaces the tenants and their limits.
func (a *Allocator) SetTenants(limits map[string]BucketLimits, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refillAllLocked(now)
	a.limits = limits
	for tenant, l := range limits {
		depth := l.Depth * a.share
		if b := a.buckets[tenant]; b != nil {
			b.removedAt = time.Time{}
			b.level = min(b.level, depth)
			continue
		}
		level := 0.0
		if a.shareLocked(now) > 0 && now.Sub(a.heldSince) >= removedBucketRetention {
			level = depth
		}
		a.addBucketLocked(tenant, level, now)
	}
	a.expireRemovedLocked(now)
}

// expireRemovedLocked empties the buckets of tenants that no longer have limits, and deletes
// each of them after removedBucketRetention.
func (a *Allocator) expireRemovedLocked(now time.Time) {
	for tenant, b := range a.buckets {
		_, limited := a.limits[tenant]
		switch {
		case !limited && b.removedAt.IsZero():
			b.removedAt = now
			b.level = 0
		case !b.removedAt.IsZero() && now.Sub(b.removedAt) > removedBucketRetention:
			delete(a.buckets, tenant)
			if b.lowWatermark > 0 {
				a.orphanWatermarks[tenant] = b.lowWatermark
			}
		}
	}
}

// Take grants up to n whole tokens. If fewer are granted, retryAfter is the time until the next
// one is available, at most maxRetryDelay. Unknown tenants get none.
func (a *Allocator) Take(tenant string, n int, now time.Time) (granted int, retryAfter time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	b := a.activeBucketLocked(tenant, now)
	if b == nil || n <= 0 {
		return 0, maxRetryDelay
	}
	granted = min(n, int(b.available()))
	b.level -= float64(granted)
	if granted < n {
		rate := a.limits[tenant].Rate * a.share
		nextToken := time.Duration((1 - b.available()) / rate * float64(time.Second))
		retryAfter = min(maxRetryDelay, nextToken)
	}
	return granted, retryAfter
}

// Withdraw removes up to maxTokens tokens, including fractions, from the slice and returns the
// amount.
func (a *Allocator) Withdraw(tenant string, maxTokens float64, now time.Time) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	b := a.activeBucketLocked(tenant, now)
	if b == nil {
		return 0
	}
	taken := max(0, min(maxTokens, b.available()))
	b.level -= taken
	return taken
}

// Deposit adds tokens to the slice, up to its depth. The tokens come from Withdraw or from a
// loan of another node.
func (a *Allocator) Deposit(tenant string, tokens float64, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if b := a.activeBucketLocked(tenant, now); b != nil {
		b.level = min(b.level+tokens, a.limits[tenant].Depth*a.share)
	}
}

// leasedLocked reports whether the lease on the share is valid.
func (a *Allocator) leasedLocked(now time.Time) bool { return now.Before(a.leaseExpiry) }

// shareLocked returns the share held now.
func (a *Allocator) shareLocked(now time.Time) float64 {
	if !a.leasedLocked(now) {
		return 0
	}
	return a.share
}

// activeBucketLocked returns a tenant's bucket, refilled up to now. It returns nil if no tokens
// may be taken: the tenant has no limits or no bucket, or no share is held.
func (a *Allocator) activeBucketLocked(tenant string, now time.Time) *bucket {
	b := a.buckets[tenant]
	if _, limited := a.limits[tenant]; !limited || b == nil || a.shareLocked(now) <= 0 {
		return nil
	}
	a.refillLocked(tenant, b, now)
	return b
}

// addBucketLocked adds a bucket for a tenant that has none.
func (a *Allocator) addBucketLocked(tenant string, level float64, now time.Time) {
	if a.buckets[tenant] != nil {
		return
	}
	a.buckets[tenant] = &bucket{level: level, updatedAt: now, lowWatermark: a.orphanWatermarks[tenant]}
	delete(a.orphanWatermarks, tenant)
}

// refillAllLocked refills all buckets up to now. It must be called before the share, its lease
// or the limits change.
func (a *Allocator) refillAllLocked(now time.Time) {
	for tenant, b := range a.buckets {
		a.refillLocked(tenant, b, now)
	}
}

func (a *Allocator) refillLocked(tenant string, b *bucket, now time.Time) {
	l := a.limits[tenant]
	b.refill(l.Rate*a.share, l.Depth*a.share, a.leasedLocked(now), now)
}
