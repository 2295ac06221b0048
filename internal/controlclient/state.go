// Package office is what every node that handles requests has in common: it
// keeps itself current by the feed, has its place on the ring of heartbeats,
// and holds the plan in force, the leafs, and the purges known so far.
package controlclient

import (
	"sync"
	"sync/atomic"
	"time"

	"comethold/internal/distribution"
	"comethold/internal/logging"
	"comethold/internal/outbox"
	"comethold/internal/retrybudget"
	"comethold/internal/routing"
	"comethold/internal/rpc"
	"comethold/internal/upstream"
)

// appliedState is what the feed has told this node. Every part only moves forward.
type appliedState struct {
	log         *logging.Logger
	upstreams   *upstream.ClusterManager
	retryBudget *retrybudget.Budget
	routeTable  atomic.Pointer[routing.RouteTable]
	purgeIndex  atomic.Uint64 // of the newest purge known
	// confirmed is set once somebody in touch with the majority has told news:
	// what this node kept from a former life may be used from then on.
	confirmed atomic.Bool

	mu               sync.Mutex
	contactAt        time.Time // when somebody in touch with the majority last told news
	endpointRevision distribution.Revision
	hasEndpoints     bool
	endpoints        map[string]distribution.Endpoint
	ejectionMarks    map[string]distribution.EjectionMarks
	marksDigest      uint64
	// sendMarkIndexesUntil is until when the positions of all marks are told, not their sum alone.
	sendMarkIndexesUntil time.Time
	nodesIndex           uint64 // of the directory
	nodes                map[string]distribution.Node
	dataPlaneCount       int
	nodeCounts           []nodeCount
	purges               []distribution.Purge // the newest, in order
	purgeFloor           uint64               // recalls up to here are not in recalls
	inbox                *outbox.Inbox
	notificationIndex    uint64                            // position of the newest notice that was told
	deferred             []distribution.OutboxNotification // those whose prerequisite is not here yet

	onNodes          func([]distribution.Node)
	onRouteTable     func(*routing.RouteTable)
	onPurges         func(*distribution.PurgeUpdate)
	onTenantsChanged func(tenants []string) // their keys or limits are others now
	sharingNodes     func() int             // nodes that share the leafs with this one, if not all switches
}

// nodeCount is how many nodes shared the limits at one time.
type nodeCount struct {
	count int
	since time.Time
}

// nodeCountWindow is how long a node that left the directory, or is down, still
// counts when shares are divided: what it spent stays in others' windows.
const nodeCountWindow = 15 * time.Second

// sendMarkIndexesFor is how long the positions of all marks are told to a registrar that asked
// for them: it may ask once in that time at the most.
const sendMarkIndexesFor = 10 * time.Second

// maxRememberedPurges bounds the purges that a node remembers.
const maxRememberedPurges = 4096

func newAppliedState(log *logging.Logger, f *upstream.ClusterManager, t *retrybudget.Budget) *appliedState {
	return &appliedState{log: log, upstreams: f, retryBudget: t, ejectionMarks: map[string]distribution.EjectionMarks{}, endpoints: map[string]distribution.Endpoint{},
		nodes: map[string]distribution.Node{}, onNodes: func([]distribution.Node) {}, onRouteTable: func(*routing.RouteTable) {},
		onPurges: func(*distribution.PurgeUpdate) {}, inbox: outbox.NewInbox(), onTenantsChanged: func([]string) {}}
}

func (s *appliedState) heldVersions() distribution.HeldVersions {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := distribution.HeldVersions{NodesIndex: s.nodesIndex, DataPlaneCount: s.dataPlaneCount, PurgeIndex: s.purgeIndex.Load(), NotificationIndex: s.notificationIndex, MarksDigest: s.marksDigest}
	if p := s.routeTable.Load(); p != nil {
		h.ConfigVersion = p.Version
	}
	if s.hasEndpoints {
		h.EndpointRevision = s.endpointRevision
	}
	if time.Now().Before(s.sendMarkIndexesUntil) {
		h.MarkIndexes = s.markIndexes()
	}
	return h
}

func (s *appliedState) markIndexes() map[string]uint64 {
	out := make(map[string]uint64, len(s.ejectionMarks))
	for ix, m := range s.ejectionMarks {
		out[ix] = m.LogIndex
	}
	return out
}

