package paxos

import "time"

// Elections: the transitions between roles. A follower whose election deadline passes persists
// a term, campaigns under it (phase 1 of Paxos) and leads when a majority has promised.
//
// Invariant: no two campaigns have the same proposal number, not even those of two
// incarnations of a process on one disk: the term is synced before its first Prepare leaves.

// resetElectionDeadline gives the leader one to two election timeouts of silence.
func (r *Replica) resetElectionDeadline(now time.Duration) {
	timeout := r.config.ElectionTimeout
	r.electionDeadline = now + timeout + time.Duration(r.config.Jitter()*float64(timeout))
}

// becomeFollower gives up whatever the replica was proposing.
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

// startElection is what a passed election deadline leads to. What the replica knew of the end
// of a leadership is good for one campaign: if it was wrong, the leader is followed again.
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

// persistTerm has the term of the next campaign synced before any message carries it: a
// later incarnation, which finds on the disk only what was synced, must not use it again.
func (r *Replica) persistTerm(now time.Duration) {
	r.role = PersistingTerm
	r.roleSince = now
	r.contact.leader = ""
	r.proposer.maxTerm++
	r.proposer.number = ProposalNumber{Term: r.proposer.maxTerm, Proposer: r.config.Self}
	r.ready.Writes.Term = r.proposer.maxTerm
	r.sendAfterSync(Message{Kind: TermPersisted, To: r.config.Self, ProposalNumber: r.proposer.number})
}

// handleTermPersisted goes on to campaign, unless another has been followed since.
func (r *Replica) handleTermPersisted(now time.Duration, msg Message) {
	if r.role == PersistingTerm && msg.ProposalNumber == r.proposer.number {
		r.campaign(now)
	}
}

// campaign is phase 1a: it asks the voters of all open indexes for promises.
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

// lastOpenIndex is the last index that may be proposed while appliedIndex stands.
func (r *Replica) lastOpenIndex() uint64 { return r.appliedIndex + r.config.Alpha }

// sendPrepares asks those voters of an index for a promise that were not asked yet, except
// the replica itself.
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

// tryBecomeLeader leads when a majority of each membership that the open indexes may need has
// promised. The replica's own promise comes last: while others are still in contact with a
// leader, it stays free to follow that one.
func (r *Replica) tryBecomeLeader(now time.Duration) {
	if !r.ensurePromises(true) {
		return
	}
	if _, asked := r.proposer.promises[r.config.Self]; !asked {
		r.proposer.promises[r.config.Self] = false
		r.send(Message{Kind: Prepare, To: r.config.Self, ProposalNumber: r.proposer.number, Index: r.appliedIndex})
	}
	if r.ensurePromises(false) {
		r.becomeLeader(now)
	}
}

// ensurePromises reports whether each open index has its majority of promises, and otherwise asks
// the voters of the first that lacks one; countSelf takes the replica's own promise for given.
func (r *Replica) ensurePromises(countSelf bool) bool {
	promised := func(id ReplicaID) bool {
		return r.proposer.promises[id] || (countSelf && id == r.config.Self)
	}
	for index := r.appliedIndex + 1; index <= r.lastOpenIndex(); index++ {
		if !r.state.MembershipAt(index).IsQuorum(promised) {
			r.sendPrepares(index)
			return false
		}
	}
	return true
}

// becomeLeader starts to propose. The promises count as contact with those who gave them.
func (r *Replica) becomeLeader(now time.Duration) {
	for id, promised := range r.proposer.promises {
		if promised {
			r.followers.contactProvenAt[id] = r.roleSince // the Prepare was sent then
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

// handlePromise is the end of phase 1: it adopts, for each open index, the entry with the
// highest proposal number that an acceptor reports.
func (r *Replica) handlePromise(now time.Duration, msg Message) {
	if !r.isProposing() || msg.ProposalNumber != r.proposer.number || r.proposer.promises[msg.From] {
		if msg.Snapshot != nil {
			r.handleCatchUpResponse(now, msg) // too late for the campaign, but still committed
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
		return // the acceptor knows more than it could send: its promise is of no use yet
	}
	r.proposer.promises[msg.From] = true
	if r.role == Candidate {
		r.tryBecomeLeader(now)
		return
	}
	r.fillPipeline(now)
}

// isProposing reports whether the replica has a campaign or a leadership under way.
func (r *Replica) isProposing() bool { return r.role == Candidate || r.role == Leader }

// handleReject notes a newer term. A leader that is rejected may have been deposed; or a voter
// that was replaced and does not know it has campaigned in vain. The leader then campaigns at
// once: who knows a newer leader rejects that, else nobody waits for an election timeout.
func (r *Replica) handleReject(now time.Duration, msg Message) {
	r.proposer.maxTerm = max(r.proposer.maxTerm, msg.ProposalNumber.Term)
	if r.role == Leader && r.proposer.number.Less(msg.ProposalNumber) {
		r.stepDown(now)
		if r.IsVoter() {
			r.persistTerm(now)
		}
	}
}

// ReportReplicaLost takes note that a replica's incarnation has ended. If it was the leader,
// there is no silence to wait out: the first to know campaigns, and tells the others in its
// Prepare. Others that know may campaign as well, so each waits a little; of two campaigns
// the higher goes on. Like a silence the report proves nothing: a leader that lives is elected
// again at the worst.
func (r *Replica) ReportReplicaLost(now time.Duration, id ReplicaID) {
	if r.contact.leader == id {
		r.campaignSoon(now, time.Duration(r.config.Jitter()*float64(r.config.HeartbeatInterval)/2))
	}
}

// campaignSoon has a follower campaign after a delay: nobody leads any more under the
// proposal number that it follows.
func (r *Replica) campaignSoon(now, delay time.Duration) {
	if r.role == Follower && r.state.LatestMembership().Contains(r.config.Self) {
		r.contact.endedLeadership = r.acceptor.promised
		r.electionDeadline = min(r.electionDeadline, now+delay)
	}
}

// handleLeadershipTransfer campaigns in place of a leader that has lost its vote.
func (r *Replica) handleLeadershipTransfer(now time.Duration, msg Message) {
	if r.contact.leader == msg.From && r.acceptor.promised == msg.ProposalNumber {
		r.campaignSoon(now, 0)
	}
}

// transferLeadership ends the leadership of a replica that was moved out of the cell: the
// others learn what was committed, and the one with the newest contact is asked to campaign.
// If that message is lost, or late, they elect after an election timeout.
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
