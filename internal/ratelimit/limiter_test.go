package ratelimit

import (
	"testing"
	"time"
)

// TestLimiterKeepsShareOfRate guards against a node that exceeds its share of the rate, also
// after pauses or after its lease has expired, and against a node that can't use most of its share.
func TestLimiterKeepsShareOfRate(t *testing.T) {
	const rate, permille, seconds = 200, 250, 10
	start := time.Unix(1000, 0)
	for _, c := range []struct {
		name        string
		pauseEvery  time.Duration // length of each period and of the pause after it; 0 for no pauses
		minAllowed  int
		maxAllowed  int
		leaseExpiry time.Time
	}{
		{"requests without pauses", 0, 470, 500, start.Add(time.Hour)},
		{"a pause every other second", time.Second, 230, 265, start.Add(time.Hour)},
		{"an expired lease", 0, 0, 0, start},
	} {
		l := New()
		l.Renew(permille, c.leaseExpiry)
		allowed := 0
		for at := time.Duration(0); at < seconds*time.Second; at += time.Millisecond {
			if c.pauseEvery > 0 && at/c.pauseEvery%2 == 1 {
				continue
			}
			if ok, _ := l.Take("s", rate, start.Add(at)); ok {
				allowed++
			}
		}
		if allowed < c.minAllowed || allowed > c.maxAllowed {
			t.Errorf("%s: Take allowed %d requests in 10 s, want %d to %d", c.name, allowed, c.minAllowed, c.maxAllowed)
		}
	}
}

// TestLimiterShrinkAndExpiry guards against the use of a share that was returned or has expired
// and may be held by another node, and against a limit for services without a rate.
func TestLimiterShrinkAndExpiry(t *testing.T) {
	now := time.Unix(1000, 0)
	l := New()
	l.Renew(500, now.Add(LeaseDuration))
	l.Shrink(200)
	l.Shrink(300) // must not raise the share
	if got := l.Share(now); got != 200 {
		t.Errorf("share after Shrink to 200 and to 300 is %d, want 200", got)
	}
	if got := l.Share(now.Add(LeaseDuration)); got != 0 {
		t.Errorf("share after the lease expired is %d, want 0", got)
	}
	if ok, _ := l.Take("s", 0, now.Add(LeaseDuration)); !ok {
		t.Error("Take with rate 0 returned false after the lease expired, want true")
	}
}
