// Package cell is a Paxos replicated state machine without input or output.
//
// A Member is one voter or learner of one cell. Its owner hands it messages,
// proposals and the passing of time; the member answers with an Output: what
// must be on disk, and the messages that may leave once it is. Nothing in
// this package reads a clock, a socket or a file.
package cell

import (
	"errors"
	"math/big"
	"strings"
	"time"
)

// MemberID names one life of one disk. A machine whose disk was lost comes
// back under another MemberID and never votes under the old one.
type MemberID string

// Ballot orders proposers.
type Ballot struct {
	Round uint64   `cbor:"1,keyasint,omitempty"`
	By    MemberID `cbor:"2,keyasint,omitempty"`
}

// Less reports whether b is older than o.
func (b Ballot) Less(o Ballot) bool {
	if b.Round != o.Round {
		return b.Round < o.Round
	}
	return b.By < o.By
}

// Seat is one place in a cell's membership.
type Seat struct {
	ID   MemberID `cbor:"1,keyasint"`
	Addr string   `cbor:"2,keyasint"`
	Zone string   `cbor:"3,keyasint"`
}

// Membership is the set of voters from one log position on.
type Membership struct {
	From  uint64 `cbor:"1,keyasint"`
	Seats []Seat `cbor:"2,keyasint"`
}

// Has reports whether id votes in this membership.
func (m Membership) Has(id MemberID) bool {
	for _, s := range m.Seats {
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
	OpSeats
	OpAppend
)

// Op is one change of one key. OpSeats replaces the membership instead.
// OpAppend puts its value under Key followed by the log position: entries then
// stand in the order in which they were chosen.
type Op struct {
	Kind  OpKind `cbor:"1,keyasint"`
	Key   string `cbor:"2,keyasint,omitempty"`
	Value Value  `cbor:"3,keyasint,omitempty"`
	Seats []Seat `cbor:"4,keyasint,omitempty"`
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
	Slot   uint64 `cbor:"1,keyasint"`
	Ballot Ballot `cbor:"2,keyasint"`
	Txns   []Txn  `cbor:"3,keyasint,omitempty"`
}

// Snapshot is the state after the log position Applied.
type Snapshot struct {
	Applied     uint64           `cbor:"1,keyasint"`
	State       map[string]Value `cbor:"2,keyasint"`
	Memberships []Membership     `cbor:"3,keyasint"`
}

// Kind says what a Message is.
type Kind uint8

// The messages of a cell.
const (
	Prepare Kind = iota + 1
	Promise
	Reject
	Accept
	Accepted
	Beat
	BeatAck
	Ask
	Teach
	Reserved
	Held
	HandOver // a proposer that loses its seat: bid, nobody leads under this ballot any more
)

// Message goes from one member to another; any may be lost, doubled or late.
type Message struct {
	Cell    string    `cbor:"1,keyasint"`
	Kind    Kind      `cbor:"2,keyasint"`
	From    MemberID  `cbor:"3,keyasint"`
	To      MemberID  `cbor:"4,keyasint"`
	Ballot  Ballot    `cbor:"5,keyasint,omitempty"`
	Slot    uint64    `cbor:"6,keyasint,omitempty"`
	Chosen  uint64    `cbor:"7,keyasint,omitempty"`
	Seq     uint64    `cbor:"8,keyasint,omitempty"`
	Slots   []uint64  `cbor:"9,keyasint,omitempty"`
	Entries []Entry   `cbor:"10,keyasint,omitempty"`
	Snap    *Snapshot `cbor:"11,keyasint,omitempty"`
	// Fresh: the asker knows no membership yet and needs a snapshot.
	Fresh bool `cbor:"12,keyasint,omitempty"`
	// Echo is a stamp of a member's own clock, in what it answers a proposer; a beat
	// brings back the newest that the proposer has had from it.
	Echo uint64 `cbor:"13,keyasint,omitempty"`
	// Age of a beat: how long ago, in milliseconds, a majority surely followed the proposer.
	Age uint64 `cbor:"14,keyasint,omitempty"`
	// Settled is where the newest membership begins whose change the proposer knows is done.
	Settled uint64 `cbor:"15,keyasint,omitempty"`
	// Over, of a bid: the newest ballot that the bidder knows nobody leads under any more.
	Over Ballot `cbor:"16,keyasint,omitempty"`
}

// Writes must be synced before what the same Output has in SendSynced may leave.
type Writes struct {
	Promised *Ballot
	// Round is one that this member is about to bid under; no later life may use it.
	Round   uint64
	Chosen  uint64
	Entries []Entry
	Snap    *Snapshot
	DropTo  uint64
	// Note: Chosen is worth a write of its own.
	Note bool
}

// Empty reports whether there is nothing to sync.
func (w *Writes) Empty() bool {
	return w.Promised == nil && w.Round == 0 && len(w.Entries) == 0 && w.Snap == nil && !w.Note
}

// Saved is what a member finds on its disk when it starts.
type Saved struct {
	Promised Ballot
	Round    uint64
	Chosen   uint64
	Entries  []Entry
	Snap     *Snapshot
}

// Outcome tells a proposer what became of its transaction. Lost means that
// this member cannot tell: it may or may not be applied.
type Outcome struct {
	ID        string
	Committed bool
	Lost      bool
}

// Touched names the keys that were changed, or says that all may have been.
type Touched struct {
	All  bool
	Keys []string
}

// Any reports whether a key that begins with the prefix was changed.
func (t Touched) Any(prefix string) bool {
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

// Output is what a member wants done. SendSynced waits for the sync of Writes and
// of all Writes before them; Send may leave at once.
type Output struct {
	Writes     Writes
	Send       []Message
	SendSynced []Message
	Done       []Outcome
	Reads      []uint64
	Changed    bool
	Touched    Touched
}

// Params are fixed for the life of a member.
type Params struct {
	Cell     string
	Self     MemberID
	Alpha    uint64
	MaxQueue int
	MaxBatch int
	// KeepLog is how many applied entries stay for teaching by segment.
	KeepLog  uint64
	Beat     time.Duration
	Patience time.Duration
	// Jitter gives a number in [0,1).
	Jitter func() float64
}

// Errors of this layer.
var (
	ErrNotProposer = errors.New("cell: this member is not the proposer")
	ErrBusy        = errors.New("cell: the pipeline is full")
)
