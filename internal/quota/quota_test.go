package quota

import (
	"fmt"
	"math/rand"
	"sort"
	"testing"
	"time"
)

// maxInWindow is what the rule allows in a window.
func (r Rules) maxInWindow(rate, burst float64) float64 {
	return (rate*r.Window.Seconds()+burst)*(1+r.Overshoot) + r.Slack
}

// TestSlidingWindows lets registrars hold shares, lend, lapse and come back, and nodes
// draw ahead, keep tokens to the last moment and spend them at once: in no window more
// is spent than the rule allows.
func TestSlidingWindows(t *testing.T) {
	rules := Rules{Window: 5 * time.Second, Overshoot: 0.1, Slack: 20}
	for seed := range int64(40) {
		rng := rand.New(rand.NewSource(seed))
		rate, burst := []float64{0.5, 3, 17, 78, 900}[seed%5], []float64{0, 3, 17, 78}[seed%4]
		terms := rules.LimitsFor(rate, burst)
		now := time.Unix(1000, 0)
		const banks = 6
		all := make([]*Allocator, banks)
		for i := range all {
			all[i] = NewAllocator()
			all[i].SetTenants(map[string]BucketLimits{"t": terms}, now)
			all[i].Renew(1.0/banks, now.Add(time.Hour), now)
		}
		disks := make([]map[string]float64, banks)
		nodes := make([]*TokenCache, 10)
		for i := range nodes {
			nodes[i] = NewTokenCache()
		}
		now = now.Add(30 * time.Minute) // all slices are full
		var spent []time.Time
		storm := false
		for step := range 3000 {
			now = now.Add(10 * time.Millisecond)
			if step%400 == 0 {
				storm = !storm // rest, then all at once
			}
			i := rng.Intn(banks)
			switch rng.Intn(200) {
			case 0: // restarted after its share lapsed: others may have had it
				all[i] = NewAllocator()
				all[i].SetTenants(map[string]BucketLimits{"t": terms}, now)
				all[i].Renew(1.0/banks, now.Add(time.Hour), now)
				all[i].Restore(disks[i], false, now)
			case 2: // restarted in between: it takes what its former life kept on the disk
				all[i] = NewAllocator()
				all[i].SetTenants(map[string]BucketLimits{"t": terms}, now)
				all[i].Renew(1.0/banks, now.Add(time.Hour), now)
				all[i].Restore(disks[i], true, now)
			case 3, 4, 5, 6, 7, 8, 9: // a write of the floors begins, and is done or not when the next thing happens
				if floors, due := all[i].LowWatermarks(now); due {
					if rng.Intn(3) > 0 {
						disks[i] = floors
						all[i].LowWatermarksStored(floors)
					} else if rng.Intn(2) == 0 {
						disks[i] = floors // the disk has it, the bank was not told yet
					}
				}
			case 10: // its lease ended for a moment, in the same life
				all[i].Renew(1.0/banks, now, now)
				all[i].Renew(1.0/banks, now.Add(time.Hour), now)
			case 1: // lends
				j := rng.Intn(banks)
				all[j].Deposit("t", all[i].Withdraw("t", rng.Float64()*3, now), now)
			}
			for range int(rate*0.03) + 1 {
				n := nodes[rng.Intn(len(nodes))]
				if !storm && rng.Intn(3) > 0 {
					got, _ := all[i].Take("t", 1+rng.Intn(3), now) // drawn ahead, kept
					n.Add("t", got, now.Add(terms.TokenLifetime), now)
					continue
				}
				if ok, _ := n.Spend("t", now); ok {
					spent = append(spent, now)
				} else if got, _ := all[i].Take("t", 2, now); got > 0 {
					n.Add("t", got, now.Add(terms.TokenLifetime), now)
					if n.SpendGranted("t", now) {
						spent = append(spent, now)
					}
				}
			}
		}
		if len(spent) == 0 {
			t.Fatalf("seed %d: nothing was spent", seed)
		}
		for i := range spent {
			j := sort.Search(len(spent), func(j int) bool { return spent[j].Sub(spent[i]) > rules.Window })
			if got, most := float64(j-i), rules.maxInWindow(rate, burst); got > most {
				t.Fatalf("seed %d: %v in a window, %v are allowed (rate %v, burst %v)", seed, got, most, rate, burst)
			}
		}
	}
}

// TestLimitsWithinRules: whatever the rules, what can be spent in a window is within them, and a
// tenant's own burst fits into the bucket where the rules leave any room.
func TestLimitsWithinRules(t *testing.T) {
	for _, r := range []Rules{{5 * time.Second, 0.1, 20}, {10 * time.Second, 0.05, 3}, {time.Second, 0.2, 40}} {
		for _, rate := range []float64{0.2, 3, 17, 78, 2000} {
			for _, burst := range []float64{0, 17, 4000} {
				at := r.LimitsFor(rate, burst)
				if worst := at.Depth + rate*(r.Window+at.TokenLifetime).Seconds(); worst > r.maxInWindow(rate, burst)+1 {
					t.Errorf("%+v, rate %v, burst %v: %v may be spent, %v are allowed", r, rate, burst, worst, r.maxInWindow(rate, burst))
				}
				if at.TokenLifetime > minTokenLifetime && at.Depth < burst {
					t.Errorf("%+v, rate %v, burst %v: a bucket of %v", r, rate, burst, at.Depth)
				}
			}
		}
	}
	if (Rules{}).LimitsFor(0, 9).Limited() {
		t.Error("a rate of 0 sets a bound")
	}
}

