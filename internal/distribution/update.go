package distribution

// UpdateRequest is what a node sends to the control plane, or to another node when the
// control plane doesn't answer.
type UpdateRequest struct {
	Node    Node           `cbor:"1,keyasint"` // the sender
	Held    HeldVersions   `cbor:"2,keyasint"`
	Reports []HealthReport `cbor:"3,keyasint,omitempty"`
	// Suspects are the names of nodes whose heartbeats the sender misses.
	Suspects []string `cbor:"4,keyasint,omitempty"`
	// Immediate asks for an answer without long polling, even if there is nothing newer.
	Immediate bool `cbor:"5,keyasint,omitempty"`
}

// HeldVersions names what the sender of an UpdateRequest holds. The zero value holds
// nothing.
type HeldVersions struct {
	ConfigVersion    uint64   `cbor:"1,keyasint,omitempty"`
	EndpointRevision Revision `cbor:"2,keyasint,omitempty"`
	// MarkLogIndexes holds the log index of the marks of each search index. It is sent for a
	// while after a receiver asked for it (Update.NeedMarkLogIndexes); MarksDigest stands
	// for it otherwise, since there may be many search indexes.
	MarkLogIndexes    map[string]uint64 `cbor:"3,keyasint,omitempty"`
	NodesIndex        uint64            `cbor:"4,keyasint,omitempty"`
	DataPlaneCount    int               `cbor:"5,keyasint,omitempty"`
	PurgeIndex        uint64            `cbor:"6,keyasint,omitempty"`
	NotificationIndex uint64            `cbor:"7,keyasint,omitempty"`
	MarksDigest       uint64            `cbor:"8,keyasint,omitempty"`
}

// HealthReport is what a data plane node observed of an endpoint.
type HealthReport struct {
	EndpointID string `cbor:"1,keyasint"`
	Service    string `cbor:"2,keyasint"`
	Healthy    bool   `cbor:"3,keyasint,omitempty"`
}

// Update answers an UpdateRequest with the parts that are newer than what its sender holds.
type Update struct {
	// Stale says that the answering node has lost contact with the majority of the meta
	// cell: what it knows may be old.
	Stale         bool            `cbor:"1,keyasint,omitempty"`
	Config        *ConfigUpdate   `cbor:"2,keyasint,omitempty"`
	Endpoints     *EndpointList   `cbor:"3,keyasint,omitempty"`
	EjectionMarks []EjectionMarks `cbor:"4,keyasint,omitempty"`
	Nodes         *NodeList       `cbor:"5,keyasint,omitempty"`
	// RemovedSearchIndexes names search indexes that no longer exist.
	RemovedSearchIndexes []string            `cbor:"6,keyasint,omitempty"`
	Purges               *PurgeUpdate        `cbor:"7,keyasint,omitempty"`
	Notifications        *NotificationUpdate `cbor:"8,keyasint,omitempty"`
	// NeedMarkLogIndexes says that the answering node can't tell from the digest which marks
	// the receiver lacks.
	NeedMarkLogIndexes bool `cbor:"9,keyasint,omitempty"`
}

// Empty reports whether the update holds nothing.
func (u *Update) Empty() bool {
	switch {
	case u.Config != nil, u.Endpoints != nil, len(u.EjectionMarks) > 0, u.Nodes != nil:
		return false
	case len(u.RemovedSearchIndexes) > 0, u.Purges != nil, u.Notifications != nil, u.NeedMarkLogIndexes:
		return false
	}
	return true
}

// EstimatesRequest asks a data plane node for its latency estimates: of one service and
// class, or of all where a field is empty.
type EstimatesRequest struct {
	Service string `cbor:"1,keyasint,omitempty"`
	Class   string `cbor:"2,keyasint,omitempty"`
}
