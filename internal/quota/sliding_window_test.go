package quota

import (
	"math/rand"
	"sort"
	"testing"
	"time"
)

const testTenant = "t"

// testFleet is a set of control nodes that hold equal shares of one tenant's bucket,
// and of data plane nodes that draw from them.
type testFleet struct {
	rng        *rand.Rand
	now        time.Time
	limits     BucketLimits
	allocators []*Allocator
	disks      []map[string]float64 // the low watermarks that each allocator has stored
	caches     []*TokenCache
	spent      []time.Time // when each token was spent
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
		f.start(i)
	}
	for range caches {
		f.caches = append(f.caches, NewTokenCache())
	}
	return f
}

// start starts an allocator that knows nothing and holds its share.
func (f *testFleet) start(i int) {
	f.allocators[i] = NewAllocator()
	f.allocators[i].SetTenants(map[string]BucketLimits{testTenant: f.limits}, f.now)
	f.renew(i)
}

func (f *testFleet) renew(i int) {
	f.allocators[i].Renew(1.0/float64(len(f.allocators)), f.now.Add(time.Hour), f.now)
}

// disturb has an allocator restart, store its low watermarks, lose its lease or lend, or
// does nothing.
func (f *testFleet) disturb(i int) {
	allocator := f.allocators[i]
	switch f.rng.Intn(200) {
	case 0: // restarts after its lease ended: others may have had its share
		f.start(i)
		f.allocators[i].Restore(f.disks[i], false, f.now)
	case 1: // lends
		borrower := f.allocators[f.rng.Intn(len(f.allocators))]
		tokens := allocator.Withdraw(testTenant, f.rng.Float64()*3, f.now)
		borrower.Deposit(testTenant, tokens, f.now)
	case 2: // restarts in between: it takes what its former incarnation stored
		f.start(i)
		f.allocators[i].Restore(f.disks[i], true, f.now)
	case 3, 4, 5, 6, 7, 8, 9:
		f.storeLowWatermarks(i)
	case 10: // its lease ends for a moment, in the same incarnation
		allocator.Renew(1.0/float64(len(f.allocators)), f.now, f.now)
		f.renew(i)
	}
}

// storeLowWatermarks begins to write the low watermarks, which may be written or not, and be
// acknowledged or not, when the next thing happens.
func (f *testFleet) storeLowWatermarks(i int) {
	watermarks, due := f.allocators[i].LowWatermarks(f.now)
	if !due {
		return
	}
	if f.rng.Intn(3) > 0 {
		f.disks[i] = watermarks
		f.allocators[i].LowWatermarksStored(watermarks)
	} else if f.rng.Intn(2) == 0 {
		f.disks[i] = watermarks // written, but the allocator doesn't know yet
	}
}

// request has a data plane node draw tokens ahead, without spending any, or admit a request
// if there is a token for it.
func (f *testFleet) request(allocator *Allocator, drawAhead bool) {
	cache := f.caches[f.rng.Intn(len(f.caches))]
	expiry := f.now.Add(f.limits.TokenLifetime)
	if drawAhead && f.rng.Intn(3) > 0 {
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

// TestSlidingWindows has control nodes hold shares, lend, lose their leases and
// restart, and data plane nodes draw ahead, keep tokens to the last moment and spend them at
// once: in no window more is spent than the rules allow.
func TestSlidingWindows(t *testing.T) {
	rules := AdmissionBounds{Window: 5 * time.Second, Overshoot: 0.1, Slack: 20}
	for seed := range int64(40) {
		rate := []float64{0.5, 3, 17, 78, 900}[seed%5]
		burst := []float64{0, 3, 17, 78}[seed%4]
		f := newTestFleet(rand.New(rand.NewSource(seed)), rules.LimitsFor(rate, burst), 6, 10)
		f.now = f.now.Add(30 * time.Minute) // all slices are full
		peak := false
		for step := range 3000 {
			f.now = f.now.Add(10 * time.Millisecond)
			if step%400 == 0 {
				peak = !peak // tokens are drawn ahead in between, and all spent in the peaks
			}
			i := f.rng.Intn(len(f.allocators))
			f.disturb(i)
			for range int(rate*0.03) + 1 {
				f.request(f.allocators[i], !peak)
			}
		}
		if len(f.spent) == 0 {
			t.Fatalf("seed %d: nothing was spent", seed)
		}
		allowed := rules.maxInWindow(rate, burst)
		for i := range f.spent {
			end := sort.Search(len(f.spent), func(j int) bool { return f.spent[j].Sub(f.spent[i]) > rules.Window })
			if got := float64(end - i); got > allowed {
				t.Fatalf("seed %d: %v in a window, %v are allowed (rate %v, burst %v)", seed, got, allowed, rate, burst)
			}
		}
	}
}
