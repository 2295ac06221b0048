package usage

import (
	"fmt"
	"testing"
	"time"
)

// testClocks are the clocks of some control nodes that exchange their times.
type testClocks struct {
	clocks  []*Clock
	skews   []time.Duration // of the nodes' times of day
	started time.Time
	now     time.Time
}

// trueTime is the true time at the start of a test.
var trueTime = time.Unix(1_700_000_000, 0)

func newTestClocks(n int) *testClocks {
	now := time.Now()
	c := &testClocks{skews: make([]time.Duration, n), started: now, now: now}
	for range n {
		c.clocks = append(c.clocks, NewClock(now))
	}
	return c
}

// truth is the true time now.
func (c *testClocks) truth() time.Time { return trueTime.Add(c.now.Sub(c.started)) }

// wall is what a node's time of day says.
func (c *testClocks) wall(node int) int64 { return c.truth().Add(c.skews[node]).UnixNano() }

// run lets time pass; every node hears of all others and updates its clock each 100 ms.
func (c *testClocks) run(span time.Duration) {
	const step = 100 * time.Millisecond
	for end := c.now.Add(span); c.now.Before(end); c.now = c.now.Add(step) {
		for i, clock := range c.clocks {
			for j, peer := range c.clocks {
				if i == j {
					continue
				}
				agreed := int64(0)
				if at, ok := peer.Now(c.now); ok {
					agreed = at.UnixNano()
				}
				clock.Observe(fmt.Sprint(j), c.wall(j), agreed, c.now)
			}
		}
		for i, clock := range c.clocks {
			clock.Update(c.wall(i), len(c.clocks), step, c.now)
		}
	}
}

// requireTrue fails unless all clocks show the true time.
func (c *testClocks) requireTrue(t *testing.T, situation string) {
	t.Helper()
	for i, clock := range c.clocks {
		if at, ok := clock.Now(c.now); !ok || at.Sub(c.truth()).Abs() > 20*time.Millisecond {
			t.Errorf("%s: clock %d is off by %v", situation, i, at.Sub(c.truth()))
		}
	}
}

// TestClock: a minority of wrong times of day moves nothing, neither at the first agreement
// nor later, and a clock that starts anew takes what the others agree on.
func TestClock(t *testing.T) {
	c := newTestClocks(5)
	c.skews[4] = 3 * time.Second
	c.run(3 * time.Second)
	c.requireTrue(t, "at the start, one is wrong")

	c.skews[4] = 0
	c.skews[0] = -5 * time.Second
	c.skews[1] = 4 * time.Second
	c.run(20 * time.Second)
	c.requireTrue(t, "two jump")

	c.skews[2] = 7 * time.Second // most are wrong: what was agreed on holds
	c.run(20 * time.Second)
	c.requireTrue(t, "three jump")

	c.clocks[3] = NewClock(c.now)
	c.run(time.Second)
	c.requireTrue(t, "one starts anew meanwhile")
}
