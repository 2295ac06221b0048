package outbox

import "bytes"

// Receipt remembers a request that was carried out, under its idempotency key.
type Receipt struct {
	Fingerprint []byte `cbor:"1,keyasint"` // digest of the request
	Status      int    `cbor:"2,keyasint"` // HTTP status of the answer
	// Version is the version that the request led to, if it led to one.
	Version uint64 `cbor:"3,keyasint,omitempty"`
}

// KeyUse says how a request relates to the earlier use of its idempotency key.
type KeyUse uint8

const (
	// KeyUnused says that no request with the key was carried out.
	KeyUnused KeyUse = iota
	// KeyRepeated says that the same request was carried out before.
	KeyRepeated
	// KeyConflicting says that another request was carried out under the key.
	KeyConflicting
)

// Compare compares a request's fingerprint with the receipt under its key, which is nil if
// there is none.
func (r *Receipt) Compare(fingerprint []byte) KeyUse {
	switch {
	case r == nil:
		return KeyUnused
	case bytes.Equal(r.Fingerprint, fingerprint):
		return KeyRepeated
	}
	return KeyConflicting
}
