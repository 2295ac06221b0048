package distribution

// UpdateRequest requests an Update. A node sends it to the control plane, or to another node if
// the control plane doesn't respond.
type UpdateRequest struct {
	Node    Node           `cbor:"1,keyasint"` // the sender
	Held    HeldVersions   `cbor:"2,keyasint"`
	Reports []HealthReport `cbor:"3,keyasint,omitempty"`
	// Suspects are the names of nodes whose heartbeats the sender no longer receives.
	Suspects []string `cbor:"4,keyasint,omitempty"`
	// Immediate requests a response without long polling, even if there is nothing newer.
	Immediate bool `cbor:"5,keyasint,omitempty"`
}

// HeldVersions lists the versions that the sender of an UpdateRequest holds. The zero value
// means that it holds nothing.
type HeldVersions struct {
	ConfigVersion    uint64   `cbor:"1,keyasint,omitempty"`
	EndpointRevision Revision `cbor:"2,keyasint,omitempty"`
	// MarkLogIndexes maps each search index to the log index of its marks. It is sent only for
	// some time after a responding node requested it (Update.NeedMarkLogIndexes). Otherwise
	// MarksDigest is sent in its place, since there may be many search indexes.
	MarkLogIndexes    map[string]uint64 `cbor:"3,keyasint,omitempty"`
	NodesIndex        uint64            `cbor:"4,keyasint,omitempty"`
	DataPlaneCount    int               `cbor:"5,keyasint,omitempty"`
	PurgeIndex        uint64            `cbor:"6,keyasint,omitempty"`
	NotificationIndex uint64            `cbor:"7,keyasint,omitempty"`
	MarksDigest       uint64            `cbor:"8,keyasint,omitempty"`
}

// HealthReport is the health of an endpoint as observed by a data plane node.
type HealthReport struct {
	EndpointID string `cbor:"1,keyasint"`
	Service    string `cbor:"2,keyasint"`
	Healthy    bool   `cbor:"3,keyasint,omitempty"`
}

// Update is the response to an UpdateRequest. It holds the parts of the state that are newer than
// those that the requesting node holds.
type Update struct {
	// Stale is set if the responding node has lost contact with the majority of the meta cell,
	// so that its state may be out of date.
	Stale         bool            `cbor:"1,keyasint,omitempty"`
	Config        *ConfigUpdate   `cbor:"2,keyasint,omitempty"`
	Endpoints     *EndpointList   `cbor:"3,keyasint,omitempty"`
	EjectionMarks []EjectionMarks `cbor:"4,keyasint,omitempty"`
	Nodes         *NodeList       `cbor:"5,keyasint,omitempty"`
	// RemovedSearchIndexes names search indexes that no longer exist.
	RemovedSearchIndexes []string            `cbor:"6,keyasint,omitempty"`
	Purges               *PurgeUpdate        `cbor:"7,keyasint,omitempty"`
	Notifications        *NotificationUpdate `cbor:"8,keyasint,omitempty"`
	// NeedMarkLogIndexes is set if the responding node can't determine from the digest which
	// marks the requesting node lacks.
	NeedMarkLogIndexes bool `cbor:"9,keyasint,omitempty"`
}

// Empty reports whether the update holds no parts and requests nothing. Stale is not considered.
func (u *Update) Empty() bool {
	switch {
	case u.Config != nil, u.Endpoints != nil, len(u.EjectionMarks) > 0, u.Nodes != nil:
		return false
	case len(u.RemovedSearchIndexes) > 0, u.Purges != nil, u.Notifications != nil, u.NeedMarkLogIndexes:
		return false
	}
	return true
}

// EstimatesRequest requests the latency estimates of a data plane node for one service and
// class. An empty field selects all services or all classes.
type EstimatesRequest struct {
	Service string `cbor:"1,keyasint,omitempty"`
	Class   string `cbor:"2,keyasint,omitempty"`
}
