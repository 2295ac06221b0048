package cell

import (
	"maps"
	"slices"
	"time"
)

// What a member does that bids or leads; each change of role is one function.

// reserve has the next ballot written down before anybody hears of it: a later life of
// this member, which finds on its disk only what was synced, must not bid under it again.
func (m *Member) reserve(now time.Duration) {
	m.role, m.since = Reserving, now
	m.leader = ""
	m.maxRound++
	m.ballot = Ballot{Round: m.maxRound, By: m.p.Self}
	m.out.Writes.Round = m.maxRound
	m.sendSynced(Message{Kind: Reserved, To: m.p.Self, Ballot: m.ballot})
}

func (m *Member) bid(now time.Duration) {
	m.role, m.since = Bidding, now
	m.promises, m.adopt, m.flights = map[MemberID]bool{}, map[uint64]Entry{}, map[uint64]*flight{}
	m.deadline = now + m.p.Patience + time.Duration(m.p.Jitter()*float64(m.p.Patience))
	for slot := m.applied + 1; slot <= m.applied+m.p.Alpha; slot++ {
		m.sendPrepare(slot)
	}
	m.tryLead(now)
}

// tryLead goes on to lead when a majority of every membership that the open
// positions may need has promised. Our own promise comes last: while others
// still hear their proposer we stay free to follow it.
func (m *Member) tryLead(now time.Duration) {
	for _, own := range []bool{true, false} {
		for s := m.applied + 1; s <= m.applied+m.p.Alpha; s++ {
			if !majority(m.st.at(s), func(id MemberID) bool { return m.promises[id] || (own && id == m.p.Self) }) {
				m.sendPrepare(s)
				return
			}
		}
		if _, done := m.promises[m.p.Self]; !done && own {
			m.promises[m.p.Self] = false
			m.send(Message{Kind: Prepare, To: m.p.Self, Ballot: m.ballot, Slot: m.applied})
		}
	}
	m.lead(now)
}

func (m *Member) lead(now time.Duration) {
	for id, promised := range m.promises {
		if promised {
			m.proven[id] = m.since // they answered what was asked then
		}
	}
	m.role, m.since = Leading, now
	m.leader = m.p.Self
	m.next = m.applied + 1
	m.firstBeat = m.seq + 1
	for _, s := range m.st.at(m.next).Seats {
		m.ackedAt[s.ID] = now // the promises just came in
	}
	m.pump(now)
	m.beat(now)
}

// Propose queues a transaction; its Outcome comes with a later Output.
func (m *Member) Propose(now time.Duration, t Txn) error {
	if m.role != Leading {
		return ErrNotProposer
	}
	if len(m.queue) >= m.p.MaxQueue {
		return ErrBusy
	}
	m.queue = append(m.queue, t)
	m.waiting[t.ID] = true
	m.pump(now)
	return nil
}

// Read asks for a moment at which the applied state is known to be current:
// the ticket comes back in Output.Reads once a majority confirms the proposer.
func (m *Member) Read(now time.Duration, ticket uint64) error {
	if m.role != Leading || m.next == 0 {
		return ErrNotProposer
	}
	if !m.caughtUp() {
		return ErrBusy
	}
	m.beat(now)
	m.reads[m.seq] = append(m.reads[m.seq], ticket)
	return nil
}

// caughtUp reports whether a proposer has applied all that earlier ones had chosen: what it
// has adopted, and after that nothing else can be chosen, since a majority of those who vote
// on the next position has promised. After a change of seats that may be another majority
// than the one that elected it.
func (m *Member) caughtUp() bool {
	return m.applied >= m.maxAdopt() && majority(m.st.at(m.applied+1), func(id MemberID) bool { return m.promises[id] })
}

// settle brings a change of seats to its end: positions without content follow until the
// new membership is in effect and a majority of it is known to hold all that came before.
func (m *Member) settle(now time.Duration, due bool) {
	if due && m.role == Leading && len(m.queue) == 0 && m.next == m.applied+1 && m.settled() != m.st.latest().From {
		m.queue = append(m.queue, Txn{})
	}
}

