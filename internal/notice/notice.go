// Package notice holds what the outbox, the inbox and the receipts of orders decide,
// after "Usage Billing Part 3: Microservices, Outbox, and Inbox". A change, its receipt
// and its notice become durable in one transaction of a cell; the notice is sent again
// and again until it is published; who receives it decides it against an inbox before
// anything is changed. The package does no input or output.
package notice

import (
	"bytes"
	"crypto/sha256"
	"errors"
	"fmt"

	"comethold/internal/wire"
)

// Errors of this layer.
var (
	ErrContract = errors.New("notice: the notice breaks its contract")
	ErrState    = errors.New("notice: the row is not in a state that allows this")
	ErrOwner    = errors.New("notice: the row is claimed by another")
	ErrConflict = errors.New("notice: the event id is known with other content")
)

// The aggregates whose versions notices carry. None begins anew when an index is cut
// into other shards: they go by the operator's versions, by positions of the exchange
// cell's log, and by time.
const (
	Configuration = "configuration"
	Purges        = "purges"
	Usage         = "usage" // by windows of true time; sent to the platform alone
)

// Notice tells that a change was committed. It never changes.
type Notice struct {
	EventID   string `cbor:"1,keyasint"`
	TenantID  string `cbor:"2,keyasint,omitempty"` // "" concerns all of them
	Aggregate string `cbor:"3,keyasint"`
	Version   uint64 `cbor:"4,keyasint"` // of the aggregate, after the change
	After     uint64 `cbor:"5,keyasint"` // of the aggregate, before it
	Payload   []byte `cbor:"6,keyasint,omitempty"`
	Digest    []byte `cbor:"7,keyasint"` // of the payload
}

// Changed is the payload of a notice of a configuration: the tenants whose keys or
// limits it changes.
type Changed struct {
	Tenants []string `cbor:"1,keyasint,omitempty"`
}

// New makes a notice.
func New(id, aggregate string, version, after uint64, payload any) (Notice, error) {
	raw, err := wire.Marshal(payload)
	if err != nil {
		return Notice{}, fmt.Errorf("%w: %v", ErrContract, err)
	}
	return Notice{EventID: id, Aggregate: aggregate, Version: version, After: after, Payload: raw, Digest: Digest(raw)}, nil
}

// Digest is what payloads and orders are compared by.
func Digest(raw []byte) []byte { s := sha256.Sum256(raw); return s[:16] }

// Check says what is wrong with a notice that came in.
func (n *Notice) Check() error {
	switch {
	case n.EventID == "":
		return fmt.Errorf("%w: no event id", ErrContract)
	case n.Aggregate != Configuration && n.Aggregate != Purges:
		return fmt.Errorf("%w: unknown aggregate %q", ErrContract, n.Aggregate)
	case n.Version <= n.After:
		return fmt.Errorf("%w: version %d after %d", ErrContract, n.Version, n.After)
	case !bytes.Equal(n.Digest, Digest(n.Payload)):
		return fmt.Errorf("%w: the payload has another digest", ErrContract)
	}
	return nil
}

// Receipt is the memory of an order that was taken, under its idempotency key.
type Receipt struct {
	Fingerprint []byte `cbor:"1,keyasint"`
	Status      int    `cbor:"2,keyasint"` // of the answer
	Version     uint64 `cbor:"3,keyasint,omitempty"`
}

// Replay is what a receipt says of an order with its key.
type Replay uint8

// The order is new, was taken before, or contradicts the one that was.
const (
	Fresh Replay = iota
	Repeated
	Conflicting
)

// Look compares an order with the receipt under its key, which may be nil.
func (r *Receipt) Look(fingerprint []byte) Replay {
	switch {
	case r == nil:
		return Fresh
	case bytes.Equal(r.Fingerprint, fingerprint):
		return Repeated
	}
	return Conflicting
}
