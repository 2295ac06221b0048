package quota

import (
	"testing"
	"time"
)

// TestBucketSlices: a share whose lease ended or that was given up grants nothing more of
// it; one that is obtained anew starts empty; a new tenant finds its slice full, one that
// was there a moment ago does not.
func TestBucketSlices(t *testing.T) {
	now := time.Unix(1000, 0)
	limits := map[string]BucketLimits{"t": {Rate: 10, Depth: 20, TokenLifetime: time.Second}}
	a := NewAllocator()
	a.SetTenants(limits, now)
	requireTake := func(situation string, n, want int) {
		t.Helper()
		if got, _ := a.Take("t", n, now); got != want {
			t.Fatalf("%s: got %d tokens, want %d", situation, got, want)
		}
	}
	requireTake("without a share", 5, 0)
	a.Renew(0.5, now.Add(8*time.Second), now)
	requireTake("a share obtained just now", 5, 0)
	now = now.Add(time.Second)
	requireTake("after a second", 99, 5)
	now = now.Add(6 * time.Second)
	a.Shrink(0.2, now)
	requireTake("after giving up a part", 99, 4)
	now = now.Add(time.Second)
	requireTake("after the lease ended", 99, 0)
	a.Renew(0.5, now.Add(time.Hour), now)
	requireTake("renewed after the lease ended", 99, 0)
	now = now.Add(bucketMemory)
	requireTake("after a long time", 99, 10)

	two := map[string]BucketLimits{"t": limits["t"], "u": limits["t"]}
	a.SetTenants(two, now)
	if got, _ := a.Take("u", 99, now); got != 10 {
		t.Fatalf("a new tenant gets %d tokens, want 10", got)
	}
	a.SetTenants(limits, now)
	now = now.Add(100 * time.Millisecond)
	a.SetTenants(two, now)
	if got, retryAfter := a.Take("u", 99, now); got != 0 || retryAfter <= 0 {
		t.Fatalf("a tenant that was removed for a moment gets %d tokens", got)
	}

	lower := map[string]BucketLimits{"t": {Rate: 1, Depth: 2, TokenLifetime: time.Second}}
	now = now.Add(bucketMemory)
	a.SetTenants(lower, now)
	requireTake("after a lower limit", 99, 1)
}
