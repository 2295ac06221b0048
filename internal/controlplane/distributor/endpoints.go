package distributor

import "comethold/internal/distribution"

// endpointTable holds the endpoint list and what changed between its last revisions.
type endpointTable struct {
	list    *distribution.EndpointList
	history distribution.DeltaTable[distribution.Endpoint]
}

// set takes a list if it is newer than the one held.
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

// updateFrom returns what a node lacks that holds a revision, or nil.
func (t *endpointTable) updateFrom(held distribution.Revision) *distribution.EndpointList {
	if t.list == nil || !held.Less(t.list.Revision) {
		return nil
	}
	update := &distribution.EndpointList{Revision: t.list.Revision, Base: held}
	isAny := func(distribution.Endpoint) bool { return true }
	update.Endpoints, update.Removed, update.Delta = t.history.ChangesSince(held, isAny)
	return update
}
