package quota

import "time"

// bucket is an Allocator's slice of one tenant's token bucket.
type bucket struct {
	level     float64 // tokens
	updatedAt time.Time
	// removedAt is since when the tenant has had no limits; zero while it has.
	removedAt time.Time
	// lowWatermark is the level that the disk holds, or more while a new one is being
	// written. Nothing is granted below it, so that the next incarnation can start from it.
	lowWatermark float64
}

// available returns how many tokens may be taken.
func (b *bucket) available() float64 { return max(0, b.level-b.lowWatermark) }

// refill adds the tokens that came in since the last update: at rate if the share was held,
// up to depth.
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
	// watermarkFraction is the part of a level that the disk vouches for.
	watermarkFraction = 0.5
	// lowerThreshold is the part of a slice's depth: with less available above the low
	// watermark it is lowered.
	lowerThreshold = 0.125
	// raiseThreshold is the part of a slice's depth from which on the watermark is raised.
	raiseThreshold = 0.8

	// minWatermark is the least watermark worth keeping, in tokens.
	minWatermark = 1
	// A watermark is raised only if it grows by so much: a factor and some tokens.
	raiseFactor = 1.5
	raiseMargin = 0.5
)

// nextLowWatermark returns what the low watermark should be for a slice of the given depth,
// and whether it ought to move now.
func (b *bucket) nextLowWatermark(depth float64) (watermark float64, move bool) {
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
