package paxos

import (
	"sort"
	"strings"
	"time"
)

// Role is the explicit state of a member.
type Role uint8

// Roles: Listening follows a proposer, Reserving waits until the ballot of its next
// bid is on its disk, Bidding asks for promises, Leading is the distinguished proposer.
const (
	Follower Role = iota
	PersistingTerm
	Candidate
	Leader
)

func (r Role) String() string { return [...]string{"listening", "reserving", "bidding", "leading"}[r] }

// heartbeatHistory is for how many of its last beats a proposer knows when they were sent.
const heartbeatHistory = 64

type inFlightProposal struct {
	entry      Entry
	acceptedBy map[ReplicaID]bool
	committed  bool
	sentAt     time.Duration
}

// Replica is one member of one cell.
type Replica struct {
	config Config
	state  stateMachine

	promised           ProposalNumber
	log                map[uint64]*Entry
	compactedIndex     uint64 // positions up to here have been compacted away
	appliedIndex       uint64
	durableCommitIndex uint64 // a restart finds what was chosen up to here, once all Writes are synced
	logBytes           int

	role            Role
	roleSince       time.Duration // of the current role
	proposalNumber  ProposalNumber
	maxTerm         uint64
	nextIndex       uint64
	promises        map[ReplicaID]bool
	adopted         map[uint64]Entry
	inFlight        map[uint64]*inFlightProposal
	queue           []Txn
	awaitingOutcome map[string]bool

	leader               ReplicaID
	endedLeadership      ProposalNumber // nobody leads under this one, nor under those before, any more
	leaderContactAt      time.Duration
	currentUntil         time.Duration // our state includes all that was acknowledged until then
	announced            commitAnnouncement
	timestampBase        uint64 // where the stamps of this life begin
	electionDeadline     time.Duration
	catchUpRequestedAt   time.Duration
	catchUpRequestedFrom ReplicaID
	catchUpBackoff       time.Duration
	catchUpPending       bool
	transfers            map[ReplicaID]transfer

	heartbeatSequence    uint64
	heartbeatSentAt      time.Duration
	firstHeartbeat       uint64 // the first beat of the current ballot
	heartbeatTimes       [heartbeatHistory]time.Duration
	ackedHeartbeats      map[ReplicaID]uint64
	ackReceivedAt        map[ReplicaID]time.Duration // when the answer came
	contactProvenAt      map[ReplicaID]time.Duration // when the question left
	echoTimestamps       map[ReplicaID]uint64
	durableCommitIndexes map[ReplicaID]uint64 // what a member's disk holds and knows to be chosen
	learners             []ReplicaID
	pendingReads         map[uint64][]uint64

	ready Ready
}

// commitAnnouncement is what the last beat said, and until when all that was acknowledged is in it.
type commitAnnouncement struct {
	commitIndex, completedMembershipIndex uint64
	currentUntil                          time.Duration
}

// NewReplica makes a member from what its disk holds. A voter of a new cell starts
// with a snapshot at position 0 that holds the first membership.
func NewReplica(p Config, s PersistedState, now time.Duration) *Replica {
	m := &Replica{config: p, log: map[uint64]*Entry{}, promised: s.Promised, maxTerm: max(s.Promised.Term, s.Term),
		awaitingOutcome: map[string]bool{}, ackedHeartbeats: map[ReplicaID]uint64{}, ackReceivedAt: map[ReplicaID]time.Duration{},
		contactProvenAt: map[ReplicaID]time.Duration{}, echoTimestamps: map[ReplicaID]uint64{}, transfers: map[ReplicaID]transfer{},
		durableCommitIndexes: map[ReplicaID]uint64{}, pendingReads: map[uint64][]uint64{}, timestampBase: uint64(p.Jitter() * (1 << 62))}
	m.state.kv = map[string]Value{}
	if s.Snapshot != nil {
		m.loadSnapshot(s.Snapshot)
	}
	sort.Slice(s.Entries, func(i, j int) bool { return s.Entries[i].Index < s.Entries[j].Index })
	for i := range s.Entries {
		m.storeEntry(s.Entries[i])
	}
	for m.appliedIndex < s.CommitIndex && m.log[m.appliedIndex+1] != nil && m.state.hasMembership() {
		m.applyNext()
	}
	m.durableCommitIndex = m.appliedIndex
	m.becomeFollower(now)
	// After a start nobody may lead: ask soon. Members that hear a proposer
	// turn us down, and we have promised nothing yet.
	m.electionDeadline = now + time.Duration((0.2+m.config.Jitter())*float64(m.config.ElectionTimeout)/3)
	return m
}

