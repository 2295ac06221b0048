package quota

import (
	"sync"
	"time"
)

// Reserve holds the tokens of one node and what it learnt of the tenants' need.
type Reserve struct {
	mu sync.Mutex
	by map[string]*account
}

type account struct {
	lots  []lot     // oldest first
	spent bool      // since it was last looked at
	rate  float64   // requests a second, smoothed
	at    time.Time // of rate
	empty time.Time // nobody has a token for this tenant before then
}

type lot struct {
	n     int
	until time.Time
}

const (
	smooth = time.Second // over which a tenant's rate here is smoothed
	// ahead is the share of a token's life for which tokens are drawn ahead.
	ahead = 0.6
	// idleAccount is how long a tenant that sends nothing is remembered.
	idleAccount = 20 * time.Second
)

// NewReserve makes an empty reserve.
func NewReserve() *Reserve { return &Reserve{by: map[string]*account{}} }

func (r *Reserve) account(tenant string, now time.Time) *account {
	a := r.by[tenant]
	if a == nil {
		a = &account{at: now}
		r.by[tenant] = a
	}
	return a
}

// Spend notes a request of the tenant and spends a token if one is here. If not, wait
// is how long it is not worth asking for one.
func (r *Reserve) Spend(tenant string, now time.Time) (ok bool, wait time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.account(tenant, now)
	a.note(now)
	if a.take(now) {
		return true, 0
	}
	return false, a.empty.Sub(now)
}

// Claim spends a token that came in for a request that waits.
func (r *Reserve) Claim(tenant string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.account(tenant, now).take(now)
}

// note counts a request into the smoothed rate.
func (a *account) note(now time.Time) {
	fade := max(0, 1-now.Sub(a.at).Seconds()/smooth.Seconds())
	a.rate = a.rate*fade + 1/smooth.Seconds()
	a.at = now
}

func (a *account) take(now time.Time) bool {
	for len(a.lots) > 0 {
		l := &a.lots[0]
		if l.n > 0 && now.Before(l.until) {
			l.n--
			return true
		}
		a.lots = a.lots[1:]
	}
	return false
}

// Ahead is how many tokens to draw beyond those that requests wait for now.
func (r *Reserve) Ahead(tenant string, t Terms, now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.account(tenant, now)
	return int(a.rate * ahead * t.Life.Seconds())
}

// Add takes tokens in, good until then.
func (r *Reserve) Add(tenant string, n int, until, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.account(tenant, now)
	a.lots = append(a.lots, lot{n, until})
	a.empty = time.Time{}
}

// Empty notes that nobody has a token for the tenant for a while.
func (r *Reserve) Empty(tenant string, back time.Duration, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.account(tenant, now).empty = now.Add(back)
}

// Drop gives up the tokens of tenants whose limits were changed: they were drawn under
// the old ones.
func (r *Reserve) Drop(tenants []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, name := range tenants {
		if a := r.by[name]; a != nil {
			a.lots, a.empty = nil, time.Time{}
		}
	}
}

// Sweep forgets tenants that have sent nothing for long.
func (r *Reserve) Sweep(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, a := range r.by {
		if now.Sub(a.at) > idleAccount {
			delete(r.by, name)
		}
	}
}
