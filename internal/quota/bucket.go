package quota

import "time"

// bucket is an Allocator's slice of one tenant's token bucket.
type bucket struct {
	level     float64 // tokens
	updatedAt time.Time
	// removedAt is when the tenant's limits were removed; zero while it has limits.
	removedAt time.Time
	// lowWatermark is the stored low watermark, or a higher one that is being written. No
	// tokens are granted below it, so that the next incarnation can start at this level.
	lowWatermark float64
}

// available returns the number of tokens above the low watermark, which may be taken.
func (b *bucket) available() float64 { return max(0, b.level-b.lowWatermark) }

// refill adds the tokens since the last update, at rate if the share was held, and caps the
// level at depth.
func (b *bucket) refill(rate, depth float64, held bool, now time.Time) {
	if elapsed := now.Sub(b.updatedAt); elapsed > 0 {
		if held {
			b.level += rate * elapsed.Seconds()
		}
		b.updatedAt = now
	}
	b.level = min(b.level, depth)
}

const (
	// watermarkFraction is the low watermark as a fraction of the level.
	watermarkFraction = 0.5
	// lowerThreshold is a fraction of the depth. The watermark is lowered when fewer tokens
	// than this are available above it.
	lowerThreshold = 0.125
	// raiseThreshold is a fraction of the depth. The watermark is raised only when the level
	// is at least this high.
	raiseThreshold = 0.8

	// minWatermark is the smallest watermark that is stored, in tokens.
	minWatermark = 1
	// A watermark w is raised only to a value above raiseFactor*w + raiseMargin tokens.
	raiseFactor = 1.5
	raiseMargin = 0.5
)

// nextLowWatermark returns the low watermark to use for a slice of the given depth, and whether
// it must replace the current one now.
func (b *bucket) nextLowWatermark(depth float64) (watermark float64, replace bool) {
	target := watermarkFraction * b.level
	switch {
	case b.lowWatermark > 0 && b.available() < lowerThreshold*depth:
		if target < minWatermark {
			return 0, true
		}
		return target, true
	case b.level >= raiseThreshold*depth && target > raiseFactor*b.lowWatermark+raiseMargin:
		return target, true
	}
	return b.lowWatermark, false
}
