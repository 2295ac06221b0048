package quota

import "time"

// LowWatermarks returns the low watermarks to write to the disk, by tenant, and whether any
// of them ought to move. Until LowWatermarksStored says that they are on the disk, the old
// ones hold where they are higher.
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

// LowWatermarksStored records that these low watermarks, and none but these, are on the disk.
func (a *Allocator) LowWatermarksStored(watermarks map[string]float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for tenant, b := range a.buckets {
		b.lowWatermark = watermarks[tenant]
	}
	clear(a.orphanWatermarks)
}

// Restore takes the low watermarks that a former incarnation left on the disk. If its share
// was uninterrupted, no other node has had it since, and the slices hold these tokens at
// least; no time since then is counted. Otherwise the slices hold nothing, but the
// watermarks stand until the disk holds others.
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
