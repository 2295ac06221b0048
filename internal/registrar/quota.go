package registrar

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"comethold/internal/event"
	"comethold/internal/feed"
	"comethold/internal/numbering"
	"comethold/internal/quota"
	"comethold/internal/ration"
	"comethold/internal/settings"
	"comethold/internal/wire"
)

// Pacing of quotas. Ours; see docs/design.md.
const (
	quotaRenew  = ration.QuotaHold / 5
	quotaFirst  = 150 * time.Millisecond // between claims while there is no share
	lendNear    = 8 * time.Millisecond   // how long to wait for a lender of the own region
	lendFar     = 45 * time.Millisecond  // and for the others
	lenderEmpty = 150 * time.Millisecond // how long one that had nothing is not asked again
	floorEvery  = 250 * time.Millisecond
	floorPause  = 40 * time.Millisecond // between two writes
	floorNote   = "quota-floors"        // in the vault
	quotaReads  = 2                     // goroutines that read datagrams
)

// quotas is this registrar's part of the tenants' quotas: its slice of their buckets,
// and what it lends to and borrows from the others.
type quotas struct {
	rules quota.Rules
	bank  *quota.Bank
	conn  net.PacketConn
	left  map[string]float64 // floors that the former life left, until a share is held
	wake  chan struct{}      // tokens were taken: floors may have to move

	mu      sync.Mutex
	at      uint64 // the version whose tenants are in force
	limited bool   // some of them have limits
	nextID  uint64
	asked   map[uint64]loan
	empty   map[lender]time.Time // who had nothing for a tenant a moment ago
}

// loan is a question to a lender. Who asked has gone on once got is nil: what is lent
// until then still fills the own slice.
type loan struct {
	tenant string
	until  time.Time
	got    chan quota.Part
}

type lender struct{ addr, tenant string }

func newQuotas(rules quota.Rules, saved []byte) *quotas {
	left := map[string]float64{}
	if saved != nil && wire.Unmarshal(saved, &left) != nil {
		left = nil
	}
	return &quotas{rules: rules, bank: quota.NewBank(), left: left, wake: make(chan struct{}, 1), nextID: rand.Uint64(), asked: map[uint64]loan{}, empty: map[lender]time.Time{}}
}

// setTenants takes the tenants of a configuration that is in force.
func (q *quotas) setTenants(c *numbering.Configuration) {
	terms := map[string]quota.Terms{}
	for _, t := range c.Tenants {
		if at := q.rules.TermsOf(t.RatePerS, t.BurstSize); at.Bounded() {
			terms[t.Name] = at
		}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if c.Version > q.at {
		q.at, q.limited = c.Version, len(terms) > 0
		q.bank.SetTenants(terms, time.Now())
	}
}

// wanted reports whether there are tenants with limits.
func (q *quotas) wanted() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.limited
}

// quotaLoop keeps the lease on this registrar's share, once there are tenants.
func (r *Registrar) quotaLoop() {
	fair, turn := 0, feed.NewTurn()
	for {
		pause := quotaRenew
		if !r.quotas.wanted() {
			pause = quotaFirst
		} else if next, ok := r.renewQuota(fair, turn.Next()); ok {
			fair = next
			if share, _ := r.quotas.bank.Share(time.Now()); share == 0 || int(share*ration.Whole+0.5) != fair {
				pause = quotaFirst
			}
		} else {
			pause = quotaFirst
		}
		select {
		case <-time.After(time.Duration((0.8 + 0.4*rand.Float64()) * float64(pause))):
		case <-r.quit:
			return
		}
	}
}

