// Package notice holds what the outbox, the inbox and the receipts of orders decide,
// after "Usage Billing Part 3: Microservices, Outbox, and Inbox". A change, its receipt
// and its notice become durable in one transaction of a cell; the notice is sent again
// and again until it is published; who receives it decides it against an inbox before
// anything is changed. The package does no input or output.
package outbox

import (
	"bytes"
	"crypto/sha256"
	"errors"
	"fmt"

	"comethold/internal/rpc"
)

// Errors of this layer.
var (
	ErrInvalidNotification = errors.New("notice: the notice breaks its contract")
	ErrInvalidState        = errors.New("notice: the row is not in a state that allows this")
	ErrNotOwner            = errors.New("notice: the row is claimed by another")
	ErrContentMismatch     = errors.New("notice: the event id is known with other content")
)

// The aggregates whose versions notices carry. None begins anew when an index is cut
// into other shards: they go by the operator's versions, by positions of the exchange
// cell's log, and by time.
const (
	AggregateConfiguration = "configuration"
	AggregatePurges        = "purges"
	AggregateUsage         = "usage" // by windows of true time; sent to the platform alone
)

// Notification tells that a change was committed. It never changes.
type Notification struct {
	EventID         string `cbor:"1,keyasint"`
	TenantID        string `cbor:"2,keyasint,omitempty"` // "" concerns all of them
	Aggregate       string `cbor:"3,keyasint"`
	Version         uint64 `cbor:"4,keyasint"` // of the aggregate, after the change
	PreviousVersion uint64 `cbor:"5,keyasint"` // of the aggregate, before it
	Payload         []byte `cbor:"6,keyasint,omitempty"`
	Digest          []byte `cbor:"7,keyasint"` // of the payload
}

// ConfigurationChange is the payload of a notice of a configuration: the tenants whose keys or
// limits it changes.
type ConfigurationChange struct {
	Tenants []string `cbor:"1,keyasint,omitempty"`
}

// NewNotification makes a notice.
func NewNotification(id, aggregate string, version, after uint64, payload any) (Notification, error) {
	raw, err := rpc.Marshal(payload)
	if err != nil {
		return Notification{}, fmt.Errorf("%w: %v", ErrInvalidNotification, err)
	}
	return Notification{EventID: id, Aggregate: aggregate, Version: version, PreviousVersion: after, Payload: raw, Digest: Digest(raw)}, nil
}

// Digest is what payloads and orders are compared by.
func Digest(raw []byte) []byte { s := sha256.Sum256(raw); return s[:16] }

// Validate says what is wrong with a notice that came in.
func (n *Notification) Validate() error {
	switch {
	case n.EventID == "":
		return fmt.Errorf("%w: no event id", ErrInvalidNotification)
	case n.Aggregate != AggregateConfiguration && n.Aggregate != AggregatePurges:
		return fmt.Errorf("%w: unknown aggregate %q", ErrInvalidNotification, n.Aggregate)
	case n.Version <= n.PreviousVersion:
		return fmt.Errorf("%w: version %d after %d", ErrInvalidNotification, n.Version, n.PreviousVersion)
	case !bytes.Equal(n.Digest, Digest(n.Payload)):
		return fmt.Errorf("%w: the payload has another digest", ErrInvalidNotification)
	}
	return nil
}

// Receipt is the memory of an order that was taken, under its idempotency key.
type Receipt struct {
	Fingerprint []byte `cbor:"1,keyasint"`
	Status      int    `cbor:"2,keyasint"` // of the answer
	Version     uint64 `cbor:"3,keyasint,omitempty"`
}

// KeyUse is what a receipt says of an order with its key.
type KeyUse uint8

// The order is new, was taken before, or contradicts the one that was.
const (
	KeyUnused KeyUse = iota
	KeyRepeated
	KeyConflicting
)

// Compare compares an order with the receipt under its key, which may be nil.
func (r *Receipt) Compare(fingerprint []byte) KeyUse {
	switch {
	case r == nil:
		return KeyUnused
	case bytes.Equal(r.Fingerprint, fingerprint):
		return KeyRepeated
	}
	return KeyConflicting
}