// apply brings news into force.
func (s *appliedState) apply(n *distribution.Update) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n.Purges != nil {
		s.applyPurges(n.Purges)
	}
	if n.Config != nil {
		s.applyConfig(n.Config)
	}
	if n.Endpoints != nil && n.Endpoints.AppliesTo(s.endpointRevision, s.hasEndpoints) {
		s.endpointRevision, s.hasEndpoints = n.Endpoints.Revision, true
		s.endpoints = distribution.ApplyChanges(s.endpoints, n.Endpoints.Endpoints, n.Endpoints.Removed, n.Endpoints.Delta, func(l distribution.Endpoint) string { return l.ID })
		s.upstreams.SetEndpoints(s.endpoints)
	}
	if n.NeedMarkIndexes {
		s.sendMarkIndexesUntil = time.Now().Add(sendMarkIndexesFor)
	}
	if len(n.EjectionMarks) > 0 || len(n.RemovedIndexes) > 0 {
		for _, m := range n.EjectionMarks {
			if old, ok := s.ejectionMarks[m.IndexName]; !ok || old.LogIndex < m.LogIndex {
				s.ejectionMarks[m.IndexName] = m
			}
		}
		for _, ix := range n.RemovedIndexes {
			delete(s.ejectionMarks, ix)
		}
		drained := map[string]distribution.EjectionMark{}
		for _, m := range s.ejectionMarks {
			for id, mark := range m.Ejected {
				if drained[id].Reason != distribution.ReasonDraining {
					drained[id] = mark
				}
			}
		}
		s.marksDigest = distribution.MarksDigest(s.markIndexes())
		s.upstreams.SetFleetEjections(drained)
	}
	if n.Nodes != nil && n.Nodes.LogIndex > s.nodesIndex && (!n.Nodes.Delta || n.Nodes.Base == s.nodesIndex) {
		s.nodesIndex, s.dataPlaneCount = n.Nodes.LogIndex, n.Nodes.DataPlaneCount
		s.nodes = distribution.ApplyChanges(s.nodes, n.Nodes.Nodes, n.Nodes.Removed, n.Nodes.Delta, func(n distribution.Node) string { return n.Name })
		all := make([]distribution.Node, 0, len(s.nodes))
		for _, node := range s.nodes {
			all = append(all, node)
		}
		s.onNodes(all)
	}
	s.applyNotifications(n.Notifications)
	s.updateNodeCount(time.Now())
	if !n.Stale {
		s.confirmed.Store(true)
		s.contactAt = time.Now()
	}
}

// maxDeferredNotifications bounds the notices that wait for their prerequisite.
const maxDeferredNotifications = 128

// applyNotifications decides notices against the inbox before anything changes by them. It runs
// after the rest of the news: the state that a notice speaks of is its prerequisite.
func (s *appliedState) applyNotifications(n *distribution.NotificationUpdate) {
	have := map[string]uint64{outbox.AggregatePurges: s.purgeIndex.Load()}
	if p := s.routeTable.Load(); p != nil {
		have[outbox.AggregateConfiguration] = p.Version
	}
	waiting := s.deferred
	if n != nil && n.LogIndex > s.notificationIndex {
		if n.Reset {
			waiting = nil
			for aggregate, version := range n.BaseVersions {
				s.inbox.SetBaseVersion(aggregate, version)
			}
		}
		waiting = append(waiting, n.Notifications...)
		s.notificationIndex = n.LogIndex
	}
	s.deferred = nil
	for i := range waiting {
		w := &waiting[i]
		if w.Notification.Version <= have[w.Notification.Aggregate] {
			// Notices come in order: one that is missing before this one will not come,
			// but what it told is in the state that is here.
			s.inbox.SetBaseVersion(w.Notification.Aggregate, w.Notification.PreviousVersion)
		}
		switch d, why := s.inbox.Decide(&w.Notification, have[w.Notification.Aggregate]); d {
		case outbox.Applied:
			var c outbox.ConfigurationChange
			if w.Notification.Aggregate == outbox.AggregateConfiguration && rpc.Unmarshal(w.Notification.Payload, &c) == nil {
				s.onTenantsChanged(c.Tenants)
			}
		case outbox.Deferred:
			if len(s.deferred) < maxDeferredNotifications {
				s.deferred = append(s.deferred, *w)
			}
		case outbox.Quarantined:
			s.log.Error(logging.NotificationQuarantined).Str("eventId", w.Notification.EventID).Err(why).Msg("a notice is quarantined")
		}
	}
}