// renewQuota claims what was fair at the last renewal; it returns what is fair now.
// What is to be given up is not used any more from before it is said.
func (r *Registrar) renewQuota(fair int, turn feed.Turn) (int, bool) {
	asked := time.Now()
	b := r.quotas.bank
	b.Shrink(float64(fair)/ration.Whole, asked)
	share, leased := b.Share(asked)
	ctx, cancel := context.WithTimeout(context.Background(), ration.QuotaHold/5)
	defer cancel()
	claim := feed.Claim{Of: feed.SharesOfQuotas, Node: r.set.NodeName, Permille: fair, Fresh: !leased, Turn: turn}
	v, err := r.host.attempt(ctx, ExchangeCell, "/claim", &claim, func(ctx context.Context) verdict { return r.claimHere(ctx, claim) })
	if err != nil || !v.Grant.Granted {
		return fair, false
	}
	if now := float64(v.Grant.Permille) / ration.Whole; now != share {
		r.log.Info(event.QuotaShare).Int("permille", v.Grant.Permille).Int("fair", v.Grant.Fair).Msg("the share of the tenants' quotas moved")
	}
	now := time.Now()
	b.Renew(float64(v.Grant.Permille)/ration.Whole, asked.Add(ration.QuotaHold), now)
	if q := r.quotas; q.left != nil {
		b.Restore(q.left, v.Grant.Kept, now)
		q.left = nil
	}
	return v.Grant.Fair, true
}

// floorLoop keeps on the disk what every slice holds at least, so that a life that
// begins need not begin with empty ones. While load is usual nothing is written.
func (r *Registrar) floorLoop() {
	for {
		select {
		case <-r.quotas.wake:
		case <-time.After(floorEvery):
		case <-r.quit:
			return
		}
		floors, due := r.quotas.bank.Floors(time.Now())
		if !due {
			continue
		}
		pause := floorPause
		if raw, err := wire.Marshal(floors); err == nil && r.host.vault.SetNode(floorNote, raw) == nil {
			r.quotas.bank.FloorsKept(floors)
		} else {
			pause = floorEvery // the disk refuses; the old floors hold
		}
		select {
		case <-time.After(pause):
		case <-r.quit:
			return
		}
	}
}

// Cast answers and sends datagrams until the node ends.
func (r *Registrar) Cast(c net.PacketConn) error {
	select {
	case <-r.ready:
	case <-r.quit:
		return c.Close()
	}
	r.quotas.conn = c
	for range quotaReads {
		go r.listen(c)
	}
	<-r.quit
	return c.Close()
}

func (r *Registrar) listen(c net.PacketConn) {
	buf := make([]byte, 64<<10)
	for {
		n, from, err := c.ReadFrom(buf)
		if err != nil {
			select {
			case <-r.quit:
				return
			case <-time.After(20 * time.Millisecond):
			}
			continue
		}
		var d feed.Datagram
		if wire.Unmarshal(buf[:n], &d) != nil {
			continue
		}
		switch {
		case d.Grant != nil:
			r.quotas.hear(d.Grant)
		case d.Tally != nil:
			r.hearTally(d.Tally, from)
		case d.Ask != nil && len(d.Ask.Wants) <= quota.MostWants:
			r.answerAsk(d.Ask, from)
		}
	}
}

func (q *quotas) send(to net.Addr, d *feed.Datagram) {
	if b, err := wire.Marshal(d); err == nil {
		_, _ = q.conn.WriteTo(b, to)
	}
}

// answerAsk grants out of this registrar's slice, and borrows what is missing.
func (r *Registrar) answerAsk(a *quota.Ask, from net.Addr) {
	q := r.quotas
	now := time.Now()
	g := &quota.Grant{ID: a.ID, Parts: make([]quota.Part, len(a.Wants))}
	_, leased := q.bank.Share(now)
	var short []int
	for i, w := range a.Wants {
		p := &g.Parts[i]
		if !leased {
			p.Unable = true
			continue
		}
		if a.Lend {
			p.Milli = int64(1000 * q.bank.Draw(w.Tenant, float64(min(w.Milli, 1000*quota.MostTokens))/1000, now))
			continue
		}
		need, more := min(w.Need, quota.MostTokens), min(w.More, quota.MostTokens)
		var back time.Duration
		p.Granted, back = q.bank.Take(w.Tenant, max(0, need)+max(0, more), now)
		if p.Granted < need+more {
			select {
			case q.wake <- struct{}{}:
			default:
			}
		}
		if p.Granted < need {
			p.BackMs = max(1, back.Milliseconds())
			short = append(short, i)
		}
	}
	reply := func() { q.send(from, &feed.Datagram{Grant: g}) }
	if len(short) > 0 {
		lenders := r.lenders()
		go func() {
			var wg sync.WaitGroup
			for _, i := range short {
				wg.Go(func() { r.borrow(a.Wants[i], &g.Parts[i], lenders) })
			}
			wg.Wait()
			reply()
		}()
		return
	}
	reply()
}