func (m *Member) maxAdopt() uint64 {
	var top uint64
	for s := range m.adopt {
		if s > top {
			top = s
		}
	}
	return top
}

func (m *Member) sendPrepare(slot uint64) {
	for _, s := range m.st.at(slot).Seats {
		if _, done := m.promises[s.ID]; !done && s.ID != m.p.Self {
			m.promises[s.ID] = false
			m.send(Message{Kind: Prepare, To: s.ID, Ballot: m.ballot, Slot: m.applied, Over: m.over})
		}
	}
}

// pump proposes while the pipeline of alpha positions has room.
func (m *Member) pump(now time.Duration) {
	if m.role != Leading {
		return
	}
	top := m.maxAdopt()
	for m.next <= m.applied+m.p.Alpha {
		ms := m.st.at(m.next)
		if !ms.Has(m.p.Self) && m.next == m.applied+1 {
			m.handOver(now, ms)
			return
		}
		if !majority(ms, func(id MemberID) bool { return m.promises[id] }) {
			m.sendPrepare(m.next)
			return
		}
		e := Entry{Slot: m.next, Ballot: m.ballot}
		if a, ok := m.adopt[m.next]; ok {
			e.Txns = a.Txns
		} else if m.next > top {
			if len(m.queue) == 0 {
				return
			}
			n := min(len(m.queue), m.p.MaxBatch)
			e.Txns = append([]Txn(nil), m.queue[:n]...)
			m.queue = m.queue[n:]
		}
		m.flights[m.next] = &flight{entry: e, acks: map[MemberID]bool{}, sentAt: now}
		m.next++
		m.sendAccept(e, ms, nil)
	}
}

// handOver ends the lead of a member that was moved out of the cell: the others learn what
// was chosen, and the one that was heard last is told to bid. If that is lost, or comes
// late, they elect after a patience.
func (m *Member) handOver(now time.Duration, ms Membership) {
	m.beat(now)
	heir := MemberID("")
	for _, s := range ms.Seats {
		if heir == "" || m.ackedAt[s.ID] > m.ackedAt[heir] {
			heir = s.ID
		}
	}
	m.send(Message{Kind: HandOver, To: heir, Ballot: m.ballot})
	m.leader = ""
	m.listen(now)
}

func (m *Member) sendAccept(e Entry, ms Membership, acked map[MemberID]bool) {
	msg := Message{Kind: Accept, Ballot: m.ballot, Chosen: m.applied, Entries: []Entry{e}}
	for _, s := range ms.Seats {
		if !acked[s.ID] {
			msg.To = s.ID
			m.send(msg)
		}
	}
	for _, id := range m.learners {
		if !ms.Has(id) && !acked[id] {
			msg.To = id
			m.send(msg)
		}
	}
}

