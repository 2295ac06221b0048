package controlclient

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"comethold/internal/distribution"
	"comethold/internal/logging"
	"comethold/internal/outbox"
	"comethold/internal/retrybudget"
	"comethold/internal/routing"
	"comethold/internal/upstream"
)

// markLogIndexesDuration is how long update requests contain HeldVersions.MarkLogIndexes after a
// control node requested it (Update.NeedMarkLogIndexes). A control node requests it at most once in
// that time.
const markLogIndexesDuration = 10 * time.Second

// appliedState is the state that this node received in updates. A part of the state is replaced
// only by a newer version. The callbacks are set before the first update and are called with mu
// held.
type appliedState struct {
	log         *logging.Logger
	upstreams   *upstream.ClusterManager
	retryBudget *retrybudget.Budget

	onNodes          func([]distribution.Node)
	onRouteTable     func(*routing.RouteTable)
	onPurges         func(*distribution.PurgeUpdate)
	onTenantsChanged func(tenants []string)
	// sharingNodes returns the number of nodes, including this one, among which the connection
	// limits of endpoints and the slack of the retry budget are divided. If it is nil, the
	// number of data plane nodes is used.
	sharingNodes func() int

	// The next three fields are written with mu held and read without it.
	routeTable atomic.Pointer[routing.RouteTable] // nil until the first configuration
	purgeIndex atomic.Uint64
	// confirmed is set when an update is received from a node in contact with the majority.
	confirmed atomic.Bool

	mu        sync.Mutex // guards the fields below
	contactAt time.Time  // when an update last came from a node in contact with the majority

	endpointRevision distribution.Revision
	hasEndpoints     bool
	endpoints        map[string]distribution.Endpoint // by ID

	ejectionMarks map[string]distribution.EjectionMarks // by search index
	marksDigest   uint64                                // of ejectionMarks
	// sendMarkLogIndexesUntil is the time until which update requests contain HeldVersions.MarkLogIndexes.
	sendMarkLogIndexesUntil time.Time

	nodesIndex     uint64                       // log index of the directory of nodes
	nodes          map[string]distribution.Node // by name
	dataPlaneCount int
	nodeCounts     []nodeCount // oldest first

	purges     []distribution.Purge // the newest purges, in log order
	purgeFloor uint64               // purges contains no purges up to this log index

	inbox             *outbox.Inbox
	notificationIndex uint64                            // log index of the newest notification received
	deferred          []distribution.OutboxNotification // early notifications, in order
}

func newAppliedState(
	log *logging.Logger, upstreams *upstream.ClusterManager, budget *retrybudget.Budget,
) *appliedState {
	return &appliedState{
		log:              log,
		upstreams:        upstreams,
		retryBudget:      budget,
		onNodes:          func([]distribution.Node) {},
		onRouteTable:     func(*routing.RouteTable) {},
		onPurges:         func(*distribution.PurgeUpdate) {},
		onTenantsChanged: func([]string) {},
		contactAt:        time.Now(),
		endpoints:        map[string]distribution.Endpoint{},
		ejectionMarks:    map[string]distribution.EjectionMarks{},
		nodes:            map[string]distribution.Node{},
		inbox:            outbox.NewInbox(),
	}
}

// ready reports whether a configuration and an endpoint list have been applied.
func (s *appliedState) ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.routeTable.Load() != nil && s.hasEndpoints
}

// disconnected reports whether the last update from a node in contact with the majority is
// older than span.
func (s *appliedState) disconnected(span time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.contactAt) > span
}

// heldVersions returns the versions of the applied state, for the next update request.
func (s *appliedState) heldVersions() distribution.HeldVersions {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := distribution.HeldVersions{
		NodesIndex:        s.nodesIndex,
		DataPlaneCount:    s.dataPlaneCount,
		PurgeIndex:        s.purgeIndex.Load(),
		NotificationIndex: s.notificationIndex,
		MarksDigest:       s.marksDigest,
	}
	if table := s.routeTable.Load(); table != nil {
		held.ConfigVersion = table.Version
	}
	if s.hasEndpoints {
		held.EndpointRevision = s.endpointRevision
	}
	if time.Now().Before(s.sendMarkLogIndexesUntil) {
		held.MarkLogIndexes = s.markLogIndexesLocked()
	}
	return held
}

