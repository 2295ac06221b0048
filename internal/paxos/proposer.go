package paxos

import (
	"maps"
	"slices"
	"time"
)

// What a member does that bids or leads; each change of role is one function.

// persistTerm has the next ballot written down before anybody hears of it: a later life of
// this member, which finds on its disk only what was synced, must not bid under it again.
func (m *Replica) persistTerm(now time.Duration) {
	m.role, m.roleSince = PersistingTerm, now
	m.leader = ""
	m.maxTerm++
	m.proposalNumber = ProposalNumber{Term: m.maxTerm, Proposer: m.config.Self}
	m.ready.Writes.Term = m.maxTerm
	m.sendAfterSync(Message{Kind: TermPersisted, To: m.config.Self, ProposalNumber: m.proposalNumber})
}

func (m *Replica) campaign(now time.Duration) {
	m.role, m.roleSince = Candidate, now
	m.promises, m.adopted, m.inFlight = map[ReplicaID]bool{}, map[uint64]Entry{}, map[uint64]*inFlightProposal{}
	m.electionDeadline = now + m.config.ElectionTimeout + time.Duration(m.config.Jitter()*float64(m.config.ElectionTimeout))
	for slot := m.appliedIndex + 1; slot <= m.appliedIndex+m.config.Alpha; slot++ {
		m.sendPrepares(slot)
	}
	m.tryBecomeLeader(now)
}

// tryBecomeLeader goes on to lead when a majority of every membership that the open
// positions may need has promised. Our own promise comes last: while others
// still hear their proposer we stay free to follow it.
func (m *Replica) tryBecomeLeader(now time.Duration) {
	for _, own := range []bool{true, false} {
		for s := m.appliedIndex + 1; s <= m.appliedIndex+m.config.Alpha; s++ {
			if !isQuorum(m.state.membershipAt(s), func(id ReplicaID) bool { return m.promises[id] || (own && id == m.config.Self) }) {
				m.sendPrepares(s)
				return
			}
		}
		if _, done := m.promises[m.config.Self]; !done && own {
			m.promises[m.config.Self] = false
			m.send(Message{Kind: Prepare, To: m.config.Self, ProposalNumber: m.proposalNumber, Index: m.appliedIndex})
		}
	}
	m.becomeLeader(now)
}

func (m *Replica) becomeLeader(now time.Duration) {
	for id, promised := range m.promises {
		if promised {
			m.contactProvenAt[id] = m.roleSince // they answered what was asked then
		}
	}
	m.role, m.roleSince = Leader, now
	m.leader = m.config.Self
	m.nextIndex = m.appliedIndex + 1
	m.firstHeartbeat = m.heartbeatSequence + 1
	for _, s := range m.state.membershipAt(m.nextIndex).Voters {
		m.ackReceivedAt[s.ID] = now // the promises just came in
	}
	m.fillPipeline(now)
	m.broadcastHeartbeat(now)
}

// Propose queues a transaction; its Outcome comes with a later Output.
func (m *Replica) Propose(now time.Duration, t Txn) error {
	if m.role != Leader {
		return ErrNotLeader
	}
	if len(m.queue) >= m.config.MaxQueue {
		return ErrPipelineFull
	}
	m.queue = append(m.queue, t)
	m.awaitingOutcome[t.ID] = true
	m.fillPipeline(now)
	return nil
}

// Read asks for a moment at which the applied state is known to be current:
// the ticket comes back in Output.Reads once a majority confirms the proposer.
func (m *Replica) Read(now time.Duration, ticket uint64) error {
	if m.role != Leader || m.nextIndex == 0 {
		return ErrNotLeader
	}
	if !m.isCaughtUp() {
		return ErrPipelineFull
	}
	m.broadcastHeartbeat(now)
	m.pendingReads[m.heartbeatSequence] = append(m.pendingReads[m.heartbeatSequence], ticket)
	return nil
}

// isCaughtUp reports whether a proposer has applied all that earlier ones had chosen: what it
// has adopted, and after that nothing else can be chosen, since a majority of those who vote
// on the next position has promised. After a change of seats that may be another majority
// than the one that elected it.
func (m *Replica) isCaughtUp() bool {
	return m.appliedIndex >= m.maxAdoptedIndex() && isQuorum(m.state.membershipAt(m.appliedIndex+1), func(id ReplicaID) bool { return m.promises[id] })
}

// continueMembershipChange brings a change of seats to its end: positions without content follow until the
// new membership is in effect and a majority of it is known to hold all that came before.
func (m *Replica) continueMembershipChange(now time.Duration, due bool) {
	if due && m.role == Leader && len(m.queue) == 0 && m.nextIndex == m.appliedIndex+1 && m.completedMembershipIndex() != m.state.latestMembership().EffectiveFrom {
		m.queue = append(m.queue, Txn{})
	}
}

func (m *Replica) maxAdoptedIndex() uint64 {
	var top uint64
	for s := range m.adopted {
		if s > top {
			top = s
		}
	}
	return top
}

