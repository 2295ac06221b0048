package registrar

import (
	"context"
	"errors"
	"time"

	"comethold/internal/directory"
	"comethold/internal/event"
	"comethold/internal/feed"
)

// pollLoop keeps the list of leafs while this node holds the duty.
func (r *Registrar) pollLoop() {
	if r.plat == nil {
		return
	}
	var lastDigest time.Time
	failures := 0
	every := max(pollLeast, time.Duration(pollShare*float64(r.set.Bounds.Drain())))
	pause := every
	for {
		select {
		case <-time.After(pause):
		case <-r.quit:
			return
		}
		pause = every
		term, ok := r.poller.held()
		if !ok {
			failures = 0
			pause = pollLeast / 4
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), listLimit)
		leafs, err := r.plat.List(ctx)
		cancel()
		if err != nil {
			failures++
			pause = every / 2
			r.log.Warn(event.ListFailed).Err(err).Int("failures", failures).Msg("the platform's list cannot be had")
			if failures >= 3 && !errors.Is(err, directory.ErrTooFast) {
				r.poller.yield() // another may reach the platform
				failures = 0
			}
			continue
		}
		failures = 0
		if now, ok := r.poller.held(); !ok || now != term {
			continue // too late: the lease ended while the platform answered
		}
		next := &feed.List{Stamp: feed.Stamp{Term: term, Rev: 1}, Leafs: leafs}
		if leafs == nil {
			next.Leafs = []feed.Leaf{}
		}
		cur := r.board.getList()
		changed := cur == nil || cur.Stamp.Term != term || !same(cur.Leafs, next.Leafs)
		if changed {
			if cur != nil && cur.Stamp.Term == term {
				next.Stamp.Rev = cur.Stamp.Rev + 1
			}
			r.board.setList(next)
			r.log.Debug(event.ListChanged).Int("leafs", len(leafs)).Uint64("term", term).Uint64("rev", next.Stamp.Rev).Msg("the list changed")
			r.wakeDesk()
		}
		if changed || time.Since(lastDigest) >= digestEvery {
			lastDigest = time.Now()
			go r.spread(r.board.getList(), changed)
		}
	}
}

// spread hands the list to the other registrars: whole when it changed, else
// its stamp, followed by the whole where the stamp shows an old copy.
func (r *Registrar) spread(l *feed.List, whole bool) {
	addrs := map[string]bool{}
	r.host.ask(func() {
		for _, a := range r.host.addresses() {
			addrs[a] = true
		}
		for a := range r.host.live(learnerSpan) {
			addrs[a] = a != r.host.self.Addr
		}
	})
	for a, other := range addrs {
		if !other {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			to := innerAddr(a, r.host.port)
			var have feed.Stamp
			msg := l
			if !whole {
				msg = &feed.List{Stamp: l.Stamp}
			}
			if err := r.host.call.Call(ctx, to, "/list", msg, &have); err == nil && !whole && have.Less(l.Stamp) {
				_ = r.host.call.Call(ctx, to, "/list", l, &have)
			}
		}()
	}
}

// listSeen is told of the list that another registrar holds. A newer one is
// fetched from there: the poller may not reach this node.
func (r *Registrar) listSeen(addr string, at feed.Stamp) {
	if !r.board.stamp().Less(at) || !r.reading.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer r.reading.Store(false)
		select {
		case <-time.After(listPatience): // the poller is handing it round as well
		case <-r.quit:
			return
		}
		if !r.board.stamp().Less(at) {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		var l feed.List
		if err := r.host.call.Call(ctx, innerAddr(addr, r.host.port), "/list/read", feed.Call{}, &l); err == nil && l.Leafs != nil {
			r.board.setList(&l)
		}
	}()
}
