package paxos

import (
	"cmp"
	"slices"
	"time"
)

// heartbeatHistory is the number of recent heartbeats whose send times a leader keeps.
const heartbeatHistory = 64

// followerContact owns a leader's information about its followers: the heartbeats that they
// answered, and the commit index on their disks. The leader uses it to confirm linearizable reads.
//
// Invariant: at the time ackedMessageSentAt a follower had not promised a proposal number newer
// than the leader's, since it answered a message that was sent then. A read is confirmed once a
// majority has answered a heartbeat that was sent after the read began. This proves that no
// leader with a newer proposal number had committed an entry before the read began.
type followerContact struct {
	// Heartbeats of all leaderships since the replica started, numbered from 1:
	heartbeatSequence uint64
	heartbeatSentAt   time.Duration
	heartbeatTimes    [heartbeatHistory]time.Duration // send times, at sequence modulo heartbeatHistory
	firstHeartbeat    uint64                          // sequence of the first in the current leadership

	// Per follower:
	ackedHeartbeats    map[ReplicaID]uint64        // newest sequence that it answered
	ackReceivedAt      map[ReplicaID]time.Duration // when that answer arrived
	ackedMessageSentAt map[ReplicaID]time.Duration // when the newest message that it answered was sent
	echoTimestamps     map[ReplicaID]uint64        // newest of its timestamps
	// durableCommitIndexes holds the commit index on the follower's disk.
	durableCommitIndexes map[ReplicaID]uint64

	// pendingReads holds the tickets of unconfirmed reads, by the sequence of the heartbeat that
	// confirms them.
	pendingReads map[uint64][]uint64
}

// newFollowerContact returns the empty followerContact of a replica that has just started.
func newFollowerContact() followerContact {
	return followerContact{
		ackedHeartbeats:      map[ReplicaID]uint64{},
		ackReceivedAt:        map[ReplicaID]time.Duration{},
		ackedMessageSentAt:   map[ReplicaID]time.Duration{},
		echoTimestamps:       map[ReplicaID]uint64{},
		durableCommitIndexes: map[ReplicaID]uint64{},
		pendingReads:         map[uint64][]uint64{},
	}
}

// recordDurableCommit records the commit index that a follower reports as durable.
func (f *followerContact) recordDurableCommit(id ReplicaID, commitIndex uint64) {
	f.durableCommitIndexes[id] = max(f.durableCommitIndexes[id], commitIndex)
}

// DurableCommitIndex returns the newest commit index that a replica has reported as durable. It is
// up to date only on the leader.
func (r *Replica) DurableCommitIndex(id ReplicaID) uint64 {
	return r.followers.durableCommitIndexes[id]
}

// quorumContactAt returns the newest time since which a majority has answered the leader.
func (r *Replica) quorumContactAt() time.Duration { return r.quorumTime(r.followers.ackReceivedAt) }

// quorumTime returns the newest time that a majority of the voters has reached according to
// reachedAt, or 0 if there are no voters.
func (r *Replica) quorumTime(reachedAt map[ReplicaID]time.Duration) time.Duration {
	var times []time.Duration
	for _, voter := range r.nextMembership().Voters {
		times = append(times, reachedAt[voter.ID])
	}
	if len(times) == 0 {
		return 0
	}
	slices.SortFunc(times, func(a, b time.Duration) int { return cmp.Compare(b, a) })
	return times[len(times)/2]
}

// newHeartbeat returns a heartbeat; the caller sets its recipient and echo.
func (r *Replica) newHeartbeat(now time.Duration) Message {
	return Message{
		Kind: Heartbeat, ProposalNumber: r.proposer.number, CommitIndex: r.appliedIndex,
		HeartbeatSequence:        r.followers.heartbeatSequence,
		CompletedMembershipIndex: r.completedMembershipIndex(),
		QuorumContactAgeMillis:   uint64(r.Staleness(now)/time.Millisecond) + 1,
	}
}

// broadcastHeartbeat sends a heartbeat to the current voters, the next ones and the learners.
func (r *Replica) broadcastHeartbeat(now time.Duration) {
	followers := &r.followers
	followers.heartbeatSequence++
	followers.heartbeatSentAt = now
	followers.heartbeatTimes[followers.heartbeatSequence%heartbeatHistory] = now
	heartbeat := r.newHeartbeat(now)
	for _, id := range r.heartbeatRecipients() {
		heartbeat.To = id
		heartbeat.EchoTimestamp = followers.echoTimestamps[id]
		r.send(heartbeat)
	}
	r.recordHeartbeatAck(r.config.Self, followers.heartbeatSequence, now)
}

