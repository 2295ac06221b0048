package quota

import (
	"testing"
	"time"
)

// TestTokenCacheSpendAndPrefetch guards against tokens that are spent twice or after they expire,
// and against a prefetch count that doesn't follow the tenant's request rate.
func TestTokenCacheSpendAndPrefetch(t *testing.T) {
	now := time.Unix(1000, 0)
	c := NewTokenCache()
	limits := BucketLimits{Rate: 100, Depth: 100, TokenLifetime: time.Second}
	c.Add("t", 2, now.Add(time.Second), now)
	for i, want := range []bool{true, true, false} {
		if ok, _ := c.Spend("t", now); ok != want {
			t.Fatalf("Spend number %d (from 0) returned %v, want %v", i, ok, want)
		}
	}
	c.Add("t", 2, now.Add(time.Second), now)
	now = now.Add(time.Second)
	if c.SpendGranted("t", now) {
		t.Fatal("SpendGranted spent a token after its lifetime, want none left")
	}
	c.MarkExhausted("t", 300*time.Millisecond, now)
	if ok, wait := c.Spend("t", now); ok || wait != 300*time.Millisecond {
		t.Fatalf("Spend after MarkExhausted returned %v and a wait of %v, want false and 300ms", ok, wait)
	}
	for range 200 {
		now = now.Add(20 * time.Millisecond)
		c.Spend("t", now)
	}
	if n := c.PrefetchCount("t", limits, now); n < 20 || n > 40 {
		t.Fatalf("PrefetchCount at 50 requests per second is %d, want 20 to 40", n)
	}
	if n := c.PrefetchCount("idle", limits, now); n != 0 {
		t.Fatalf("PrefetchCount for a tenant without requests is %d, want 0", n)
	}
	c.RemoveIdle(now.Add(time.Minute))
	if len(c.accounts) != 0 {
		t.Fatal("RemoveIdle kept accounts of idle tenants, want none")
	}
}
