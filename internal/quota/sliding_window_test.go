package quota

import (
	"math/rand"
	"sort"
	"testing"
	"time"
)

const testTenant = "t"

// testFleet simulates control nodes that hold equal shares of one tenant's bucket, and data
// plane nodes that request tokens from them.
type testFleet struct {
	rng        *rand.Rand
	now        time.Time // simulated
	limits     BucketLimits
	allocators []*Allocator
	disks      []map[string]float64 // stored low watermarks of each allocator
	caches     []*TokenCache
	spent      []time.Time // time at which each token was spent
}

func newTestFleet(rng *rand.Rand, limits BucketLimits, allocators, caches int) *testFleet {
	f := &testFleet{
		rng:        rng,
		now:        time.Unix(1000, 0),
		limits:     limits,
		allocators: make([]*Allocator, allocators),
		disks:      make([]map[string]float64, allocators),
	}
	for i := range allocators {
		f.startAllocator(i)
	}
	for range caches {
		f.caches = append(f.caches, NewTokenCache())
	}
	return f
}

// startAllocator replaces an allocator by a new one without state, which holds its share.
func (f *testFleet) startAllocator(i int) {
	f.allocators[i] = NewAllocator()
	f.allocators[i].SetTenants(map[string]BucketLimits{testTenant: f.limits}, f.now)
	f.renew(i)
}

func (f *testFleet) renew(i int) {
	f.allocators[i].Renew(1.0/float64(len(f.allocators)), f.now.Add(time.Hour), f.now)
}

// injectEvent restarts an allocator, stores its low watermarks, ends its lease, makes it lend
// tokens, or does nothing, at random.
func (f *testFleet) injectEvent(i int) {
	allocator := f.allocators[i]
	switch f.rng.Intn(200) {
	case 0: // restart after the lease expired: other nodes may have held the share
		f.startAllocator(i)
		f.allocators[i].Restore(f.disks[i], false, f.now)
	case 1: // loan
		borrower := f.allocators[f.rng.Intn(len(f.allocators))]
		tokens := allocator.Withdraw(testTenant, f.rng.Float64()*3, f.now)
		borrower.Deposit(testTenant, tokens, f.now)
	case 2: // restart before the lease expires: the stored low watermarks are restored
		f.startAllocator(i)
		f.allocators[i].Restore(f.disks[i], true, f.now)
	case 3, 4, 5, 6, 7, 8, 9:
		f.storeLowWatermarks(i)
	case 10: // the lease expires and is renewed, without a restart
		allocator.Renew(1.0/float64(len(f.allocators)), f.now, f.now)
		f.renew(i)
	}
}

// storeLowWatermarks starts a write of the low watermarks. At random, the write completes and is
// acknowledged, completes without an acknowledgement, or doesn't complete before the next event.
func (f *testFleet) storeLowWatermarks(i int) {
	watermarks, due := f.allocators[i].LowWatermarks(f.now)
	if !due {
		return
	}
	if f.rng.Intn(3) > 0 {
		f.disks[i] = watermarks
		f.allocators[i].LowWatermarksStored(watermarks)
	} else if f.rng.Intn(2) == 0 {
		f.disks[i] = watermarks // written but not acknowledged
	}
}

// request makes a data plane node prefetch tokens without spending any, or admit a request if
// there is a token for it.
func (f *testFleet) request(allocator *Allocator, prefetch bool) {
	cache := f.caches[f.rng.Intn(len(f.caches))]
	expiry := f.now.Add(f.limits.TokenLifetime)
	if prefetch && f.rng.Intn(3) > 0 {
		granted, _ := allocator.Take(testTenant, 1+f.rng.Intn(3), f.now)
		cache.Add(testTenant, granted, expiry, f.now)
		return
	}
	if ok, _ := cache.Spend(testTenant, f.now); ok {
		f.spent = append(f.spent, f.now)
		return
	}
	granted, _ := allocator.Take(testTenant, 2, f.now)
	if granted == 0 {
		return
	}
	cache.Add(testTenant, granted, expiry, f.now)
	if cache.SpendGranted(testTenant, f.now) {
		f.spent = append(f.spent, f.now)
	}
}

// TestAdmissionBoundsInSlidingWindows guards against windows in which more tokens are spent than
// the bounds allow. Control nodes lend tokens, lose their leases and restart, and data plane nodes
// alternate between prefetching tokens and spending the prefetched ones in a peak.
func TestAdmissionBoundsInSlidingWindows(t *testing.T) {
	bounds := AdmissionBounds{Window: 5 * time.Second, Overshoot: 0.1, Slack: 20}
	for seed := range int64(40) {
		rate := []float64{0.5, 3, 17, 78, 900}[seed%5]
		burst := []float64{0, 3, 17, 78}[seed%4]
		f := newTestFleet(rand.New(rand.NewSource(seed)), bounds.LimitsFor(rate, burst), 6, 10)
		f.now = f.now.Add(30 * time.Minute) // all slices are full
		peak := false
		for step := range 3000 {
			f.now = f.now.Add(10 * time.Millisecond)
			if step%400 == 0 {
				peak = !peak // tokens are prefetched between peaks and spent during peaks
			}
			i := f.rng.Intn(len(f.allocators))
			f.injectEvent(i)
			for range int(rate*0.03) + 1 {
				f.request(f.allocators[i], !peak)
			}
		}
		if len(f.spent) == 0 {
			t.Fatalf("seed %d: no token was spent, want at least one", seed)
		}
		allowed := bounds.maxInWindow(rate, burst)
		for i := range f.spent {
			end := sort.Search(len(f.spent), func(j int) bool { return f.spent[j].Sub(f.spent[i]) > bounds.Window })
			if got := float64(end - i); got > allowed {
				t.Fatalf("seed %d: %v tokens were spent in a window, want at most %v (rate %v, burst %v)",
					seed, got, allowed, rate, burst)
			}
		}
	}
}
