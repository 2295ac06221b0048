// Package ration spends a node's leased share of a rate that many nodes share.
// It does no input or output.
package ratelimit

import (
	"sync"
	"time"
)

// LeaseDuration is how long a share is held by its holder's own clock, counted from
// before it asked.
const LeaseDuration = 3 * time.Second

// QuotaLeaseDuration is how long a registrar holds its share of the tenants' quotas: longer than
// an exchange cell takes to find a proposer after losses, since a share that can't be
// renewed meanwhile would refuse all that tenants send.
const QuotaLeaseDuration = 8 * time.Second

// FullShare is every rate that the nodes share, in the unit of shares.
const FullShare = 1000

const (
	// safetyMargin keeps a part of the rate back: reads that leave evenly may reach
	// the leafs in clumps.
	safetyMargin = 0.97
	// burstAllowance is how much unused time a node may catch up on.
	burstAllowance = 60 * time.Millisecond
	// noShareRetryDelay is how often a node without a share looks again.
	noShareRetryDelay = 20 * time.Millisecond
)

// Limiter paces reads for each service under one leased share.
type Limiter struct {
	mu          sync.Mutex
	permille    int
	leaseExpiry time.Time
	nextAllowed map[string]time.Time
}

// New starts without a share.
func New() *Limiter { return &Limiter{nextAllowed: map[string]time.Time{}} }

// Shrink gives up a part of the share before its renewal is asked for.
func (r *Limiter) Shrink(permille int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.permille = min(r.permille, permille)
}

// Renew takes what was granted, good until a moment of this node's clock.
func (r *Limiter) Renew(permille int, until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.permille, r.leaseExpiry = permille, until
}

// Share returns the share held now.
func (r *Limiter) Share(now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.shareLocked(now)
}

func (r *Limiter) shareLocked(now time.Time) int {
	if !now.Before(r.leaseExpiry) {
		return 0
	}
	return r.permille
}

// Take spends one read at a service with a rate, if one may begin now; else it
// returns how long until it is worth asking again. A rate of 0 sets no bound.
func (r *Limiter) Take(service string, rate float64, now time.Time) (ok bool, wait time.Duration) {
	if rate <= 0 {
		return true, 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	share := r.shareLocked(now)
	if share <= 0 {
		return false, noShareRetryDelay
	}
	at := r.nextAllowed[service]
	if earliest := now.Add(-burstAllowance); at.Before(earliest) {
		at = earliest
	}
	if wait := at.Sub(now); wait > 0 {
		return false, wait
	}
	r.nextAllowed[service] = at.Add(time.Duration(float64(time.Second) / (safetyMargin * rate * float64(share) / FullShare)))
	return true, 0
}

// RatePerSecond is how many reads a second the share is good for now.
func (r *Limiter) RatePerSecond(rate float64, now time.Time) float64 {
	return safetyMargin * rate * float64(r.Share(now)) / FullShare
}
