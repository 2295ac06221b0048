package quota

import (
	"sync"
	"time"
)

// Allocator is one registrar's slice of every tenant's bucket.
type Allocator struct {
	mu               sync.Mutex
	share            float64 // of every bucket, 0 to 1
	leaseExpiry      time.Time
	heldSince        time.Time // the share is held without a gap since then
	limits           map[string]BucketLimits
	buckets          map[string]*bucket
	orphanWatermarks map[string]float64 // floors that the disk holds of tenants that have no bucket
}

type bucket struct {
	level     float64
	updatedAt time.Time // of level
	removedAt time.Time // since when the tenant has no terms
	// lowWatermark is what the disk says that the bucket holds, or more while the disk is being
	// told: nothing is granted below it, so that a life that begins may go by it.
	lowWatermark float64
}

// available is what may be taken.
func (k *bucket) available() float64 { return max(0, k.level-k.lowWatermark) }

const (
	// bucketMemory is how long a bank remembers the bucket of a tenant that is no more, and
	// how long it must have held its share to know that a tenant is new: one that it
	// has not met in that time finds its slice full, others find what is left.
	bucketMemory = 30 * time.Second
	// maxRetryDelay bounds how long the refused are told to stay away.
	maxRetryDelay = 2 * time.Second
)

// NewAllocator makes a bank that holds no share.
func NewAllocator() *Allocator {
	return &Allocator{limits: map[string]BucketLimits{}, buckets: map[string]*bucket{}, orphanWatermarks: map[string]float64{}}
}

func (b *Allocator) shareLocked(now time.Time) float64 {
	if !now.Before(b.leaseExpiry) {
		return 0
	}
	return b.share
}

// Share returns the share held now, and whether there is a lease on one at all.
func (b *Allocator) Share(now time.Time) (share float64, leased bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.shareLocked(now), now.Before(b.leaseExpiry)
}

// Shrink gives up a part of the share from now on.
func (b *Allocator) Shrink(share float64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if share < b.share {
		b.refillAllLocked(now)
		b.share = share
		b.refillAllLocked(now) // the slices are shallower now
	}
}

// Renew takes the share that was granted, good until a moment of this node's clock.
// A share that was not held just now is one of which nothing is known: another, or a
// former life, may have granted all that it held. Its slices begin empty.
func (b *Allocator) Renew(share float64, until, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.shareLocked(now) > 0 {
		b.refillAllLocked(now)
	} else {
		b.heldSince = now
		for _, k := range b.buckets { // what the disk says of them stands
			k.level, k.updatedAt = 0, now
		}
		for name := range b.limits {
			b.addBucketLocked(name, 0, now)
		}
	}
	b.share, b.leaseExpiry = share, until
}

// SetTenants takes the tenants that there are now.
func (b *Allocator) SetTenants(terms map[string]BucketLimits, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refillAllLocked(now)
	b.limits = terms
	for name, t := range terms {
		old := b.buckets[name]
		switch {
		case old != nil:
			old.removedAt = time.Time{}
			old.level = min(old.level, t.Depth*b.share)
		case b.shareLocked(now) > 0 && now.Sub(b.heldSince) >= bucketMemory:
			b.addBucketLocked(name, t.Depth*b.share, now)
		default:
			b.addBucketLocked(name, 0, now)
		}
	}
	for name, k := range b.buckets {
		if _, ok := terms[name]; !ok && k.removedAt.IsZero() {
			k.removedAt, k.level = now, 0
		} else if !k.removedAt.IsZero() && now.Sub(k.removedAt) > bucketMemory {
			if delete(b.buckets, name); k.lowWatermark > 0 {
				b.orphanWatermarks[name] = k.lowWatermark
			}
		}
	}
}

// addBucketLocked makes a tenant's bucket, if it has none.
func (b *Allocator) addBucketLocked(name string, level float64, now time.Time) {
	if b.buckets[name] == nil {
		b.buckets[name] = &bucket{level: level, updatedAt: now, lowWatermark: b.orphanWatermarks[name]}
		delete(b.orphanWatermarks, name)
	}
}

// refillAllLocked brings all buckets up to date, before what they depend on changes.
func (b *Allocator) refillAllLocked(now time.Time) {
	for name, k := range b.buckets {
		b.refillLocked(name, k, now)
	}
}

