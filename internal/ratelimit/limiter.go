// Package ratelimit paces requests under a leased share of a rate that many nodes share.
//
// The control plane leases each node a share, in thousandths, of the rates of all services;
// the node renews the lease and spends its share with a Limiter. Time is passed in; the
// package does no input or output.
package ratelimit

import (
	"sync"
	"time"
)

const (
	// LeaseDuration is how long a node holds its share of the services' rates, by its own
	// clock, counted from the time before it sent the request.
	LeaseDuration = 3 * time.Second
	// QuotaLeaseDuration is how long a control node holds its share of the tenants'
	// quotas. It is longer than the election of a leader of the meta cell after losses:
	// without a share, all requests of tenants would be rejected during the election.
	QuotaLeaseDuration = 8 * time.Second
	// FullShare is the share of all nodes together, in thousandths.
	FullShare = 1000
)

const (
	// safetyMargin is the usable part of the rate: requests that are sent evenly may reach
	// the endpoints in bursts.
	safetyMargin = 0.97
	// burstAllowance bounds the unused time for which a node may still send requests.
	burstAllowance = 60 * time.Millisecond
	// noShareRetryDelay is the wait that Take returns on a node without a share.
	noShareRetryDelay = 20 * time.Millisecond
)

// Limiter paces the requests to each service under one leased share. It is safe for
// concurrent use.
type Limiter struct {
	mu          sync.Mutex // guards the fields below
	permille    int        // the share
	leaseExpiry time.Time
	nextAllowed map[string]time.Time // by service: when the next request may begin
}

// New returns a limiter that holds no share.
func New() *Limiter { return &Limiter{nextAllowed: map[string]time.Time{}} }

// Shrink lowers the share to permille at most. Call it before the request that returns a part
// of the share is sent: that part may be granted to another node at once.
func (l *Limiter) Shrink(permille int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.permille = min(l.permille, permille)
}

// Renew sets the granted share, which is valid until expiry by this node's clock.
func (l *Limiter) Renew(permille int, expiry time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.permille = permille
	l.leaseExpiry = expiry
}

// Share returns the share held now, in thousandths.
func (l *Limiter) Share(now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.shareLocked(now)
}

// Take reports whether a request to the service may begin now, and counts it if so. If not,
// wait is the time after which to call Take again. rate is the service's rate in requests a
// second, over all nodes; 0 sets no limit.
func (l *Limiter) Take(service string, rate float64, now time.Time) (ok bool, wait time.Duration) {
	if rate <= 0 {
		return true, 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	share := l.shareLocked(now)
	if share <= 0 {
		return false, noShareRetryDelay
	}
	allowedAt := l.nextAllowed[service]
	if earliest := now.Add(-burstAllowance); allowedAt.Before(earliest) {
		allowedAt = earliest
	}
	if wait := allowedAt.Sub(now); wait > 0 {
		return false, wait
	}
	interval := time.Duration(float64(time.Second) / shareOfRate(rate, share))
	l.nextAllowed[service] = allowedAt.Add(interval)
	return true, 0
}

// RatePerSecond returns how many requests a second the share allows now, out of a rate over
// all nodes.
func (l *Limiter) RatePerSecond(rate float64, now time.Time) float64 {
	return shareOfRate(rate, l.Share(now))
}

func (l *Limiter) shareLocked(now time.Time) int {
	if !now.Before(l.leaseExpiry) {
		return 0
	}
	return l.permille
}

// shareOfRate returns the part of a rate that a share allows, less the safety margin.
func shareOfRate(rate float64, permille int) float64 {
	return safetyMargin * rate * float64(permille) / FullShare
}
