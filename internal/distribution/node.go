package distribution

// Node is an entry of the directory of nodes. A node that belongs to neither the control plane
// nor the object caches is a data plane node.
type Node struct {
	Name         string `cbor:"1,keyasint"`
	Addr         string `cbor:"2,keyasint"` // IP address
	Zone         string `cbor:"3,keyasint"`
	ControlPlane bool   `cbor:"4,keyasint,omitempty"`
	Down         bool   `cbor:"5,keyasint,omitempty"`
	ObjectCache  bool   `cbor:"6,keyasint,omitempty"`
}

// ServesClients reports whether the node is a data plane node, which serves client requests.
func (n Node) ServesClients() bool { return !n.ControlPlane && !n.ObjectCache }

// NodeList is the part of the directory that concerns one node: the control plane, the
// object caches and the nodes of its own zone. Data plane nodes of other zones are only
// counted. The list is sent in full or as the changes since Base.
type NodeList struct {
	// LogIndex is the position in the meta cell's log up to which the list is current.
	LogIndex uint64 `cbor:"1,keyasint"`
	// Nodes holds all nodes, or those that were added or changed since Base.
	Nodes []Node `cbor:"2,keyasint,omitempty"`
	// Delta is set if the list holds changes, which apply only to the list at Base.
	Delta   bool     `cbor:"3,keyasint,omitempty"`
	Removed []string `cbor:"4,keyasint,omitempty"` // node names
	// DataPlaneCount is the number of data plane nodes in all zones that are not down.
	DataPlaneCount int    `cbor:"5,keyasint,omitempty"`
	Base           uint64 `cbor:"6,keyasint,omitempty"`
}

// AppliesTo reports whether a receiver that holds the directory at the log index held may
// apply l.
func (l *NodeList) AppliesTo(held uint64) bool {
	if l.LogIndex <= held {
		return false
	}
	return !l.Delta || l.Base == held
}