func (m *Replica) sendPrepares(slot uint64) {
	for _, s := range m.state.membershipAt(slot).Voters {
		if _, done := m.promises[s.ID]; !done && s.ID != m.config.Self {
			m.promises[s.ID] = false
			m.send(Message{Kind: Prepare, To: s.ID, ProposalNumber: m.proposalNumber, Index: m.appliedIndex, EndedLeadership: m.endedLeadership})
		}
	}
}

// fillPipeline proposes while the pipeline of alpha positions has room.
func (m *Replica) fillPipeline(now time.Duration) {
	if m.role != Leader {
		return
	}
	top := m.maxAdoptedIndex()
	for m.nextIndex <= m.appliedIndex+m.config.Alpha {
		ms := m.state.membershipAt(m.nextIndex)
		if !ms.Contains(m.config.Self) && m.nextIndex == m.appliedIndex+1 {
			m.transferLeadership(now, ms)
			return
		}
		if !isQuorum(ms, func(id ReplicaID) bool { return m.promises[id] }) {
			m.sendPrepares(m.nextIndex)
			return
		}
		e := Entry{Index: m.nextIndex, ProposalNumber: m.proposalNumber}
		if a, ok := m.adopted[m.nextIndex]; ok {
			e.Txns = a.Txns
		} else if m.nextIndex > top {
			if len(m.queue) == 0 {
				return
			}
			n := min(len(m.queue), m.config.MaxBatch)
			e.Txns = append([]Txn(nil), m.queue[:n]...)
			m.queue = m.queue[n:]
		}
		m.inFlight[m.nextIndex] = &inFlightProposal{entry: e, acceptedBy: map[ReplicaID]bool{}, sentAt: now}
		m.nextIndex++
		m.sendAccepts(e, ms, nil)
	}
}

// transferLeadership ends the lead of a member that was moved out of the cell: the others learn what
// was chosen, and the one that was heard last is told to bid. If that is lost, or comes
// late, they elect after a patience.
func (m *Replica) transferLeadership(now time.Duration, ms Membership) {
	m.broadcastHeartbeat(now)
	heir := ReplicaID("")
	for _, s := range ms.Voters {
		if heir == "" || m.ackReceivedAt[s.ID] > m.ackReceivedAt[heir] {
			heir = s.ID
		}
	}
	m.send(Message{Kind: LeadershipTransfer, To: heir, ProposalNumber: m.proposalNumber})
	m.leader = ""
	m.becomeFollower(now)
}

func (m *Replica) sendAccepts(e Entry, ms Membership, acked map[ReplicaID]bool) {
	msg := Message{Kind: Accept, ProposalNumber: m.proposalNumber, CommitIndex: m.appliedIndex, Entries: []Entry{e}}
	for _, s := range ms.Voters {
		if !acked[s.ID] {
			msg.To = s.ID
			m.send(msg)
		}
	}
	for _, id := range m.learners {
		if !ms.Contains(id) && !acked[id] {
			msg.To = id
			m.send(msg)
		}
	}
}

