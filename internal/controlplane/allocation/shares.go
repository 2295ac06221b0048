package allocation

import (
	"sync"
	"time"

	"comethold/internal/distribution"
	"comethold/internal/ratelimit"
)

// shareTable is, by node, the shares of one table of the replicated state.
type shareTable map[string]distribution.ShareLease

// shareAllocator decides requests for shares of one table. It never grants more than what is
// left of the whole, and lets a share lapse only after it has itself seen it unrenewed for
// clockSkewFactor times as long as it is leased.
type shareAllocator struct {
	tableKey        string // of the replicated state
	leaseDuration   time.Duration
	clockSkewFactor time.Duration

	mu       sync.Mutex               // guards observed
	observed map[string]observedShare // by node
}

// observedShare is a share as it has been seen since a time.
type observedShare struct {
	share distribution.ShareLease
	since time.Time
}

// newShareAllocator returns a shareAllocator that has seen nothing yet. clockSkewFactor is how
// much faster the fastest clock may run than the slowest.
func newShareAllocator(tableKey string, leaseDuration time.Duration, clockSkewFactor int) *shareAllocator {
	return &shareAllocator{
		tableKey:        tableKey,
		leaseDuration:   leaseDuration,
		clockSkewFactor: time.Duration(clockSkewFactor),
		observed:        map[string]observedShare{},
	}
}

// allocate decides a request on a table. It returns the table with what is granted and
// without shares that have lapsed.
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
	held, isHolder := next[request.Node]
	if isHolder && request.Number.IsStale(held.Request) {
		return next, grant // its node has sent a newer request, and uses what that was granted
	}
	holders := len(next)
	if !isHolder {
		holders++
	}
	grant.Granted = true
	grant.Uninterrupted = held.Permille > 0
	grant.FairPermille = ratelimit.FullShare / holders
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

// observeLocked notes which shares have changed, as each renewal changes them, be it one in
// the same batch, and forgets those that are gone.
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
