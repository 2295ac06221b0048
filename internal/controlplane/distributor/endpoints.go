package distributor

import "comethold/internal/distribution"

// endpointTable holds the endpoint list and the changes between its recent revisions.
type endpointTable struct {
	list    *distribution.EndpointList
	history distribution.DeltaTable[distribution.Endpoint]
}

// set replaces the list if the given one is newer, and reports whether it did.
func (t *endpointTable) set(list *distribution.EndpointList) bool {
	if t.list != nil && !t.list.Revision.Less(list.Revision) {
		return false
	}
	t.list = list
	byID := make(map[string]distribution.Endpoint, len(list.Endpoints))
	for _, endpoint := range list.Endpoints {
		byID[endpoint.ID] = endpoint
	}
	t.history.Set(list.Revision, byID)
	return true
}

// updateFrom returns the update for a node that holds the revision held, or nil if the node is
// up to date.
func (t *endpointTable) updateFrom(held distribution.Revision) *distribution.EndpointList {
	if t.list == nil || !held.Less(t.list.Revision) {
		return nil
	}
	update := &distribution.EndpointList{Revision: t.list.Revision, Base: held}
	includeAll := func(distribution.Endpoint) bool { return true }
	update.Endpoints, update.Removed, update.Delta = t.history.ChangesSince(held, includeAll)
	return update
}