// TestBucketSlices: a share that lapses or is given up grants nothing more of it; one that is
// got anew begins empty; a tenant that is new finds its slice full, one that was there a
// moment ago does not.
func TestBucketSlices(t *testing.T) {
	now := time.Unix(1000, 0)
	terms := map[string]BucketLimits{"t": {Rate: 10, Depth: 20, TokenLifetime: time.Second}}
	b := NewAllocator()
	b.SetTenants(terms, now)
	want := func(what string, n, want int) {
		t.Helper()
		if got, _ := b.Take("t", n, now); got != want {
			t.Fatalf("%s: %d tokens, not %d", what, got, want)
		}
	}
	want("without a share", 5, 0)
	b.Renew(0.5, now.Add(8*time.Second), now)
	want("a share got just now", 5, 0)
	now = now.Add(time.Second)
	want("after a second", 99, 5)
	now = now.Add(6 * time.Second)
	b.Shrink(0.2, now)
	want("after giving up a part", 99, 4)
	now = now.Add(time.Second)
	want("lapsed", 99, 0)
	b.Renew(0.5, now.Add(time.Hour), now)
	want("renewed after it lapsed", 99, 0)
	now = now.Add(bucketMemory)
	want("after long", 99, 10)
	two := map[string]BucketLimits{"t": terms["t"], "u": terms["t"]}
	b.SetTenants(two, now)
	if got, _ := b.Take("u", 99, now); got != 10 {
		t.Fatalf("a new tenant gets %d", got)
	}
	b.SetTenants(terms, now)
	now = now.Add(100 * time.Millisecond)
	b.SetTenants(two, now)
	if got, back := b.Take("u", 99, now); got != 0 || back <= 0 {
		t.Fatalf("a tenant that was away for a moment gets %d", got)
	}
	low := map[string]BucketLimits{"t": {Rate: 1, Depth: 2, TokenLifetime: time.Second}}
	now = now.Add(bucketMemory)
	b.SetTenants(low, now)
	want("after a lower limit", 99, 1)
}

// TestTokenCache: tokens are spent once, not after their life, and what is drawn ahead
// follows what the tenant sends.
func TestTokenCache(t *testing.T) {
	now := time.Unix(1000, 0)
	r := NewTokenCache()
	at := BucketLimits{Rate: 100, Depth: 100, TokenLifetime: time.Second}
	r.Add("t", 2, now.Add(time.Second), now)
	for i, want := range []bool{true, true, false} {
		if ok, _ := r.Spend("t", now); ok != want {
			t.Fatalf("spend %d: %v", i, ok)
		}
	}
	r.Add("t", 2, now.Add(time.Second), now)
	now = now.Add(time.Second)
	if r.SpendGranted("t", now) {
		t.Fatal("a token is spent after its life")
	}
	r.MarkExhausted("t", 300*time.Millisecond, now)
	if ok, wait := r.Spend("t", now); ok || wait != 300*time.Millisecond {
		t.Fatal(fmt.Sprint("nobody has a token: ", ok, wait))
	}
	for range 200 {
		now = now.Add(20 * time.Millisecond)
		r.Spend("t", now)
	}
	if n := r.PrefetchCount("t", at, now); n < 20 || n > 40 {
		t.Fatalf("%d are drawn ahead at 50 a second", n)
	}
	if n := r.PrefetchCount("quiet", at, now); n != 0 {
		t.Fatalf("%d are drawn ahead for one that sends nothing", n)
	}
	r.RemoveIdle(now.Add(time.Minute))
	if len(r.accounts) != 0 {
		t.Fatal("idle tenants are remembered")
	}
}

// TestLowWatermarksAcrossRestarts: a bank that restarts again and again, at any moment between two writes,
// grants no more than one that never does; and one that restarts while all is calm goes
// on with half of what it had.
func TestLowWatermarksAcrossRestarts(t *testing.T) {
	terms := map[string]BucketLimits{"t": {Rate: 10, Depth: 40, TokenLifetime: time.Second}}
	for seed := range int64(50) {
		rng := rand.New(rand.NewSource(seed))
		now := time.Unix(1000, 0)
		var disk map[string]float64
		start := func(kept bool) *Allocator {
			b := NewAllocator()
			b.SetTenants(terms, now)
			b.Renew(1, now.Add(time.Hour), now)
			b.Restore(disk, kept, now)
			return b
		}
		b := start(false)
		write := func() {
			if floors, due := b.LowWatermarks(now); due {
				disk = floors
				if rng.Intn(2) == 0 {
					b.LowWatermarksStored(floors)
				}
			}
		}
		for range 100 {
			now = now.Add(100 * time.Millisecond)
			write()
		}
		b = start(true)
		if got := b.Withdraw("t", 1, now); got != 0 {
			t.Fatalf("seed %d: %v is granted before the disk is told", seed, got)
		}
		floors, due := b.LowWatermarks(now)
		if disk = floors; !due {
			t.Fatalf("seed %d: nothing is free, and the floors stay", seed)
		}
		b.LowWatermarksStored(floors)
		spent := b.Withdraw("t", 99, now)
		if spent < 5 {
			t.Fatalf("seed %d: %v is granted after a restart in calm times", seed, spent)
		}
		for step := range 200 {
			if step%4 == 0 {
				now = now.Add(50 * time.Millisecond)
			}
			switch rng.Intn(4) {
			case 0:
				b = start(true)
			case 1:
				spent += b.Withdraw("t", 99, now)
			default:
				write()
			}
		}
		if most := 40 + 10*2.5 + 0.001; spent > most {
			t.Fatalf("seed %d: %v were granted, %v are allowed", seed, spent, most)
		}
	}
}
