package quota

import (
	"sync"
	"time"
)

const (
	// bucketMemory is how long the bucket of a removed tenant is kept. If the share has been
	// held for so long, a tenant without a bucket is new and starts with a full slice;
	// otherwise it starts with an empty one.
	bucketMemory = 30 * time.Second
	// maxRetryDelay bounds the RetryAfterMs of grants.
	maxRetryDelay = 2 * time.Second
)

// Allocator is one control node's slice of every tenant's bucket. It is safe for
// concurrent use.
type Allocator struct {
	mu          sync.Mutex // guards the fields below
	share       float64    // of every bucket, 0 to 1
	leaseExpiry time.Time  // of the share
	heldSince   time.Time  // the share has been held without a gap since then
	limits      map[string]BucketLimits
	buckets     map[string]*bucket
	// orphanWatermarks are stored low watermarks of tenants that have no bucket.
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

// Share returns the share held now, and whether there is a lease on one at all.
func (a *Allocator) Share(now time.Time) (share float64, leased bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.shareLocked(now), a.leasedLocked(now)
}

// Shrink reduces the share held from now on. A greater share changes nothing.
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

// Renew sets the granted share, which expires at expiry by this node's clock. If no share was
// held just before, another node or a former incarnation may have granted its tokens, so the
// slices start empty.
func (a *Allocator) Renew(share float64, expiry, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.shareLocked(now) > 0 {
		a.refillAllLocked(now)
	} else {
		a.heldSince = now
		for _, b := range a.buckets { // their low watermarks on the disk stand
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
		if a.shareLocked(now) > 0 && now.Sub(a.heldSince) >= bucketMemory {
			level = depth
		}
		a.addBucketLocked(tenant, level, now)
	}
	a.expireRemovedLocked(now)
}

// expireRemovedLocked marks the buckets of tenants that have no limits any more, and drops
// those that were marked long ago.
func (a *Allocator) expireRemovedLocked(now time.Time) {
	for tenant, b := range a.buckets {
		_, limited := a.limits[tenant]
		switch {
		case !limited && b.removedAt.IsZero():
			b.removedAt = now
			b.level = 0
		case !b.removedAt.IsZero() && now.Sub(b.removedAt) > bucketMemory:
			delete(a.buckets, tenant)
			if b.lowWatermark > 0 {
				a.orphanWatermarks[tenant] = b.lowWatermark
			}
		}
	}
}

// Take grants up to n whole tokens. If fewer are granted, retryAfter is the time until the next
// one is available. Unknown tenants get none.
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

// Withdraw takes up to most tokens, including fractions, from the slice and returns the
// amount.
func (a *Allocator) Withdraw(tenant string, most float64, now time.Time) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	b := a.activeBucketLocked(tenant, now)
	if b == nil {
		return 0
	}
	taken := max(0, min(most, b.available()))
	b.level -= taken
	return taken
}

// Deposit adds tokens that were withdrawn here or lent by another node, up to the depth of the
// slice.
func (a *Allocator) Deposit(tenant string, tokens float64, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if b := a.activeBucketLocked(tenant, now); b != nil {
		b.level = min(b.level+tokens, a.limits[tenant].Depth*a.share)
	}
}

// leasedLocked reports whether the lease on the share runs.
func (a *Allocator) leasedLocked(now time.Time) bool { return now.Before(a.leaseExpiry) }

// shareLocked returns the share held now.
func (a *Allocator) shareLocked(now time.Time) float64 {
	if !a.leasedLocked(now) {
		return 0
	}
	return a.share
}

// activeBucketLocked returns a tenant's bucket as it is now, or nil if nothing may be taken.
func (a *Allocator) activeBucketLocked(tenant string, now time.Time) *bucket {
	b := a.buckets[tenant]
	if _, limited := a.limits[tenant]; !limited || b == nil || a.shareLocked(now) <= 0 {
		return nil
	}
	a.refillLocked(tenant, b, now)
	return b
}

// addBucketLocked adds a tenant's bucket, if it has none.
func (a *Allocator) addBucketLocked(tenant string, level float64, now time.Time) {
	if a.buckets[tenant] != nil {
		return
	}
	a.buckets[tenant] = &bucket{level: level, updatedAt: now, lowWatermark: a.orphanWatermarks[tenant]}
	delete(a.orphanWatermarks, tenant)
}

// refillAllLocked brings all buckets up to date, before what they depend on changes.
func (a *Allocator) refillAllLocked(now time.Time) {
	for tenant, b := range a.buckets {
		a.refillLocked(tenant, b, now)
	}
}

func (a *Allocator) refillLocked(tenant string, b *bucket, now time.Time) {
	l := a.limits[tenant]
	b.refill(l.Rate*a.share, l.Depth*a.share, a.leasedLocked(now), now)
}
