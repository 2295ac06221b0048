package controlplane

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"comethold/internal/controlplane/replicahost"
	"comethold/internal/controlplane/schema"
	"comethold/internal/distribution"
	"comethold/internal/logging"
	"comethold/internal/quota"
	"comethold/internal/ratelimit"
	"comethold/internal/routing"
	"comethold/internal/rpc"
	"comethold/internal/settings"
)

// Pacing of quotas. Ours; see docs/design.md.
const (
	quotaRenewInterval   = ratelimit.QuotaLeaseDuration / 5
	quotaAcquireInterval = 150 * time.Millisecond // between claims while there is no share
	regionalLendTimeout  = 8 * time.Millisecond   // how long to wait for a lender of the own region
	remoteLendTimeout    = 45 * time.Millisecond  // and for the others
	emptyLenderBackoff   = 150 * time.Millisecond // how long one that had nothing is not asked again
	watermarkInterval    = 250 * time.Millisecond
	watermarkWritePause  = 40 * time.Millisecond // between two writes
	WatermarkStorageKey  = "quota-floors"        // in the vault
	datagramReaders      = 2                     // goroutines that read datagrams
)

// QuotaServer is this registrar's part of the tenants' quotas: its slice of their buckets,
// and what it lends to and borrows from the others.
type QuotaServer struct {
	rules              quota.Rules
	allocator          *quota.Allocator
	conn               net.PacketConn
	restoredWatermarks map[string]float64 // floors that the former life left, until a share is held
	tokensTaken        chan struct{}      // tokens were taken: floors may have to move

	mu            sync.Mutex
	version       uint64 // the version whose tenants are in force
	limited       bool   // some of them have limits
	nextRequestID uint64
	pendingLoans  map[uint64]pendingLoan
	emptyLenders  map[lenderKey]time.Time // who had nothing for a tenant a moment ago
}

// pendingLoan is a question to a lender. Who asked has gone on once got is nil: what is lent
// until then still fills the own slice.
type pendingLoan struct {
	tenant   string
	deadline time.Time
	reply    chan quota.TenantGrant
}

type lenderKey struct{ addr, tenant string }

func NewQuotaServer(rules quota.Rules, saved []byte) *QuotaServer {
	left := map[string]float64{}
	if saved != nil && rpc.Unmarshal(saved, &left) != nil {
		left = nil
	}
	return &QuotaServer{rules: rules, allocator: quota.NewAllocator(), restoredWatermarks: left, tokensTaken: make(chan struct{}, 1), nextRequestID: rand.Uint64(), pendingLoans: map[uint64]pendingLoan{}, emptyLenders: map[lenderKey]time.Time{}}
}

// SetTenants takes the tenants of a configuration that is in force.
func (q *QuotaServer) SetTenants(c *routing.Configuration) {
	terms := map[string]quota.BucketLimits{}
	for _, t := range c.Tenants {
		if at := q.rules.LimitsFor(t.RatePerSecond, t.BurstSize); at.Limited() {
			terms[t.Name] = at
		}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if c.Version > q.version {
		q.version, q.limited = c.Version, len(terms) > 0
		q.allocator.SetTenants(terms, time.Now())
	}
}

// enabled reports whether there are tenants with limits.
func (q *QuotaServer) enabled() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.limited
}

// renewQuotaLoop keeps the lease on this registrar's share, once there are tenants.
func (r *Server) renewQuotaLoop() {
	fair, turn := 0, distribution.NewRequestNumber()
	for {
		pause := quotaRenewInterval
		if !r.quotas.enabled() {
			pause = quotaAcquireInterval
		} else if next, ok := r.renewQuotaShare(fair, turn.Next()); ok {
			fair = next
			if share, _ := r.quotas.allocator.Share(time.Now()); share == 0 || int(share*ratelimit.FullShare+0.5) != fair {
				pause = quotaAcquireInterval
			}
		} else {
			pause = quotaAcquireInterval
		}
		select {
		case <-time.After(time.Duration((0.8 + 0.4*rand.Float64()) * float64(pause))):
		case <-r.quit:
			return
		}
	}
}

