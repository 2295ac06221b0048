package proxy

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"comethold/internal/controlclient"
	"comethold/internal/distribution"
	"comethold/internal/quota"
	"comethold/internal/routing"
)

// Pacing of draws. Ours; see docs/design.md.
const (
	// Least time between two datagrams: what comes meanwhile goes together. A busy node
	// has more to put together, and its datagrams would cost more than what is in them.
	minSendInterval       = 10 * time.Millisecond
	busySendInterval      = 30 * time.Millisecond
	busySendRate          = 20.0                  // datagrams a second
	responseTimeout       = 30 * time.Millisecond // after which another registrar is asked
	maxTokenAttempts      = 3
	avoidDuration         = time.Second            // a registrar that did not answer, or has no share
	targetsMaxAge         = 250 * time.Millisecond // how long the order of registrars is kept
	minTokenWait          = 40 * time.Millisecond  // a request waits this long for a token at least
	maxTokenWait          = 200 * time.Millisecond
	unavailableRetryAfter = 150 * time.Millisecond
)

// tokenClient draws tokens for the tenants that this node sees. Requests for which none is
// here wait while one datagram asks for all of them.
type tokenClient struct {
	office *controlclient.Client
	rules  quota.Rules
	cache  *quota.TokenCache

	mu            sync.Mutex
	queues        map[string]*waitQueue
	inFlight      map[uint64]*tokenRequest
	nextRequestID uint64
	lastSentAt    time.Time
	sendRate      float64 // datagrams, smoothed over a second
	sendScheduled bool    // a send is due
	targets       []net.Addr
	targetsAt     time.Time
	avoidUntil    map[string]time.Time
}

// waitQueue holds those who wait for tokens of one tenant, oldest first.
type waitQueue struct {
	waiters   []*waiter
	requested int // tokens asked for them and not answered
}

type waiter struct {
	done     chan admission
	attempts int
}

// admission is what a waiter learns: it has a token, or when to come back. Limited says that
// the tenant is at its limit, not that nobody could tell.
type admission struct {
	granted, limited bool
	retryAfter       time.Duration
}

// tokenRequest is a datagram that has not been answered.
type tokenRequest struct {
	target    net.Addr
	sentAt    time.Time
	wants     []quota.TenantDemand
	lifetimes []time.Duration
}

func newTokenClient(o *controlclient.Client) *tokenClient {
	t := &tokenClient{office: o, rules: o.Settings.Bounds.QuotaRules(), cache: quota.NewTokenCache(), queues: map[string]*waitQueue{},
		inFlight: map[uint64]*tokenRequest{}, nextRequestID: rand.Uint64(), avoidUntil: map[string]time.Time{}}
	o.OnTokenGrant(t.handleGrant)
	o.OnTenantsChanged(func(names []string) { t.cache.Discard(names) })
	return t
}

// admit spends a token for a request of the tenant, if it needs one.
func (t *tokenClient) admit(who *routing.Tenant, target, left time.Duration, now time.Time) admission {
	terms := t.rules.LimitsFor(who.RatePerSecond, who.BurstSize)
	if !terms.Limited() {
		return admission{granted: true}
	}
	ok, wait := t.cache.Spend(who.Name, now)
	if ok {
		return admission{granted: true}
	}
	if wait > 0 {
		return admission{limited: true, retryAfter: wait}
	}
	w := &waiter{done: make(chan admission, 1)}
	t.mu.Lock()
	q := t.queues[who.Name]
	if q == nil {
		q = &waitQueue{}
		t.queues[who.Name] = q
	}
	q.waiters = append(q.waiters, w)
	t.scheduleSendLocked(now)
	t.mu.Unlock()
	patience := min(max(target/2, minTokenWait), maxTokenWait, left)
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case a := <-w.done:
		return a
	case <-timer.C:
	case <-t.office.Done():
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	select {
	case a := <-w.done:
		return a
	default:
	}
	q.remove(w)
	return admission{retryAfter: unavailableRetryAfter}
}

func (q *waitQueue) remove(w *waiter) {
	for i, o := range q.waiters {
		if o == w {
			q.waiters = append(q.waiters[:i], q.waiters[i+1:]...)
			return
		}
	}
}

// scheduleSendLocked sees to it that those who wait are asked for, at once if the last datagram
// is some time ago.
func (t *tokenClient) scheduleSendLocked(now time.Time) {
	if t.sendScheduled {
		return
	}
	t.sendScheduled = true
	gap := minSendInterval
	if t.sendRate > busySendRate {
		gap = busySendInterval
	}
	if wait := gap - now.Sub(t.lastSentAt); wait > 0 {
		time.AfterFunc(wait, t.send)
		return
	}
	go t.send()
}

