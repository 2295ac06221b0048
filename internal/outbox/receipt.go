package outbox

import "bytes"

// Receipt records the outcome of a request that was executed, under its idempotency key.
type Receipt struct {
	Fingerprint []byte `cbor:"1,keyasint"` // digest of the request
	Status      int    `cbor:"2,keyasint"` // HTTP status of the response
	// Version is the version that the request created; 0 if it created none.
	Version uint64 `cbor:"3,keyasint,omitempty"`
}

// KeyUse describes how a request relates to the earlier use of its idempotency key.
type KeyUse uint8

const (
	// KeyUnused means that no request with the key was executed before.
	KeyUnused KeyUse = iota
	// KeyRepeated means that the same request was executed before.
	KeyRepeated
	// KeyConflicting means that a different request was executed under the key.
	KeyConflicting
)

// Compare compares a request's fingerprint with the receipt under its idempotency key. The
// receipt is nil if there is none.
func (r *Receipt) Compare(fingerprint []byte) KeyUse {
	switch {
	case r == nil:
		return KeyUnused
	case bytes.Equal(r.Fingerprint, fingerprint):
		return KeyRepeated
	}
	return KeyConflicting
}
