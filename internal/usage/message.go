package usage

// CountReport is a datagram of a data plane node to a control node: the counts that
// the latter may not know. Each count is the total so far, not what was added. A report
// without counts asks for the time alone.
type CountReport struct {
	Incarnation uint64  `cbor:"1,keyasint"` // of the sender
	Sequence    uint64  `cbor:"2,keyasint"`
	Windows     Windows `cbor:"3,keyasint,omitempty"`
}

// CountAck answers a CountReport: its counts are held by one incarnation of a control plane
// node.
type CountAck struct {
	Sequence    uint64 `cbor:"1,keyasint"` // of the report
	Incarnation uint64 `cbor:"2,keyasint"` // of the control node
	// UnixNanos is the agreed true time in nanoseconds since 1970; 0 if there is none yet.
	UnixNanos int64 `cbor:"3,keyasint,omitempty"`
}
