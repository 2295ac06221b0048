package registrar

import (
	"context"
	"maps"
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
	held := func(ix, leaf string) feed.Mark {
		if marks[ix] == nil {
			marks[ix] = r.marksIn(ix)
		}
		return marks[ix][leaf]
	}
	for _, rep := range bad {
		for _, ix := range where[rep.Service] {
			if mk := held(ix, rep.Leaf); mk.Why == "" {
				changeMark(todo, ix, rep.Leaf, mk, &feed.Mark{Why: feed.WhySilent, By: r.host.self.Name})
			}
		}
	}
	for _, rep := range well {
		for _, ix := range where[rep.Service] {
			if mk := held(ix, rep.Leaf); mk.Why == feed.WhySilent {
				changeMark(todo, ix, rep.Leaf, mk, nil)
			}
		}
	}
	return todo
}

// changeMark adds to an index's transaction that the mark of a leaf, held as it was seen,
// becomes next, or goes. One that is late finds another there, and does nothing.
func changeMark(todo map[string]*cell.Txn, ix, leaf string, held feed.Mark, next *feed.Mark) {
	t := todo[ix]
	if t == nil {
		t = &cell.Txn{}
		todo[ix] = t
	}
	key := keyMark + leaf
	cond, op := cell.Condition{Key: key, Absent: held.Why == ""}, cell.Op{Kind: cell.OpDelete, Key: key}
	if !cond.Absent {
		cond.Equals = encode(held)
	}
	if next != nil {
		op.Kind, op.Value = cell.OpPut, encode(*next)
	}
	t.Conditions, t.Ops = append(t.Conditions, cond), append(t.Ops, op)
}

// marksDesk writes what the platform's list says of leaving leafs, and drops
// the marks of leafs that are no more, and those for silence that have stood for
// long: word that a leaf is well may have been lost.
func (r *Registrar) marksDesk(since map[string]time.Time) {
	for try, beaten := 0, true; try < markTries && beaten; try++ {
		beaten = r.listMarks(since)
	}
}

// listMarks is one try; beaten says that marks had changed meanwhile.
func (r *Registrar) listMarks(since map[string]time.Time) (beaten bool) {
	l := r.board.getList()
	if l == nil {
		return false
	}
	where := r.indexesByService()
	todo := map[string]*cell.Txn{}
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
			if mk := marks[ix][leaf.ID]; mk.Why != feed.WhyList {
				changeMark(todo, ix, leaf.ID, mk, &feed.Mark{Why: feed.WhyList})
			}
		}
	}
	now := time.Now()
	standing := map[string]bool{}
	for ix, held := range marks {
		for leaf, mk := range held {
			key := ix + "/" + leaf
			standing[key] = true
			if mk.Why != feed.WhySilent {
				delete(since, key)
			} else if since[key].IsZero() {
				since[key] = now
			}
			if !listed[leaf] || mk.Why == feed.WhySilent && now.Sub(since[key]) > silentMost {
				changeMark(todo, ix, leaf, mk, nil)
			}
		}
	}
	maps.DeleteFunc(since, func(key string, _ time.Time) bool { return !standing[key] })
	for ix, t := range todo {
		ctx, cancel := context.WithTimeout(context.Background(), deskWork)
		ok, err := r.host.Propose(ctx, ix, *t)
		cancel()
		beaten = beaten || err == nil && !ok
	}
	return beaten
}
