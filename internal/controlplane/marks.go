package controlplane

import (
	"context"
	"maps"
	"sort"
	"time"

	"comethold/internal/controlplane/schema"
	"comethold/internal/distribution"
	"comethold/internal/paxos"
)

// indexesByService names, for each service, the index cells whose cut holds it.
func (r *Server) indexesByService() map[string][]string {
	out := map[string][]string{}
	r.host.View(schema.MetaCell, func(m *paxos.Replica) {
		for ix, rec := range schema.ReadIndexes(m) {
			for _, s := range rec.Services {
				out[s] = append(out[s], ix)
			}
		}
	})
	for _, l := range out {
		sort.Strings(l)
	}
	return out
}

func (r *Server) marksOfIndex(ix string) map[string]distribution.EjectionMark {
	var out map[string]distribution.EjectionMark
	r.host.View(ix, func(m *paxos.Replica) {
		out = schema.ReadEjections(ix, m).Ejected
	})
	return out
}

// applyReports turns what several switches noticed into marks.
func (r *Server) applyReports() {
	agreed := r.reports.Health(time.Now())
	if agreed.IsEmpty() {
		return
	}
	// Other registrars hear the same: where one was first, what is left is worked
	// out again.
	done := false
	for try := 0; try < maxMarkAttempts && !done; try++ {
		done = true
		for ix, t := range r.reportedMarkTxns(agreed.Faults, agreed.Recoveries) {
			done = r.propose(ix, *t) && done
		}
	}
	if !done {
		return // next time
	}
	r.reports.Resolve(agreed)
}

// reportedMarkTxns makes one transaction for each index whose marks are to change.
func (r *Server) reportedMarkTxns(bad, well []distribution.HealthReport) map[string]*paxos.Txn {
	where := r.indexesByService()
	marks := map[string]map[string]distribution.EjectionMark{}
	todo := map[string]*paxos.Txn{}
	held := func(ix, leaf string) distribution.EjectionMark {
		if marks[ix] == nil {
			marks[ix] = r.marksOfIndex(ix)
		}
		return marks[ix][leaf]
	}
	for _, rep := range bad {
		for _, ix := range where[rep.Service] {
			if mk := held(ix, rep.EndpointID); mk.Reason == "" {
				AddMarkChange(todo, ix, rep.EndpointID, mk, &distribution.EjectionMark{Reason: distribution.ReasonUnresponsive, Reporter: r.host.Self.Name})
			}
		}
	}
	for _, rep := range well {
		for _, ix := range where[rep.Service] {
			if mk := held(ix, rep.EndpointID); mk.Reason == distribution.ReasonUnresponsive {
				AddMarkChange(todo, ix, rep.EndpointID, mk, nil)
			}
		}
	}
	return todo
}

// AddMarkChange adds to an index's transaction that the mark of a leaf, held as it was seen,
// becomes next, or goes. One that is late finds another there, and does nothing.
func AddMarkChange(todo map[string]*paxos.Txn, ix, leaf string, held distribution.EjectionMark, next *distribution.EjectionMark) {
	t := todo[ix]
	if t == nil {
		t = &paxos.Txn{}
		todo[ix] = t
	}
	key := schema.EjectionKeyPrefix + leaf
	cond, op := paxos.Condition{Key: key, Absent: held.Reason == ""}, paxos.Op{Kind: paxos.OpDelete, Key: key}
	if !cond.Absent {
		cond.Equals = schema.MustEncode(held)
	}
	if next != nil {
		op.Kind, op.Value = paxos.OpPut, schema.MustEncode(*next)
	}
	t.Conditions, t.Ops = append(t.Conditions, cond), append(t.Ops, op)
}

// reconcileListedMarks writes what the platform's list says of leaving leafs, and drops
// the marks of leafs that are no more, and those for silence that have stood for
// long: word that a leaf is well may have been lost.
func (r *Server) reconcileListedMarks(since map[string]time.Time) {
	for try, beaten := 0, true; try < maxMarkAttempts && beaten; try++ {
		beaten = r.tryListedMarks(since)
	}
}

// tryListedMarks is one try; beaten says that marks had changed meanwhile.
func (r *Server) tryListedMarks(since map[string]time.Time) (beaten bool) {
	l := r.board.Endpoints()
	if l == nil {
		return false
	}
	where := r.indexesByService()
	todo := map[string]*paxos.Txn{}
	listed := map[string]bool{}
	marks := map[string]map[string]distribution.EjectionMark{}
	for _, list := range where {
		for _, ix := range list {
			if marks[ix] == nil {
				marks[ix] = r.marksOfIndex(ix)
			}
		}
	}
	for _, leaf := range l.Endpoints {
		listed[leaf.ID] = true
		if !leaf.Draining {
			continue
		}
		for _, ix := range where[leaf.Service] {
			if mk := marks[ix][leaf.ID]; mk.Reason != distribution.ReasonDraining {
				AddMarkChange(todo, ix, leaf.ID, mk, &distribution.EjectionMark{Reason: distribution.ReasonDraining})
			}
		}
	}
	now := time.Now()
	standing := map[string]bool{}
	for ix, held := range marks {
		for leaf, mk := range held {
			key := ix + "/" + leaf
			standing[key] = true
			if mk.Reason != distribution.ReasonUnresponsive {
				delete(since, key)
			} else if since[key].IsZero() {
				since[key] = now
			}
			if !listed[leaf] || mk.Reason == distribution.ReasonUnresponsive && now.Sub(since[key]) > maxEjectionTime {
				AddMarkChange(todo, ix, leaf, mk, nil)
			}
		}
	}
	maps.DeleteFunc(since, func(key string, _ time.Time) bool { return !standing[key] })
	for ix, t := range todo {
		ctx, cancel := context.WithTimeout(context.Background(), ProposalTimeout)
		ok, err := r.host.Propose(ctx, ix, *t)
		cancel()
		beaten = beaten || err == nil && !ok
	}
	return beaten
}
