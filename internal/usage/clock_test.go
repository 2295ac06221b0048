package usage

import (
	"fmt"
	"testing"
	"time"
)

// testClocks simulates the clocks of control nodes that exchange their times.
type testClocks struct {
	clocks  []*Clock
	skews   []time.Duration // errors of the nodes' wall clocks
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

// truth returns the current true time.
func (c *testClocks) truth() time.Time { return trueTime.Add(c.now.Sub(c.started)) }

// wall returns a node's wall clock in Unix nanoseconds.
func (c *testClocks) wall(node int) int64 { return c.truth().Add(c.skews[node]).UnixNano() }

// run advances the time by span. Every 100 ms each node observes all others and updates its clock.
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

// requireAccurate reports an error for each clock without an agreed time or with one that differs
// from the true time by more than 20 ms.
func (c *testClocks) requireAccurate(t *testing.T, situation string) {
	t.Helper()
	for i, clock := range c.clocks {
		if at, ok := clock.Now(c.now); !ok || at.Sub(c.truth()).Abs() > 20*time.Millisecond {
			t.Errorf("%s: clock %d differs from the true time by %v, want at most 20ms", situation, i, at.Sub(c.truth()))
		}
	}
}

// TestClockToleratesWrongWallClocks guards against an agreed time that follows wrong wall clocks: a
// minority is wrong at the first agreement, and later any number of them jump by seconds. A node that
// restarts must take over the agreed time of the others.
func TestClockToleratesWrongWallClocks(t *testing.T) {
	c := newTestClocks(5)
	c.skews[4] = 3 * time.Second
	c.run(3 * time.Second)
	c.requireAccurate(t, "first agreement with one wrong wall clock")

	c.skews[4] = 0
	c.skews[0] = -5 * time.Second
	c.skews[1] = 4 * time.Second
	c.run(20 * time.Second)
	c.requireAccurate(t, "after two wall clocks jumped")

	c.skews[2] = 7 * time.Second // now the majority is wrong; the agreed time must stay
	c.run(20 * time.Second)
	c.requireAccurate(t, "after three wall clocks jumped")

	c.clocks[3] = NewClock(c.now)
	c.run(time.Second)
	c.requireAccurate(t, "after a node restarted with three wrong wall clocks")
}
