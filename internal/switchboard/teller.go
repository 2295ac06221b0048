package switchboard

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"comethold/internal/feed"
	"comethold/internal/numbering"
	"comethold/internal/office"
	"comethold/internal/quota"
)

// Pacing of draws. Ours; see docs/design.md.
const (
	// Least time between two datagrams: what comes meanwhile goes together. A busy node
	// has more to put together, and its datagrams would cost more than what is in them.
	askGap      = 10 * time.Millisecond
	askGapBusy  = 30 * time.Millisecond
	askBusy     = 20.0                  // datagrams a second
	askAgain    = 30 * time.Millisecond // after which another registrar is asked
	askTries    = 3
	shunTeller  = time.Second            // a registrar that did not answer, or has no share
	orderAge    = 250 * time.Millisecond // how long the order of registrars is kept
	tellLeast   = 40 * time.Millisecond  // a request waits this long for a token at least
	tellMost    = 200 * time.Millisecond
	notToldBack = 150 * time.Millisecond
)

// teller draws tokens for the tenants that this node sees. Requests for which none is
// here wait while one datagram asks for all of them.
type teller struct {
	office  *office.Office
	rules   quota.Rules
	reserve *quota.Reserve

	mu      sync.Mutex
	waiting map[string]*queue
	asks    map[uint64]*draw
	nextID  uint64
	sentAt  time.Time
	perS    float64 // datagrams, smoothed over a second
	armed   bool    // a send is due
	order   []net.Addr
	orderAt time.Time
	shun    map[string]time.Time
}

// queue holds those who wait for tokens of one tenant, oldest first.
type queue struct {
	waiters []*waiter
	asked   int // tokens asked for them and not answered
}

type waiter struct {
	done  chan told
	tries int
}

// told is what a waiter learns: it has a token, or when to come back. Limited says that
// the tenant is at its limit, not that nobody could tell.
type told struct {
	ok, limited bool
	back        time.Duration
}

// draw is a datagram that has not been answered.
type draw struct {
	to    net.Addr
	at    time.Time
	wants []quota.Want
	life  []time.Duration
}

func newTeller(o *office.Office) *teller {
	t := &teller{office: o, rules: o.Set.Bounds.Quota(), reserve: quota.NewReserve(), waiting: map[string]*queue{},
		asks: map[uint64]*draw{}, nextID: rand.Uint64(), shun: map[string]time.Time{}}
	o.OnGrant(t.hear)
	o.OnChanged(func(names []string) { t.reserve.Drop(names) })
	return t
}

// admit spends a token for a request of the tenant, if it needs one.
func (t *teller) admit(who *numbering.Tenant, target, left time.Duration, now time.Time) told {
	terms := t.rules.TermsOf(who.RatePerS, who.BurstSize)
	if !terms.Bounded() {
		return told{ok: true}
	}
	ok, wait := t.reserve.Spend(who.Name, now)
	if ok {
		return told{ok: true}
	}
	if wait > 0 {
		return told{limited: true, back: wait}
	}
	w := &waiter{done: make(chan told, 1)}
	t.mu.Lock()
	q := t.waiting[who.Name]
	if q == nil {
		q = &queue{}
		t.waiting[who.Name] = q
	}
	q.waiters = append(q.waiters, w)
	t.armLocked(now)
	t.mu.Unlock()
	patience := min(max(target/2, tellLeast), tellMost, left)
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case a := <-w.done:
		return a
	case <-timer.C:
	case <-t.office.Quit():
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	select {
	case a := <-w.done:
		return a
	default:
	}
	q.leave(w)
	return told{back: notToldBack}
}

func (q *queue) leave(w *waiter) {
	for i, o := range q.waiters {
		if o == w {
			q.waiters = append(q.waiters[:i], q.waiters[i+1:]...)
			return
		}
	}
}

// armLocked sees to it that those who wait are asked for, at once if the last datagram
// is some time ago.
func (t *teller) armLocked(now time.Time) {
	if t.armed {
		return
	}
	t.armed = true
	gap := askGap
	if t.perS > askBusy {
		gap = askGapBusy
	}
	if wait := gap - now.Sub(t.sentAt); wait > 0 {
		time.AfterFunc(wait, t.ask)
		return
	}
	go t.ask()
}