// renewQuotaShare claims what was fair at the last renewal; it returns what is fair now.
// What is to be given up is not used any more from before it is said.
func (r *Server) renewQuotaShare(fair int, turn distribution.RequestNumber) (int, bool) {
	asked := time.Now()
	b := r.quotas.allocator
	b.Shrink(float64(fair)/ratelimit.FullShare, asked)
	share, leased := b.Share(asked)
	ctx, cancel := context.WithTimeout(context.Background(), ratelimit.QuotaLeaseDuration/5)
	defer cancel()
	claim := distribution.ShareRequest{Table: distribution.QuotaShares, Node: r.settings.NodeName, Permille: fair, HoldsNone: !leased, Number: turn}
	v, err := r.host.CallLeader(ctx, schema.MetaCell, "/claim", &claim, func(ctx context.Context) replicahost.ProposeResult { return r.allocateShareLocally(ctx, claim) })
	if err != nil || !v.Grant.Granted {
		return fair, false
	}
	if now := float64(v.Grant.Permille) / ratelimit.FullShare; now != share {
		r.log.Info(logging.QuotaShareChanged).Int("permille", v.Grant.Permille).Int("fair", v.Grant.FairPermille).Msg("the share of the tenants' quotas moved")
	}
	now := time.Now()
	b.Renew(float64(v.Grant.Permille)/ratelimit.FullShare, asked.Add(ratelimit.QuotaLeaseDuration), now)
	if q := r.quotas; q.restoredWatermarks != nil {
		b.Restore(q.restoredWatermarks, v.Grant.Uninterrupted, now)
		q.restoredWatermarks = nil
	}
	return v.Grant.FairPermille, true
}

// persistWatermarksLoop keeps on the disk what every slice holds at least, so that a life that
// begins need not begin with empty ones. While load is usual nothing is written.
func (r *Server) persistWatermarksLoop() {
	for {
		select {
		case <-r.quotas.tokensTaken:
		case <-time.After(watermarkInterval):
		case <-r.quit:
			return
		}
		floors, due := r.quotas.allocator.LowWatermarks(time.Now())
		if !due {
			continue
		}
		pause := watermarkWritePause
		if raw, err := rpc.Marshal(floors); err == nil && r.storage.SetNodeValue(WatermarkStorageKey, raw) == nil {
			r.quotas.allocator.LowWatermarksStored(floors)
		} else {
			pause = watermarkInterval // the disk refuses; the old floors hold
		}
		select {
		case <-time.After(pause):
		case <-r.quit:
			return
		}
	}
}

// ServeDatagrams answers and sends datagrams until the node ends.
func (r *Server) ServeDatagrams(c net.PacketConn) error {
	select {
	case <-r.ready:
	case <-r.quit:
		return c.Close()
	}
	r.quotas.conn = c
	for range datagramReaders {
		go r.readDatagrams(c)
	}
	<-r.quit
	return c.Close()
}

func (r *Server) readDatagrams(c net.PacketConn) {
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
		var d distribution.Datagram
		if rpc.Unmarshal(buf[:n], &d) != nil {
			continue
		}
		switch {
		case d.TokenGrant != nil:
			r.quotas.receiveGrant(d.TokenGrant)
		case d.UsageReport != nil:
			r.receiveCounts(d.UsageReport, from)
		case d.TokenRequest != nil && len(d.TokenRequest.Demands) <= quota.MaxDemands:
			r.answerTokenRequest(d.TokenRequest, from)
		}
	}
}

func (q *QuotaServer) sendDatagram(to net.Addr, d *distribution.Datagram) {
	if b, err := rpc.Marshal(d); err == nil {
		_, _ = q.conn.WriteTo(b, to)
	}
}

// answerTokenRequest grants out of this registrar's slice, and borrows what is missing.
func (r *Server) answerTokenRequest(a *quota.TokenRequest, from net.Addr) {
	q := r.quotas
	now := time.Now()
	g := &quota.TokenGrant{ID: a.ID, Results: make([]quota.TenantGrant, len(a.Demands))}
	_, leased := q.allocator.Share(now)
	var short []int
	for i, w := range a.Demands {
		p := &g.Results[i]
		if !leased {
			p.NoShare = true
			continue
		}
		if a.Loan {
			p.MilliTokens = int64(1000 * q.allocator.Withdraw(w.Tenant, float64(min(w.MilliTokens, 1000*quota.MaxTokensPerDemand))/1000, now))
			continue
		}
		need, more := min(w.Required, quota.MaxTokensPerDemand), min(w.Prefetch, quota.MaxTokensPerDemand)
		var back time.Duration
		p.Granted, back = q.allocator.Take(w.Tenant, max(0, need)+max(0, more), now)
		if p.Granted < need+more {
			select {
			case q.tokensTaken <- struct{}{}:
			default:
			}
		}
		if p.Granted < need {
			p.RetryAfterMs = max(1, back.Milliseconds())
			short = append(short, i)
		}
	}
	reply := func() { q.sendDatagram(from, &distribution.Datagram{TokenGrant: g}) }
	if len(short) > 0 {
		lenders := r.lenders()
		go func() {
			var wg sync.WaitGroup
			for _, i := range short {
				wg.Go(func() { r.borrow(a.Demands[i], &g.Results[i], lenders) })
			}
			wg.Wait()
			reply()
		}()
		return
	}
	reply()
}

