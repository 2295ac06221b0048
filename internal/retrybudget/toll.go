// Package toll is this node's part of the retry budget that all nodes share.
//
// Over any window, the arrivals at a service past the first of each request
// may not exceed a ratio of the requests plus a slack. The ratio is earned
// from requests that this node itself saw; the slack is divided among the
// nodes that live. A node that has just started has no slack until a window
// has passed, since it cannot know what its former life has spent.
package retrybudget

import (
	"sync"
	"time"
)

// Config of the budget.
type Config struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

const (
	windowBuckets = 20 // the parts into which a window is counted
	// safetyMargin keeps a part of the budget back for windows that the nodes cut
	// at different moments.
	safetyMargin = 0.85
)

type slidingWindow struct {
	requests      [2 * windowBuckets]float64
	extraAttempts [2 * windowBuckets]float64
	currentBucket int64
}

// Budget counts for each service. It is safe for use by many goroutines.
type Budget struct {
	mu        sync.Mutex
	config    Config
	nodeCount int
	startedAt time.Time
	services  map[string]*slidingWindow
}

// New starts counting.
func New(t Config, now time.Time) *Budget {
	if t.Window <= 0 {
		t.Window = 10 * time.Second
	}
	return &Budget{config: t, nodeCount: 1 << 20, startedAt: now, services: map[string]*slidingWindow{}}
}

// SetNodeCount tells among how many nodes the slack is divided.
func (t *Budget) SetNodeCount(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if n > 0 {
		t.nodeCount = n
	}
}

func (t *Budget) advance(service string, now time.Time) *slidingWindow {
	step := int64(now.Sub(t.startedAt) / (t.config.Window / windowBuckets))
	c := t.services[service]
	if c == nil {
		c = &slidingWindow{currentBucket: step}
		t.services[service] = c
	}
	if step-c.currentBucket >= 2*windowBuckets {
		*c = slidingWindow{currentBucket: step}
	}
	for c.currentBucket < step {
		c.currentBucket++
		i := c.currentBucket % (2 * windowBuckets)
		c.requests[i], c.extraAttempts[i] = 0, 0
	}
	return c
}

// sum adds up the newest n steps.
func (c *slidingWindow) sum(a *[2 * windowBuckets]float64, n int64) float64 {
	s := 0.0
	for k := int64(0); k < n; k++ {
		if i := c.currentBucket - k; i >= 0 {
			s += a[i%(2*windowBuckets)]
		}
	}
	return s
}

// Deposit counts a request of a client for the service.
func (t *Budget) Deposit(service string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.advance(service, now)
	c.requests[c.currentBucket%(2*windowBuckets)]++
}

// TryWithdraw takes one extra arrival at the service out of the budget, if it is
// there. keep is the share of the budget that must remain for others.
func (t *Budget) TryWithdraw(service string, now time.Time, keep float64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.advance(service, now)
	slack := 0.0
	if now.Sub(t.startedAt) >= t.config.Window {
		slack = t.config.Slack / float64(t.nodeCount)
	}
	// A window of steps+1 parts covers every window that ends now.
	budget := safetyMargin * (t.config.Ratio*c.sum(&c.requests, windowBuckets) + slack)
	if c.sum(&c.extraAttempts, windowBuckets+1)+1 > budget*(1-keep) {
		return false
	}
	c.extraAttempts[c.currentBucket%(2*windowBuckets)]++
	return true
}
