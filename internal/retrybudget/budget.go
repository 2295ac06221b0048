// Package retrybudget implements this node's part of the retry budget that all nodes
// share.
//
// Every attempt after the first one of a request is an extra attempt. Over any window,
// the extra attempts at a service may not exceed the number of requests times a ratio,
// plus a slack. Each node applies the ratio to the requests that it forwarded itself. The
// slack is divided among the live nodes. A node that has just started has no slack until
// a window has passed, because it does not know how much the previous process on the same
// node has used.
//
// The caller calls [Budget.Deposit] for each request of a client, [Budget.TryWithdraw]
// before each extra attempt, and [Budget.SetNodeCount] when the number of nodes changes.
package retrybudget

import (
	"sync"
	"time"
)

const (
	defaultWindow = 10 * time.Second
	// usableShare is the share of the budget that may be used. The rest is a safety
	// margin, because the windows of different nodes begin at different times.
	usableShare = 0.85
	// initialNodeCount is so high that almost no slack is available until SetNodeCount
	// is called.
	initialNodeCount = 1 << 20
)

// Config sets the size of a budget.
type Config struct {
	Ratio  float64       // extra attempts per request
	Slack  float64       // extra attempts per window beyond the ratio, of all nodes together
	Window time.Duration // 10 seconds if 0
}

// Budget holds the budget of each service. It is safe for concurrent use.
type Budget struct {
	config    Config
	startedAt time.Time

	mu        sync.Mutex // guards the fields below
	nodeCount int
	services  map[string]*slidingWindow
}

// New returns a budget that starts at now.
func New(config Config, now time.Time) *Budget {
	if config.Window <= 0 {
		config.Window = defaultWindow
	}
	return &Budget{
		config:    config,
		startedAt: now,
		nodeCount: initialNodeCount,
		services:  map[string]*slidingWindow{},
	}
}

// SetNodeCount sets the number of nodes that share the slack. It ignores a count that is
// not positive.
func (b *Budget) SetNodeCount(count int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if count > 0 {
		b.nodeCount = count
	}
}

// Deposit counts a request of a client to a service.
func (b *Budget) Deposit(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.windowLocked(service, now).addRequest()
}

// TryWithdraw withdraws one extra attempt at a service if the budget allows it, and reports
// whether it did. reserve is the share of the budget, from 0 to 1, that must remain.
func (b *Budget) TryWithdraw(service string, now time.Time, reserve float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	window := b.windowLocked(service, now)
	budget := usableShare * (b.config.Ratio*window.requestCount() + b.slackLocked(now))
	if window.extraAttemptCount()+1 > budget*(1-reserve) {
		return false
	}
	window.addExtraAttempt()
	return true
}

// slackLocked returns this node's share of the slack.
func (b *Budget) slackLocked(now time.Time) float64 {
	if now.Sub(b.startedAt) < b.config.Window {
		return 0
	}
	return b.config.Slack / float64(b.nodeCount)
}

// windowLocked returns the window of a service, advanced to now.
func (b *Budget) windowLocked(service string, now time.Time) *slidingWindow {
	bucket := int64(now.Sub(b.startedAt) / (b.config.Window / windowBuckets))
	window := b.services[service]
	if window == nil {
		window = &slidingWindow{currentBucket: bucket}
		b.services[service] = window
	}
	window.advance(bucket)
	return window
}
