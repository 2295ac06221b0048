package registrar

import (
	"context"
	"sync"
	"time"

	"comethold/internal/cell"
	"comethold/internal/event"
	"comethold/internal/feed"
	"comethold/internal/settings"
)

// Pacing of the desk's work. Ours; see docs/design.md.
const (
	pollHold     = 1200 * time.Millisecond
	moveHold     = 1200 * time.Millisecond
	pollLeast    = 800 * time.Millisecond
	listLimit    = 10 * time.Second // for all pages of a list; each has a limit of its own
	pollShare    = 0.3              // of the time in which a leaving must be heeded
	deskEvery    = 400 * time.Millisecond
	moveAgain    = deskEvery / 4 // while seats are to move
	digestEvery  = time.Second
	suspectSpan  = 4 * time.Second
	reportSpan   = 2 * time.Second
	markTries    = 3
	silentMost   = 30 * time.Second // after which a mark for silence must be made anew
	seenSpan     = 3 * time.Second
	forgetAfter  = 2 * time.Minute
	deskWork     = 1200 * time.Millisecond
	seatSilence  = 5 * time.Second
	listPatience = 300 * time.Millisecond
	reachLimit   = 700 * time.Millisecond
	watchersAgr  = 2 // watchers, or reporters of a leaf, that must agree
)

func (r *Registrar) wakeDesk() {
	select {
	case r.deskWake <- struct{}{}:
	default:
	}
}

// deskLoop brings the cells up to date with what this node knows.
func (r *Registrar) deskLoop() {
	var cutFor uint64
	recalls, aged, silent := map[string]time.Time{}, map[string]time.Time{}, map[string]time.Time{}
	for {
		select {
		case <-r.deskWake:
			select {
			case <-time.After(30 * time.Millisecond): // let more come in
			case <-r.quit:
				return
			}
		case <-time.After(deskEvery):
		case <-r.quit:
			return
		}
		if r.fresh() > staleFrom {
			continue
		}
		r.hear(&feed.Call{Node: feed.Node{Name: r.set.NodeName + "/registrar", Addr: r.set.IPAddress, Zone: r.set.AvailabilityZone, Control: true}})
		r.hearUnlisted()
		r.nodesDesk()
		r.reportsDesk()
		if term, ok := r.poller.held(); ok && r.board.stamp().Term == term {
			r.marksDesk(silent) // by a list of this term: the one of a former life is old
		}
		if _, ok := r.mover.held(); ok {
			r.cutDesk(&cutFor)
			r.recallDesk(recalls)
			r.agedDesk(aged)
		}
	}
}

func (r *Registrar) propose(name string, t cell.Txn) bool {
	ctx, cancel := context.WithTimeout(context.Background(), deskWork)
	defer cancel()
	ok, err := r.host.Propose(ctx, name, t)
	return ok && err == nil
}

// hearUnlisted has registrars listed that this one hears and that can't list themselves,
// since nobody who could teach them knows of them.
func (r *Registrar) hearUnlisted() {
	held := r.board.directory()
	for _, h := range r.host.live(seenSpan) {
		n := feed.Node{Name: h.Name + "/registrar", Addr: h.Addr, Zone: h.Zone, Control: true}
		if _, known := held[n.Name]; !known {
			r.hear(&feed.Call{Node: n})
		}
	}
}

// nodesDesk writes nodes that called, and those that their watchers miss, into
// the directory.
func (r *Registrar) nodesDesk() {
	held := r.board.directory()
	now := time.Now()
	var t cell.Txn
	var doubted []feed.Node
	put := func(old feed.Node, known bool, n feed.Node) {
		cond := cell.Condition{Key: keyNode + n.Name, Absent: !known}
		if known {
			cond.Equals = encode(old)
		}
		t.Conditions = append(t.Conditions, cond)
		t.Ops = append(t.Ops, cell.Op{Kind: cell.OpPut, Key: keyNode + n.Name, Value: encode(n)})
	}
	r.mu.Lock()
	for name, s := range r.seen {
		if now.Sub(s.at) > seenSpan {
			delete(r.seen, name)
			continue
		}
		if old, known := held[name]; !known || old != s.node {
			put(old, known, s.node)
		}
	}
	for name, by := range r.suspects {
		n := 0
		for w, at := range by {
			if now.Sub(at) > suspectSpan {
				delete(by, w)
			} else {
				n++
			}
		}
		if len(by) == 0 {
			delete(r.suspects, name)
		}
		_, calls := r.seen[name]
		if old, known := held[name]; known && !old.Down && !calls && n >= min(watchersAgr, len(held)-1) {
			doubted = append(doubted, old)
		}
	}
	r.mu.Unlock()
	for _, old := range r.unreached(doubted) {
		down := old
		down.Down = true
		put(old, true, down)
		r.log.Warn(event.NodeDown).Str("peer", old.Name).Msg("a node is missed by its watchers")
	}
	if len(t.Ops) > 0 {
		r.propose(ExchangeCell, t)
	}
}

// unreached returns those of the nodes that do not answer this registrar either.
// A node may be fed by another registrar, and a full link loses its heartbeats:
// those that answer are not suspected any more.
func (r *Registrar) unreached(doubted []feed.Node) []feed.Node {
	answers := make([]bool, len(doubted))
	var wg sync.WaitGroup
	for i, n := range doubted {
		port := r.set.PortOf(settings.Switch)
		if n.Cache {
			port = r.set.PortOf(settings.Announcer)
		}
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), reachLimit)
			defer cancel()
			answers[i] = r.host.call.Call(ctx, innerAddr(n.Addr, port), "/here", feed.Call{}, nil) == nil
		})
	}
	wg.Wait()
	var out []feed.Node
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, n := range doubted {
		if answers[i] {
			delete(r.suspects, n.Name)
		} else {
			out = append(out, n)
		}
	}
	return out
}

// agedDesk marks registrars that nobody hears as down, and forgets nodes that
// have been down for long.
func (r *Registrar) agedDesk(since map[string]time.Time) {
	now := time.Now()
	var t cell.Txn
	table := r.board.directory()
	silent := map[string]bool{}
	r.host.ask(func() { // how long others were silent belongs to the host's loop
		for name, n := range table {
			silent[name] = n.Control && !n.Down && r.host.unheard(n.Addr) > seatSilence
		}
	})
	for name, n := range table {
		cond := cell.Condition{Key: keyNode + name, Equals: encode(n)}
		switch {
		case !n.Down:
			delete(since, name)
			if silent[name] {
				n.Down = true
				t.Conditions = append(t.Conditions, cond)
				t.Ops = append(t.Ops, cell.Op{Kind: cell.OpPut, Key: keyNode + name, Value: encode(n)})
			}
		case since[name].IsZero():
			since[name] = now
		case now.Sub(since[name]) > forgetAfter:
			delete(since, name)
			t.Conditions = append(t.Conditions, cond)
			t.Ops = append(t.Ops, cell.Op{Kind: cell.OpDelete, Key: keyNode + name})
		}
	}
	if len(t.Ops) > 0 {
		r.propose(ExchangeCell, t)
	}
}
