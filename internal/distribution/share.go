package distribution

import "math/rand/v2"

// ShareTable identifies a table of leased shares.
type ShareTable uint8

const (
	// RateShares are the shares of the services' rates, leased by object caches.
	RateShares ShareTable = iota
	// QuotaShares are the shares of the tenants' quotas, leased by control nodes.
	QuotaShares
)

// ShareLease is the stored lease of one node on a share of all rates or quotas of a ShareTable.
type ShareLease struct {
	Permille int `cbor:"1,keyasint"` // thousandths of the rates or quotas
	// Renewals is incremented by each renewal. If it is not incremented in time, the lease expires.
	Renewals uint64 `cbor:"2,keyasint"`
	// Request is the number of the last request that was granted.
	Request RequestNumber `cbor:"3,keyasint,omitzero"`
}

// ShareRequest requests the renewal of a node's share. The node limits itself to Permille
// before it sends the request, so that a part that it gives up can be granted to others at once.
type ShareRequest struct {
	Node     string `cbor:"1,keyasint"`
	Permille int    `cbor:"2,keyasint"`
	// HoldsNone is set if the node holds no share and requests a fair one. Permille is then
	// ignored.
	HoldsNone bool          `cbor:"3,keyasint,omitempty"`
	Table     ShareTable    `cbor:"4,keyasint,omitempty"`
	Number    RequestNumber `cbor:"5,keyasint,omitzero"`
}

// ShareGrant is the response to a ShareRequest.
type ShareGrant struct {
	Permille     int  `cbor:"1,keyasint"` // granted now
	FairPermille int  `cbor:"2,keyasint"` // to request at the next renewal
	Granted      bool `cbor:"3,keyasint,omitempty"`
	// Uninterrupted is set if the node's lease was still recorded when the request was
	// processed, so that no other node can have held its share in the meantime.
	Uninterrupted bool `cbor:"4,keyasint,omitempty"`
}

// RequestNumber numbers the share requests of one incarnation of a node, so that a delayed
// request can be recognized as stale.
type RequestNumber struct {
	Incarnation uint64 `cbor:"1,keyasint"`
	Sequence    uint64 `cbor:"2,keyasint"`
}

// NewRequestNumber returns the number before the first request of a new incarnation.
func NewRequestNumber() RequestNumber { return RequestNumber{Incarnation: rand.Uint64()} }

// Next increments the number and returns the result.
func (n *RequestNumber) Next() RequestNumber {
	n.Sequence++
	return *n
}

// IsStale reports whether committed is the number of a newer request of the same incarnation.
func (n RequestNumber) IsStale(committed RequestNumber) bool {
	return n.Incarnation == committed.Incarnation && n.Sequence < committed.Sequence
}
