package outbox

import (
	"bytes"
	"crypto/sha256"
	"fmt"

	"comethold/internal/rpc"
)

// Names of the aggregates whose versions notifications carry. The versions only increase, also
// when an index is divided into other shards: they are the operator's configuration versions,
// indexes of the meta cell's log, and the numbers of time windows. The names are stored.
const (
	AggregateConfiguration = "configuration"
	AggregatePurges        = "purges"
	// AggregateUsage has the number of a time window as its version. Its notifications are sent
	// only to the platform.
	AggregateUsage = "usage"
)

// digestBytes is the length in bytes to which SHA-256 digests are truncated.
const digestBytes = 16

// Notification announces a committed change. It is immutable.
type Notification struct {
	EventID   string `cbor:"1,keyasint"`
	TenantID  string `cbor:"2,keyasint,omitempty"` // empty for a change that concerns all tenants
	Aggregate string `cbor:"3,keyasint"`           // one of the Aggregate constants
	// Version and PreviousVersion are the aggregate's versions after and before the change.
	Version         uint64 `cbor:"4,keyasint"`
	PreviousVersion uint64 `cbor:"5,keyasint"`
	Payload         []byte `cbor:"6,keyasint,omitempty"`
	Digest          []byte `cbor:"7,keyasint"` // of the payload
}

// ConfigurationChange is the payload of a notification of AggregateConfiguration.
type ConfigurationChange struct {
	// Tenants are the names of the tenants whose keys or limits changed.
	Tenants []string `cbor:"1,keyasint,omitempty"`
}

// WithPayload returns the notification with the encoded payload and its digest. It returns
// ErrInvalidNotification if the payload can't be encoded.
func (n Notification) WithPayload(payload any) (Notification, error) {
	encoded, err := rpc.Marshal(payload)
	if err != nil {
		return Notification{}, fmt.Errorf("%w: %w", ErrInvalidNotification, err)
	}
	n.Payload = encoded
	n.Digest = Digest(encoded)
	return n, nil
}

// Digest returns the truncated SHA-256 digest by which payloads and requests are compared.
func Digest(content []byte) []byte {
	sum := sha256.Sum256(content)
	return sum[:digestBytes]
}

// Validate checks a received notification. It returns an error that wraps ErrInvalidNotification
// and states the reason if the notification can't be used.
func (n *Notification) Validate() error {
	switch {
	case n.EventID == "":
		return fmt.Errorf("%w: no event ID", ErrInvalidNotification)
	case n.Aggregate != AggregateConfiguration && n.Aggregate != AggregatePurges:
		return fmt.Errorf("%w: unknown aggregate %q", ErrInvalidNotification, n.Aggregate)
	case n.Version <= n.PreviousVersion:
		return fmt.Errorf("%w: version %d after %d", ErrInvalidNotification, n.Version, n.PreviousVersion)
	case !bytes.Equal(n.Digest, Digest(n.Payload)):
		return fmt.Errorf("%w: the digest doesn't match the payload", ErrInvalidNotification)
	}
	return nil
}
