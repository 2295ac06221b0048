package paxos

import "time"

// Elections: the transitions between roles. A follower whose election deadline passes persists
// a term, campaigns under it (phase 1 of Paxos) and becomes leader when a majority has promised.
//
// Invariant: no two campaigns have the same proposal number, even across restarts on the same
// disk, since the term is synced before the first Prepare that carries it is sent.

// resetElectionDeadline sets the deadline to a random time one to two election timeouts from now.
func (r *Replica) resetElectionDeadline(now time.Duration) {
	timeout := r.config.ElectionTimeout
	r.electionDeadline = now + timeout + time.Duration(r.config.Jitter()*float64(timeout))
}

// becomeFollower ends any campaign or leadership, and reports the outcome of queued transactions as
// unknown.
func (r *Replica) becomeFollower(now time.Duration) {
	if r.role == Leader {
		for _, txn := range r.proposer.queue {
			r.reportOutcome(Outcome{TxnID: txn.ID, Unknown: true})
		}
	}
	r.role = Follower
	r.roleSince = now
	r.proposer.stop()
	r.followers.pendingReads = map[uint64][]uint64{}
	r.resetElectionDeadline(now)
}

// stepDown ends the replica's own leadership.
func (r *Replica) stepDown(now time.Duration) {
	r.contact.leader = ""
	r.becomeFollower(now)
}

// startElection runs when the election deadline has passed. endedLeadership is used for one
// campaign only: if it is wrong, the replica must be able to follow that leader again.
func (r *Replica) startElection(now time.Duration) {
	r.contact.leader = ""
	if r.role == Candidate || !r.IsVoter() {
		r.contact.endedLeadership = ProposalNumber{}
	}
	if r.IsVoter() {
		r.persistTerm(now)
	} else {
		r.becomeFollower(now)
	}
}

// persistTerm writes the term of the next campaign. The term is synced before any message carries
// it, since the replica knows after a restart only what is on disk and must not reuse the term.
func (r *Replica) persistTerm(now time.Duration) {
	r.role = PersistingTerm
	r.roleSince = now
	r.contact.leader = ""
	r.proposer.maxTerm++
	r.proposer.number = ProposalNumber{Term: r.proposer.maxTerm, Proposer: r.config.Self}
	r.ready.Writes.Term = r.proposer.maxTerm
	r.sendAfterSync(Message{Kind: TermPersisted, To: r.config.Self, ProposalNumber: r.proposer.number})
}

// handleTermPersisted starts the campaign, unless the replica follows a leader or uses a newer term
// by now.
func (r *Replica) handleTermPersisted(now time.Duration, msg Message) {
	if r.role == PersistingTerm && msg.ProposalNumber == r.proposer.number {
		r.campaign(now)
	}
}

// campaign runs phase 1a: it asks the voters of all open indexes for promises.
func (r *Replica) campaign(now time.Duration) {
	r.role = Candidate
	r.roleSince = now
	r.proposer.start()
	r.resetElectionDeadline(now)
	for index := r.appliedIndex + 1; index <= r.lastOpenIndex(); index++ {
		r.sendPrepares(index)
	}
	r.tryBecomeLeader(now)
}

// lastOpenIndex returns the last index that may be proposed at the current appliedIndex.
func (r *Replica) lastOpenIndex() uint64 { return r.appliedIndex + r.config.Alpha }

// sendPrepares asks the voters of an index for a promise, except the replica itself and those
// already asked.
func (r *Replica) sendPrepares(index uint64) {
	for _, voter := range r.state.MembershipAt(index).Voters {
		if _, asked := r.proposer.promises[voter.ID]; !asked && voter.ID != r.config.Self {
			r.proposer.promises[voter.ID] = false
			r.sendPrepare(voter.ID)
		}
	}
}

// sendPrepare asks one voter for a promise.
func (r *Replica) sendPrepare(to ReplicaID) {
	r.send(Message{
		Kind: Prepare, To: to, ProposalNumber: r.proposer.number,
		Index: r.appliedIndex, EndedLeadership: r.contact.endedLeadership,
	})
}

// tryBecomeLeader makes the replica leader once a majority of the voters of each open index has
// promised. The replica makes its own promise last: until then it can still follow the current
// leader if the other voters reject the campaign because they are in contact with that leader.
func (r *Replica) tryBecomeLeader(now time.Duration) {
	if !r.ensurePromises(r.hasPromisedOrIsSelf) {
		return
	}
	if _, asked := r.proposer.promises[r.config.Self]; !asked {
		r.proposer.promises[r.config.Self] = false
		r.send(Message{Kind: Prepare, To: r.config.Self, ProposalNumber: r.proposer.number, Index: r.appliedIndex})
	}
	if r.ensurePromises(r.proposer.hasPromised) {
		r.becomeLeader(now)
	}
}

// hasPromisedOrIsSelf reports whether a replica has promised. It counts this replica's own promise
// as given before it is made.
func (r *Replica) hasPromisedOrIsSelf(id ReplicaID) bool {
	return r.proposer.hasPromised(id) || id == r.config.Self
}

// ensurePromises reports whether each open index has a majority of promises. Otherwise it asks
// the voters of the first index without one.
func (r *Replica) ensurePromises(promised func(ReplicaID) bool) bool {
	for index := r.appliedIndex + 1; index <= r.lastOpenIndex(); index++ {
		if !r.state.MembershipAt(index).IsQuorum(promised) {
			r.sendPrepares(index)
			return false
		}
	}
	return true
}

