// Package cell is a Paxos replicated state machine without input or output.
//
// A Member is one voter or learner of one cell. Its owner hands it messages,
// proposals and the passing of time; the member answers with an Output: what
// must be on disk, and the messages that may leave once it is. Nothing in
// this package reads a clock, a socket or a file.
package paxos

import (
	"errors"
	"math/big"
	"strings"
	"time"
)

// ReplicaID names one life of one disk. A machine whose disk was lost comes
// back under another MemberID and never votes under the old one.
type ReplicaID string

// ProposalNumber orders proposers.
type ProposalNumber struct {
	Term     uint64    `cbor:"1,keyasint,omitempty"`
	Proposer ReplicaID `cbor:"2,keyasint,omitempty"`
}

// Less reports whether b is older than o.
func (b ProposalNumber) Less(o ProposalNumber) bool {
	if b.Term != o.Term {
		return b.Term < o.Term
	}
	return b.Proposer < o.Proposer
}

// Voter is one place in a cell's membership.
type Voter struct {
	ID   ReplicaID `cbor:"1,keyasint"`
	Addr string    `cbor:"2,keyasint"`
	Zone string    `cbor:"3,keyasint"`
}

// Membership is the set of voters from one log position on.
type Membership struct {
	EffectiveFrom uint64  `cbor:"1,keyasint"`
	Voters        []Voter `cbor:"2,keyasint"`
}

// Contains reports whether id votes in this membership.
func (m Membership) Contains(id ReplicaID) bool {
	for _, s := range m.Voters {
		if s.ID == id {
			return true
		}
	}
	return false
}

// Value is a byte array, an integer of any size or a boolean; never a float.
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
func (v Value) Equal(o Value) bool {
	switch {
	case v.Int != nil:
		return o.Int != nil && v.Int.Cmp(o.Int) == 0
	case v.Bool != nil:
		return o.Bool != nil && *v.Bool == *o.Bool
	}
	return o.Int == nil && o.Bool == nil && string(v.Bytes) == string(o.Bytes)
}

// Condition must hold when its transaction comes to be applied.
type Condition struct {
	Key    string `cbor:"1,keyasint"`
	Absent bool   `cbor:"2,keyasint,omitempty"`
	Equals Value  `cbor:"3,keyasint,omitempty"`
}

// OpKind says what an Op does.
type OpKind uint8

// The operations of a transaction.
const (
	OpPut OpKind = iota + 1
	OpDelete
	OpAdd
	OpPatch
	OpSetVoters
	OpAppend
)

// Op is one change of one key. OpSeats replaces the membership instead.
// OpAppend puts its value under Key followed by the log position: entries then
// stand in the order in which they were chosen.
type Op struct {
	Kind   OpKind  `cbor:"1,keyasint"`
	Key    string  `cbor:"2,keyasint,omitempty"`
	Value  Value   `cbor:"3,keyasint,omitempty"`
	Voters []Voter `cbor:"4,keyasint,omitempty"`
}

// Txn lists every key it touches and every condition it needs, so that it can
// be proposed before the state it meets is known.
type Txn struct {
	ID         string      `cbor:"1,keyasint,omitempty"`
	Conditions []Condition `cbor:"2,keyasint,omitempty"`
	Ops        []Op        `cbor:"3,keyasint,omitempty"`
}

// Entry is the content of one log position. No transactions make a no-op.
type Entry struct {
	Index          uint64         `cbor:"1,keyasint"`
	ProposalNumber ProposalNumber `cbor:"2,keyasint"`
	Txns           []Txn          `cbor:"3,keyasint,omitempty"`
}

// Snapshot is the state after the log position Applied.
type Snapshot struct {
	AppliedIndex uint64           `cbor:"1,keyasint"`
	State        map[string]Value `cbor:"2,keyasint"`
	Memberships  []Membership     `cbor:"3,keyasint"`
}

// MessageKind says what a Message is.
type MessageKind uint8

// The messages of a cell.
const (
	Prepare MessageKind = iota + 1
	Promise
	Reject
	Accept
	Accepted
	Heartbeat
	HeartbeatAck
	CatchUpRequest
	CatchUpResponse
	TermPersisted
	CommitPersisted
	LeadershipTransfer // a proposer that loses its seat: bid, nobody leads under this ballot any more
)

