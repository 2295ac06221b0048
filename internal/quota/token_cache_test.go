package quota

import (
	"testing"
	"time"
)

// TestTokenCache: a token is spent once and not after its lifetime, and the tokens drawn
// ahead follow the tenant's request rate.
func TestTokenCache(t *testing.T) {
	now := time.Unix(1000, 0)
	c := NewTokenCache()
	limits := BucketLimits{Rate: 100, Depth: 100, TokenLifetime: time.Second}
	c.Add("t", 2, now.Add(time.Second), now)
	for i, want := range []bool{true, true, false} {
		if ok, _ := c.Spend("t", now); ok != want {
			t.Fatalf("spend %d: got %v, want %v", i, ok, want)
		}
	}
	c.Add("t", 2, now.Add(time.Second), now)
	now = now.Add(time.Second)
	if c.SpendGranted("t", now) {
		t.Fatal("a token was spent after its lifetime")
	}
	c.MarkExhausted("t", 300*time.Millisecond, now)
	if ok, wait := c.Spend("t", now); ok || wait != 300*time.Millisecond {
		t.Fatalf("no node has a token: got %v, wait %v", ok, wait)
	}
	for range 200 {
		now = now.Add(20 * time.Millisecond)
		c.Spend("t", now)
	}
	if n := c.PrefetchCount("t", limits, now); n < 20 || n > 40 {
		t.Fatalf("%d tokens are drawn ahead at 50 requests a second", n)
	}
	if n := c.PrefetchCount("quiet", limits, now); n != 0 {
		t.Fatalf("%d tokens are drawn ahead for a tenant that sends nothing", n)
	}
	c.RemoveIdle(now.Add(time.Minute))
	if len(c.accounts) != 0 {
		t.Fatal("idle tenants are remembered")
	}
}
