package controlplane

import (
	"context"
	"net/http"
	"sync"
	"time"

	"comethold/internal/controlplane/lease"
	"comethold/internal/controlplane/replicahost"
	"comethold/internal/controlplane/schema"
	"comethold/internal/distribution"
	"comethold/internal/paxos"
	"comethold/internal/ratelimit"
	"comethold/internal/rpc"

	"github.com/labstack/echo/v4"
)

// ShareAllocator is what a registrar knows of the leased shares. It never grants
// more than what is left of the whole, and lets a share lapse only after it
// has itself seen it unrenewed for clockSpread times as long as it is held.
type ShareAllocator struct {
	key           string        // of the table
	leaseDuration time.Duration // how long a share is held

	mu       sync.Mutex
	observed map[string]observedShare
}

func NewShareAllocators() map[distribution.ShareTable]*ShareAllocator {
	return map[distribution.ShareTable]*ShareAllocator{
		distribution.RateShares:  {key: schema.RateSharesKey, leaseDuration: ratelimit.LeaseDuration, observed: map[string]observedShare{}},
		distribution.QuotaShares: {key: schema.QuotaSharesKey, leaseDuration: ratelimit.QuotaLeaseDuration, observed: map[string]observedShare{}},
	}
}

type observedShare struct {
	share distribution.ShareLease
	since time.Time
}

// allocate is the pure part: it notes which records moved, drops those
// that lapsed and works out what the claimant may have.
func (k *ShareAllocator) allocate(table map[string]distribution.ShareLease, c distribution.ShareRequest, now time.Time) (next map[string]distribution.ShareLease, g distribution.ShareGrant) {
	k.mu.Lock()
	defer k.mu.Unlock()
	next = map[string]distribution.ShareLease{}
	others := 0
	for node, s := range table {
		if old, ok := k.observed[node]; !ok || old.share != s { // renewed, be it in this very batch
			k.observed[node] = observedShare{s, now}
		}
		if node != c.Node && now.Sub(k.observed[node].since) > lease.ClockSkewFactor*k.leaseDuration {
			continue
		}
		next[node] = s
		if node != c.Node {
			others += s.Permille
		}
	}
	for node := range k.observed {
		if _, ok := table[node]; !ok {
			delete(k.observed, node)
		}
	}
	if old, ok := next[c.Node]; ok && c.Number.IsStale(old.Request) {
		return next, g // its node has moved on, and uses what it was granted since
	}
	holders := len(next)
	if _, ok := next[c.Node]; !ok {
		holders++
	}
	g.Uninterrupted = table[c.Node].Permille > 0
	g.FairPermille = ratelimit.FullShare / holders
	want := c.Permille
	if c.HoldsNone {
		want = g.FairPermille
	}
	g.Permille = max(0, min(want, ratelimit.FullShare-others))
	g.Granted = true
	next[c.Node] = distribution.ShareLease{Permille: g.Permille, Renewals: table[c.Node].Renewals + 1, Request: c.Number}
	return next, g
}

type pendingShareRequest struct {
	request distribution.ShareRequest
	result  chan replicahost.ProposeResult
}

// renewRateShare renews a node's share: the exchange cell's proposer settles claims,
// so that they need not contend.
func (r *Server) renewRateShare(c echo.Context) error {
	var claim distribution.ShareRequest
	if err := rpc.DecodeRequest(c.Request().Body, &claim); err != nil || claim.Node == "" || claim.Permille < 0 || claim.Permille > ratelimit.FullShare || r.shares[claim.Table] == nil {
		return c.NoContent(http.StatusBadRequest)
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), ratelimit.LeaseDuration/3)
	defer cancel()
	v, err := r.host.CallLeader(ctx, schema.MetaCell, "/claim", &claim, func(ctx context.Context) replicahost.ProposeResult { return r.allocateShareLocally(ctx, claim) })
	if err != nil {
		return writeCBOR(c, distribution.ShareGrant{})
	}
	return writeCBOR(c, v.Grant)
}

// allocateShareLocally has a claim settled at this node, which must be the proposer.
func (r *Server) allocateShareLocally(ctx context.Context, claim distribution.ShareRequest) replicahost.ProposeResult {
	p := &pendingShareRequest{claim, make(chan replicahost.ProposeResult, 1)}
	select {
	case r.shareClaims <- p:
	default:
		return replicahost.ProposeResult{Busy: true}
	}
	select {
	case v := <-p.result:
		return v
	case <-ctx.Done():
	case <-r.quit:
	}
	return replicahost.ProposeResult{Unknown: true}
}

// allocateSharesLoop settles claims, all that wait for one table in one transaction.
func (r *Server) allocateSharesLoop() {
	for {
		var batch []*pendingShareRequest
		select {
		case p := <-r.shareClaims:
			batch = append(batch, p)
		case <-r.quit:
			return
		}
		batch = drainChannel(r.shareClaims, batch, cap(r.shareClaims))
		for _, of := range []distribution.ShareTable{distribution.RateShares, distribution.QuotaShares} {
			var mine []*pendingShareRequest
			for _, p := range batch {
				if p.request.Table == of {
					mine = append(mine, p)
				}
			}
			if len(mine) == 0 {
				continue
			}
			ctx, cancel := context.WithTimeout(context.Background(), ratelimit.LeaseDuration/3)
			v, grants := r.commitShares(ctx, r.shares[of], mine)
			cancel()
			for i, p := range mine {
				if v.Committed {
					v.Grant = grants[i]
				}
				p.result <- v
			}
		}
	}
}

// drainChannel takes what else waits in a channel.
func drainChannel[T any](ch chan T, batch []T, most int) []T {
	for len(batch) < most {
		select {
		case p := <-ch:
			batch = append(batch, p)
		default:
			return batch
		}
	}
	return batch
}

func (r *Server) commitShares(ctx context.Context, k *ShareAllocator, batch []*pendingShareRequest) (replicahost.ProposeResult, []distribution.ShareGrant) {
	for range 3 {
		table := map[string]distribution.ShareLease{}
		cond := paxos.Condition{Key: k.key, Absent: true}
		r.host.View(schema.MetaCell, func(m *paxos.Replica) {
			if old, held := m.Get(k.key); held && rpc.Unmarshal(old.Bytes, &table) == nil {
				cond = paxos.Condition{Key: k.key, Equals: old}
			}
		})
		grants := make([]distribution.ShareGrant, len(batch))
		now := time.Now()
		for i, p := range batch {
			table, grants[i] = k.allocate(table, p.request, now)
		}
		v := r.host.ProposeLocal(ctx, schema.MetaCell, paxos.Txn{ID: replicahost.NewTransactionID(), Conditions: []paxos.Condition{cond},
			Ops: []paxos.Op{{Kind: paxos.OpPut, Key: k.key, Value: schema.MustEncode(table)}}})
		if v.Committed || v.Busy || v.Unknown || v.NoLeader {
			return v, grants
		}
	}
	return replicahost.ProposeResult{Busy: true}, nil
}
