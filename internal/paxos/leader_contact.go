package paxos

import "time"

// unboundedStaleness is the staleness of a state whose age is unknown. It is longer than any limit
// on staleness that an owner sets.
const unboundedStaleness = 1000 * time.Hour

// maxTimestampBase is the upper bound of timestampBase.
const maxTimestampBase = 1 << 62

// leaderContact owns a follower's information about its leader, and the time up to which the
// follower's state is current.
//
// Invariant: the state includes everything that was acknowledged before currentUntil, a time on
// the replica's own clock. Proof: the replica sends a timestamp with each answer, and the
// leader echoes the newest one in its heartbeats. The commit index of a heartbeat covers
// everything that was acknowledged up to the leader's last contact with a majority. A heartbeat
// that arrives late, after a partition or a pause, echoes an old timestamp, so currentUntil does
// not advance beyond that timestamp.
type leaderContact struct {
	leader ReplicaID
	// leaderContactAt is when the leader was last in contact.
	leaderContactAt time.Duration
	// endedLeadership is the newest proposal number whose leadership is known to have ended. All
	// leaderships under older proposal numbers have ended too.
	endedLeadership ProposalNumber

	announced    commitAnnouncement
	currentUntil time.Duration

	// timestampBase is the offset of this replica's timestamps. It is chosen at random at each
	// start, so that an echo of a timestamp from before a restart is not taken for a current one.
	timestampBase uint64
}

// commitAnnouncement holds the information in the last heartbeat.
type commitAnnouncement struct {
	commitIndex              uint64
	completedMembershipIndex uint64
	// currentUntil is a time on this replica's clock, or 0 if unknown. The entries up to
	// commitIndex include everything acknowledged before it.
	currentUntil time.Duration
}

// timestamp encodes a time on the replica's clock, in milliseconds after timestampBase, for the
// leader to echo.
func (c *leaderContact) timestamp(now time.Duration) uint64 {
	return c.timestampBase + uint64(now/time.Millisecond) + 1
}

// timeOfEcho decodes an echoed timestamp. ok is false if echo is not a timestamp that the replica
// has created since it started.
func (c *leaderContact) timeOfEcho(now time.Duration, echo uint64) (at time.Duration, ok bool) {
	millis := echo - c.timestampBase - 1
	if echo <= c.timestampBase || millis > uint64(now/time.Millisecond) {
		return 0, false
	}
	return time.Duration(millis) * time.Millisecond, true
}

// recordAnnouncement records the information in a heartbeat. The leader received the echoed timestamp
// before it sent the heartbeat, so the heartbeat is not older than that timestamp.
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

// advanceCurrentUntil updates currentUntil once the state includes all entries up to the commit
// index of the last heartbeat.
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

// handleHeartbeat follows the leader, applies the entries up to its commit index and sends an ack.
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

// reportDurableCommit reports the commit index on a learner's disk to the leader. The learner
// becomes a voter only once that index is recent enough. In a cell without traffic there may be no
// further writes, so the commit index is written separately if the one on disk is more than Alpha
// behind.
func (r *Replica) reportDurableCommit(leader ReplicaID, number ProposalNumber) {
	if r.durableCommitIndex+r.config.Alpha < r.appliedIndex {
		r.ready.Writes.PersistCommitIndex = true
	}
	r.sendAfterSync(Message{Kind: CommitPersisted, To: leader, ProposalNumber: number, CommitIndex: r.appliedIndex})
}

// Staleness returns an upper bound of the age of the replica's state: the state includes everything
// that was acknowledged longer ago. A leader measures from the newest time at which it sent messages
// that a majority has answered. A follower derives the bound from its leader's heartbeats.
func (r *Replica) Staleness(now time.Duration) time.Duration {
	if r.contact.leader == "" {
		return unboundedStaleness
	}
	if r.role == Leader {
		if !r.isCaughtUp() {
			return unboundedStaleness
		}
		return now - r.quorumTime(r.followers.ackedMessageSentAt)
	}
	if r.contact.currentUntil == 0 { // unknown since the start
		return unboundedStaleness
	}
	return now - r.contact.currentUntil
}
