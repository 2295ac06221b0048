// Package toll is this node's part of the retry budget that all nodes share.
//
// Over any window, the arrivals at a service past the first of each request
// may not exceed a ratio of the requests plus a slack. The ratio is earned
// from requests that this node itself saw; the slack is divided among the
// nodes that live. A node that has just started has no slack until a window
// has passed, since it cannot know what its former life has spent.
package toll

import (
	"sync"
	"time"
)

// Terms of the budget.
type Terms struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

const (
	steps = 20 // the parts into which a window is counted
	// margin keeps a part of the budget back for windows that the nodes cut
	// at different moments.
	margin = 0.85
)

type count struct {
	requests [2 * steps]float64
	extras   [2 * steps]float64
	at       int64
}

// Toll counts for each service. It is safe for use by many goroutines.
type Toll struct {
	mu    sync.Mutex
	t     Terms
	nodes int
	born  time.Time
	by    map[string]*count
}

// New starts counting.
func New(t Terms, now time.Time) *Toll {
	if t.Window <= 0 {
		t.Window = 10 * time.Second
	}
	return &Toll{t: t, nodes: 1 << 20, born: now, by: map[string]*count{}}
}

// SetNodes tells among how many nodes the slack is divided.
func (t *Toll) SetNodes(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if n > 0 {
		t.nodes = n
	}
}

func (t *Toll) roll(service string, now time.Time) *count {
	step := int64(now.Sub(t.born) / (t.t.Window / steps))
	c := t.by[service]
	if c == nil {
		c = &count{at: step}
		t.by[service] = c
	}
	if step-c.at >= 2*steps {
		*c = count{at: step}
	}
	for c.at < step {
		c.at++
		i := c.at % (2 * steps)
		c.requests[i], c.extras[i] = 0, 0
	}
	return c
}

// sum adds up the newest n steps.
func (c *count) sum(a *[2 * steps]float64, n int64) float64 {
	s := 0.0
	for k := int64(0); k < n; k++ {
		if i := c.at - k; i >= 0 {
			s += a[i%(2*steps)]
		}
	}
	return s
}

// Earn counts a request of a client for the service.
func (t *Toll) Earn(service string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.roll(service, now)
	c.requests[c.at%(2*steps)]++
}

// Pay takes one extra arrival at the service out of the budget, if it is
// there. keep is the share of the budget that must remain for others.
func (t *Toll) Pay(service string, now time.Time, keep float64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.roll(service, now)
	slack := 0.0
	if now.Sub(t.born) >= t.t.Window {
		slack = t.t.Slack / float64(t.nodes)
	}
	// A window of steps+1 parts covers every window that ends now.
	budget := margin * (t.t.Ratio*c.sum(&c.requests, steps) + slack)
	if c.sum(&c.extras, steps+1)+1 > budget*(1-keep) {
		return false
	}
	c.extras[c.at%(2*steps)]++
	return true
}
