package distributor

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"comethold/internal/distribution"
	"comethold/internal/rpc"
)

// EncodedUpdate is an update that is encoded for sending.
type EncodedUpdate struct {
	Body    []byte
	IsEmpty bool // the requesting node is up to date
}

// Changes returns the update for the node that sent the request.
func (d *Distributor) Changes(request *distribution.UpdateRequest) distribution.Update {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changesLocked(request)
}

func (d *Distributor) changesLocked(request *distribution.UpdateRequest) (update distribution.Update) {
	held := request.Held
	update.Config = d.configurations.updateFrom(held.ConfigVersion)
	update.Endpoints = d.endpoints.updateFrom(held.EndpointRevision)
	d.marks.addTo(&update, held)
	update.Nodes = d.nodes.updateFrom(held, request.Node.Zone)
	update.Purges = d.purges.updateFrom(held.PurgeIndex)
	update.Notifications = d.notifications.updateFrom(held.NotificationIndex)
	return update
}

// EncodedChanges returns the encoded update for the node that sent the request, and a channel
// that is closed at the next change. isStale becomes the Stale field of the update.
func (d *Distributor) EncodedChanges(
	request *distribution.UpdateRequest, isStale bool,
) (*EncodedUpdate, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	key := updateKey(request, isStale)
	encoded := d.encoded[key]
	if encoded == nil {
		update := d.changesLocked(request)
		encoded = &EncodedUpdate{IsEmpty: update.Empty()}
		update.Stale = isStale
		if raw, err := rpc.Marshal(&update); err == nil {
			encoded.Body = rpc.EncodeBody(raw)
		}
		d.encoded[key] = encoded
	}
	return encoded, d.changed
}

// updateKey returns the key of an update in Distributor.encoded. It is equal for
// requests that need the same update, and for no others. The zone is quoted, because otherwise a
// digit at its end could be read as part of the version that follows.
func updateKey(request *distribution.UpdateRequest, isStale bool) string {
	held := &request.Held
	var key strings.Builder
	fmt.Fprintf(&key, "%t %q ", isStale, request.Node.Zone)
	fmt.Fprint(&key, held.ConfigVersion, held.EndpointRevision,
		held.NodesIndex, held.DataPlaneCount, held.PurgeIndex, held.NotificationIndex,
		held.MarksDigest, held.MarkLogIndexes != nil)
	for _, indexName := range slices.Sorted(maps.Keys(held.MarkLogIndexes)) {
		fmt.Fprint(&key, " ", indexName, "=", held.MarkLogIndexes[indexName])
	}
	return key.String()
}
