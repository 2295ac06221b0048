package quota

import (
	"sync"
	"time"
)

// TokenCache holds the tokens of one node and what it learnt of the tenants' need.
type TokenCache struct {
	mu       sync.Mutex
	accounts map[string]*account
}

type account struct {
	batches        []tokenBatch // oldest first
	spent          bool         // since it was last looked at
	requestRate    float64      // requests a second, smoothed
	rateUpdatedAt  time.Time    // of rate
	exhaustedUntil time.Time    // nobody has a token for this tenant before then
}

type tokenBatch struct {
	count  int
	expiry time.Time
}

const (
	rateSmoothing = time.Second // over which a tenant's rate here is smoothed
	// prefetchFraction is the share of a token's life for which tokens are drawn ahead.
	prefetchFraction = 0.6
	// accountIdleTimeout is how long a tenant that sends nothing is remembered.
	accountIdleTimeout = 20 * time.Second
)

// NewTokenCache makes an empty reserve.
func NewTokenCache() *TokenCache { return &TokenCache{accounts: map[string]*account{}} }

func (r *TokenCache) account(tenant string, now time.Time) *account {
	a := r.accounts[tenant]
	if a == nil {
		a = &account{rateUpdatedAt: now}
		r.accounts[tenant] = a
	}
	return a
}

// Spend notes a request of the tenant and spends a token if one is here. If not, wait
// is how long it is not worth asking for one.
func (r *TokenCache) Spend(tenant string, now time.Time) (ok bool, wait time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.account(tenant, now)
	a.recordRequest(now)
	if a.spend(now) {
		return true, 0
	}
	return false, a.exhaustedUntil.Sub(now)
}

// SpendGranted spends a token that came in for a request that waits.
func (r *TokenCache) SpendGranted(tenant string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.account(tenant, now).spend(now)
}

// recordRequest counts a request into the smoothed rate.
func (a *account) recordRequest(now time.Time) {
	fade := max(0, 1-now.Sub(a.rateUpdatedAt).Seconds()/rateSmoothing.Seconds())
	a.requestRate = a.requestRate*fade + 1/rateSmoothing.Seconds()
	a.rateUpdatedAt = now
}

func (a *account) spend(now time.Time) bool {
	for len(a.batches) > 0 {
		l := &a.batches[0]
		if l.count > 0 && now.Before(l.expiry) {
			l.count--
			return true
		}
		a.batches = a.batches[1:]
	}
	return false
}

// PrefetchCount is how many tokens to draw beyond those that requests wait for now.
func (r *TokenCache) PrefetchCount(tenant string, t BucketLimits, now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.account(tenant, now)
	return int(a.requestRate * prefetchFraction * t.TokenLifetime.Seconds())
}

// Add takes tokens in, good until then.
func (r *TokenCache) Add(tenant string, n int, until, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.account(tenant, now)
	a.batches = append(a.batches, tokenBatch{n, until})
	a.exhaustedUntil = time.Time{}
}

// MarkExhausted notes that nobody has a token for the tenant for a while.
func (r *TokenCache) MarkExhausted(tenant string, back time.Duration, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.account(tenant, now).exhaustedUntil = now.Add(back)
}

// Discard gives up the tokens of tenants whose limits were changed: they were drawn under
// the old ones.
func (r *TokenCache) Discard(tenants []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, name := range tenants {
		if a := r.accounts[name]; a != nil {
			a.batches, a.exhaustedUntil = nil, time.Time{}
		}
	}
}

// RemoveIdle forgets tenants that have sent nothing for long.
func (r *TokenCache) RemoveIdle(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, a := range r.accounts {
		if now.Sub(a.rateUpdatedAt) > accountIdleTimeout {
			delete(r.accounts, name)
		}
	}
}