// ask sends one datagram for all who are not asked for yet.
func (t *teller) ask() {
	now := time.Now()
	plan := t.office.Plan()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.armed = false
	to := t.registrarLocked(now)
	if plan == nil || to == nil {
		t.refuseAllLocked()
		return
	}
	d := &draw{to: to, at: now}
	for name, q := range t.waiting {
		need := len(q.waiters) - q.asked
		if need <= 0 {
			if len(q.waiters) == 0 && q.asked <= 0 {
				delete(t.waiting, name)
			}
			continue
		}
		if len(d.wants) == quota.MostWants {
			t.armLocked(now)
			break
		}
		who := plan.Tenant(name)
		if who == nil {
			q.refuse(len(q.waiters), told{back: notToldBack})
			continue
		}
		terms := t.rules.TermsOf(who.RatePerS, who.BurstSize)
		q.asked += need
		d.wants = append(d.wants, quota.Want{Tenant: name, Need: need, More: t.reserve.Ahead(name, terms, now)})
		d.life = append(d.life, terms.Life)
	}
	if len(d.wants) == 0 {
		return
	}
	t.nextID++
	id := t.nextID
	t.asks[id] = d
	t.perS = t.perS*max(0, 1-now.Sub(t.sentAt).Seconds()) + 1
	t.sentAt = now
	t.office.Send(d.to, &feed.Datagram{Ask: &quota.Ask{ID: id, Wants: d.wants}})
	time.AfterFunc(askAgain, func() { t.overdue(id) })
}

// hear takes a grant. Tokens are good for their life from before they were asked for.
func (t *teller) hear(g *quota.Grant) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	d := t.asks[g.ID]
	if d == nil || len(g.Parts) != len(d.wants) {
		return
	}
	delete(t.asks, g.ID)
	for i, w := range d.wants {
		p := g.Parts[i]
		if p.Granted > 0 {
			t.reserve.Add(w.Tenant, p.Granted, d.at.Add(d.life[i]), now)
		}
		q := t.waiting[w.Tenant]
		if q == nil {
			continue
		}
		q.asked = max(0, q.asked-w.Need)
		for len(q.waiters) > 0 && t.reserve.Claim(w.Tenant, now) {
			q.waiters[0].done <- told{ok: true}
			q.waiters = q.waiters[1:]
		}
		switch back := time.Duration(p.BackMs) * time.Millisecond; {
		case p.Unable:
			t.shun[d.to.String()] = now.Add(shunTeller)
			t.orderAt = time.Time{}
			t.againLocked(q, w.Need, now)
		case p.Granted < w.Need && back > 0:
			t.reserve.Empty(w.Tenant, min(back, notToldBack), now)
			q.refuse(w.Need-p.Granted, told{limited: true, back: back})
		}
	}
}

// overdue gives up on a datagram and asks another registrar.
func (t *teller) overdue(id uint64) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	d := t.asks[id]
	if d == nil {
		return
	}
	t.shun[d.to.String()] = now.Add(shunTeller)
	t.orderAt = time.Time{}
	for _, w := range d.wants {
		if q := t.waiting[w.Tenant]; q != nil {
			q.asked = max(0, q.asked-w.Need)
			t.againLocked(q, w.Need, now)
		}
	}
	// An answer that comes late still holds tokens, but nobody is counted on it.
	for i := range d.wants {
		d.wants[i].Need = 0
	}
	time.AfterFunc(time.Second, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.asks, id)
	})
}

// againLocked has the oldest n asked for once more, those that were asked for too often
// already excepted.
func (t *teller) againLocked(q *queue, n int, now time.Time) {
	kept := q.waiters[:0]
	for i, w := range q.waiters {
		if i < n {
			if w.tries++; w.tries >= askTries {
				w.done <- told{back: notToldBack}
				continue
			}
		}
		kept = append(kept, w)
	}
	q.waiters = kept
	if len(kept) > 0 {
		t.armLocked(now)
	}
}

func (q *queue) refuse(n int, a told) {
	n = min(n, len(q.waiters))
	for _, w := range q.waiters[:n] {
		w.done <- a
	}
	q.waiters = q.waiters[n:]
}

func (t *teller) refuseAllLocked() {
	for _, q := range t.waiting {
		q.refuse(len(q.waiters), told{back: notToldBack})
	}
}

// registrarLocked is whom to ask: the first in the order of the feed that answers.
func (t *teller) registrarLocked(now time.Time) net.Addr {
	if now.Sub(t.orderAt) > orderAge {
		t.order, t.orderAt = t.office.RegistrarAddrs(), now
	}
	var best net.Addr
	for _, a := range t.order {
		until, shunned := t.shun[a.String()]
		if !shunned || now.After(until) {
			return a
		}
		if best == nil || until.Before(t.shun[best.String()]) {
			best = a
		}
	}
	return best
}

// sweep forgets what is idle.
func (t *teller) sweep(now time.Time) {
	t.reserve.Sweep(now)
	t.mu.Lock()
	defer t.mu.Unlock()
	for a, until := range t.shun {
		if now.After(until) {
			delete(t.shun, a)
		}
	}
}