func (m *Member) resend(now time.Duration) {
	for slot := m.applied + 1; slot < m.next; slot++ {
		if f := m.flights[slot]; f != nil && !f.chosen && now-f.sentAt >= m.p.Beat {
			f.sentAt = now
			m.sendAccept(f.entry, m.st.at(slot), f.acks)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(m.promises)) {
		if !m.promises[id] {
			m.send(Message{Kind: Prepare, To: id, Ballot: m.ballot, Slot: m.applied, Over: m.over})
		}
	}
}

func (m *Member) beat(now time.Duration) {
	m.seq++
	m.beatAt = now
	m.beatSent[m.seq%keepBeats] = now
	msg := Message{Kind: Beat, Ballot: m.ballot, Chosen: m.applied, Seq: m.seq, Settled: m.settled(), Age: uint64(m.Fresh(now)/time.Millisecond) + 1}
	ms := m.st.at(m.applied + 1)
	seen := map[MemberID]bool{}
	tell := func(id MemberID) {
		if !seen[id] && id != m.p.Self {
			seen[id] = true
			msg.To, msg.Echo = id, m.echoes[id]
			m.send(msg)
		}
	}
	for _, s := range ms.Seats {
		tell(s.ID)
	}
	for _, s := range m.st.latest().Seats {
		tell(s.ID)
	}
	for _, id := range m.learners {
		tell(id)
	}
	m.ackedBeat(m.p.Self, m.seq, now)
}

func (m *Member) onBeatAck(now time.Duration, msg Message) {
	if m.role != Leading || msg.Ballot != m.ballot || msg.Seq < m.firstBeat || msg.Seq > m.seq {
		return
	}
	first := m.acked[msg.From] < m.firstBeat
	m.echoes[msg.From] = msg.Echo
	m.ackedBeat(msg.From, msg.Seq, now)
	if first { // it need not wait for the next beat to know that it is current
		m.send(Message{Kind: Beat, To: msg.From, Ballot: m.ballot, Chosen: m.applied, Seq: m.seq, Echo: msg.Echo,
			Settled: m.settled(), Age: uint64(m.Fresh(now)/time.Millisecond) + 1})
	}
}

func (m *Member) ackedBeat(id MemberID, seq uint64, now time.Duration) {
	if seq > m.acked[id] {
		m.acked[id] = seq
		m.ackedAt[id] = now
		if seq+keepBeats > m.seq {
			m.proven[id] = max(m.proven[id], m.beatSent[seq%keepBeats])
		}
	}
	if len(m.reads) == 0 {
		return
	}
	ms := m.st.at(m.applied + 1)
	for s, tickets := range m.reads {
		if majority(ms, func(id MemberID) bool { return m.acked[id] >= s }) {
			m.out.Reads = append(m.out.Reads, tickets...)
			delete(m.reads, s)
		}
	}
}

func (m *Member) onPromise(now time.Duration, msg Message) {
	if m.role < Bidding || msg.Ballot != m.ballot || m.promises[msg.From] {
		if msg.Snap != nil {
			m.onTeach(now, msg) // late for the bid, and as true as ever
		}
		return
	}
	m.learn(now, msg)
	if m.role < Bidding {
		return
	}
	m.echoes[msg.From] = msg.Echo
	for _, e := range msg.Entries {
		if e.Slot <= m.applied {
			continue
		}
		if a, ok := m.adopt[e.Slot]; !ok || a.Ballot.Less(e.Ballot) {
			m.adopt[e.Slot] = e
		}
	}
	if msg.Chosen > m.applied {
		return // it could not teach us all it knows: not a promise we can use yet
	}
	m.promises[msg.From] = true
	if m.role == Bidding {
		m.tryLead(now)
		return
	}
	m.pump(now)
}

func (m *Member) onReject(now time.Duration, msg Message) {
	if msg.Ballot.Round > m.maxRound {
		m.maxRound = msg.Ballot.Round
	}
	if m.role == Leading && m.ballot.Less(msg.Ballot) {
		// It may have been replaced; or a member with an old view, that was moved out
		// and does not know it, has bid in vain. Who has heard a newer proposer turns
		// this bid down, else nobody need wait out a patience.
		m.leader = ""
		m.listen(now)
		if m.Voter() {
			m.reserve(now)
		}
	}
}

func (m *Member) onAccepted(now time.Duration, msg Message) {
	if m.role != Leading || msg.Ballot != m.ballot {
		return
	}
	m.learnt[msg.From] = max(m.learnt[msg.From], msg.Chosen)
	for _, s := range msg.Slots {
		f := m.flights[s]
		if f == nil {
			continue
		}
		f.acks[msg.From] = true
		if majority(m.st.at(s), func(id MemberID) bool { return f.acks[id] }) {
			f.chosen = true
		}
	}
	moved := false
	for {
		f := m.flights[m.applied+1]
		if f == nil || !f.chosen {
			break
		}
		delete(m.flights, m.applied+1)
		delete(m.adopt, m.applied+1)
		if own := m.log[f.entry.Slot]; own == nil || own.Ballot != f.entry.Ballot {
			m.keep(f.entry)
			m.out.Writes.Entries = append(m.out.Writes.Entries, f.entry)
		}
		m.applyNext()
		moved = true
	}
	if moved {
		m.settle(now, m.applied <= m.st.latest().From+1)
		m.pump(now)
		if m.role == Leading {
			m.beat(now) // others learn at once what was chosen
		}
	}
}