func (m *Replica) loadSnapshot(s *Snapshot) {
	m.state.kv = make(map[string]Value, len(s.State))
	for k, v := range s.State {
		m.state.kv[k] = v
	}
	m.state.memberships = append([]Membership(nil), s.Memberships...)
	m.state.changedKeys = ChangedKeys{All: true}
	m.compactedIndex, m.appliedIndex = s.AppliedIndex, s.AppliedIndex
	for slot, e := range m.log {
		if slot <= s.AppliedIndex {
			m.logBytes -= entrySize(e)
			delete(m.log, slot)
		}
	}
}

func (m *Replica) storeEntry(e Entry) {
	if old := m.log[e.Index]; old != nil {
		m.logBytes -= entrySize(old)
	}
	c := e
	m.log[e.Index] = &c
	m.logBytes += entrySize(&c)
}

// Ready hands over what the member wants done since the last call. What a member says that
// its disk holds is what these Writes, and those before, note as chosen there.
func (m *Replica) Ready() Ready {
	o := m.ready
	o.Writes.CommitIndex, o.ChangedKeys = m.appliedIndex, m.state.changedKeys
	if !o.Writes.Empty() {
		m.durableCommitIndex = m.appliedIndex
	}
	for i := range o.MessagesAfterSync {
		if msg := &o.MessagesAfterSync[i]; msg.Kind == Accepted || msg.Kind == CommitPersisted {
			msg.CommitIndex = min(msg.CommitIndex, m.durableCommitIndex)
		}
	}
	m.ready, m.state.changedKeys = Ready{}, ChangedKeys{}
	return o
}

// Views of a member.

// Role returns the member's state.
func (m *Replica) Role() Role { return m.role }

// Self returns the member's own name.
func (m *Replica) Self() ReplicaID { return m.config.Self }

// Leader returns the proposer that the member knows of, or "".
func (m *Replica) Leader() ReplicaID { return m.leader }

// AppliedIndex returns the last log position that the state includes.
func (m *Replica) AppliedIndex() uint64 { return m.appliedIndex }

// Get returns a value of the applied state: a consistent prefix, maybe old.
func (m *Replica) Get(key string) (Value, bool) { v, ok := m.state.kv[key]; return v, ok }

// Keys returns the keys of the applied state in order.
func (m *Replica) Keys() []string { return sortedKeys(m.state.kv) }

// KeysWithPrefix returns, in order, the keys with a prefix that are not before from.
func (m *Replica) KeysWithPrefix(prefix, from string) []string {
	var out []string
	for k := range m.state.kv {
		if k >= from && strings.HasPrefix(k, prefix) {
			out = append(out, k)
		}
	}
	sort.Strings(out)
	return out
}

// Voters returns the newest membership and whether the change to it is done: it is in
// effect, and a majority of it holds on disk all that was chosen before. Until then those
// who leave may be needed. The proposer judges it, and tells the others with its beats.
func (m *Replica) Voters() ([]Voter, bool) {
	l := m.state.latestMembership()
	if m.role == Leader {
		return l.Voters, m.completedMembershipIndex() == l.EffectiveFrom
	}
	return l.Voters, m.leader != "" && l.EffectiveFrom <= m.appliedIndex+1 && m.announced.completedMembershipIndex == l.EffectiveFrom
}

// completedMembershipIndex is where the newest membership begins if the change to it is done.
func (m *Replica) completedMembershipIndex() uint64 {
	l := m.state.latestMembership()
	if l.EffectiveFrom <= m.appliedIndex+1 && isQuorum(l, func(id ReplicaID) bool { return m.durableCommitIndexes[id]+1 >= l.EffectiveFrom }) {
		return l.EffectiveFrom
	}
	return 0
}

// IsVoter reports whether the member votes on the next position.
func (m *Replica) IsVoter() bool {
	return m.state.membershipAt(m.appliedIndex + 1).Contains(m.config.Self)
}

// DurableCommitIndex returns how far a member is known to have what was chosen on its disk.
func (m *Replica) DurableCommitIndex(id ReplicaID) uint64 { return m.durableCommitIndexes[id] }

