package paxos

import "comethold/internal/paxos/statemachine"

// The state machine that a cell replicates stands in package statemachine, which owns the
// key-value state and keeps the invariant that it is a function of the applied entries alone.
// The types that log entries and snapshots are made of go by these names as well, so that the
// owner of a replica needs one import.
type (
	ReplicaID   = statemachine.ReplicaID
	Voter       = statemachine.Voter
	Membership  = statemachine.Membership
	Snapshot    = statemachine.Snapshot
	Value       = statemachine.Value
	Condition   = statemachine.Condition
	OpKind      = statemachine.OpKind
	Op          = statemachine.Op
	Txn         = statemachine.Txn
	ChangedKeys = statemachine.ChangedKeys
)

// The operations of a transaction, and the key that counts membership changes; see package
// statemachine.
const (
	OpPut       = statemachine.OpPut
	OpDelete    = statemachine.OpDelete
	OpAdd       = statemachine.OpAdd
	OpPatch     = statemachine.OpPatch
	OpSetVoters = statemachine.OpSetVoters
	OpAppend    = statemachine.OpAppend

	MembershipVersionKey = statemachine.MembershipVersionKey
)

// Bytes makes a byte array value.
func Bytes(b []byte) Value { return statemachine.Bytes(b) }

// Int makes an integer value.
func Int(i int64) Value { return statemachine.Int(i) }

// AppendedKey is the key that OpAppend makes at a log index for the transaction id.
func AppendedKey(prefix string, index uint64, id string) string {
	return statemachine.AppendedKey(prefix, index, id)
}

// MakePatch returns a patch that turns old into new, for OpPatch.
func MakePatch(old, new []byte) []byte { return statemachine.MakePatch(old, new) }

// Get returns a value of the applied state: of a consistent prefix of the log, maybe an old
// one. After a confirmed Read it is linearizable.
func (r *Replica) Get(key string) (Value, bool) { return r.state.Get(key) }

// Keys returns the keys of the applied state in order.
func (r *Replica) Keys() []string { return r.state.Keys() }

// KeysWithPrefix returns, in order, the keys with a prefix that are not before from.
func (r *Replica) KeysWithPrefix(prefix, from string) []string {
	return r.state.KeysWithPrefix(prefix, from)
}
