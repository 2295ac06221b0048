package distributor

import (
	"time"

	"comethold/internal/distribution"
)

// nodeTable holds the newest node list and the published one.
type nodeTable struct {
	byName  map[string]distribution.Node // the newest list; replaced, never modified
	pending *nodeList                    // the newest list; nil once it is published

	published   distribution.DeltaTable[distribution.Node]
	dataPlanes  int // number of data plane nodes in the published list that are not down
	publishedAt time.Time
}

// nodeList is a node list that has not been published yet.
type nodeList struct {
	logIndex   uint64
	byName     map[string]distribution.Node
	dataPlanes int
}

// set sets the newest list. wasPending reports whether an older list was still unpublished.
func (t *nodeTable) set(logIndex uint64, nodes []distribution.Node) (wasPending bool) {
	next := &nodeList{
		logIndex: logIndex,
		byName:   make(map[string]distribution.Node, len(nodes)),
	}
	for _, node := range nodes {
		next.byName[node.Name] = node
		if node.ServesClients() && !node.Down {
			next.dataPlanes++
		}
	}
	wasPending = t.pending != nil
	t.byName = next.byName
	t.pending = next
	return wasPending
}

// publish publishes the newest list, and reports whether it differs from the last published one.
func (t *nodeTable) publish(now time.Time) bool {
	next := t.pending
	if next == nil {
		return false
	}
	t.pending = nil
	if !t.published.Set(distribution.Revision{Sequence: next.logIndex}, next.byName) {
		return false
	}
	t.dataPlanes = next.dataPlanes
	t.publishedAt = now
	return true
}

// updateFrom returns the update for a node in a zone, or nil if the node is up to date. The
// update contains no data plane nodes of other zones, only the number of data plane nodes in all
// zones.
func (t *nodeTable) updateFrom(held distribution.HeldVersions, zone string) *distribution.NodeList {
	logIndex := t.published.Revision().Sequence
	if t.published.Len() == 0 || logIndex <= held.NodesIndex {
		return nil
	}
	update := &distribution.NodeList{
		LogIndex:       logIndex,
		DataPlaneCount: t.dataPlanes,
		Base:           held.NodesIndex,
	}
	isRelevant := func(node distribution.Node) bool {
		return !node.ServesClients() || node.Zone == zone
	}
	base := distribution.Revision{Sequence: held.NodesIndex}
	update.Nodes, update.Removed, update.Delta = t.published.ChangesSince(base, isRelevant)
	isUnchanged := update.Delta && len(update.Nodes)+len(update.Removed) == 0
	if isUnchanged && update.DataPlaneCount == held.DataPlaneCount {
		return nil
	}
	return update
}
