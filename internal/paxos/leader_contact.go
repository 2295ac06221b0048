package paxos

import "time"

// unboundedStaleness is longer than any bound that an owner sets.
const unboundedStaleness = 1000 * time.Hour

// maxTimestampBase bounds where the timestamps of an incarnation begin.
const maxTimestampBase = 1 << 62

// leaderContact owns what a follower knows of its leader, and up to which moment the
// follower's state is current.
//
// Invariant: the state includes all that was acknowledged before currentUntil, a time of the
// replica's own clock. The proof: the replica sends a timestamp with each answer, the leader
// echoes the newest in its heartbeats, and what it had committed when it sent one was all that
// was acknowledged up to its own last contact with a majority. What arrives late, after a
// partition or a pause, proves nothing newer.
type leaderContact struct {
	leader ReplicaID
	// leaderContactAt is when the leader was last in contact.
	leaderContactAt time.Duration
	// endedLeadership is a proposal number: nobody leads under it, nor under those before,
	// any more.
	endedLeadership ProposalNumber

	announced    commitAnnouncement
	currentUntil time.Duration

	// timestampBase is where the timestamps of this incarnation begin; it is random, so that
	// the echo of an earlier incarnation's is not taken for one of this.
	timestampBase uint64
}

// commitAnnouncement is what the last heartbeat said.
type commitAnnouncement struct {
	commitIndex              uint64
	completedMembershipIndex uint64
	// currentUntil is the moment of this replica's clock until which all that was
	// acknowledged is within commitIndex, or 0.
	currentUntil time.Duration
}

// timestamp marks a moment of this incarnation on the replica's clock, for an echo.
func (c *leaderContact) timestamp(now time.Duration) uint64 {
	return c.timestampBase + uint64(now/time.Millisecond) + 1
}

// timeOfEcho returns the moment that a timestamp of this incarnation marks; ok is false for
// any other number.
func (c *leaderContact) timeOfEcho(now time.Duration, echo uint64) (at time.Duration, ok bool) {
	millis := echo - c.timestampBase - 1
	if echo <= c.timestampBase || millis > uint64(now/time.Millisecond) {
		return 0, false
	}
	return time.Duration(millis) * time.Millisecond, true
}

// recordAnnouncement takes in what a heartbeat proves: the leader had received the echoed
// timestamp before it sent it.
func (c *leaderContact) recordAnnouncement(now time.Duration, heartbeat Message) {
	c.announced = commitAnnouncement{
		commitIndex:              heartbeat.CommitIndex,
		completedMembershipIndex: heartbeat.CompletedMembershipIndex,
	}
	if echoed, ok := c.timeOfEcho(now, heartbeat.EchoTimestamp); ok {
		age := min(heartbeat.QuorumContactAgeMillis, uint64(unboundedStaleness/time.Millisecond))
		c.announced.currentUntil = echoed - time.Duration(age)*time.Millisecond
	}
}

// advanceCurrentUntil notes until when the state is current, once it includes all that the
// last heartbeat announced.
func (c *leaderContact) advanceCurrentUntil(appliedIndex uint64) {
	if appliedIndex >= c.announced.commitIndex && c.announced.currentUntil > c.currentUntil {
		c.currentUntil = c.announced.currentUntil
	}
}

// followLeader takes note of a leader whose proposal number is not behind the promise. What
// a leader sent before its leadership ended keeps nobody from campaigning.
func (r *Replica) followLeader(number ProposalNumber, now time.Duration) {
	if !r.contact.endedLeadership.Less(number) {
		return
	}
	if r.role != Follower && number.Proposer != r.config.Self {
		r.becomeFollower(now)
	}
	if r.acceptor.promised.Less(number) {
		r.recordPromise(number)
	}
	r.contact.leader = number.Proposer
	r.contact.leaderContactAt = now
	if r.role == Follower {
		r.resetElectionDeadline(now)
	}
}

// handleHeartbeat follows the leader, and applies what it announces as committed.
func (r *Replica) handleHeartbeat(now time.Duration, msg Message) {
	number := msg.ProposalNumber
	if number.Less(r.acceptor.promised) {
		r.sendReject(msg.From)
		return
	}
	r.followLeader(number, now)
	r.contact.recordAnnouncement(now, msg)
	r.commitUpTo(now, number, msg.CommitIndex)
	r.send(Message{
		Kind: HeartbeatAck, To: msg.From, ProposalNumber: number,
		HeartbeatSequence: msg.HeartbeatSequence, EchoTimestamp: r.contact.timestamp(now),
	})
	if !r.IsVoter() {
		r.reportDurableCommit(msg.From, number)
	}
}

// reportDurableCommit tells the leader what a learner's disk holds: a learner is made a voter
// on the strength of that. In a quiet cell nothing more may come that is written, so the
// commit index gets a write of its own if it is far behind.
func (r *Replica) reportDurableCommit(leader ReplicaID, number ProposalNumber) {
	if r.durableCommitIndex+r.config.Alpha < r.appliedIndex {
		r.ready.Writes.PersistCommitIndex = true
	}
	r.sendAfterSync(Message{Kind: CommitPersisted, To: leader, ProposalNumber: number, CommitIndex: r.appliedIndex})
}

// Staleness reports how old the replica's state may be at most: all that was acknowledged
// before that is in it. A leader knows by what a majority answered, counted from when it
// asked; the others by their leader's heartbeats.
func (r *Replica) Staleness(now time.Duration) time.Duration {
	if r.contact.leader == "" {
		return unboundedStaleness
	}
	if r.role == Leader {
		if !r.isCaughtUp() {
			return unboundedStaleness
		}
		return now - r.quorumTime(r.followers.contactProvenAt)
	}
	if r.contact.currentUntil == 0 { // started, and not current even once
		return unboundedStaleness
	}
	return now - r.contact.currentUntil
}
