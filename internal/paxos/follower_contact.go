package paxos

import (
	"cmp"
	"slices"
	"time"
)

// heartbeatHistory is for how many of its last heartbeats a leader knows when they were sent.
const heartbeatHistory = 64

// followerContact owns what a leader knows of its followers: which heartbeats they answered,
// and what their disks hold. From that follows which reads are linearizable.
//
// Invariant: contactProvenAt is a time at which a follower had not promised a newer proposal
// number than the leader's, since it answered a message sent then. A read is confirmed once a
// majority has answered a heartbeat that was sent after the read began: no other leader had
// committed anything before it.
type followerContact struct {
	// Heartbeats of all the leaderships of this incarnation, numbered from 1.
	heartbeatSequence uint64
	heartbeatSentAt   time.Duration
	heartbeatTimes    [heartbeatHistory]time.Duration // by sequence, modulo
	firstHeartbeat    uint64                          // of the current leadership

	// Of each follower:
	ackedHeartbeats map[ReplicaID]uint64        // the newest sequence that it answered
	ackReceivedAt   map[ReplicaID]time.Duration // when that answer arrived
	contactProvenAt map[ReplicaID]time.Duration // when the message that it answered was sent
	echoTimestamps  map[ReplicaID]uint64        // the newest of its timestamps
	// durableCommitIndexes has the commit index on the follower's disk.
	durableCommitIndexes map[ReplicaID]uint64

	// pendingReads has the tickets that wait for a heartbeat to be answered, by its sequence.
	pendingReads map[uint64][]uint64
}

// newFollowerContact returns what a replica knows at its start: nothing.
func newFollowerContact() followerContact {
	return followerContact{
		ackedHeartbeats:      map[ReplicaID]uint64{},
		ackReceivedAt:        map[ReplicaID]time.Duration{},
		contactProvenAt:      map[ReplicaID]time.Duration{},
		echoTimestamps:       map[ReplicaID]uint64{},
		durableCommitIndexes: map[ReplicaID]uint64{},
		pendingReads:         map[uint64][]uint64{},
	}
}

// recordDurableCommit records the commit index that a follower reports as durable.
func (f *followerContact) recordDurableCommit(id ReplicaID, commitIndex uint64) {
	f.durableCommitIndexes[id] = max(f.durableCommitIndexes[id], commitIndex)
}

// DurableCommitIndex returns the commit index that a replica's disk is known to hold. Only the
// leader's answer is up to date.
func (r *Replica) DurableCommitIndex(id ReplicaID) uint64 {
	return r.followers.durableCommitIndexes[id]
}

// quorumContactAt is the newest time by which a majority had answered the leader.
func (r *Replica) quorumContactAt() time.Duration { return r.quorumTime(r.followers.ackReceivedAt) }

// quorumTime is the newest time that a majority of the voters has reached.
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

// heartbeatRecipients lists the replicas that the leader keeps in contact with, each once.
func (r *Replica) heartbeatRecipients() []ReplicaID {
	next, latest := r.nextMembership().Voters, r.state.LatestMembership().Voters
	recipients := make([]ReplicaID, 0, len(next)+len(latest)+len(r.learners)) // one allocation a commit
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

// handleHeartbeatAck records contact with a follower. The first ack in a leadership is answered
// by a heartbeat with its echo at once, so that the follower need not wait for the next one to
// know that it is current.
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

// recordHeartbeatAck records that a replica has answered a heartbeat, and confirms the reads
// that waited for it.
func (r *Replica) recordHeartbeatAck(id ReplicaID, sequence uint64, now time.Duration) {
	followers := &r.followers
	if sequence > followers.ackedHeartbeats[id] {
		followers.ackedHeartbeats[id] = sequence
		followers.ackReceivedAt[id] = now
		if sequence+heartbeatHistory > followers.heartbeatSequence {
			sentAt := followers.heartbeatTimes[sequence%heartbeatHistory]
			followers.contactProvenAt[id] = max(followers.contactProvenAt[id], sentAt)
		}
	}
	r.confirmReads()
}

// confirmReads returns the tickets of reads whose heartbeat a majority has answered.
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

// Read starts a linearizable read: its ticket is in Ready.ConfirmedReads once a majority has
// confirmed the leader, and the applied state may answer it then. It returns ErrNotLeader, or
// ErrPipelineFull while the leader has not yet applied what earlier leaders committed.
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