// Message goes from one member to another; any may be lost, doubled or late.
type Message struct {
	Cell              string         `cbor:"1,keyasint"`
	Kind              MessageKind    `cbor:"2,keyasint"`
	From              ReplicaID      `cbor:"3,keyasint"`
	To                ReplicaID      `cbor:"4,keyasint"`
	ProposalNumber    ProposalNumber `cbor:"5,keyasint,omitempty"`
	Index             uint64         `cbor:"6,keyasint,omitempty"`
	CommitIndex       uint64         `cbor:"7,keyasint,omitempty"`
	HeartbeatSequence uint64         `cbor:"8,keyasint,omitempty"`
	AcceptedIndexes   []uint64       `cbor:"9,keyasint,omitempty"`
	Entries           []Entry        `cbor:"10,keyasint,omitempty"`
	Snapshot          *Snapshot      `cbor:"11,keyasint,omitempty"`
	// NeedsSnapshot: the asker knows no membership yet and needs a snapshot.
	NeedsSnapshot bool `cbor:"12,keyasint,omitempty"`
	// EchoTimestamp is a stamp of a member's own clock, in what it answers a proposer; a beat
	// brings back the newest that the proposer has had from it.
	EchoTimestamp uint64 `cbor:"13,keyasint,omitempty"`
	// QuorumContactAgeMillis of a beat: how long ago, in milliseconds, a majority surely followed the proposer.
	QuorumContactAgeMillis uint64 `cbor:"14,keyasint,omitempty"`
	// CompletedMembershipIndex is where the newest membership begins whose change the proposer knows is done.
	CompletedMembershipIndex uint64 `cbor:"15,keyasint,omitempty"`
	// EndedLeadership, of a bid: the newest ballot that the bidder knows nobody leads under any more.
	EndedLeadership ProposalNumber `cbor:"16,keyasint,omitempty"`
}

// Writes must be synced before what the same Output has in SendSynced may leave.
type Writes struct {
	Promised *ProposalNumber
	// Term is one that this member is about to bid under; no later life may use it.
	Term        uint64
	CommitIndex uint64
	Entries     []Entry
	Snapshot    *Snapshot
	TruncateTo  uint64
	// PersistCommitIndex: Chosen is worth a write of its own.
	PersistCommitIndex bool
}

// Empty reports whether there is nothing to sync.
func (w *Writes) Empty() bool {
	return w.Promised == nil && w.Term == 0 && len(w.Entries) == 0 && w.Snapshot == nil && !w.PersistCommitIndex
}

// PersistedState is what a member finds on its disk when it starts.
type PersistedState struct {
	Promised    ProposalNumber
	Term        uint64
	CommitIndex uint64
	Entries     []Entry
	Snapshot    *Snapshot
}

// Outcome tells a proposer what became of its transaction. Lost means that
// this member cannot tell: it may or may not be applied.
type Outcome struct {
	TxnID     string
	Committed bool
	Unknown   bool
}

// ChangedKeys names the keys that were changed, or says that all may have been.
type ChangedKeys struct {
	All  bool
	Keys []string
}

// AnyWithPrefix reports whether a key that begins with the prefix was changed.
func (t ChangedKeys) AnyWithPrefix(prefix string) bool {
	if t.All {
		return true
	}
	for _, k := range t.Keys {
		if strings.HasPrefix(k, prefix) {
			return true
		}
	}
	return false
}

// Ready is what a member wants done. SendSynced waits for the sync of Writes and
// of all Writes before them; Send may leave at once.
type Ready struct {
	Writes            Writes
	Messages          []Message
	MessagesAfterSync []Message
	Outcomes          []Outcome
	ConfirmedReads    []uint64
	StateChanged      bool
	ChangedKeys       ChangedKeys
}

// Config are fixed for the life of a member.
type Config struct {
	Cell     string
	Self     ReplicaID
	Alpha    uint64
	MaxQueue int
	MaxBatch int
	// RetainedEntries is how many applied entries stay for teaching by segment.
	RetainedEntries   uint64
	HeartbeatInterval time.Duration
	ElectionTimeout   time.Duration
	// Jitter gives a number in [0,1).
	Jitter func() float64
}

// Errors of this layer.
var (
	ErrNotLeader    = errors.New("cell: this member is not the proposer")
	ErrPipelineFull = errors.New("cell: the pipeline is full")
)