// becomeLeader makes the replica leader, proposes the first entries and sends a heartbeat. A promise
// counts as contact with its acceptor.
func (r *Replica) becomeLeader(now time.Duration) {
	for id, promised := range r.proposer.promises {
		if promised {
			r.followers.ackedMessageSentAt[id] = r.roleSince // the Prepare was sent then
		}
	}
	r.role = Leader
	r.roleSince = now
	r.contact.leader = r.config.Self
	r.proposer.nextIndex = r.appliedIndex + 1
	r.followers.firstHeartbeat = r.followers.heartbeatSequence + 1
	for _, voter := range r.nextMembership().Voters {
		r.followers.ackReceivedAt[voter.ID] = now
	}
	r.fillPipeline(now)
	r.broadcastHeartbeat(now)
}

// handlePromise completes phase 1: it adopts, for each open index, the entry with the highest
// proposal number that an acceptor reports.
func (r *Replica) handlePromise(now time.Duration, msg Message) {
	if !r.isProposing() || msg.ProposalNumber != r.proposer.number || r.proposer.promises[msg.From] {
		if msg.Snapshot != nil {
			r.handleCatchUpResponse(now, msg) // too late for the campaign, but its snapshot is committed state
		}
		return
	}
	r.learn(now, msg)
	if !r.isProposing() {
		return
	}
	r.followers.echoTimestamps[msg.From] = msg.EchoTimestamp
	r.proposer.adopt(msg.Entries, r.appliedIndex)
	if msg.CommitIndex > r.appliedIndex {
		return // the acceptor has committed entries that it did not send: its promise can't count yet
	}
	r.proposer.promises[msg.From] = true
	if r.role == Candidate {
		r.tryBecomeLeader(now)
		return
	}
	r.fillPipeline(now)
}

// isProposing reports whether the replica is a candidate or the leader.
func (r *Replica) isProposing() bool { return r.role == Candidate || r.role == Leader }

// handleReject records a newer term. A leader is rejected if a newer leader has deposed it, or if a
// voter that does not know that it was replaced has campaigned. The leader steps down and campaigns
// at once. In the first case, replicas that know the newer leader reject the campaign. In the second
// case, the cell gets a leader without waiting for an election timeout.
func (r *Replica) handleReject(now time.Duration, msg Message) {
	r.proposer.maxTerm = max(r.proposer.maxTerm, msg.ProposalNumber.Term)
	if r.role == Leader && r.proposer.number.Less(msg.ProposalNumber) {
		r.stepDown(now)
		if r.IsVoter() {
			r.persistTerm(now)
		}
	}
}

// ReportReplicaLost records that the replica with this ID is lost permanently. If it was the leader,
// this replica campaigns without waiting for the election timeout, and its Prepare names the ended
// leadership. Other replicas may do the same: of two concurrent campaigns, the one with the higher
// proposal number continues. A wrong report is safe: at worst it causes an unnecessary election.
func (r *Replica) ReportReplicaLost(now time.Duration, id ReplicaID) {
	if r.contact.leader == id {
		r.scheduleCampaign(now, r.campaignDelay())
	}
}

// ReportLeaderUnreachable records that this node is out of contact with the leader's node. This
// replica campaigns without waiting for the rest of its election timeout. Unlike after
// ReportReplicaLost, its Prepare does not name an ended leadership, so replicas that are in
// contact with the leader reject it.
func (r *Replica) ReportLeaderUnreachable(now time.Duration) {
	if r.role == Follower && r.contact.leader != "" {
		r.electionDeadline = min(r.electionDeadline, now+r.campaignDelay())
	}
}

// campaignDelay returns a random delay of up to half a heartbeat interval, so that replicas that
// learn of the loss of a leader at the same time do not campaign at the same time.
func (r *Replica) campaignDelay() time.Duration {
	return time.Duration(r.config.Jitter() * float64(r.config.HeartbeatInterval) / 2)
}

// scheduleCampaign records that the leadership that a follower follows has ended, and sets its
// election deadline to at most delay from now.
func (r *Replica) scheduleCampaign(now, delay time.Duration) {
	if r.role == Follower && r.state.LatestMembership().Contains(r.config.Self) {
		r.contact.endedLeadership = r.acceptor.promised
		r.electionDeadline = min(r.electionDeadline, now+delay)
	}
}

// handleLeadershipTransfer schedules a campaign to replace a leader that is no longer a voter.
func (r *Replica) handleLeadershipTransfer(now time.Duration, msg Message) {
	if r.contact.leader == msg.From && r.acceptor.promised == msg.ProposalNumber {
		r.scheduleCampaign(now, 0)
	}
}

// transferLeadership ends the leadership of a replica that is no longer a voter: it announces
// the commit index and asks the voter with the newest contact to campaign. If that message is
// lost or late, the voters elect a leader after an election timeout.
func (r *Replica) transferLeadership(now time.Duration, membership Membership) {
	r.broadcastHeartbeat(now)
	successor := ReplicaID("")
	for _, voter := range membership.Voters {
		if successor == "" || r.followers.ackReceivedAt[voter.ID] > r.followers.ackReceivedAt[successor] {
			successor = voter.ID
		}
	}
	r.send(Message{Kind: LeadershipTransfer, To: successor, ProposalNumber: r.proposer.number})
	r.stepDown(now)
}
