package usage

// CountReport is a datagram from a data plane node to a control node with the counts that are
// not acknowledged. Each count is the total so far. A report without counts only requests the
// agreed time.
type CountReport struct {
	Incarnation uint64  `cbor:"1,keyasint"` // of the sender
	Sequence    uint64  `cbor:"2,keyasint"`
	Windows     Windows `cbor:"3,keyasint,omitempty"`
}

// CountAck answers a CountReport. It confirms that an incarnation of a control node has stored
// the counts.
type CountAck struct {
	Sequence    uint64 `cbor:"1,keyasint"` // of the report
	Incarnation uint64 `cbor:"2,keyasint"` // of the control node
	// UnixNanos is the agreed time in Unix nanoseconds; 0 if there is none yet.
	UnixNanos int64 `cbor:"3,keyasint,omitempty"`
}
