package paxos

import (
	"comethold/internal/paxos/entrylog"
	"comethold/internal/paxos/statemachine"
)

// MessageKind is the type of a Message. Its values are part of the wire format.
type MessageKind uint8

// The kinds of messages between the replicas of a cell.
const (
	// Prepare (phase 1a) asks for a promise; Index is the last index that the candidate has applied.
	Prepare MessageKind = iota + 1
	// Promise (phase 1b) carries the entries that the acceptor has after the Index of the Prepare.
	Promise
	// Reject answers a Prepare, Accept or Heartbeat that is older than a promise, or a Prepare
	// from a candidate that must not replace the leader or a concurrent candidate.
	Reject
	// Accept (phase 2a) asks an acceptor to accept Entries.
	Accept
	// Accepted (phase 2b) lists the indexes of the accepted entries in AcceptedIndexes.
	Accepted
	// Heartbeat prevents followers from campaigning and announces the commit index.
	Heartbeat
	// HeartbeatAck answers a Heartbeat with its sequence number.
	HeartbeatAck
	// CatchUpRequest asks for the committed entries after Index.
	CatchUpRequest
	// CatchUpResponse carries a log segment or a snapshot.
	CatchUpResponse
	// TermPersisted is sent by a replica to itself once the term of its next campaign is on disk.
	TermPersisted
	// CommitPersisted reports to the leader the commit index on a learner's disk.
	CommitPersisted
	// LeadershipTransfer is sent by a leader that is no longer a voter. The leadership under its
	// proposal number has ended, and the recipient should campaign.
	LeadershipTransfer
)

// Message is sent from one replica to another. Messages may be lost, duplicated or delayed.
type Message struct {
	Cell           string         `cbor:"1,keyasint"`
	Kind           MessageKind    `cbor:"2,keyasint"`
	From           ReplicaID      `cbor:"3,keyasint"`
	To             ReplicaID      `cbor:"4,keyasint"`
	ProposalNumber ProposalNumber `cbor:"5,keyasint,omitempty"`
	// Index is the last index that the sender of a Prepare or a CatchUpRequest has applied. A
	// Promise repeats the Index of its Prepare.
	Index uint64 `cbor:"6,keyasint,omitempty"`
	// CommitIndex is the sender's commit index; in Accepted and CommitPersisted, the commit
	// index on its disk.
	CommitIndex uint64 `cbor:"7,keyasint,omitempty"`
	// HeartbeatSequence is the number of a heartbeat of one leader; the ack repeats it.
	HeartbeatSequence uint64    `cbor:"8,keyasint,omitempty"`
	AcceptedIndexes   []uint64  `cbor:"9,keyasint,omitempty"`
	Entries           []Entry   `cbor:"10,keyasint,omitempty"`
	Snapshot          *Snapshot `cbor:"11,keyasint,omitempty"`
	// NeedsSnapshot is set in a CatchUpRequest from a replica that knows no membership yet.
	NeedsSnapshot bool `cbor:"12,keyasint,omitempty"`
	// EchoTimestamp, in an answer to a leader or candidate, is a timestamp of the sender's own
	// clock. A heartbeat echoes the newest one that the leader received from the recipient.
	EchoTimestamp uint64 `cbor:"13,keyasint,omitempty"`
	// QuorumContactAgeMillis, in a heartbeat, is the leader's own Staleness in milliseconds,
	// rounded up: the time since a majority is known to have followed the leader.
	QuorumContactAgeMillis uint64 `cbor:"14,keyasint,omitempty"`
	// CompletedMembershipIndex, in a heartbeat, is the first index of the newest membership
	// if the change to it is complete, otherwise 0.
	CompletedMembershipIndex uint64 `cbor:"15,keyasint,omitempty"`
	// EndedLeadership, in a Prepare, is the newest proposal number whose leadership the
	// candidate knows to have ended.
	EndedLeadership ProposalNumber `cbor:"16,keyasint,omitempty"`
}

// messageOverheadBytes is the estimated size of a message without its entries and snapshot.
const messageOverheadBytes = 64

// Size returns an estimate of the encoded size of a message in bytes.
func (msg *Message) Size() int {
	size := messageOverheadBytes + entrylog.Size(msg.Entries)
	if msg.Snapshot != nil {
		size += statemachine.KeyValuesSize(msg.Snapshot.State)
	}
	return size
}
