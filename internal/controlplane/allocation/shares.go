package allocation

import (
	"sync"
	"time"

	"comethold/internal/distribution"
	"comethold/internal/ratelimit"
)

// shareTable holds shares by node name. It is stored under one key of the replicated state.
type shareTable map[string]distribution.ShareLease

// shareAllocator decides requests for shares of one table. It grants at most the part of the
// full share that other nodes do not hold. A share expires once this allocator has seen no renewal of it for
// clockSkewFactor times the lease duration.
type shareAllocator struct {
	tableKey        string // in the replicated state
	leaseDuration   time.Duration
	clockSkewFactor time.Duration

	mu       sync.Mutex               // guards observed
	observed map[string]observedShare // by node
}

// observedShare is a share and the time at which it was first seen with this value.
type observedShare struct {
	share distribution.ShareLease
	since time.Time
}

// newShareAllocator returns a shareAllocator. clockSkewFactor is the greatest ratio allowed between
// the rates of the fastest and the slowest clock.
func newShareAllocator(tableKey string, leaseDuration time.Duration, clockSkewFactor int) *shareAllocator {
	return &shareAllocator{
		tableKey:        tableKey,
		leaseDuration:   leaseDuration,
		clockSkewFactor: time.Duration(clockSkewFactor),
		observed:        map[string]observedShare{},
	}
}

// allocate decides a request. It returns the grant and a copy of the table that contains the granted
// share and no expired shares of other nodes.
func (a *shareAllocator) allocate(
	table shareTable, request distribution.ShareRequest, now time.Time,
) (updated shareTable, grant distribution.ShareGrant) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.observeLocked(table, now)
	updated = shareTable{}
	heldByOthers := 0
	for node, share := range table {
		if node == request.Node {
			updated[node] = share
			continue
		}
		if now.Sub(a.observed[node].since) <= a.clockSkewFactor*a.leaseDuration {
			updated[node] = share
			heldByOthers += share.Permille
		}
	}
	held, hasLease := updated[request.Node]
	if hasLease && request.Number.IsStale(held.Request) {
		return updated, grant // a newer request of this node was granted already
	}
	leaseholders := len(updated)
	if !hasLease {
		leaseholders++
	}
	grant.Granted = true
	grant.Uninterrupted = held.Permille > 0
	grant.FairPermille = ratelimit.FullShare / leaseholders
	wanted := request.Permille
	if request.HoldsNone {
		wanted = grant.FairPermille
	}
	grant.Permille = max(0, min(wanted, ratelimit.FullShare-heldByOthers))
	updated[request.Node] = distribution.ShareLease{
		Permille: grant.Permille,
		Renewals: held.Renewals + 1,
		Request:  request.Number,
	}
	return updated, grant
}

// observeLocked updates observed from the current table. Every renewal changes the stored share, so
// a renewal decided earlier in the same batch also counts as a change.
func (a *shareAllocator) observeLocked(table shareTable, now time.Time) {
	for node, share := range table {
		if seen, found := a.observed[node]; !found || seen.share != share {
			a.observed[node] = observedShare{share: share, since: now}
		}
	}
	for node := range a.observed {
		if _, found := table[node]; !found {
			delete(a.observed, node)
		}
	}
}
