package paxos

import (
	"comethold/internal/paxos/entrylog"
	"comethold/internal/paxos/statemachine"
)

// MessageKind says what a Message is. Its values are part of the wire format.
type MessageKind uint8

// The messages of a cell.
const (
	// Prepare (phase 1a) asks for a promise; Index is what the candidate has applied.
	Prepare MessageKind = iota + 1
	// Promise (phase 1b) brings the entries that the acceptor holds after that index.
	Promise
	// Reject answers a Prepare, Accept or Heartbeat that is older than a promise.
	Reject
	// Accept (phase 2a) asks an acceptor to accept Entries.
	Accept
	// Accepted (phase 2b) names in AcceptedIndexes what was accepted.
	Accepted
	// Heartbeat keeps followers from campaigning and announces the commit index.
	Heartbeat
	// HeartbeatAck answers a Heartbeat with its sequence number.
	HeartbeatAck
	// CatchUpRequest asks for the committed content after Index.
	CatchUpRequest
	// CatchUpResponse brings a log segment or a snapshot.
	CatchUpResponse
	// TermPersisted goes from a replica to itself once the term of its campaign is on disk.
	TermPersisted
	// CommitPersisted tells the leader up to where a learner's disk holds the log as committed.
	CommitPersisted
	// LeadershipTransfer comes from a leader that lost its vote: nobody leads under its
	// proposal number any more, and the recipient is to campaign.
	LeadershipTransfer
)

// Message goes from one replica to another; any may be lost, duplicated or delayed.
type Message struct {
	Cell           string         `cbor:"1,keyasint"`
	Kind           MessageKind    `cbor:"2,keyasint"`
	From           ReplicaID      `cbor:"3,keyasint"`
	To             ReplicaID      `cbor:"4,keyasint"`
	ProposalNumber ProposalNumber `cbor:"5,keyasint,omitempty"`
	// Index is what the sender of a Prepare or a CatchUpRequest has applied.
	Index uint64 `cbor:"6,keyasint,omitempty"`
	// CommitIndex is up to where the sender knows the log to be committed; in Accepted
	// and CommitPersisted, up to where its disk holds it as committed.
	CommitIndex uint64 `cbor:"7,keyasint,omitempty"`
	// HeartbeatSequence numbers the heartbeats of one leader; the ack repeats it.
	HeartbeatSequence uint64    `cbor:"8,keyasint,omitempty"`
	AcceptedIndexes   []uint64  `cbor:"9,keyasint,omitempty"`
	Entries           []Entry   `cbor:"10,keyasint,omitempty"`
	Snapshot          *Snapshot `cbor:"11,keyasint,omitempty"`
	// NeedsSnapshot is set in a CatchUpRequest of a replica that knows no membership yet.
	NeedsSnapshot bool `cbor:"12,keyasint,omitempty"`
	// EchoTimestamp is a reading of a replica's own clock, in what it answers a leader; a
	// heartbeat echoes the newest that the leader has received from the recipient.
	EchoTimestamp uint64 `cbor:"13,keyasint,omitempty"`
	// QuorumContactAgeMillis, of a heartbeat, is how long ago, in milliseconds, a majority
	// surely followed the leader.
	QuorumContactAgeMillis uint64 `cbor:"14,keyasint,omitempty"`
	// CompletedMembershipIndex, of a heartbeat, is where the newest membership begins if the
	// leader knows that the change to it is complete.
	CompletedMembershipIndex uint64 `cbor:"15,keyasint,omitempty"`
	// EndedLeadership, of a Prepare, is the newest proposal number under which the candidate
	// knows that nobody leads any more.
	EndedLeadership ProposalNumber `cbor:"16,keyasint,omitempty"`
}

// messageOverheadBytes stands for the fields of a message other than entries and snapshot.
const messageOverheadBytes = 64

// Size is about how many bytes a message takes.
func (msg *Message) Size() int {
	size := messageOverheadBytes + entrylog.Size(msg.Entries)
	if msg.Snapshot != nil {
		size += statemachine.KeyValuesSize(msg.Snapshot.State)
	}
	return size
}
