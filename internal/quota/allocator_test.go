package quota

import (
	"testing"
	"time"
)

// TestAllocatorShareAndTenantChanges guards against granting tokens twice: from a share whose lease
// expired or that was reduced, from a share that another node held before, or from the slice of
// a tenant that was removed and added again. A new tenant starts with a full slice.
func TestAllocatorShareAndTenantChanges(t *testing.T) {
	now := time.Unix(1000, 0)
	limits := map[string]BucketLimits{"t": {Rate: 10, Depth: 20, TokenLifetime: time.Second}}
	a := NewAllocator()
	a.SetTenants(limits, now)
	requireTake := func(state string, n, want int) {
		t.Helper()
		if got, _ := a.Take("t", n, now); got != want {
			t.Fatalf("%s: Take returned %d tokens, want %d", state, got, want)
		}
	}
	requireTake("without a share", 5, 0)
	a.Renew(0.5, now.Add(8*time.Second), now)
	requireTake("immediately after the share was obtained", 5, 0)
	now = now.Add(time.Second)
	requireTake("one second after the share was obtained", 99, 5)
	now = now.Add(6 * time.Second)
	a.Shrink(0.2, now)
	requireTake("after Shrink", 99, 4)
	now = now.Add(time.Second)
	requireTake("after the lease expired", 99, 0)
	a.Renew(0.5, now.Add(time.Hour), now)
	requireTake("immediately after a renewal of the expired lease", 99, 0)
	now = now.Add(removedBucketRetention)
	requireTake("after removedBucketRetention", 99, 10)

	twoTenants := map[string]BucketLimits{"t": limits["t"], "u": limits["t"]}
	a.SetTenants(twoTenants, now)
	if got, _ := a.Take("u", 99, now); got != 10 {
		t.Fatalf("Take for a new tenant returned %d tokens, want 10", got)
	}
	a.SetTenants(limits, now)
	now = now.Add(100 * time.Millisecond)
	a.SetTenants(twoTenants, now)
	if got, retryAfter := a.Take("u", 99, now); got != 0 || retryAfter <= 0 {
		t.Fatalf("Take for a tenant that was removed for 100 ms returned %d tokens, retry after %v; want 0 and a delay",
			got, retryAfter)
	}

	lowerLimits := map[string]BucketLimits{"t": {Rate: 1, Depth: 2, TokenLifetime: time.Second}}
	now = now.Add(removedBucketRetention)
	a.SetTenants(lowerLimits, now)
	requireTake("after the limits were lowered", 99, 1)
}