// lenders lists the other registrars, those of the own region first.
func (r *Registrar) lenders() (groups [2][]string) {
	for addr, h := range r.host.live(learnerSpan) {
		if addr == r.set.IPAddress {
			continue
		}
		g := 1
		if r.set.Region(h.Zone) == r.set.RegionName {
			g = 0
		}
		groups[g] = append(groups[g], addr)
	}
	return groups
}

// borrow asks the others for what is missing of a tenant's tokens. What they lend
// beyond that fills this registrar's own slice, as far as it has room.
func (r *Registrar) borrow(w quota.Want, p *quota.Part, groups [2][]string) {
	q := r.quotas
	missing := float64(w.Need - p.Granted)
	have := q.bank.Draw(w.Tenant, missing, time.Now()) // the part of a token that lies here
	for i, patience := range []time.Duration{lendNear, lendFar} {
		if have < missing-1e-6 {
			have += q.borrowFrom(groups[i], r.set.PortOf(settings.Registrar), w.Tenant, missing-have, patience)
		}
	}
	n := min(int(have+1e-6), w.Need-p.Granted)
	q.bank.Put(w.Tenant, max(0, have-float64(n)), time.Now())
	if p.Granted += n; p.Granted >= w.Need {
		p.BackMs = 0
	}
}

// borrowFrom asks all of these at once.
func (q *quotas) borrowFrom(addrs []string, port int, tenant string, x float64, patience time.Duration) (got float64) {
	ch := make(chan quota.Part, len(addrs))
	now := time.Now()
	sent := map[uint64]string{}
	q.mu.Lock()
	for id, l := range q.asked {
		if now.After(l.until) {
			delete(q.asked, id)
		}
	}
	for _, a := range addrs {
		if now.Before(q.empty[lender{a, tenant}]) {
			continue
		}
		q.nextID++
		q.asked[q.nextID] = loan{tenant, now.Add(lendFar), ch}
		sent[q.nextID] = a
	}
	q.mu.Unlock()
	for id, a := range sent {
		q.send(&net.UDPAddr{IP: net.ParseIP(a), Port: port},
			&feed.Datagram{Ask: &quota.Ask{ID: id, Lend: true, Wants: []quota.Want{{Tenant: tenant, Milli: int64(x*1000 + 0.999)}}}})
	}
	timer := time.NewTimer(patience)
	defer timer.Stop()
wait:
	for range sent {
		select {
		case p := <-ch:
			if got += float64(p.Milli) / 1000; got >= x {
				break wait
			}
		case <-timer.C:
			break wait
		}
	}
	// Those that have not answered yet are not waited for.
	q.mu.Lock()
	defer q.mu.Unlock()
	for id := range sent {
		if l, ok := q.asked[id]; ok {
			l.got = nil
			q.asked[id] = l
		}
	}
	for more := true; more; { // what came in meanwhile
		select {
		case p := <-ch:
			got += float64(p.Milli) / 1000
		default:
			more = false
		}
	}
	if got < x {
		for _, a := range sent {
			q.empty[lender{a, tenant}] = time.Now().Add(lenderEmpty)
		}
		if len(q.empty) > 4096 {
			clear(q.empty)
		}
	}
	return got
}

func (q *quotas) hear(g *quota.Grant) {
	if len(g.Parts) != 1 {
		return
	}
	now, p := time.Now(), g.Parts[0]
	q.mu.Lock()
	defer q.mu.Unlock()
	l, ok := q.asked[g.ID]
	delete(q.asked, g.ID)
	switch {
	case !ok || now.After(l.until): // too late to count on
	case l.got != nil:
		l.got <- p // it has room for all that were asked
	default:
		q.bank.Put(l.tenant, float64(p.Milli)/1000, now)
	}
}
