package quota

import (
	"sync"
	"time"
)

// Bank is one registrar's slice of every tenant's bucket.
type Bank struct {
	mu      sync.Mutex
	share   float64 // of every bucket, 0 to 1
	until   time.Time
	since   time.Time // the share is held without a gap since then
	terms   map[string]Terms
	buckets map[string]*bucket
}

type bucket struct {
	level float64
	at    time.Time // of level
	gone  time.Time // since when the tenant has no terms
}

const (
	// known is how long a bank remembers the bucket of a tenant that is no more, and
	// how long it must have held its share to know that a tenant is new: one that it
	// has not met in that time finds its slice full, others find what is left.
	known = 30 * time.Second
	// longBack bounds how long the refused are told to stay away.
	longBack = 2 * time.Second
)

// NewBank makes a bank that holds no share.
func NewBank() *Bank { return &Bank{terms: map[string]Terms{}, buckets: map[string]*bucket{}} }

func (b *Bank) held(now time.Time) float64 {
	if !now.Before(b.until) {
		return 0
	}
	return b.share
}

// Share returns the share held now, and whether there is a lease on one at all.
func (b *Bank) Share(now time.Time) (share float64, leased bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held(now), now.Before(b.until)
}

// Shrink gives up a part of the share from now on.
func (b *Bank) Shrink(share float64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if share < b.share {
		b.settleLocked(now)
		b.share = share
		b.settleLocked(now) // the slices are shallower now
	}
}

// Renew takes the share that was granted, good until a moment of this node's clock.
// A share that was not held just now is one of which nothing is known: another, or a
// former life, may have granted all that it held. Its slices begin empty.
func (b *Bank) Renew(share float64, until, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.held(now) > 0 {
		b.settleLocked(now)
	} else {
		clear(b.buckets)
		b.since = now
		for name := range b.terms {
			b.buckets[name] = &bucket{at: now}
		}
	}
	b.share, b.until = share, until
}

// SetTenants takes the tenants that there are now.
func (b *Bank) SetTenants(terms map[string]Terms, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.settleLocked(now)
	b.terms = terms
	for name, t := range terms {
		old := b.buckets[name]
		switch {
		case old != nil:
			old.gone = time.Time{}
			old.level = min(old.level, t.Depth*b.share)
		case b.held(now) > 0 && now.Sub(b.since) >= known:
			b.buckets[name] = &bucket{level: t.Depth * b.share, at: now}
		default:
			b.buckets[name] = &bucket{at: now}
		}
	}
	for name, k := range b.buckets {
		if _, ok := terms[name]; !ok && k.gone.IsZero() {
			k.gone, k.level = now, 0
		} else if !k.gone.IsZero() && now.Sub(k.gone) > known {
			delete(b.buckets, name)
		}
	}
}

// settleLocked brings all buckets up to date, before what they depend on changes.
func (b *Bank) settleLocked(now time.Time) {
	for name, k := range b.buckets {
		b.fillLocked(name, k, now)
	}
}

func (b *Bank) fillLocked(name string, k *bucket, now time.Time) {
	t := b.terms[name]
	if d := now.Sub(k.at); d > 0 {
		if now.Before(b.until) {
			k.level += t.Rate * b.share * d.Seconds()
		}
		k.at = now
	}
	k.level = min(k.level, t.Depth*b.share)
}

// Take grants up to n tokens, and says when one more will be there if fewer were.
// Unknown tenants get none.
func (b *Bank) Take(tenant string, n int, now time.Time) (granted int, back time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	k, t, share := b.openLocked(tenant, now)
	if k == nil || n <= 0 {
		return 0, longBack
	}
	granted = min(n, max(0, int(k.level)))
	k.level -= float64(granted)
	if granted < n {
		back = min(longBack, time.Duration((1-k.level)/(t.Rate*share)*float64(time.Second)))
	}
	return granted, back
}

// Draw takes up to so many tokens out of the slice, parts of a token too.
func (b *Bank) Draw(tenant string, most float64, now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	k, _, _ := b.openLocked(tenant, now)
	if k == nil {
		return 0
	}
	x := max(0, min(most, k.level))
	k.level -= x
	return x
}

// Put lays what was drawn here or lent by others into the slice, as far as it has room.
func (b *Bank) Put(tenant string, x float64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if k, t, share := b.openLocked(tenant, now); k != nil {
		k.level = min(k.level+x, t.Depth*share)
	}
}

// openLocked returns a tenant's bucket as it is now, or nil if nothing may be taken.
func (b *Bank) openLocked(tenant string, now time.Time) (*bucket, Terms, float64) {
	t, ok := b.terms[tenant]
	k := b.buckets[tenant]
	share := b.held(now)
	if !ok || k == nil || share <= 0 {
		return nil, t, 0
	}
	b.fillLocked(tenant, k, now)
	return k, t, share
}
