package paxos

import "time"

// unboundedStaleness is longer than any bound that an owner sets.
const unboundedStaleness = 1000 * time.Hour

// maxTimestampBase bounds where the timestamps of an incarnation begin.
const maxTimestampBase = 1 << 62

// leaderContact owns what a follower knows about its leader, and the time up to which the
// follower's state is current.
//
// Invariant: the state includes everything that was acknowledged before currentUntil, a time of
// the replica's own clock. Proof: the replica sends a timestamp with each answer, and the
// leader echoes the newest one in its heartbeats. The commit index of a heartbeat covers
// everything that was acknowledged up to the leader's last contact with a majority. A heartbeat
// that arrives late, after a partition or a pause, echoes an old timestamp and so proves
// nothing newer.
type leaderContact struct {
	leader ReplicaID
	// leaderContactAt is when the leader was last in contact.
	leaderContactAt time.Duration
	// endedLeadership is a proposal number: all leaderships up to and including it have ended.
	endedLeadership ProposalNumber

	announced    commitAnnouncement
	currentUntil time.Duration

	// timestampBase is where the timestamps of this incarnation begin. It is random, so that
	// an echo for an earlier incarnation is not mistaken for one of this.
	timestampBase uint64
}

// commitAnnouncement is the content of the last heartbeat.
type commitAnnouncement struct {
	commitIndex              uint64
	completedMembershipIndex uint64
	// currentUntil is a time of this replica's clock: everything acknowledged before it is
	// within commitIndex. 0 if unknown.
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

// recordAnnouncement records what a heartbeat proves: the leader had received the echoed
// timestamp before it sent the heartbeat.
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

// advanceCurrentUntil updates currentUntil once the state includes everything that the last
// heartbeat announced.
func (c *leaderContact) advanceCurrentUntil(appliedIndex uint64) {
	if appliedIndex >= c.announced.commitIndex && c.announced.currentUntil > c.currentUntil {
		c.currentUntil = c.announced.currentUntil
	}
}

// followLeader records contact with a leader whose proposal number is not older than the
// promise. A message from a leadership that is known to have ended is ignored.
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

// reportDurableCommit reports the commit index on a learner's disk to the leader: the learner
// becomes a voter only once that is recent enough. In a cell without traffic there may be no
// further writes, so the commit index gets a write of its own if the one on disk is far behind.
func (r *Replica) reportDurableCommit(leader ReplicaID, number ProposalNumber) {
	if r.durableCommitIndex+r.config.Alpha < r.appliedIndex {
		r.ready.Writes.PersistCommitIndex = true
	}
	r.sendAfterSync(Message{Kind: CommitPersisted, To: leader, ProposalNumber: number, CommitIndex: r.appliedIndex})
}

// Staleness returns an upper bound of the age of the replica's state: everything acknowledged
// longer ago is in it. A leader counts from when it sent what a majority has answered; a
// follower derives it from its leader's heartbeats.
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
	if r.contact.currentUntil == 0 { // not current since the start
		return unboundedStaleness
	}
	return now - r.contact.currentUntil
}