// SetLearners names members without a vote that are to be kept current.
func (m *Replica) SetLearners(ids []ReplicaID) { m.learners = ids }

// unboundedStaleness is longer ago than any bound.
const unboundedStaleness = 1000 * time.Hour

// Staleness reports how old the member's state may be at most: all that was acknowledged
// before is in it. A proposer knows by what a majority answered, counted from when it
// asked; the others by their proposer, counted from the last sign of theirs that it had
// had. What arrives late, after a cut or a standstill, proves nothing newer.
func (m *Replica) Staleness(now time.Duration) time.Duration {
	switch {
	case m.role == Leader && !m.isCaughtUp(), m.leader == "",
		m.role != Leader && m.currentUntil == 0: // started, and not current even once
		return unboundedStaleness
	case m.role == Leader:
		return now - m.quorumTime(m.contactProvenAt)
	}
	return now - m.currentUntil
}

// timestamp marks a moment of this life on this member's clock, for an echo.
func (m *Replica) timestamp(now time.Duration) uint64 {
	return m.timestampBase + uint64(now/time.Millisecond) + 1
}

// recordAnnouncement takes in what a beat proves: the proposer had our echo before it sent it.
func (m *Replica) recordAnnouncement(now time.Duration, msg Message) {
	m.announced.commitIndex, m.announced.completedMembershipIndex = msg.CommitIndex, msg.CompletedMembershipIndex
	if ms := msg.EchoTimestamp - m.timestampBase - 1; msg.EchoTimestamp > m.timestampBase && ms <= uint64(now/time.Millisecond) {
		m.announced.currentUntil = time.Duration(ms)*time.Millisecond - time.Duration(min(msg.QuorumContactAgeMillis, uint64(unboundedStaleness/time.Millisecond)))*time.Millisecond
	} else {
		m.announced.currentUntil = 0
	}
}

// advanceCurrentUntil notes until when all that was acknowledged is in the state.
func (m *Replica) advanceCurrentUntil() {
	if m.appliedIndex >= m.announced.commitIndex && m.announced.currentUntil > m.currentUntil {
		m.currentUntil = m.announced.currentUntil
	}
}

func (m *Replica) quorumContactAt() time.Duration { return m.quorumTime(m.ackReceivedAt) }

// quorumTime is the newest time that a majority has reached.
func (m *Replica) quorumTime(at map[ReplicaID]time.Duration) time.Duration {
	seats := m.state.membershipAt(m.appliedIndex + 1).Voters
	var ts []time.Duration
	for _, s := range seats {
		ts = append(ts, at[s.ID])
	}
	if len(ts) == 0 {
		return 0
	}
	sort.Slice(ts, func(i, j int) bool { return ts[i] > ts[j] })
	return ts[len(ts)/2]
}

// Changes of state, one function each.

func (m *Replica) becomeFollower(now time.Duration) {
	if m.role == Leader {
		for _, t := range m.queue {
			m.reportOutcome(Outcome{TxnID: t.ID, Unknown: true})
		}
	}
	m.role, m.roleSince = Follower, now
	m.queue, m.inFlight, m.promises, m.adopted = nil, nil, nil, nil
	m.pendingReads = map[uint64][]uint64{}
	m.electionDeadline = now + m.config.ElectionTimeout + time.Duration(m.config.Jitter()*float64(m.config.ElectionTimeout))
}

// followLeader takes note of a proposer whose ballot is not behind our promise. What one that is
// over sent before keeps nobody from bidding.
func (m *Replica) followLeader(b ProposalNumber, now time.Duration) {
	if !m.endedLeadership.Less(b) {
		return
	}
	if m.role != Follower && b.Proposer != m.config.Self {
		m.becomeFollower(now)
	}
	if m.promised.Less(b) {
		m.recordPromise(b)
	}
	m.leader, m.leaderContactAt = b.Proposer, now
	if m.role == Follower {
		m.electionDeadline = now + m.config.ElectionTimeout + time.Duration(m.config.Jitter()*float64(m.config.ElectionTimeout))
	}
}

// ReportReplicaLost takes note that a member's life has ended. If it was the proposer, there is no
// silence to wait out: who knows first bids, and tells the others in its bid. Others that
// know may bid as well, so each waits a little of its own; of two bids the higher goes on.
// Like a silence it proves nothing: a proposer that lives is elected again at the worst.
func (m *Replica) ReportReplicaLost(now time.Duration, id ReplicaID) {
	if m.leader == id {
		m.campaignSoon(now, time.Duration(m.config.Jitter()*float64(m.config.HeartbeatInterval)/2))
	}
}

