package controlclient

import (
	"maps"
	"slices"

	"comethold/internal/distribution"
)

// updateFor returns an update with the parts of the state that are newer on this node than on
// another node, which holds the given versions. The update is marked stale, because this node
// can't know whether its state is the newest. Only nodes of the same zone get the directory of
// nodes, because it contains only the nodes of this zone.
func (s *appliedState) updateFor(held distribution.HeldVersions, sameZone bool) *distribution.Update {
	s.mu.Lock()
	defer s.mu.Unlock()
	update := &distribution.Update{Stale: true}
	if table := s.routeTable.Load(); table != nil && table.Version > held.ConfigVersion {
		update.Config = distribution.FullConfig(table.Config)
	}
	if s.hasEndpoints && held.EndpointRevision.Less(s.endpointRevision) {
		update.Endpoints = &distribution.EndpointList{
			Revision:  s.endpointRevision,
			Endpoints: slices.Collect(maps.Values(s.endpoints)),
		}
	}
	for name, marks := range s.ejectionMarks {
		if held.MarkLogIndexes[name] < marks.LogIndex {
			update.EjectionMarks = append(update.EjectionMarks, marks)
		}
	}
	if sameZone && s.nodesIndex > held.NodesIndex {
		update.Nodes = &distribution.NodeList{
			LogIndex:       s.nodesIndex,
			Nodes:          slices.Collect(maps.Values(s.nodes)),
			DataPlaneCount: s.dataPlaneCount,
		}
	}
	if index := s.purgeIndex.Load(); index > held.PurgeIndex {
		update.Purges = s.purgesAfterLocked(held.PurgeIndex, index)
	}
	return update
}

// purgesAfterLocked returns the purges after the log index held, up to the current one.
func (s *appliedState) purgesAfterLocked(held, current uint64) *distribution.PurgeUpdate {
	update := &distribution.PurgeUpdate{LogIndex: current, Reset: held < s.purgeFloor}
	for _, purge := range s.purges {
		if purge.LogIndex > held {
			update.Purges = append(update.Purges, purge)
		}
	}
	return update
}
