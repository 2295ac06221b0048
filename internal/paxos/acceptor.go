package paxos

import (
	"math"
	"time"
)

// acceptor owns the promise of a replica. The replica's log holds the entries that it has accepted.
//
// Invariant: promised never decreases. No entry is accepted under an older proposal number. A
// Promise or Accepted is sent only after the promise or entries that it reports are on disk.
// Every later Promise reports all accepted entries above the applied index, so that a new leader
// proposes them again.
type acceptor struct {
	promised ProposalNumber
}

// recordPromise records the promise to accept nothing under an older proposal number.
func (r *Replica) recordPromise(number ProposalNumber) {
	r.acceptor.promised = number
	r.proposer.maxTerm = max(r.proposer.maxTerm, number.Term)
	r.ready.Writes.Promised = &number
}

// sendReject rejects a message whose proposal number is older than the promise.
func (r *Replica) sendReject(to ReplicaID) { r.sendRejectFor(to, r.acceptor.promised) }

// sendRejectFor rejects a message and reports number as the reason. The recipient's next campaign
// uses a higher term than that of number.
func (r *Replica) sendRejectFor(to ReplicaID, number ProposalNumber) {
	r.send(Message{Kind: Reject, To: to, ProposalNumber: number, CommitIndex: r.appliedIndex})
}

// handlePrepare runs phase 1b: it promises unless the replica has made a newer promise, runs a
// campaign with a higher proposal number, or is in contact with a leader.
func (r *Replica) handlePrepare(now time.Duration, msg Message) {
	number := msg.ProposalNumber
	isSelf := number.Proposer == r.config.Self
	if number.Less(r.acceptor.promised) {
		r.sendReject(msg.From)
		return
	}
	// Of two concurrent campaigns only the one with the higher proposal number continues: if each
	// candidate promised to the other, both campaigns would fail.
	if r.role == Candidate && !isSelf && number.Less(r.proposer.number) {
		r.sendRejectFor(msg.From, r.proposer.number)
		return
	}
	if r.acceptor.promised.Less(number) && r.hasActiveLeader(now, msg) {
		r.sendRejectFor(msg.From, number)
		return
	}
	if !isSelf && r.role != Follower {
		r.becomeFollower(now)
	}
	if r.acceptor.promised.Less(number) {
		r.recordPromise(number)
		r.contact.leader = ""
	}
	if r.role == Follower {
		r.resetElectionDeadline(now)
	}
	r.sendPromise(now, msg)
}

// hasActiveLeader reports whether the leader was in contact recently enough that another candidate
// must be rejected. Otherwise a replica that returns from a partition would depose a working
// leader. A follower doesn't count a leader as active if the Prepare reports the end of its leadership.
func (r *Replica) hasActiveLeader(now time.Duration, prepare Message) bool {
	if r.contact.leader == "" || r.contact.leader == prepare.ProposalNumber.Proposer {
		return false
	}
	maxContactAge := r.config.ElectionTimeout * 2 / 3
	if r.role == Leader {
		return now-r.quorumContactAt() < maxContactAge
	}
	if ended := prepare.EndedLeadership; ended != (ProposalNumber{}) && !ended.Less(r.acceptor.promised) {
		return false
	}
	return now-r.contact.leaderContactAt < maxContactAge
}

// sendPromise answers a Prepare with all entries after the candidate's applied index, or with a
// snapshot and the entries after it if the log has been compacted beyond that index.
func (r *Replica) sendPromise(now time.Duration, prepare Message) {
	promise := Message{
		Kind: Promise, To: prepare.From, ProposalNumber: prepare.ProposalNumber,
		CommitIndex: r.appliedIndex, Index: prepare.Index, EchoTimestamp: r.contact.timestamp(now),
	}
	after := prepare.Index
	if after < r.log.CompactedIndex() {
		if r.beginTransfer(now, prepare.From, after) {
			promise.Snapshot = r.state.Snapshot(r.appliedIndex)
		}
		after = r.appliedIndex
	}
	promise.Entries = r.log.Between(after, math.MaxUint64)
	r.sendAfterSync(promise)
}

// handleAccept runs phase 2b: it accepts entries unless it promised a newer proposal number.
func (r *Replica) handleAccept(now time.Duration, msg Message) {
	if msg.ProposalNumber.Less(r.acceptor.promised) {
		r.sendReject(msg.From)
		return
	}
	r.followLeader(msg.ProposalNumber, now)
	accepted := Message{Kind: Accepted, To: msg.From, ProposalNumber: msg.ProposalNumber, CommitIndex: r.appliedIndex}
	for _, entry := range msg.Entries {
		if entry.Index > r.appliedIndex {
			r.storeEntry(entry)
		}
		accepted.AcceptedIndexes = append(accepted.AcceptedIndexes, entry.Index)
	}
	r.sendAfterSync(accepted)
	if msg.ProposalNumber.Proposer != r.config.Self {
		r.commitUpTo(now, msg.ProposalNumber, msg.CommitIndex)
	}
}
