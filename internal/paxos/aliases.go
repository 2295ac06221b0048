package paxos

import (
	"comethold/internal/paxos/entrylog"
	"comethold/internal/paxos/statemachine"
)

// Two packages below this one hold data and contain no consensus logic. entrylog owns the log.
// statemachine owns the key-value state and the memberships; its invariant is that they depend
// only on the applied entries. With these aliases the owner of a replica needs to import only
// this package.
type (
	// ProposalNumber orders the proposals of all proposers.
	ProposalNumber = entrylog.ProposalNumber
	// Entry holds the transactions at one log index and the number under which they were accepted.
	Entry = entrylog.Entry

	// ReplicaID identifies a replica. A replica that loses its disk returns with a new ID.
	ReplicaID = statemachine.ReplicaID
	// Voter is one voting replica in a membership.
	Voter = statemachine.Voter
	// Membership is the set of voters that takes effect at a log index.
	Membership = statemachine.Membership
	// Snapshot is the state after the entry at its AppliedIndex.
	Snapshot = statemachine.Snapshot
	// Value is a byte array, an integer or a boolean.
	Value = statemachine.Value
	// Condition is a precondition on one key, checked when its transaction is applied.
	Condition = statemachine.Condition
	// Op changes one key or the membership.
	Op = statemachine.Op
	// Txn is a transaction: if all its conditions hold, all its operations are applied.
	Txn = statemachine.Txn
	// ChangedKeys is a set of changed keys. If All is set, any key may have been changed.
	ChangedKeys = statemachine.ChangedKeys
)

// The operations of a transaction, and the key that counts membership changes.
const (
	OpPut                = statemachine.OpPut
	OpDelete             = statemachine.OpDelete
	OpAdd                = statemachine.OpAdd
	OpPatch              = statemachine.OpPatch
	OpSetVoters          = statemachine.OpSetVoters
	OpAppend             = statemachine.OpAppend
	MembershipVersionKey = statemachine.MembershipVersionKey
)

// Bytes returns a byte array value.
func Bytes(b []byte) Value { return statemachine.Bytes(b) }

// Int returns an integer value.
func Int(i int64) Value { return statemachine.Int(i) }

// AppendedKey returns the key that OpAppend creates at a log index for the transaction with an ID.
func AppendedKey(prefix string, index uint64, id string) string {
	return statemachine.AppendedKey(prefix, index, id)
}
