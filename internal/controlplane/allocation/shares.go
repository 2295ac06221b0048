package allocation

import (
	"sync"
	"time"

	"comethold/internal/distribution"
	"comethold/internal/ratelimit"
)

// shareTable holds shares by node name. It is the value of one key of the replicated state.
type shareTable map[string]distribution.ShareLease

// shareAllocator decides requests for shares of one table. It never grants more than is left
// of the whole. A share expires only after this allocator has seen it unrenewed for
// clockSkewFactor times its lease.
type shareAllocator struct {
	tableKey        string // in the replicated state
	leaseDuration   time.Duration
	clockSkewFactor time.Duration

	mu       sync.Mutex               // guards observed
	observed map[string]observedShare // by node
}

// observedShare is a share and when it was first seen with this value.
type observedShare struct {
	share distribution.ShareLease
	since time.Time
}

// newShareAllocator returns a shareAllocator. clockSkewFactor is how many times faster the
// fastest clock may run than the slowest.
func newShareAllocator(tableKey string, leaseDuration time.Duration, clockSkewFactor int) *shareAllocator {
	return &shareAllocator{
		tableKey:        tableKey,
		leaseDuration:   leaseDuration,
		clockSkewFactor: time.Duration(clockSkewFactor),
		observed:        map[string]observedShare{},
	}
}

// allocate decides a request. It returns the table with the granted share and without expired
// ones.
func (a *shareAllocator) allocate(
	table shareTable, request distribution.ShareRequest, now time.Time,
) (next shareTable, grant distribution.ShareGrant) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.observeLocked(table, now)
	next = shareTable{}
	heldByOthers := 0
	for node, share := range table {
		if node == request.Node {
			next[node] = share
			continue
		}
		if now.Sub(a.observed[node].since) <= a.clockSkewFactor*a.leaseDuration {
			next[node] = share
			heldByOthers += share.Permille
		}
	}
	held, hasLease := next[request.Node]
	if hasLease && request.Number.IsStale(held.Request) {
		return next, grant // the node already uses the grant of a newer request
	}
	leaseholders := len(next)
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
	next[request.Node] = distribution.ShareLease{
		Permille: grant.Permille,
		Renewals: held.Renewals + 1,
		Request:  request.Number,
	}
	return next, grant
}

// observeLocked updates observed for the current table. Each renewal changes a share, also
// one earlier in the same batch.
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
