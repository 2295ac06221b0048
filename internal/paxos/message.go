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
	// Promise (phase 1b) carries the entries that the acceptor holds after that index.
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
	// CatchUpResponse carries a log segment or a snapshot.
	CatchUpResponse
	// TermPersisted goes from a replica to itself once the term of its campaign is on disk.
	TermPersisted
	// CommitPersisted reports to the leader the commit index on a learner's disk.
	CommitPersisted
	// LeadershipTransfer is sent by a leader that lost its vote: the leadership under its
	// proposal number has ended, and the recipient should campaign.
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
	// CommitIndex is the sender's commit index; in Accepted and CommitPersisted, the commit
	// index on its disk.
	CommitIndex uint64 `cbor:"7,keyasint,omitempty"`
	// HeartbeatSequence numbers the heartbeats of one leader; the ack repeats it.
	HeartbeatSequence uint64    `cbor:"8,keyasint,omitempty"`
	AcceptedIndexes   []uint64  `cbor:"9,keyasint,omitempty"`
	Entries           []Entry   `cbor:"10,keyasint,omitempty"`
	Snapshot          *Snapshot `cbor:"11,keyasint,omitempty"`
	// NeedsSnapshot is set in a CatchUpRequest of a replica that knows no membership yet.
	NeedsSnapshot bool `cbor:"12,keyasint,omitempty"`
	// EchoTimestamp, in a replica's answer to a leader, is a reading of the replica's own
	// clock. A heartbeat echoes the newest one that the leader received from the recipient.
	EchoTimestamp uint64 `cbor:"13,keyasint,omitempty"`
	// QuorumContactAgeMillis, in a heartbeat, is the time in milliseconds since the last
	// moment at which a majority provably followed the leader.
	QuorumContactAgeMillis uint64 `cbor:"14,keyasint,omitempty"`
	// CompletedMembershipIndex, in a heartbeat, is the first index of the newest membership
	// if the change to it is complete, else 0.
	CompletedMembershipIndex uint64 `cbor:"15,keyasint,omitempty"`
	// EndedLeadership, in a Prepare, is the newest proposal number whose leadership the
	// candidate knows to have ended.
	EndedLeadership ProposalNumber `cbor:"16,keyasint,omitempty"`
}

// messageOverheadBytes estimates the fields of a message other than entries and snapshot.
const messageOverheadBytes = 64

// Size estimates the encoded size of a message in bytes.
func (msg *Message) Size() int {
	size := messageOverheadBytes + entrylog.Size(msg.Entries)
	if msg.Snapshot != nil {
		size += statemachine.KeyValuesSize(msg.Snapshot.State)
	}
	return size
}
