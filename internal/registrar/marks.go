package registrar

import (
	"sort"
	"time"

	"comethold/internal/cell"
	"comethold/internal/feed"
)

// indexesByService names, for each service, the index cells whose cut holds it.
func (r *Registrar) indexesByService() map[string][]string {
	out := map[string][]string{}
	r.host.ask(func() {
		if m := r.host.cells[ExchangeCell]; m != nil {
			for ix, rec := range indexesOf(m) {
				for _, s := range rec.Cut {
					out[s] = append(out[s], ix)
				}
			}
		}
	})
	for _, l := range out {
		sort.Strings(l)
	}
	return out
}

func (r *Registrar) marksIn(ix string) map[string]feed.Mark {
	var out map[string]feed.Mark
	r.host.ask(func() {
		if m := r.host.cells[ix]; m != nil {
			out = marksOf(ix, m).Drained
		}
	})
	return out
}

// reportsDesk turns what several switches noticed into marks.
func (r *Registrar) reportsDesk() {
	now := time.Now()
	r.mu.Lock()
	var bad, well []feed.Report
	for leaf, by := range r.reports {
		for w, at := range by {
			if now.Sub(at) > reportSpan {
				delete(by, w)
			}
		}
		if len(by) == 0 {
			delete(r.reports, leaf)
			delete(r.bad, leaf)
		} else if len(by) >= watchersAgr {
			bad = append(bad, r.bad[leaf])
		}
	}
	for leaf, w := range r.wells {
		if now.Sub(w.at) > reportSpan {
			delete(r.wells, leaf)
		} else {
			well = append(well, w.rep)
		}
	}
	r.mu.Unlock()
	if len(bad)+len(well) == 0 {
		return
	}
	// Other registrars hear the same: where one was first, what is left is worked
	// out again.
	done := false
	for try := 0; try < markTries && !done; try++ {
		done = true
		for ix, t := range r.markChanges(bad, well) {
			done = r.propose(ix, *t) && done
		}
	}
	if !done {
		return // next time
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, rep := range bad {
		delete(r.reports, rep.Leaf)
	}
	for _, rep := range well {
		delete(r.wells, rep.Leaf)
	}
}

// markChanges makes one transaction for each index whose marks are to change.
func (r *Registrar) markChanges(bad, well []feed.Report) map[string]*cell.Txn {
	where := r.indexesByService()
	marks := map[string]map[string]feed.Mark{}
	todo := map[string]*cell.Txn{}
	at := func(ix string) (map[string]feed.Mark, *cell.Txn) {
		if marks[ix] == nil {
			marks[ix] = r.marksIn(ix)
		}
		t := todo[ix]
		if t == nil {
			t = &cell.Txn{}
		}
		return marks[ix], t
	}
	add := func(ix string, t *cell.Txn, c cell.Condition, op cell.Op) {
		t.Conditions, t.Ops = append(t.Conditions, c), append(t.Ops, op)
		todo[ix] = t
	}
	for _, rep := range bad {
		key := keyMark + rep.Leaf
		for _, ix := range where[rep.Service] {
			if held, t := at(ix); held[rep.Leaf].Why == "" {
				add(ix, t, cell.Condition{Key: key, Absent: true},
					cell.Op{Kind: cell.OpPut, Key: key, Value: encode(feed.Mark{Why: feed.WhySilent, By: r.host.self.Name})})
			}
		}
	}
	for _, rep := range well {
		key := keyMark + rep.Leaf
		for _, ix := range where[rep.Service] {
			if held, t := at(ix); held[rep.Leaf].Why == feed.WhySilent {
				add(ix, t, cell.Condition{Key: key, Equals: encode(held[rep.Leaf])}, cell.Op{Kind: cell.OpDelete, Key: key})
			}
		}
	}
	return todo
}

// marksDesk writes what the platform's list says of leaving leafs, and drops
// the marks of leafs that are no more, and those for silence that have stood for
// long: word that a leaf is well may have been lost.
func (r *Registrar) marksDesk(since map[string]time.Time) {
	l := r.board.getList()
	if l == nil {
		return
	}
	where := r.indexesByService()
	todo := map[string]*cell.Txn{}
	at := func(ix string) *cell.Txn {
		if todo[ix] == nil {
			todo[ix] = &cell.Txn{}
		}
		return todo[ix]
	}
	listed := map[string]bool{}
	marks := map[string]map[string]feed.Mark{}
	for _, list := range where {
		for _, ix := range list {
			if marks[ix] == nil {
				marks[ix] = r.marksIn(ix)
			}
		}
	}
	for _, leaf := range l.Leafs {
		listed[leaf.ID] = true
		if !leaf.Draining {
			continue
		}
		for _, ix := range where[leaf.Service] {
			if mk, ok := marks[ix][leaf.ID]; !ok || mk.Why != feed.WhyList {
				c := at(ix)
				c.Ops = append(c.Ops, cell.Op{Kind: cell.OpPut, Key: keyMark + leaf.ID, Value: encode(feed.Mark{Why: feed.WhyList})})
			}
		}
	}
	now := time.Now()
	for ix, held := range marks {
		for leaf, mk := range held {
			key := ix + "/" + leaf
			if mk.Why != feed.WhySilent {
				delete(since, key)
			} else if since[key].IsZero() {
				since[key] = now
			}
			if !listed[leaf] || mk.Why == feed.WhySilent && now.Sub(since[key]) > silentMost {
				c := at(ix)
				c.Ops = append(c.Ops, cell.Op{Kind: cell.OpDelete, Key: keyMark + leaf})
				delete(since, key)
			}
		}
	}
	for ix, c := range todo {
		r.propose(ix, *c)
	}
}
