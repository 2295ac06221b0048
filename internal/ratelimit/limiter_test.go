package ratelimit

import (
	"testing"
	"time"
)

// TestLimiterKeepsShareOfRate: over ten seconds a node starts about its share of the rate,
// whether it asks all the time or rests in between, and nothing without a lease.
func TestLimiterKeepsShareOfRate(t *testing.T) {
	const rate, permille, seconds = 200, 250, 10
	start := time.Unix(1000, 0)
	for _, c := range []struct {
		situation  string
		restEvery  time.Duration // 0: it never rests
		least      int
		allowed    int
		leaseUntil time.Time
	}{
		{"asks all the time", 0, 470, 500, start.Add(time.Hour)},
		{"rests every other second", time.Second, 230, 265, start.Add(time.Hour)},
		{"its lease ended", 0, 0, 0, start},
	} {
		l := New()
		l.Renew(permille, c.leaseUntil)
		begun := 0
		for at := time.Duration(0); at < seconds*time.Second; at += time.Millisecond {
			if c.restEvery > 0 && at/c.restEvery%2 == 1 {
				continue
			}
			if ok, _ := l.Take("s", rate, start.Add(at)); ok {
				begun++
			}
		}
		if begun < c.least || begun > c.allowed {
			t.Errorf("%s: %d requests began, want %d to %d", c.situation, begun, c.least, c.allowed)
		}
	}
}

// TestLimiterGivesUpShare: a part of the share that is given up is not used any more.
func TestLimiterGivesUpShare(t *testing.T) {
	now := time.Unix(1000, 0)
	l := New()
	l.Renew(500, now.Add(LeaseDuration))
	l.Shrink(200)
	l.Shrink(300) // is no less than what is held
	if got := l.Share(now); got != 200 {
		t.Errorf("the share is %d, want 200", got)
	}
	if got := l.Share(now.Add(LeaseDuration)); got != 0 {
		t.Errorf("the share is %d after the lease ended", got)
	}
	if ok, _ := l.Take("s", 0, now.Add(LeaseDuration)); !ok {
		t.Error("a service without a rate is limited")
	}
}
