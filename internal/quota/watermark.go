package quota

import "time"

// LowWatermarks returns the low watermarks to store, by tenant, and whether any of them must
// change. Until LowWatermarksStored is called, the higher of the old and the new one applies.
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
		watermark, move := b.nextLowWatermark(l.Depth * a.share)
		if move {
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

// LowWatermarksStored records that exactly these low watermarks are stored.
func (a *Allocator) LowWatermarksStored(watermarks map[string]float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for tenant, b := range a.buckets {
		b.lowWatermark = watermarks[tenant]
	}
	clear(a.orphanWatermarks)
}

// Restore sets the low watermarks that a former incarnation stored. If its share was
// uninterrupted, no other node has had it since, so the slices start with these tokens;
// nothing is added for the time since then. Otherwise the slices stay empty, but the
// watermarks apply until others are stored.
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