// campaignSoon has a follower bid soon: nobody leads any more under the ballot that it follows.
func (m *Replica) campaignSoon(now, wait time.Duration) {
	if m.role == Follower && m.state.latestMembership().Contains(m.config.Self) {
		m.endedLeadership = m.promised
		m.electionDeadline = min(m.electionDeadline, now+wait)
	}
}

func (m *Replica) recordPromise(b ProposalNumber) {
	m.promised = b
	if b.Term > m.maxTerm {
		m.maxTerm = b.Term
	}
	c := b
	m.ready.Writes.Promised = &c
}

// Tick lets time pass.
func (m *Replica) Tick(now time.Duration) {
	switch m.role {
	case Leader:
		if now-m.quorumContactAt() > m.config.ElectionTimeout {
			m.leader = ""
			m.becomeFollower(now)
			return
		}
		if now-m.heartbeatSentAt >= m.config.HeartbeatInterval {
			m.retransmit(now)
			m.continueMembershipChange(now, true)
			m.fillPipeline(now)
			m.broadcastHeartbeat(now)
		}
	case PersistingTerm: // its disk is slow, or hangs
		if now-m.roleSince > m.config.ElectionTimeout {
			m.endedLeadership = ProposalNumber{}
		}
	case Candidate, Follower:
		if now >= m.electionDeadline {
			m.leader = ""
			if m.role == Candidate || !m.IsVoter() {
				m.endedLeadership = ProposalNumber{} // good for one bid: if it was wrong, the proposer is followed again
			}
			if m.IsVoter() {
				m.persistTerm(now)
			} else {
				m.becomeFollower(now)
			}
		}
	}
}

// ForgetOutcome drops interest in a transaction's outcome.
func (m *Replica) ForgetOutcome(id string) { delete(m.awaitingOutcome, id) }

func (m *Replica) reportOutcome(o Outcome) {
	if m.awaitingOutcome[o.TxnID] {
		delete(m.awaitingOutcome, o.TxnID)
		m.ready.Outcomes = append(m.ready.Outcomes, o)
	}
}

func (m *Replica) send(msg Message) {
	msg.Cell, msg.From = m.config.Cell, m.config.Self
	m.ready.Messages = append(m.ready.Messages, msg)
}

// sendAfterSync sends what others will count on: it leaves after the sync.
func (m *Replica) sendAfterSync(msg Message) {
	msg.Cell, msg.From = m.config.Cell, m.config.Self
	m.ready.MessagesAfterSync = append(m.ready.MessagesAfterSync, msg)
}

func isQuorum(ms Membership, has func(ReplicaID) bool) bool {
	n := 0
	for _, s := range ms.Voters {
		if has(s.ID) {
			n++
		}
	}
	return len(ms.Voters) > 0 && n > len(ms.Voters)/2
}

// Step takes in a message.
func (m *Replica) Step(now time.Duration, msg Message) {
	if msg.To != m.config.Self || msg.Cell != m.config.Cell {
		return
	}
	switch msg.Kind {
	case Prepare:
		m.handlePrepare(now, msg)
	case Promise:
		m.handlePromise(now, msg)
	case Reject:
		m.handleReject(now, msg)
	case Accept:
		m.handleAccept(now, msg)
	case Accepted:
		m.handleAccepted(now, msg)
	case Heartbeat:
		m.handleHeartbeat(now, msg)
	case HeartbeatAck:
		m.handleHeartbeatAck(now, msg)
	case TermPersisted:
		if m.role == PersistingTerm && msg.ProposalNumber == m.proposalNumber {
			m.campaign(now)
		}
	case CommitPersisted:
		if m.role == Leader && msg.ProposalNumber == m.proposalNumber {
			m.durableCommitIndexes[msg.From] = max(m.durableCommitIndexes[msg.From], msg.CommitIndex)
		}
	case LeadershipTransfer:
		if m.leader == msg.From && m.promised == msg.ProposalNumber {
			m.campaignSoon(now, 0)
		}
	case CatchUpRequest:
		m.handleCatchUpRequest(now, msg)
	case CatchUpResponse:
		m.handleCatchUpResponse(now, msg)
	}
}

