package distribution

import "math/rand/v2"

// ShareTable names a table of leased shares.
type ShareTable uint8

const (
	// RateShares are the shares of the services' rates, leased by object caches.
	RateShares ShareTable = iota
	// QuotaShares are the shares of the tenants' quotas, leased by control nodes.
	QuotaShares
)

// ShareLease is the stored lease of one node on a part of every rate that the nodes share.
type ShareLease struct {
	Permille int `cbor:"1,keyasint"` // thousandths of the rates
	// Renewals rises with each renewal. A lease expires if it doesn't rise.
	Renewals uint64 `cbor:"2,keyasint"`
	// Request is the number of the request that was granted last.
	Request RequestNumber `cbor:"3,keyasint,omitzero"`
}

// ShareRequest asks for the renewal of a node's share. The node uses no more than Permille
// from before it sends the request on, so that a share that it gives up is free at once.
type ShareRequest struct {
	Node     string `cbor:"1,keyasint"`
	Permille int    `cbor:"2,keyasint"`
	// HoldsNone says that the node uses no share now and requests a fair one; Permille is
	// ignored.
	HoldsNone bool          `cbor:"3,keyasint,omitempty"`
	Table     ShareTable    `cbor:"4,keyasint,omitempty"`
	Number    RequestNumber `cbor:"5,keyasint,omitzero"`
}

// ShareGrant answers a ShareRequest.
type ShareGrant struct {
	Permille     int  `cbor:"1,keyasint"` // granted now
	FairPermille int  `cbor:"2,keyasint"` // to ask for at the next renewal
	Granted      bool `cbor:"3,keyasint,omitempty"`
	// Uninterrupted says that the node's lease was recorded until now, so that no other node
	// has had its share meanwhile.
	Uninterrupted bool `cbor:"4,keyasint,omitempty"`
}

// RequestNumber numbers the share requests of one incarnation of a node, so that one that
// arrives late is known by it.
type RequestNumber struct {
	Incarnation uint64 `cbor:"1,keyasint"`
	Sequence    uint64 `cbor:"2,keyasint"`
}

// NewRequestNumber returns the number before the first request of a new incarnation.
func NewRequestNumber() RequestNumber { return RequestNumber{Incarnation: rand.Uint64()} }

// Next moves on to the next request's number and returns it.
func (n *RequestNumber) Next() RequestNumber {
	n.Sequence++
	return *n
}

// IsStale reports whether a newer request of the same incarnation was committed already.
func (n RequestNumber) IsStale(committed RequestNumber) bool {
	return n.Incarnation == committed.Incarnation && n.Sequence < committed.Sequence
}