func (m *Replica) retransmit(now time.Duration) {
	for slot := m.appliedIndex + 1; slot < m.nextIndex; slot++ {
		if f := m.inFlight[slot]; f != nil && !f.committed && now-f.sentAt >= m.config.HeartbeatInterval {
			f.sentAt = now
			m.sendAccepts(f.entry, m.state.membershipAt(slot), f.acceptedBy)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(m.promises)) {
		if !m.promises[id] {
			m.send(Message{Kind: Prepare, To: id, ProposalNumber: m.proposalNumber, Index: m.appliedIndex, EndedLeadership: m.endedLeadership})
		}
	}
}

func (m *Replica) broadcastHeartbeat(now time.Duration) {
	m.heartbeatSequence++
	m.heartbeatSentAt = now
	m.heartbeatTimes[m.heartbeatSequence%heartbeatHistory] = now
	msg := Message{Kind: Heartbeat, ProposalNumber: m.proposalNumber, CommitIndex: m.appliedIndex, HeartbeatSequence: m.heartbeatSequence, CompletedMembershipIndex: m.completedMembershipIndex(), QuorumContactAgeMillis: uint64(m.Staleness(now)/time.Millisecond) + 1}
	ms := m.state.membershipAt(m.appliedIndex + 1)
	seen := map[ReplicaID]bool{}
	tell := func(id ReplicaID) {
		if !seen[id] && id != m.config.Self {
			seen[id] = true
			msg.To, msg.EchoTimestamp = id, m.echoTimestamps[id]
			m.send(msg)
		}
	}
	for _, s := range ms.Voters {
		tell(s.ID)
	}
	for _, s := range m.state.latestMembership().Voters {
		tell(s.ID)
	}
	for _, id := range m.learners {
		tell(id)
	}
	m.recordHeartbeatAck(m.config.Self, m.heartbeatSequence, now)
}

func (m *Replica) handleHeartbeatAck(now time.Duration, msg Message) {
	if m.role != Leader || msg.ProposalNumber != m.proposalNumber || msg.HeartbeatSequence < m.firstHeartbeat || msg.HeartbeatSequence > m.heartbeatSequence {
		return
	}
	first := m.ackedHeartbeats[msg.From] < m.firstHeartbeat
	m.echoTimestamps[msg.From] = msg.EchoTimestamp
	m.recordHeartbeatAck(msg.From, msg.HeartbeatSequence, now)
	if first { // it need not wait for the next beat to know that it is current
		m.send(Message{Kind: Heartbeat, To: msg.From, ProposalNumber: m.proposalNumber, CommitIndex: m.appliedIndex, HeartbeatSequence: m.heartbeatSequence, EchoTimestamp: msg.EchoTimestamp,
			CompletedMembershipIndex: m.completedMembershipIndex(), QuorumContactAgeMillis: uint64(m.Staleness(now)/time.Millisecond) + 1})
	}
}

func (m *Replica) recordHeartbeatAck(id ReplicaID, seq uint64, now time.Duration) {
	if seq > m.ackedHeartbeats[id] {
		m.ackedHeartbeats[id] = seq
		m.ackReceivedAt[id] = now
		if seq+heartbeatHistory > m.heartbeatSequence {
			m.contactProvenAt[id] = max(m.contactProvenAt[id], m.heartbeatTimes[seq%heartbeatHistory])
		}
	}
	if len(m.pendingReads) == 0 {
		return
	}
	ms := m.state.membershipAt(m.appliedIndex + 1)
	for s, tickets := range m.pendingReads {
		if isQuorum(ms, func(id ReplicaID) bool { return m.ackedHeartbeats[id] >= s }) {
			m.ready.ConfirmedReads = append(m.ready.ConfirmedReads, tickets...)
			delete(m.pendingReads, s)
		}
	}
}

func (m *Replica) handlePromise(now time.Duration, msg Message) {
	if m.role < Candidate || msg.ProposalNumber != m.proposalNumber || m.promises[msg.From] {
		if msg.Snapshot != nil {
			m.handleCatchUpResponse(now, msg) // late for the bid, and as true as ever
		}
		return
	}
	m.learn(now, msg)
	if m.role < Candidate {
		return
	}
	m.echoTimestamps[msg.From] = msg.EchoTimestamp
	for _, e := range msg.Entries {
		if e.Index <= m.appliedIndex {
			continue
		}
		if a, ok := m.adopted[e.Index]; !ok || a.ProposalNumber.Less(e.ProposalNumber) {
			m.adopted[e.Index] = e
		}
	}
	if msg.CommitIndex > m.appliedIndex {
		return // it could not teach us all it knows: not a promise we can use yet
	}
	m.promises[msg.From] = true
	if m.role == Candidate {
		m.tryBecomeLeader(now)
		return
	}
	m.fillPipeline(now)
}

func (m *Replica) handleReject(now time.Duration, msg Message) {
	if msg.ProposalNumber.Term > m.maxTerm {
		m.maxTerm = msg.ProposalNumber.Term
	}
	if m.role == Leader && m.proposalNumber.Less(msg.ProposalNumber) {
		// It may have been replaced; or a member with an old view, that was moved out
		// and does not know it, has bid in vain. Who has heard a newer proposer turns
		// this bid down, else nobody need wait out a patience.
		m.leader = ""
		m.becomeFollower(now)
		if m.IsVoter() {
			m.persistTerm(now)
		}
	}
}

func (m *Replica) handleAccepted(now time.Duration, msg Message) {
	if m.role != Leader || msg.ProposalNumber != m.proposalNumber {
		return
	}
	m.durableCommitIndexes[msg.From] = max(m.durableCommitIndexes[msg.From], msg.CommitIndex)
	for _, s := range msg.AcceptedIndexes {
		f := m.inFlight[s]
		if f == nil {
			continue
		}
		f.acceptedBy[msg.From] = true
		if isQuorum(m.state.membershipAt(s), func(id ReplicaID) bool { return f.acceptedBy[id] }) {
			f.committed = true
		}
	}
	moved := false
	for {
		f := m.inFlight[m.appliedIndex+1]
		if f == nil || !f.committed {
			break
		}
		delete(m.inFlight, m.appliedIndex+1)
		delete(m.adopted, m.appliedIndex+1)
		if own := m.log[f.entry.Index]; own == nil || own.ProposalNumber != f.entry.ProposalNumber {
			m.storeEntry(f.entry)
			m.ready.Writes.Entries = append(m.ready.Writes.Entries, f.entry)
		}
		m.applyNext()
		moved = true
	}
	if moved {
		m.continueMembershipChange(now, m.appliedIndex <= m.state.latestMembership().EffectiveFrom+1)
		m.fillPipeline(now)
		if m.role == Leader {
			m.broadcastHeartbeat(now) // others learn at once what was chosen
		}
	}
}
