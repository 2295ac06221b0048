package quota

import "time"

// LowWatermarks returns the low watermarks by tenant, and whether they must be stored. Until
// LowWatermarksStored is called, the higher of the old and the new watermark of a tenant applies.
func (a *Allocator) LowWatermarks(now time.Time) (watermarks map[string]float64, due bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.shareLocked(now) <= 0 {
		return nil, false
	}
	a.refillAllLocked(now)
	watermarks = map[string]float64{}
	due = len(a.orphanWatermarks) > 0
	for tenant, b := range a.buckets {
		l, limited := a.limits[tenant]
		if !limited {
			continue
		}
		watermark, replace := b.nextLowWatermark(l.Depth * a.share)
		if replace {
			due = true
		}
		if watermark > 0 {
			watermarks[tenant] = watermark
		}
	}
	if due {
		for tenant, b := range a.buckets {
			b.lowWatermark = max(b.lowWatermark, watermarks[tenant])
		}
	}
	return watermarks, due
}

// LowWatermarksStored records that the disk holds exactly these low watermarks.
func (a *Allocator) LowWatermarksStored(watermarks map[string]float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for tenant, b := range a.buckets {
		b.lowWatermark = watermarks[tenant]
	}
	clear(a.orphanWatermarks)
}

// Restore sets the low watermarks that a former incarnation stored. If uninterrupted is true, no
// other node has held the share since then, so each slice gets as many tokens as its watermark;
// no tokens are added for the time since the watermarks were stored. Otherwise the slices stay
// empty. In both cases the watermarks apply until others are stored.
func (a *Allocator) Restore(watermarks map[string]float64, uninterrupted bool, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refillAllLocked(now)
	for tenant, watermark := range watermarks {
		b := a.buckets[tenant]
		if b == nil {
			a.orphanWatermarks[tenant] = watermark
			continue
		}
		b.lowWatermark = watermark
		if uninterrupted {
			b.level = min(b.level+watermark, a.limits[tenant].Depth*a.share)
		}
	}
}
