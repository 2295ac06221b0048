// Package ratelimit limits the request rate of one node to its leased share of a common rate.
//
// The control plane leases each node a share, in thousandths, of the rates of all services. The
// node renews the lease and limits its requests with a Limiter. Callers pass the time in; the
// package does no I/O.
package ratelimit

import (
	"sync"
	"time"
)

const (
	// LeaseDuration is how long a node holds its share of the services' rates. The node measures
	// it on its own clock, from before it sends the request for the lease.
	LeaseDuration = 3 * time.Second
	// QuotaLeaseDuration is how long a control node holds its share of the tenants' quotas. It
	// is longer than a leader election of the meta cell after machine losses. Otherwise shares
	// would expire during the election and all requests of tenants would be rejected.
	QuotaLeaseDuration = 8 * time.Second
	// FullShare is the share of a node that may use the whole rate, in thousandths. The shares
	// of all nodes add up to at most FullShare.
	FullShare = 1000
)

const (
	// usableRateFraction is the part of the rate that is used. The rest is a margin, because
	// requests that are sent evenly may reach the endpoints in bursts.
	usableRateFraction = 0.97
	// burstAllowance bounds the burst after an idle time: the requests that the rate allows
	// within burstAllowance may then begin at once.
	burstAllowance = 60 * time.Millisecond
	// noShareRetryDelay is the wait that Take returns while the node holds no share.
	noShareRetryDelay = 20 * time.Millisecond
)

// Limiter limits the request rate to each service by one leased share. It is safe for
// concurrent use.
type Limiter struct {
	mu          sync.Mutex           // guards the fields below
	permille    int                  // the share, in thousandths
	leaseExpiry time.Time            // the share is 0 from then on
	nextAllowed map[string]time.Time // by service: when the next request may begin
}

// New returns a limiter that holds no share.
func New() *Limiter { return &Limiter{nextAllowed: map[string]time.Time{}} }

// Shrink reduces the share to permille if it is greater. Call it before sending the request that
// returns a part of the share, because that part may be granted to another node at once.
func (l *Limiter) Shrink(permille int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.permille = min(l.permille, permille)
}

// Renew sets the share to a newly granted one, which is valid until expiry by this node's clock.
func (l *Limiter) Renew(permille int, expiry time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.permille = permille
	l.leaseExpiry = expiry
}

// Share returns the share that the node holds now, in thousandths; 0 after the lease expired.
func (l *Limiter) Share(now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.shareLocked(now)
}

// Take reports whether a request to the service may begin now, and counts it if so. If not,
// wait is the time after which to call Take again. rate is the service's rate over all nodes,
// in requests per second; 0 means no limit.
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

// RatePerSecond returns the part of a rate over all nodes that the share allows now. Both rates
// are in requests per second.
func (l *Limiter) RatePerSecond(rate float64, now time.Time) float64 {
	return shareOfRate(rate, l.Share(now))
}

func (l *Limiter) shareLocked(now time.Time) int {
	if !now.Before(l.leaseExpiry) {
		return 0
	}
	return l.permille
}

// shareOfRate returns the part of a rate that a share allows, reduced by usableRateFraction.
func shareOfRate(rate float64, permille int) float64 {
	return usableRateFraction * rate * float64(permille) / FullShare
}
