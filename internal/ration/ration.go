// Package ration spends a node's leased share of a rate that many nodes share.
// It does no input or output.
package ration

import (
	"sync"
	"time"
)

// Hold is how long a share is held by its holder's own clock, counted from
// before it asked.
const Hold = 3 * time.Second

// QuotaHold is how long a registrar holds its share of the tenants' quotas: longer than
// an exchange cell takes to find a proposer after losses, since a share that can't be
// renewed meanwhile would refuse all that tenants send.
const QuotaHold = 8 * time.Second

// Whole is every rate that the nodes share, in the unit of shares.
const Whole = 1000

const (
	// margin keeps a part of the rate back: reads that leave evenly may reach
	// the leafs in clumps.
	margin = 0.97
	// burst is how much unused time a node may catch up on.
	burst = 60 * time.Millisecond
	// idle is how often a node without a share looks again.
	idle = 20 * time.Millisecond
)

// Ration paces reads for each service under one leased share.
type Ration struct {
	mu       sync.Mutex
	permille int
	until    time.Time
	next     map[string]time.Time
}

// New starts without a share.
func New() *Ration { return &Ration{next: map[string]time.Time{}} }

// Shrink gives up a part of the share before its renewal is asked for.
func (r *Ration) Shrink(permille int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.permille = min(r.permille, permille)
}

// Renew takes what was granted, good until a moment of this node's clock.
func (r *Ration) Renew(permille int, until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.permille, r.until = permille, until
}

// Share returns the share held now.
func (r *Ration) Share(now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.held(now)
}

func (r *Ration) held(now time.Time) int {
	if !now.Before(r.until) {
		return 0
	}
	return r.permille
}

// Take spends one read at a service with a rate, if one may begin now; else it
// returns how long until it is worth asking again. A rate of 0 sets no bound.
func (r *Ration) Take(service string, rate float64, now time.Time) (ok bool, wait time.Duration) {
	if rate <= 0 {
		return true, 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	share := r.held(now)
	if share <= 0 {
		return false, idle
	}
	at := r.next[service]
	if earliest := now.Add(-burst); at.Before(earliest) {
		at = earliest
	}
	if wait := at.Sub(now); wait > 0 {
		return false, wait
	}
	r.next[service] = at.Add(time.Duration(float64(time.Second) / (margin * rate * float64(share) / Whole)))
	return true, 0
}

// PerSecond is how many reads a second the share is good for now.
func (r *Ration) PerSecond(rate float64, now time.Time) float64 {
	return margin * rate * float64(r.Share(now)) / Whole
}