// send sends one datagram for all who are not asked for yet.
func (t *tokenClient) send() {
	now := time.Now()
	plan := t.office.RouteTable()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sendScheduled = false
	to := t.targetLocked(now)
	if plan == nil || to == nil {
		t.rejectAllLocked()
		return
	}
	d := &tokenRequest{target: to, sentAt: now}
	for name, q := range t.queues {
		need := len(q.waiters) - q.requested
		if need <= 0 {
			if len(q.waiters) == 0 && q.requested <= 0 {
				delete(t.queues, name)
			}
			continue
		}
		if len(d.wants) == quota.MaxDemands {
			t.scheduleSendLocked(now)
			break
		}
		who := plan.Tenant(name)
		if who == nil {
			q.reject(len(q.waiters), admission{retryAfter: unavailableRetryAfter})
			continue
		}
		terms := t.rules.LimitsFor(who.RatePerSecond, who.BurstSize)
		q.requested += need
		d.wants = append(d.wants, quota.TenantDemand{Tenant: name, Required: need, Prefetch: t.cache.PrefetchCount(name, terms, now)})
		d.lifetimes = append(d.lifetimes, terms.TokenLifetime)
	}
	if len(d.wants) == 0 {
		return
	}
	t.nextRequestID++
	id := t.nextRequestID
	t.inFlight[id] = d
	t.sendRate = t.sendRate*max(0, 1-now.Sub(t.lastSentAt).Seconds()) + 1
	t.lastSentAt = now
	t.office.Send(d.target, &distribution.Datagram{TokenRequest: &quota.TokenRequest{ID: id, Demands: d.wants}})
	time.AfterFunc(responseTimeout, func() { t.handleTimeout(id) })
}

// handleGrant takes a grant. Tokens are good for their life from before they were asked for.
func (t *tokenClient) handleGrant(g *quota.TokenGrant) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	d := t.inFlight[g.ID]
	if d == nil || len(g.Results) != len(d.wants) {
		return
	}
	delete(t.inFlight, g.ID)
	for i, w := range d.wants {
		p := g.Results[i]
		if p.Granted > 0 {
			t.cache.Add(w.Tenant, p.Granted, d.sentAt.Add(d.lifetimes[i]), now)
		}
		q := t.queues[w.Tenant]
		if q == nil {
			continue
		}
		q.requested = max(0, q.requested-w.Required)
		for len(q.waiters) > 0 && t.cache.SpendGranted(w.Tenant, now) {
			q.waiters[0].done <- admission{granted: true}
			q.waiters = q.waiters[1:]
		}
		switch back := time.Duration(p.RetryAfterMs) * time.Millisecond; {
		case p.NoShare:
			t.avoidUntil[d.target.String()] = now.Add(avoidDuration)
			t.targetsAt = time.Time{}
			t.requeueLocked(q, w.Required, now)
		case p.Granted < w.Required && back > 0:
			t.cache.MarkExhausted(w.Tenant, min(back, unavailableRetryAfter), now)
			q.reject(w.Required-p.Granted, admission{limited: true, retryAfter: back})
		}
	}
}

// handleTimeout gives up on a datagram and asks another registrar.
func (t *tokenClient) handleTimeout(id uint64) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	d := t.inFlight[id]
	if d == nil {
		return
	}
	t.avoidUntil[d.target.String()] = now.Add(avoidDuration)
	t.targetsAt = time.Time{}
	for _, w := range d.wants {
		if q := t.queues[w.Tenant]; q != nil {
			q.requested = max(0, q.requested-w.Required)
			t.requeueLocked(q, w.Required, now)
		}
	}
	// An answer that comes late still holds tokens, but nobody is counted on it.
	for i := range d.wants {
		d.wants[i].Required = 0
	}
	time.AfterFunc(time.Second, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.inFlight, id)
	})
}

// requeueLocked has the oldest n asked for once more, those that were asked for too often
// already excepted.
func (t *tokenClient) requeueLocked(q *waitQueue, n int, now time.Time) {
	kept := q.waiters[:0]
	for i, w := range q.waiters {
		if i < n {
			if w.attempts++; w.attempts >= maxTokenAttempts {
				w.done <- admission{retryAfter: unavailableRetryAfter}
				continue
			}
		}
		kept = append(kept, w)
	}
	q.waiters = kept
	if len(kept) > 0 {
		t.scheduleSendLocked(now)
	}
}

func (q *waitQueue) reject(n int, a admission) {
	n = min(n, len(q.waiters))
	for _, w := range q.waiters[:n] {
		w.done <- a
	}
	q.waiters = q.waiters[n:]
}

func (t *tokenClient) rejectAllLocked() {
	for _, q := range t.queues {
		q.reject(len(q.waiters), admission{retryAfter: unavailableRetryAfter})
	}
}

// targetLocked is whom to ask: the first in the order of the feed that answers.
func (t *tokenClient) targetLocked(now time.Time) net.Addr {
	if now.Sub(t.targetsAt) > targetsMaxAge {
		t.targets, t.targetsAt = t.office.ControlPlaneAddrs(), now
	}
	var best net.Addr
	for _, a := range t.targets {
		until, shunned := t.avoidUntil[a.String()]
		if !shunned || now.After(until) {
			return a
		}
		if best == nil || until.Before(t.avoidUntil[best.String()]) {
			best = a
		}
	}
	return best
}

// removeExpired forgets what is idle.
func (t *tokenClient) removeExpired(now time.Time) {
	t.cache.RemoveIdle(now)
	t.mu.Lock()
	defer t.mu.Unlock()
	for a, until := range t.avoidUntil {
		if now.After(until) {
			delete(t.avoidUntil, a)
		}
	}
}
