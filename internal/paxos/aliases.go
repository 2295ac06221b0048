package paxos

import (
	"comethold/internal/paxos/entrylog"
	"comethold/internal/paxos/statemachine"
)

// Two packages below this one hold data and know nothing of consensus. entrylog owns the log.
// statemachine owns the key-value state and the memberships; its invariant is that they depend
// on the applied entries alone. The aliases let the owner of a replica import this package only.
type (
	// ProposalNumber orders the proposals of all proposers.
	ProposalNumber = entrylog.ProposalNumber
	// Entry is the content of one log index.
	Entry = entrylog.Entry

	// ReplicaID names one incarnation of one disk.
	ReplicaID = statemachine.ReplicaID
	// Voter is one place in a membership.
	Voter = statemachine.Voter
	// Membership is the set of voters from one log index on.
	Membership = statemachine.Membership
	// Snapshot is the state after an entry.
	Snapshot = statemachine.Snapshot
	// Value is a byte array, an integer or a boolean.
	Value = statemachine.Value
	// Condition must hold when its transaction is applied.
	Condition = statemachine.Condition
	// Op is one change of one key, or of the membership.
	Op = statemachine.Op
	// Txn is a transaction: conditions and operations.
	Txn = statemachine.Txn
	// ChangedKeys names keys that were changed.
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

// Bytes makes a byte array value.
func Bytes(b []byte) Value { return statemachine.Bytes(b) }

// Int makes an integer value.
func Int(i int64) Value { return statemachine.Int(i) }

// AppendedKey is the key that OpAppend makes at a log index for the transaction id.
func AppendedKey(prefix string, index uint64, id string) string {
	return statemachine.AppendedKey(prefix, index, id)
}