// lenders lists the other registrars, those of the own region first.
func (r *Server) lenders() (groups [2][]string) {
	for addr, h := range r.host.LivePeers(replicahost.LearnerTimeout) {
		if addr == r.settings.IPAddress {
			continue
		}
		g := 1
		if r.settings.RegionOf(h.Zone) == r.settings.RegionName {
			g = 0
		}
		groups[g] = append(groups[g], addr)
	}
	return groups
}

// borrow asks the others for what is missing of a tenant's tokens. What they lend
// beyond that fills this registrar's own slice, as far as it has room.
func (r *Server) borrow(w quota.TenantDemand, p *quota.TenantGrant, groups [2][]string) {
	q := r.quotas
	missing := float64(w.Required - p.Granted)
	have := q.allocator.Withdraw(w.Tenant, missing, time.Now()) // the part of a token that lies here
	for i, patience := range []time.Duration{regionalLendTimeout, remoteLendTimeout} {
		if have < missing-1e-6 {
			have += q.borrowFrom(groups[i], r.settings.PortOf(settings.ControlPlane), w.Tenant, missing-have, patience)
		}
	}
	n := min(int(have+1e-6), w.Required-p.Granted)
	q.allocator.Deposit(w.Tenant, max(0, have-float64(n)), time.Now())
	if p.Granted += n; p.Granted >= w.Required {
		p.RetryAfterMs = 0
	}
}

// borrowFrom asks all of these at once.
func (q *QuotaServer) borrowFrom(addrs []string, port int, tenant string, x float64, patience time.Duration) (got float64) {
	ch := make(chan quota.TenantGrant, len(addrs))
	now := time.Now()
	sent := map[uint64]string{}
	q.mu.Lock()
	for id, l := range q.pendingLoans {
		if now.After(l.deadline) {
			delete(q.pendingLoans, id)
		}
	}
	for _, a := range addrs {
		if now.Before(q.emptyLenders[lenderKey{a, tenant}]) {
			continue
		}
		q.nextRequestID++
		q.pendingLoans[q.nextRequestID] = pendingLoan{tenant, now.Add(remoteLendTimeout), ch}
		sent[q.nextRequestID] = a
	}
	q.mu.Unlock()
	for id, a := range sent {
		q.sendDatagram(&net.UDPAddr{IP: net.ParseIP(a), Port: port},
			&distribution.Datagram{TokenRequest: &quota.TokenRequest{ID: id, Loan: true, Demands: []quota.TenantDemand{{Tenant: tenant, MilliTokens: int64(x*1000 + 0.999)}}}})
	}
	timer := time.NewTimer(patience)
	defer timer.Stop()
wait:
	for range sent {
		select {
		case p := <-ch:
			if got += float64(p.MilliTokens) / 1000; got >= x {
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
		if l, ok := q.pendingLoans[id]; ok {
			l.reply = nil
			q.pendingLoans[id] = l
		}
	}
	for more := true; more; { // what came in meanwhile
		select {
		case p := <-ch:
			got += float64(p.MilliTokens) / 1000
		default:
			more = false
		}
	}
	if got < x {
		for _, a := range sent {
			q.emptyLenders[lenderKey{a, tenant}] = time.Now().Add(emptyLenderBackoff)
		}
		if len(q.emptyLenders) > 4096 {
			clear(q.emptyLenders)
		}
	}
	return got
}

func (q *QuotaServer) receiveGrant(g *quota.TokenGrant) {
	if len(g.Results) != 1 {
		return
	}
	now, p := time.Now(), g.Results[0]
	q.mu.Lock()
	defer q.mu.Unlock()
	l, ok := q.pendingLoans[g.ID]
	delete(q.pendingLoans, g.ID)
	switch {
	case !ok || now.After(l.deadline): // too late to count on
	case l.reply != nil:
		l.reply <- p // it has room for all that were asked
	default:
		q.allocator.Deposit(l.tenant, float64(p.MilliTokens)/1000, now)
	}
}
