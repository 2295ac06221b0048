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
	stray   map[string]float64 // floors that the disk holds of tenants that have no bucket
}

type bucket struct {
	level float64
	at    time.Time // of level
	gone  time.Time // since when the tenant has no terms
	// floor is what the disk says that the bucket holds, or more while the disk is being
	// told: nothing is granted below it, so that a life that begins may go by it.
	floor float64
}

// free is what may be taken.
func (k *bucket) free() float64 { return max(0, k.level-k.floor) }

const (
	// known is how long a bank remembers the bucket of a tenant that is no more, and
	// how long it must have held its share to know that a tenant is new: one that it
	// has not met in that time finds its slice full, others find what is left.
	known = 30 * time.Second
	// longBack bounds how long the refused are told to stay away.
	longBack = 2 * time.Second
)

// NewBank makes a bank that holds no share.
func NewBank() *Bank {
	return &Bank{terms: map[string]Terms{}, buckets: map[string]*bucket{}, stray: map[string]float64{}}
}

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
		b.since = now
		for _, k := range b.buckets { // what the disk says of them stands
			k.level, k.at = 0, now
		}
		for name := range b.terms {
			b.makeLocked(name, 0, now)
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
			b.makeLocked(name, t.Depth*b.share, now)
		default:
			b.makeLocked(name, 0, now)
		}
	}
	for name, k := range b.buckets {
		if _, ok := terms[name]; !ok && k.gone.IsZero() {
			k.gone, k.level = now, 0
		} else if !k.gone.IsZero() && now.Sub(k.gone) > known {
			if delete(b.buckets, name); k.floor > 0 {
				b.stray[name] = k.floor
			}
		}
	}
}

// makeLocked makes a tenant's bucket, if it has none.
func (b *Bank) makeLocked(name string, level float64, now time.Time) {
	if b.buckets[name] == nil {
		b.buckets[name] = &bucket{level: level, at: now, floor: b.stray[name]}
		delete(b.stray, name)
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
	granted = min(n, int(k.free()))
	k.level -= float64(granted)
	if granted < n {
		back = min(longBack, time.Duration((1-k.free())/(t.Rate*share)*float64(time.Second)))
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
	x := max(0, min(most, k.free()))
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

const (
	floorPart = 0.5   // of a level that the disk vouches for
	floorLow  = 0.125 // of a slice: with less than that free the floor is lowered
	floorFull = 0.8   // of a slice: from that level on the floor is raised
)

// Floors works out floors for the disk, if some of them ought to move. Until FloorsKept
// says that they are on the disk, the old ones hold where they are higher.
func (b *Bank) Floors(now time.Time) (floors map[string]float64, due bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.held(now) <= 0 {
		return nil, false
	}
	b.settleLocked(now)
	floors, due = map[string]float64{}, len(b.stray) > 0
	for name, k := range b.buckets {
		t, ok := b.terms[name]
		if !ok {
			continue
		}
		depth, want := t.Depth*b.share, k.floor
		switch to := floorPart * k.level; {
		case k.floor > 0 && k.free() < floorLow*depth:
			want = 0
			if to >= 1 {
				want = to
			}
			due = true
		case k.level >= floorFull*depth && to > 1.5*k.floor+0.5:
			want = to
			due = true
		}
		if want > 0 {
			floors[name] = want
		}
	}
	if due {
		for name, k := range b.buckets {
			k.floor = max(k.floor, floors[name])
		}
	}
	return floors, due
}

// FloorsKept notes that these floors, and none but these, are on the disk.
func (b *Bank) FloorsKept(floors map[string]float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for name, k := range b.buckets {
		k.floor = floors[name]
	}
	clear(b.stray)
}

// Restore takes the floors that a former life left on the disk. Where its share has not
// been anybody's since, the slices hold these at least; no time is reckoned in. Where it
// may have been, they hold nothing, but the disk says what it says until it is told anew.
func (b *Bank) Restore(floors map[string]float64, kept bool, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.settleLocked(now)
	for name, x := range floors {
		k := b.buckets[name]
		if k == nil {
			b.stray[name] = x
			continue
		}
		k.floor = x
		if kept {
			k.level = min(k.level+x, b.terms[name].Depth*b.share)
		}
	}
}
