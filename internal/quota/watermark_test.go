package quota

import (
	"math/rand"
	"testing"
	"time"
)

// restartingAllocator is an allocator that holds the full share and restarts from its disk.
type restartingAllocator struct {
	*Allocator
	limits map[string]BucketLimits
	disk   map[string]float64
}

// restart replaces the allocator by a new incarnation.
func (r *restartingAllocator) restart(uninterrupted bool, now time.Time) {
	r.Allocator = NewAllocator()
	r.SetTenants(r.limits, now)
	r.Renew(1, now.Add(time.Hour), now)
	r.Restore(r.disk, uninterrupted, now)
}

// store writes the low watermarks to the disk if they are due. At random, the allocator is not
// notified of the completed write.
func (r *restartingAllocator) store(rng *rand.Rand, now time.Time) {
	watermarks, due := r.LowWatermarks(now)
	if !due {
		return
	}
	r.disk = watermarks
	if rng.Intn(2) == 0 {
		r.LowWatermarksStored(watermarks)
	}
}

// TestLowWatermarksAcrossRestarts guards against an allocator that grants tokens twice because it
// restarts, at any point between two writes of the low watermarks. It also checks that a restart
// with an uninterrupted share doesn't empty the slices.
func TestLowWatermarksAcrossRestarts(t *testing.T) {
	limits := map[string]BucketLimits{"t": {Rate: 10, Depth: 40, TokenLifetime: time.Second}}
	for seed := range int64(50) {
		rng := rand.New(rand.NewSource(seed))
		now := time.Unix(1000, 0)
		r := &restartingAllocator{limits: limits}
		r.restart(false, now)
		for range 100 {
			now = now.Add(100 * time.Millisecond)
			r.store(rng, now)
		}
		r.restart(true, now)
		if got := r.Withdraw("t", 1, now); got != 0 {
			t.Fatalf("seed %d: %v tokens are granted before a lower watermark is stored, want 0", seed, got)
		}
		watermarks, due := r.LowWatermarks(now)
		if !due {
			t.Fatalf("seed %d: LowWatermarks returned due false while no tokens are available, want true", seed)
		}
		r.disk = watermarks
		r.LowWatermarksStored(watermarks)
		spent := r.Withdraw("t", 99, now)
		if spent < 5 {
			t.Fatalf("seed %d: %v tokens are granted after a restart with an uninterrupted share, want at least 5",
				seed, spent)
		}
		for step := range 200 {
			if step%4 == 0 {
				now = now.Add(50 * time.Millisecond)
			}
			switch rng.Intn(4) {
			case 0:
				r.restart(true, now)
			case 1:
				spent += r.Withdraw("t", 99, now)
			default:
				r.store(rng, now)
			}
		}
		if allowed := 40 + 10*2.5 + 0.001; spent > allowed {
			t.Fatalf("seed %d: %v tokens were granted across restarts, want at most %v", seed, spent, allowed)
		}
	}
}