// applyPurges notes purges and has copies dropped before the position moves:
// who reads the position finds their effect.
func (s *appliedState) applyPurges(r *distribution.PurgeUpdate) {
	if r.LogIndex <= s.purgeIndex.Load() && !r.Reset {
		return
	}
	if r.Reset {
		s.purges, s.purgeFloor = nil, r.LogIndex
	}
	for _, rec := range r.Purges {
		if rec.LogIndex > s.purgeIndex.Load() {
			s.purges = append(s.purges, rec)
		}
	}
	if n := len(s.purges) - maxRememberedPurges; n > 0 {
		s.purgeFloor = s.purges[n-1].LogIndex
		s.purges = append([]distribution.Purge(nil), s.purges[n:]...)
	}
	s.onPurges(r)
	s.purgeIndex.Store(r.LogIndex)
}

// purgedSince reports whether a purge after pos names what hit recognises,
// or whether that cannot be told any more.
func (s *appliedState) purgedSince(pos uint64, hit func(distribution.Purge) bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if pos < s.purgeFloor {
		return true
	}
	for i := len(s.purges) - 1; i >= 0 && s.purges[i].LogIndex > pos; i-- {
		if hit(s.purges[i]) {
			return true
		}
	}
	return false
}

func (s *appliedState) applyConfig(c *distribution.ConfigUpdate) {
	var old *routing.Configuration
	if p := s.routeTable.Load(); p != nil {
		old = p.Config
	}
	cfg, ok := c.ApplyTo(old)
	if !ok {
		return
	}
	p := routing.Compile(cfg)
	limits, paths := map[string]int{}, map[string]string{}
	for name, sv := range p.Services {
		limits[name], paths[name] = sv.ConnectionLimit, sv.HealthPath
	}
	s.upstreams.SetServices(limits, paths)
	s.routeTable.Store(p)
	s.onRouteTable(p)
	s.log.Info(logging.ConfigApplied).Uint64("version", p.Version).Int("routes", len(cfg.Routes)).Msg("configuration in force")
}

// updateNodeCount works out among how many nodes the shared limits are divided: the most
// that there were in the last while.
func (s *appliedState) updateNodeCount(now time.Time) {
	n := s.dataPlaneCount
	if s.sharingNodes != nil {
		n = s.sharingNodes()
	}
	if n == 0 {
		return
	}
	if k := len(s.nodeCounts); k == 0 || s.nodeCounts[k-1].count != n {
		s.nodeCounts = append(s.nodeCounts, nodeCount{n, now})
	}
	for len(s.nodeCounts) > 1 && now.Sub(s.nodeCounts[1].since) > nodeCountWindow {
		s.nodeCounts = s.nodeCounts[1:]
	}
	most := 0
	for _, c := range s.nodeCounts {
		most = max(most, c.count)
	}
	s.upstreams.SetNodeCount(most)
	s.retryBudget.SetNodeCount(most)
}

// updateFor answers another node that lacks what this one has. The directory of nodes
// is told to those of the same zone alone: it holds no other zone's.
func (s *appliedState) updateFor(h distribution.HeldVersions, neighbour bool) *distribution.Update {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := &distribution.Update{Stale: true}
	if p := s.routeTable.Load(); p != nil && p.Version > h.ConfigVersion {
		n.Config = distribution.FullConfig(p.Config)
	}
	if s.hasEndpoints && h.EndpointRevision.Less(s.endpointRevision) {
		n.Endpoints = &distribution.EndpointList{Revision: s.endpointRevision}
		for _, l := range s.endpoints {
			n.Endpoints.Endpoints = append(n.Endpoints.Endpoints, l)
		}
	}
	for ix, m := range s.ejectionMarks {
		if h.MarkIndexes[ix] < m.LogIndex {
			n.EjectionMarks = append(n.EjectionMarks, m)
		}
	}
	if neighbour && s.nodesIndex > h.NodesIndex {
		n.Nodes = &distribution.NodeList{LogIndex: s.nodesIndex, DataPlaneCount: s.dataPlaneCount}
		for _, node := range s.nodes {
			n.Nodes.Nodes = append(n.Nodes.Nodes, node)
		}
	}
	if pos := s.purgeIndex.Load(); pos > h.PurgeIndex {
		n.Purges = &distribution.PurgeUpdate{LogIndex: pos, Reset: h.PurgeIndex < s.purgeFloor}
		for _, rec := range s.purges {
			if rec.LogIndex > h.PurgeIndex {
				n.Purges.Purges = append(n.Purges.Purges, rec)
			}
		}
	}
	return n
}

// ready reports whether this node can serve.
func (s *appliedState) ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.routeTable.Load() != nil && s.hasEndpoints
}
