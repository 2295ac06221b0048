package controlplane

import (
	"context"
	"sync"
	"time"

	"comethold/internal/controlplane/nodereports"
	"comethold/internal/controlplane/replicahost"
	"comethold/internal/controlplane/schema"
	"comethold/internal/distribution"
	"comethold/internal/logging"
	"comethold/internal/paxos"
	"comethold/internal/settings"
)

// Pacing of the desk's work. Ours; see docs/design.md.
const (
	PollerLeaseDuration = 1200 * time.Millisecond
	MoverLeaseDuration  = 1200 * time.Millisecond
	minPollInterval     = 800 * time.Millisecond
	listTimeout         = 10 * time.Second // for all pages of a list; each has a limit of its own
	pollDrainFraction   = 0.3              // of the time in which a leaving must be heeded
	ReconcileInterval   = 400 * time.Millisecond
	digestInterval      = time.Second
	maxMarkAttempts     = 3
	maxEjectionTime     = 30 * time.Second // after which a mark for silence must be made anew
	downNodeRetention   = 2 * time.Minute
	ProposalTimeout     = 1200 * time.Millisecond
	endpointFetchDelay  = 300 * time.Millisecond
	probeTimeout        = 700 * time.Millisecond
)

func (r *Server) wakeReconciler() {
	select {
	case r.reconcileWake <- struct{}{}:
	default:
	}
}

// reconcileLoop brings the cells up to date with what this node knows.
func (r *Server) reconcileLoop() {
	var cutFor uint64
	recalls, aged, silent := map[string]time.Time{}, map[string]time.Time{}, map[string]time.Time{}
	for {
		select {
		case <-r.reconcileWake:
			select {
			case <-time.After(30 * time.Millisecond): // let more come in
			case <-r.quit:
				return
			}
		case <-time.After(ReconcileInterval):
		case <-r.quit:
			return
		}
		if r.host.QuorumContactAge() > replicahost.StaleAfter {
			continue
		}
		r.recordNodeCall(&distribution.UpdateRequest{Node: distribution.Node{Name: r.settings.NodeName + "/registrar", Addr: r.settings.IPAddress, Zone: r.settings.AvailabilityZone, ControlPlane: true}})
		r.observeUnlistedReplicas()
		r.reconcileNodes()
		r.applyReports()
		if term, ok := r.discoveryLease.Held(); ok && r.board.EndpointsVersion().Term == term {
			r.reconcileListedMarks(silent) // by a list of this term: the one of a former life is old
		}
		if _, ok := r.placementLease.Held(); ok {
			r.reconcileShardSets(&cutFor)
			r.sweepPurges(recalls)
			r.expireNodes(aged)
		}
	}
}

func (r *Server) propose(name string, t paxos.Txn) bool {
	ctx, cancel := context.WithTimeout(context.Background(), ProposalTimeout)
	defer cancel()
	ok, err := r.host.Propose(ctx, name, t)
	return ok && err == nil
}

// observeUnlistedReplicas has registrars listed that this one hears and that can't list themselves,
// since nobody who could teach them knows of them.
func (r *Server) observeUnlistedReplicas() {
	held := r.board.Nodes()
	for _, h := range r.host.LivePeers(nodereports.ContactLifetime) {
		n := distribution.Node{Name: h.Name + "/registrar", Addr: h.Addr, Zone: h.Zone, ControlPlane: true}
		if _, known := held[n.Name]; !known {
			r.recordNodeCall(&distribution.UpdateRequest{Node: n})
		}
	}
}

// reconcileNodes writes nodes that called, and those that their watchers miss, into
// the directory.
func (r *Server) reconcileNodes() {
	held := r.board.Nodes()
	now := time.Now()
	var t paxos.Txn
	var doubted []distribution.Node
	put := func(old distribution.Node, known bool, n distribution.Node) {
		cond := paxos.Condition{Key: schema.NodeKeyPrefix + n.Name, Absent: !known}
		if known {
			cond.Equals = schema.MustEncode(old)
		}
		t.Conditions = append(t.Conditions, cond)
		t.Ops = append(t.Ops, paxos.Op{Kind: paxos.OpPut, Key: schema.NodeKeyPrefix + n.Name, Value: schema.MustEncode(n)})
	}
	contacts := r.reports.Contacts(now)
	for name, node := range contacts {
		if old, known := held[name]; !known || old != node {
			put(old, known, node)
		}
	}
	for name, count := range r.reports.Suspects(now) {
		_, calls := contacts[name]
		if old, known := held[name]; known && !old.Down && !calls && count >= min(nodereports.WitnessesRequired, len(held)-1) {
			doubted = append(doubted, old)
		}
	}
	for _, old := range r.probeUnreachable(doubted) {
		down := old
		down.Down = true
		put(old, true, down)
		r.log.Warn(logging.NodeDown).Str("peer", old.Name).Msg("a node is missed by its watchers")
	}
	if len(t.Ops) > 0 {
		r.propose(schema.MetaCell, t)
	}
}

// probeUnreachable returns those of the nodes that do not answer this registrar either.
// A node may be fed by another registrar, and a full link loses its heartbeats:
// those that answer are not suspected any more.
func (r *Server) probeUnreachable(doubted []distribution.Node) []distribution.Node {
	answers := make([]bool, len(doubted))
	var wg sync.WaitGroup
	for i, n := range doubted {
		port := r.settings.PortOf(settings.DataPlane)
		if n.ObjectCache {
			port = r.settings.PortOf(settings.ObjectCache)
		}
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
			defer cancel()
			answers[i] = r.client.Call(ctx, internalAddress(n.Addr, port), "/here", distribution.UpdateRequest{}, nil) == nil
		})
	}
	wg.Wait()
	var out []distribution.Node
	for i, n := range doubted {
		if answers[i] {
			r.reports.ClearSuspicion(n.Name)
		} else {
			out = append(out, n)
		}
	}
	return out
}

// expireNodes marks registrars that nobody hears as down, and forgets nodes that
// have been down for long.
func (r *Server) expireNodes(since map[string]time.Time) {
	now := time.Now()
	var t paxos.Txn
	table := r.board.Nodes()
	silent := map[string]bool{}
	r.host.Do(func() { // how long others were silent belongs to the host's loop
		for name, n := range table {
			silent[name] = n.ControlPlane && !n.Down && r.host.SilenceOf(n.Addr) > replicahost.DownTimeout
		}
	})
	for name, n := range table {
		cond := paxos.Condition{Key: schema.NodeKeyPrefix + name, Equals: schema.MustEncode(n)}
		switch {
		case !n.Down:
			delete(since, name)
			if silent[name] {
				n.Down = true
				t.Conditions = append(t.Conditions, cond)
				t.Ops = append(t.Ops, paxos.Op{Kind: paxos.OpPut, Key: schema.NodeKeyPrefix + name, Value: schema.MustEncode(n)})
			}
		case since[name].IsZero():
			since[name] = now
		case now.Sub(since[name]) > downNodeRetention:
			delete(since, name)
			t.Conditions = append(t.Conditions, cond)
			t.Ops = append(t.Ops, paxos.Op{Kind: paxos.OpDelete, Key: schema.NodeKeyPrefix + name})
		}
	}
	if len(t.Ops) > 0 {
		r.propose(schema.MetaCell, t)
	}
}
