package statemachine

import (
	"fmt"
	"math/big"
)

// Value is a byte array, an integer of any size or a boolean. Floats are excluded because every
// replica must compute the same result (section 2.3 of the paper).
type Value struct {
	Bytes []byte   `cbor:"1,keyasint,omitempty"`
	Int   *big.Int `cbor:"2,keyasint,omitempty"`
	Bool  *bool    `cbor:"3,keyasint,omitempty"`
}

// Bytes returns a byte array value.
func Bytes(b []byte) Value { return Value{Bytes: b} }

// Int returns an integer value.
func Int(i int64) Value { return Value{Int: big.NewInt(i)} }

// Equal reports whether both values have the same type and content.
func (v Value) Equal(other Value) bool {
	switch {
	case v.Int != nil:
		return other.Int != nil && v.Int.Cmp(other.Int) == 0
	case v.Bool != nil:
		return other.Bool != nil && *v.Bool == *other.Bool
	}
	return other.Int == nil && other.Bool == nil && string(v.Bytes) == string(other.Bytes)
}

// Condition must hold when its transaction is applied: the key does not exist if Absent is set, and
// otherwise has the value Equals.
type Condition struct {
	Key    string `cbor:"1,keyasint"`
	Absent bool   `cbor:"2,keyasint,omitempty"`
	Equals Value  `cbor:"3,keyasint,omitempty"`
}

// OpKind is the type of an operation. Its values are part of the wire format and of stored data.
type OpKind uint8

// The operations of a transaction.
const (
	// OpPut sets a key.
	OpPut OpKind = iota + 1
	// OpDelete removes a key.
	OpDelete
	// OpAdd adds an integer to an integer; a missing key counts as zero.
	OpAdd
	// OpPatch applies a patch made by MakePatch to a byte array.
	OpPatch
	// OpSetVoters replaces the membership instead of a key.
	OpSetVoters
	// OpAppend sets the key that AppendedKey returns. Such keys sort in the order of the log.
	OpAppend
)

// Op changes one key, or the membership.
type Op struct {
	Kind   OpKind  `cbor:"1,keyasint"`
	Key    string  `cbor:"2,keyasint,omitempty"`
	Value  Value   `cbor:"3,keyasint,omitempty"`
	Voters []Voter `cbor:"4,keyasint,omitempty"`
}

// Txn is a transaction. It contains every key that it changes and every condition that must hold,
// so that it can be proposed optimistically, before the state to which it will be applied is
// known. When it is applied, all or none of its operations take effect.
type Txn struct {
	ID         string      `cbor:"1,keyasint,omitempty"`
	Conditions []Condition `cbor:"2,keyasint,omitempty"`
	Ops        []Op        `cbor:"3,keyasint,omitempty"`
}

// AppendedKey returns the key that OpAppend sets for the transaction id at a log index.
func AppendedKey(prefix string, index uint64, id string) string {
	return fmt.Sprintf("%s%020d/%s", prefix, index, id)
}

// Estimated encoded sizes of the parts of a transaction, without keys and byte array values.
const (
	itemOverheadBytes = 16 // of a condition, an operation, or a key with its value
	voterBytes        = 48
)

// Size estimates the size of the transaction in a message, in bytes.
func (t *Txn) Size() int {
	size := len(t.ID)
	for _, condition := range t.Conditions {
		size += len(condition.Key) + len(condition.Equals.Bytes) + itemOverheadBytes
	}
	for _, op := range t.Ops {
		size += len(op.Key) + len(op.Value.Bytes) + voterBytes*len(op.Voters) + itemOverheadBytes
	}
	return size
}