func (m *Replica) sendReject(to ReplicaID) {
	m.send(Message{Kind: Reject, To: to, ProposalNumber: m.promised, CommitIndex: m.appliedIndex})
}

func (m *Replica) handlePrepare(now time.Duration, msg Message) {
	if msg.ProposalNumber.Less(m.promised) {
		m.sendReject(msg.From)
		return
	}
	// Of two that bid at once the higher goes on: if each gave way to the other,
	// both bids would be lost.
	if m.role == Candidate && msg.ProposalNumber.Proposer != m.config.Self && msg.ProposalNumber.Less(m.proposalNumber) {
		m.send(Message{Kind: Reject, To: msg.From, ProposalNumber: m.proposalNumber, CommitIndex: m.appliedIndex})
		return
	}
	// A proposer that is heard keeps its place: a member that comes back from
	// a cut does not unseat it. One that the bidder knows to be over is not waited for.
	lastHeard := m.leaderContactAt
	if m.role == Leader {
		lastHeard = m.quorumContactAt()
	}
	over := m.role != Leader && msg.EndedLeadership != ProposalNumber{} && !msg.EndedLeadership.Less(m.promised)
	heard := !over && m.leader != "" && m.leader != msg.ProposalNumber.Proposer && now-lastHeard < m.config.ElectionTimeout*2/3
	if heard && m.promised.Less(msg.ProposalNumber) {
		m.send(Message{Kind: Reject, To: msg.From, ProposalNumber: msg.ProposalNumber, CommitIndex: m.appliedIndex})
		return
	}
	if msg.ProposalNumber.Proposer != m.config.Self && m.role != Follower {
		m.becomeFollower(now)
	}
	if m.promised.Less(msg.ProposalNumber) {
		m.recordPromise(msg.ProposalNumber)
		m.leader = ""
	}
	if m.role == Follower {
		m.electionDeadline = now + m.config.ElectionTimeout + time.Duration(m.config.Jitter()*float64(m.config.ElectionTimeout))
	}
	r := Message{Kind: Promise, To: msg.From, ProposalNumber: msg.ProposalNumber, CommitIndex: m.appliedIndex, Index: msg.Index, EchoTimestamp: m.timestamp(now)}
	from := msg.Index
	if from < m.compactedIndex {
		if m.mayTransfer(now, msg.From, from) {
			r.Snapshot = m.state.snapshot(m.appliedIndex)
		}
		from = m.appliedIndex
	}
	r.Entries = m.entriesBetween(from, ^uint64(0))
	m.sendAfterSync(r)
}

func (m *Replica) handleAccept(now time.Duration, msg Message) {
	if msg.ProposalNumber.Less(m.promised) {
		m.sendReject(msg.From)
		return
	}
	m.followLeader(msg.ProposalNumber, now)
	r := Message{Kind: Accepted, To: msg.From, ProposalNumber: msg.ProposalNumber, CommitIndex: m.appliedIndex}
	for _, e := range msg.Entries {
		if e.Index > m.appliedIndex {
			m.storeEntry(e)
			m.ready.Writes.Entries = append(m.ready.Writes.Entries, e)
		}
		r.AcceptedIndexes = append(r.AcceptedIndexes, e.Index)
	}
	m.sendAfterSync(r)
	if msg.ProposalNumber.Proposer != m.config.Self {
		m.catchUp(now, msg.ProposalNumber, msg.CommitIndex)
	}
}

func (m *Replica) handleHeartbeat(now time.Duration, msg Message) {
	if msg.ProposalNumber.Less(m.promised) {
		m.sendReject(msg.From)
		return
	}
	m.followLeader(msg.ProposalNumber, now)
	m.recordAnnouncement(now, msg)
	m.catchUp(now, msg.ProposalNumber, msg.CommitIndex)
	m.send(Message{Kind: HeartbeatAck, To: msg.From, ProposalNumber: msg.ProposalNumber, HeartbeatSequence: msg.HeartbeatSequence, EchoTimestamp: m.timestamp(now)})
	if !m.IsVoter() { // a seat is given on the strength of what a newcomer holds on disk
		if m.durableCommitIndex+m.config.Alpha < m.appliedIndex { // in a quiet cell nothing more may come that is written
			m.ready.Writes.PersistCommitIndex = true
		}
		m.sendAfterSync(Message{Kind: CommitPersisted, To: msg.From, ProposalNumber: msg.ProposalNumber, CommitIndex: m.appliedIndex})
	}
}
