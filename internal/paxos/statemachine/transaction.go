package statemachine

import (
	"fmt"
	"math/big"
)

// Value is a byte array, an integer of any size or a boolean; never a float, since every
// replica must compute the same result (the paper's section 2.3).
type Value struct {
	Bytes []byte   `cbor:"1,keyasint,omitempty"`
	Int   *big.Int `cbor:"2,keyasint,omitempty"`
	Bool  *bool    `cbor:"3,keyasint,omitempty"`
}

// Bytes makes a byte array value.
func Bytes(b []byte) Value { return Value{Bytes: b} }

// Int makes an integer value.
func Int(i int64) Value { return Value{Int: big.NewInt(i)} }

// Equal compares type and content.
func (v Value) Equal(other Value) bool {
	switch {
	case v.Int != nil:
		return other.Int != nil && v.Int.Cmp(other.Int) == 0
	case v.Bool != nil:
		return other.Bool != nil && *v.Bool == *other.Bool
	}
	return other.Int == nil && other.Bool == nil && string(v.Bytes) == string(other.Bytes)
}

// Condition must hold when its transaction is applied.
type Condition struct {
	Key    string `cbor:"1,keyasint"`
	Absent bool   `cbor:"2,keyasint,omitempty"`
	Equals Value  `cbor:"3,keyasint,omitempty"`
}

// OpKind says what an Op does. Its values are part of the wire format and of stored data.
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
	// OpAppend puts a value under AppendedKey: such entries sort in the order of the log.
	OpAppend
)

// Op is one change of one key, or of the membership.
type Op struct {
	Kind   OpKind  `cbor:"1,keyasint"`
	Key    string  `cbor:"2,keyasint,omitempty"`
	Value  Value   `cbor:"3,keyasint,omitempty"`
	Voters []Voter `cbor:"4,keyasint,omitempty"`
}

// Txn lists every key that it changes and every condition that must hold, so that it can be
// proposed optimistically, before the state that it will be applied to is known. When it is
// applied, all or none of its operations take effect.
type Txn struct {
	ID         string      `cbor:"1,keyasint,omitempty"`
	Conditions []Condition `cbor:"2,keyasint,omitempty"`
	Ops        []Op        `cbor:"3,keyasint,omitempty"`
}

// AppendedKey is the key that OpAppend makes at a log index for the transaction id.
func AppendedKey(prefix string, index uint64, id string) string {
	return fmt.Sprintf("%s%020d/%s", prefix, index, id)
}

// Estimated bytes of the parts of a transaction, besides keys and contents.
const (
	itemOverheadBytes = 16 // a condition, an operation, a key and its value
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
