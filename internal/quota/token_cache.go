package quota

import (
	"sync"
	"time"
)

const (
	// rateSmoothing is the period over which a tenant's request rate is smoothed.
	rateSmoothing = time.Second
	// prefetchFraction is a fraction of a token's lifetime. Tokens are prefetched for the
	// requests expected in that time.
	prefetchFraction = 0.6
	// accountIdleTimeout is how long the account of an idle tenant is kept.
	accountIdleTimeout = 20 * time.Second
)

// TokenCache holds the tokens of one data plane node, and the tenants' request rates, from which
// it computes the number of tokens to prefetch. It is safe for concurrent use.
type TokenCache struct {
	mu       sync.Mutex // guards the fields below
	accounts map[string]*account
}

// account holds one tenant's tokens and request rate.
type account struct {
	batches        []tokenBatch // oldest first
	requestRate    float64      // requests per second, smoothed
	rateUpdatedAt  time.Time
	exhaustedUntil time.Time // no control node has a token for this tenant before then
}

// tokenBatch holds the remaining tokens of one grant.
type tokenBatch struct {
	count  int
	expiry time.Time
}

// NewTokenCache returns an empty cache.
func NewTokenCache() *TokenCache { return &TokenCache{accounts: map[string]*account{}} }

// Spend counts a request of the tenant and spends a token if there is one. If there is none, wait
// is the time until a control node may have a token; a negative wait means that the time has
// passed.
func (c *TokenCache) Spend(tenant string, now time.Time) (ok bool, wait time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.accountLocked(tenant, now)
	a.recordRequest(now)
	if a.spend(now) {
		return true, 0
	}
	return false, a.exhaustedUntil.Sub(now)
}

// SpendGranted spends a newly granted token for a request that Spend has already counted. It
// reports whether there was a token.
func (c *TokenCache) SpendGranted(tenant string, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.accountLocked(tenant, now).spend(now)
}

// PrefetchCount returns the number of tokens to request in addition to those that pending
// requests wait for.
func (c *TokenCache) PrefetchCount(tenant string, limits BucketLimits, now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.accountLocked(tenant, now)
	return int(a.requestRate * prefetchFraction * limits.TokenLifetime.Seconds())
}

// Add adds n tokens that may be spent until expiry.
func (c *TokenCache) Add(tenant string, n int, expiry, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.accountLocked(tenant, now)
	a.batches = append(a.batches, tokenBatch{count: n, expiry: expiry})
	a.exhaustedUntil = time.Time{}
}

// MarkExhausted records that no control node has a token for the tenant until retryAfter has
// passed.
func (c *TokenCache) MarkExhausted(tenant string, retryAfter time.Duration, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.accountLocked(tenant, now).exhaustedUntil = now.Add(retryAfter)
}

// Discard drops the tokens of tenants whose limits changed, because the tokens were granted under
// the old limits.
func (c *TokenCache) Discard(tenants []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, tenant := range tenants {
		if a := c.accounts[tenant]; a != nil {
			a.batches = nil
			a.exhaustedUntil = time.Time{}
		}
	}
}

// RemoveIdle removes the accounts of idle tenants.
func (c *TokenCache) RemoveIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for tenant, a := range c.accounts {
		if now.Sub(a.rateUpdatedAt) > accountIdleTimeout {
			delete(c.accounts, tenant)
		}
	}
}

// accountLocked returns the tenant's account. It creates the account if there is none.
func (c *TokenCache) accountLocked(tenant string, now time.Time) *account {
	a := c.accounts[tenant]
	if a == nil {
		a = &account{rateUpdatedAt: now}
		c.accounts[tenant] = a
	}
	return a
}

// recordRequest adds a request to the smoothed rate.
func (a *account) recordRequest(now time.Time) {
	decay := max(0, 1-now.Sub(a.rateUpdatedAt).Seconds()/rateSmoothing.Seconds())
	a.requestRate = a.requestRate*decay + 1/rateSmoothing.Seconds()
	a.rateUpdatedAt = now
}

// spend takes a token from the oldest batch that has not expired. It reports whether there was
// one.
func (a *account) spend(now time.Time) bool {
	for len(a.batches) > 0 {
		oldest := &a.batches[0]
		if oldest.count > 0 && now.Before(oldest.expiry) {
			oldest.count--
			return true
		}
		a.batches = a.batches[1:]
	}
	return false
}