func (b *Allocator) refillLocked(name string, k *bucket, now time.Time) {
	t := b.limits[name]
	if d := now.Sub(k.updatedAt); d > 0 {
		if now.Before(b.leaseExpiry) {
			k.level += t.Rate * b.share * d.Seconds()
		}
		k.updatedAt = now
	}
	k.level = min(k.level, t.Depth*b.share)
}

// Take grants up to n tokens, and says when one more will be there if fewer were.
// Unknown tenants get none.
func (b *Allocator) Take(tenant string, n int, now time.Time) (granted int, back time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	k, t, share := b.activeBucketLocked(tenant, now)
	if k == nil || n <= 0 {
		return 0, maxRetryDelay
	}
	granted = min(n, int(k.available()))
	k.level -= float64(granted)
	if granted < n {
		back = min(maxRetryDelay, time.Duration((1-k.available())/(t.Rate*share)*float64(time.Second)))
	}
	return granted, back
}

// Withdraw takes up to so many tokens out of the slice, parts of a token too.
func (b *Allocator) Withdraw(tenant string, most float64, now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	k, _, _ := b.activeBucketLocked(tenant, now)
	if k == nil {
		return 0
	}
	x := max(0, min(most, k.available()))
	k.level -= x
	return x
}

// Deposit lays what was drawn here or lent by others into the slice, as far as it has room.
func (b *Allocator) Deposit(tenant string, x float64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if k, t, share := b.activeBucketLocked(tenant, now); k != nil {
		k.level = min(k.level+x, t.Depth*share)
	}
}

// activeBucketLocked returns a tenant's bucket as it is now, or nil if nothing may be taken.
func (b *Allocator) activeBucketLocked(tenant string, now time.Time) (*bucket, BucketLimits, float64) {
	t, ok := b.limits[tenant]
	k := b.buckets[tenant]
	share := b.shareLocked(now)
	if !ok || k == nil || share <= 0 {
		return nil, t, 0
	}
	b.refillLocked(tenant, k, now)
	return k, t, share
}

const (
	watermarkFraction = 0.5   // of a level that the disk vouches for
	lowerThreshold    = 0.125 // of a slice: with less than that free the floor is lowered
	raiseThreshold    = 0.8   // of a slice: from that level on the floor is raised
)

// LowWatermarks works out floors for the disk, if some of them ought to move. Until FloorsKept
// says that they are on the disk, the old ones hold where they are higher.
func (b *Allocator) LowWatermarks(now time.Time) (floors map[string]float64, due bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.shareLocked(now) <= 0 {
		return nil, false
	}
	b.refillAllLocked(now)
	floors, due = map[string]float64{}, len(b.orphanWatermarks) > 0
	for name, k := range b.buckets {
		t, ok := b.limits[name]
		if !ok {
			continue
		}
		depth, want := t.Depth*b.share, k.lowWatermark
		switch to := watermarkFraction * k.level; {
		case k.lowWatermark > 0 && k.available() < lowerThreshold*depth:
			want = 0
			if to >= 1 {
				want = to
			}
			due = true
		case k.level >= raiseThreshold*depth && to > 1.5*k.lowWatermark+0.5:
			want = to
			due = true
		}
		if want > 0 {
			floors[name] = want
		}
	}
	if due {
		for name, k := range b.buckets {
			k.lowWatermark = max(k.lowWatermark, floors[name])
		}
	}
	return floors, due
}

// LowWatermarksStored notes that these floors, and none but these, are on the disk.
func (b *Allocator) LowWatermarksStored(floors map[string]float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for name, k := range b.buckets {
		k.lowWatermark = floors[name]
	}
	clear(b.orphanWatermarks)
}

// Restore takes the floors that a former life left on the disk. Where its share has not
// been anybody's since, the slices hold these at least; no time is reckoned in. Where it
// may have been, they hold nothing, but the disk says what it says until it is told anew.
func (b *Allocator) Restore(floors map[string]float64, kept bool, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refillAllLocked(now)
	for name, x := range floors {
		k := b.buckets[name]
		if k == nil {
			b.orphanWatermarks[name] = x
			continue
		}
		k.lowWatermark = x
		if kept {
			k.level = min(k.level+x, b.limits[name].Depth*b.share)
		}
	}
}
