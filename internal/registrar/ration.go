package registrar

import (
	"context"
	"net/http"
	"sync"
	"time"

	"comethold/internal/cell"
	"comethold/internal/feed"
	"comethold/internal/ration"
	"comethold/internal/wire"

	"github.com/labstack/echo/v4"
)

// shareKeeper is what a registrar knows of the leased shares. It never grants
// more than what is left of the whole, and lets a share lapse only after it
// has itself seen it unrenewed for clockSpread times as long as it is held.
type shareKeeper struct {
	key  string        // of the table
	hold time.Duration // how long a share is held

	mu   sync.Mutex
	seen map[string]seenShare
}

func newShareKeepers() map[feed.Shares]*shareKeeper {
	return map[feed.Shares]*shareKeeper{
		feed.SharesOfRates:  {key: keyShares, hold: ration.Hold, seen: map[string]seenShare{}},
		feed.SharesOfQuotas: {key: keyQuotas, hold: ration.QuotaHold, seen: map[string]seenShare{}},
	}
}

type seenShare struct {
	share feed.Share
	at    time.Time
}

// settle is the pure part: it notes which records moved, drops those
// that lapsed and works out what the claimant may have.
func (k *shareKeeper) settle(table map[string]feed.Share, c feed.Claim, now time.Time) (next map[string]feed.Share, g feed.Grant) {
	k.mu.Lock()
	defer k.mu.Unlock()
	next = map[string]feed.Share{}
	others := 0
	for node, s := range table {
		if old, ok := k.seen[node]; !ok || old.share != s { // renewed, be it in this very batch
			k.seen[node] = seenShare{s, now}
		}
		if node != c.Node && now.Sub(k.seen[node].at) > clockSpread*k.hold {
			continue
		}
		next[node] = s
		if node != c.Node {
			others += s.Permille
		}
	}
	for node := range k.seen {
		if _, ok := table[node]; !ok {
			delete(k.seen, node)
		}
	}
	if old, ok := next[c.Node]; ok && c.Turn.Late(old.Turn) {
		return next, g // its node has moved on, and uses what it was granted since
	}
	holders := len(next)
	if _, ok := next[c.Node]; !ok {
		holders++
	}
	g.Kept = table[c.Node].Permille > 0
	g.Fair = ration.Whole / holders
	want := c.Permille
	if c.Fresh {
		want = g.Fair
	}
	g.Permille = max(0, min(want, ration.Whole-others))
	g.Granted = true
	next[c.Node] = feed.Share{Permille: g.Permille, Beat: table[c.Node].Beat + 1, Turn: c.Turn}
	return next, g
}

type pendingClaim struct {
	claim feed.Claim
	done  chan verdict
}

// ration renews a node's share: the exchange cell's proposer settles claims,
// so that they need not contend.
func (r *Registrar) ration(c echo.Context) error {
	var claim feed.Claim
	if err := wire.Read(c.Request().Body, &claim); err != nil || claim.Node == "" || claim.Permille < 0 || claim.Permille > ration.Whole || r.shares[claim.Of] == nil {
		return c.NoContent(http.StatusBadRequest)
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), ration.Hold/3)
	defer cancel()
	v, err := r.host.attempt(ctx, ExchangeCell, "/claim", &claim, func(ctx context.Context) verdict { return r.claimHere(ctx, claim) })
	if err != nil {
		return answer(c, feed.Grant{})
	}
	return answer(c, v.Grant)
}

// claimHere has a claim settled at this node, which must be the proposer.
func (r *Registrar) claimHere(ctx context.Context, claim feed.Claim) verdict {
	p := &pendingClaim{claim, make(chan verdict, 1)}
	select {
	case r.claims <- p:
	default:
		return verdict{Busy: true}
	}
	select {
	case v := <-p.done:
		return v
	case <-ctx.Done():
	case <-r.quit:
	}
	return verdict{Unclear: true}
}

// claimLoop settles claims, all that wait for one table in one transaction.
func (r *Registrar) claimLoop() {
	for {
		var batch []*pendingClaim
		select {
		case p := <-r.claims:
			batch = append(batch, p)
		case <-r.quit:
			return
		}
		batch = drain(r.claims, batch, cap(r.claims))
		for _, of := range []feed.Shares{feed.SharesOfRates, feed.SharesOfQuotas} {
			var mine []*pendingClaim
			for _, p := range batch {
				if p.claim.Of == of {
					mine = append(mine, p)
				}
			}
			if len(mine) == 0 {
				continue
			}
			ctx, cancel := context.WithTimeout(context.Background(), ration.Hold/3)
			v, grants := r.settleClaims(ctx, r.shares[of], mine)
			cancel()
			for i, p := range mine {
				if v.Committed {
					v.Grant = grants[i]
				}
				p.done <- v
			}
		}
	}
}

// drain takes what else waits in a channel.
func drain[T any](ch chan T, batch []T, most int) []T {
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

func (r *Registrar) settleClaims(ctx context.Context, k *shareKeeper, batch []*pendingClaim) (verdict, []feed.Grant) {
	for range 3 {
		table := map[string]feed.Share{}
		cond := cell.Condition{Key: k.key, Absent: true}
		r.host.ask(func() {
			if m := r.host.cells[ExchangeCell]; m != nil {
				if old, held := m.Get(k.key); held && wire.Unmarshal(old.Bytes, &table) == nil {
					cond = cell.Condition{Key: k.key, Equals: old}
				}
			}
		})
		grants := make([]feed.Grant, len(batch))
		now := time.Now()
		for i, p := range batch {
			table, grants[i] = k.settle(table, p.claim, now)
		}
		v := r.host.proposeHere(ctx, ExchangeCell, cell.Txn{ID: newID(), Conditions: []cell.Condition{cond},
			Ops: []cell.Op{{Kind: cell.OpPut, Key: k.key, Value: encode(table)}}})
		if v.Committed || v.Busy || v.Unclear || v.NoLeader {
			return v, grants
		}
	}
	return verdict{Busy: true}, nil
}
