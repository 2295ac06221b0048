package distribution

// Node is an entry of the directory of nodes. One that is neither of the control plane nor
// an object cache is a data plane node.
type Node struct {
	Name         string `cbor:"1,keyasint"`
	Addr         string `cbor:"2,keyasint"` // IP address
	Zone         string `cbor:"3,keyasint"`
	ControlPlane bool   `cbor:"4,keyasint,omitempty"`
	Down         bool   `cbor:"5,keyasint,omitempty"`
	ObjectCache  bool   `cbor:"6,keyasint,omitempty"`
}

// ServesClients reports whether the node is one of the data plane, which takes the
// requests of clients.
func (n Node) ServesClients() bool { return !n.ControlPlane && !n.ObjectCache }

// NodeList is the part of the directory that concerns one node: the control plane, the
// object caches and the nodes of its own zone. Of the other nodes it holds the number
// alone. It comes in full or as the changes since Base.
type NodeList struct {
	// LogIndex is the position in the meta cell's log at which the list stands.
	LogIndex uint64 `cbor:"1,keyasint"`
	// Nodes holds all nodes, or those that were added or changed since Base.
	Nodes []Node `cbor:"2,keyasint,omitempty"`
	// Delta says that the list holds changes, which apply to the list at Base alone.
	Delta   bool     `cbor:"3,keyasint,omitempty"`
	Removed []string `cbor:"4,keyasint,omitempty"` // node names
	// DataPlaneCount is how many data plane nodes of all zones are not down.
	DataPlaneCount int    `cbor:"5,keyasint,omitempty"`
	Base           uint64 `cbor:"6,keyasint,omitempty"`
}

// AppliesTo reports whether a receiver that holds the directory at the log index held may
// take l.
func (l *NodeList) AppliesTo(held uint64) bool {
	if l.LogIndex <= held {
		return false
	}
	return !l.Delta || l.Base == held
}