// apply applies the parts of an update that are newer than the current state.
func (s *appliedState) apply(u *distribution.Update) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if u.Purges != nil {
		s.applyPurgesLocked(u.Purges)
	}
	if u.Config != nil {
		s.applyConfigLocked(u.Config)
	}
	if u.Endpoints != nil {
		s.applyEndpointsLocked(u.Endpoints)
	}
	if u.NeedMarkLogIndexes {
		s.sendMarkLogIndexesUntil = time.Now().Add(markLogIndexesDuration)
	}
	if len(u.EjectionMarks) > 0 || len(u.RemovedSearchIndexes) > 0 {
		s.applyEjectionMarksLocked(u.EjectionMarks, u.RemovedSearchIndexes)
	}
	if u.Nodes != nil {
		s.applyNodesLocked(u.Nodes)
	}
	// Notifications come last, because they refer to state that must be applied before them.
	s.applyNotificationsLocked(u.Notifications)
	s.updateNodeCountLocked(time.Now())
	if !u.Stale {
		s.confirmed.Store(true)
		s.contactAt = time.Now()
	}
}

func (s *appliedState) applyConfigLocked(u *distribution.ConfigUpdate) {
	var old *routing.Configuration
	if table := s.routeTable.Load(); table != nil {
		old = table.Config
	}
	config, ok := u.ApplyTo(old)
	if !ok {
		return
	}
	table := routing.Compile(config)
	connectionLimits := map[string]int{}
	healthPaths := map[string]string{}
	for name, service := range table.Services {
		connectionLimits[name] = service.ConnectionLimit
		healthPaths[name] = service.HealthPath
	}
	s.upstreams.SetServices(connectionLimits, healthPaths)
	s.routeTable.Store(table)
	s.onRouteTable(table)
	s.log.Info(logging.ConfigApplied).
		Uint64("version", table.Version).
		Int("routes", len(config.Routes)).
		Msg("configuration applied")
}

func (s *appliedState) applyEndpointsLocked(l *distribution.EndpointList) {
	if !l.AppliesTo(s.endpointRevision, s.hasEndpoints) {
		return
	}
	s.endpointRevision = l.Revision
	s.hasEndpoints = true
	s.endpoints = distribution.ApplyChanges(s.endpoints, l.Endpoints, l.Removed, l.Delta,
		func(e distribution.Endpoint) string { return e.ID })
	s.upstreams.SetEndpoints(s.endpoints)
}

func (s *appliedState) applyEjectionMarksLocked(changed []distribution.EjectionMarks, removedIndexes []string) {
	for _, marks := range changed {
		if old, ok := s.ejectionMarks[marks.IndexName]; !ok || old.LogIndex < marks.LogIndex {
			s.ejectionMarks[marks.IndexName] = marks
		}
	}
	for _, name := range removedIndexes {
		delete(s.ejectionMarks, name)
	}
	s.marksDigest = distribution.MarksDigest(s.markLogIndexesLocked())
	s.upstreams.SetFleetEjections(s.ejectedLocked())
}

// ejectedLocked returns the ejection marks of all search indexes by endpoint ID. If several
// indexes mark the same endpoint, ReasonDraining takes precedence.
func (s *appliedState) ejectedLocked() map[string]distribution.EjectionMark {
	ejected := map[string]distribution.EjectionMark{}
	for _, marks := range s.ejectionMarks {
		for id, mark := range marks.Ejected {
			if ejected[id].Reason != distribution.ReasonDraining {
				ejected[id] = mark
			}
		}
	}
	return ejected
}

// markLogIndexesLocked returns the log index of the marks of each search index, by index name.
func (s *appliedState) markLogIndexesLocked() map[string]uint64 {
	indexes := make(map[string]uint64, len(s.ejectionMarks))
	for name, marks := range s.ejectionMarks {
		indexes[name] = marks.LogIndex
	}
	return indexes
}

func (s *appliedState) applyNodesLocked(l *distribution.NodeList) {
	if !l.AppliesTo(s.nodesIndex) {
		return
	}
	s.nodesIndex = l.LogIndex
	s.dataPlaneCount = l.DataPlaneCount
	s.nodes = distribution.ApplyChanges(s.nodes, l.Nodes, l.Removed, l.Delta,
		func(n distribution.Node) string { return n.Name })
	s.onNodes(slices.Collect(maps.Values(s.nodes)))
}