// heartbeatRecipients returns the current voters, the next ones and the learners without this
// replica, each once.
func (r *Replica) heartbeatRecipients() []ReplicaID {
	next, latest := r.nextMembership().Voters, r.state.LatestMembership().Voters
	recipients := make([]ReplicaID, 0, len(next)+len(latest)+len(r.learners)) // one allocation per commit
	add := func(id ReplicaID) {
		if id != r.config.Self && !slices.Contains(recipients, id) {
			recipients = append(recipients, id)
		}
	}
	for _, voter := range next {
		add(voter.ID)
	}
	for _, voter := range latest {
		add(voter.ID)
	}
	for _, id := range r.learners {
		add(id)
	}
	return recipients
}

// handleHeartbeatAck records contact with a follower. The leader answers the first ack in a
// leadership at once with a heartbeat that echoes its timestamp, so that the follower need not
// wait for the next heartbeat to know that its state is current.
func (r *Replica) handleHeartbeatAck(now time.Duration, msg Message) {
	followers := &r.followers
	if r.role != Leader || msg.ProposalNumber != r.proposer.number ||
		msg.HeartbeatSequence < followers.firstHeartbeat || msg.HeartbeatSequence > followers.heartbeatSequence {
		return
	}
	first := followers.ackedHeartbeats[msg.From] < followers.firstHeartbeat
	followers.echoTimestamps[msg.From] = msg.EchoTimestamp
	r.recordHeartbeatAck(msg.From, msg.HeartbeatSequence, now)
	if first {
		heartbeat := r.newHeartbeat(now)
		heartbeat.To = msg.From
		heartbeat.EchoTimestamp = msg.EchoTimestamp
		r.send(heartbeat)
	}
}

// recordHeartbeatAck records that a replica has answered a heartbeat, and confirms the pending
// reads whose heartbeat a majority has now answered.
func (r *Replica) recordHeartbeatAck(id ReplicaID, sequence uint64, now time.Duration) {
	followers := &r.followers
	if sequence > followers.ackedHeartbeats[id] {
		followers.ackedHeartbeats[id] = sequence
		followers.ackReceivedAt[id] = now
		if sequence+heartbeatHistory > followers.heartbeatSequence {
			sentAt := followers.heartbeatTimes[sequence%heartbeatHistory]
			followers.ackedMessageSentAt[id] = max(followers.ackedMessageSentAt[id], sentAt)
		}
	}
	r.confirmReads()
}

// confirmReads adds the tickets of reads whose heartbeat a majority has answered to
// Ready.ConfirmedReads.
func (r *Replica) confirmReads() {
	membership := r.nextMembership()
	for sequence, tickets := range r.followers.pendingReads {
		answered := func(id ReplicaID) bool { return r.followers.ackedHeartbeats[id] >= sequence }
		if membership.IsQuorum(answered) {
			r.ready.ConfirmedReads = append(r.ready.ConfirmedReads, tickets...)
			delete(r.followers.pendingReads, sequence)
		}
	}
}

// Read starts a linearizable read. Once a majority has confirmed the leader, Ready.ConfirmedReads
// contains the ticket, and the read may be answered from the applied state. Read returns
// ErrNotLeader, or ErrPipelineFull while the leader has not yet applied all entries that earlier
// leaders committed.
func (r *Replica) Read(now time.Duration, ticket uint64) error {
	if r.role != Leader {
		return ErrNotLeader
	}
	if !r.isCaughtUp() {
		return ErrPipelineFull
	}
	r.broadcastHeartbeat(now)
	sequence := r.followers.heartbeatSequence
	r.followers.pendingReads[sequence] = append(r.followers.pendingReads[sequence], ticket)
	return nil
}

// handleCommitPersisted records the commit index on a learner's disk.
func (r *Replica) handleCommitPersisted(msg Message) {
	if r.role == Leader && msg.ProposalNumber == r.proposer.number {
		r.followers.recordDurableCommit(msg.From, msg.CommitIndex)
	}
}
