package cell

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
	Listening Role = iota
	Reserving
	Bidding
	Leading
)

func (r Role) String() string { return [...]string{"listening", "reserving", "bidding", "leading"}[r] }

// keepBeats is for how many of its last beats a proposer knows when they were sent.
const keepBeats = 64

type flight struct {
	entry  Entry
	acks   map[MemberID]bool
	chosen bool
	sentAt time.Duration
}

// Member is one member of one cell.
type Member struct {
	p  Params
	st state

	promised Ballot
	log      map[uint64]*Entry
	base     uint64 // positions up to here have been compacted away
	applied  uint64
	noted    uint64 // a restart finds what was chosen up to here, once all Writes are synced
	logBytes int

	role     Role
	since    time.Duration // of the current role
	ballot   Ballot
	maxRound uint64
	next     uint64
	promises map[MemberID]bool
	adopt    map[uint64]Entry
	flights  map[uint64]*flight
	queue    []Txn
	waiting  map[string]bool

	leader   MemberID
	over     Ballot // nobody leads under this one, nor under those before, any more
	heardAt  time.Duration
	current  time.Duration // our state includes all that was acknowledged until then
	told     told
	life     uint64 // where the stamps of this life begin
	deadline time.Duration
	askedAt  time.Duration
	askedOf  MemberID
	askWait  time.Duration
	asked    bool
	taught   map[MemberID]teaching

	seq       uint64
	beatAt    time.Duration
	firstBeat uint64 // the first beat of the current ballot
	beatSent  [keepBeats]time.Duration
	acked     map[MemberID]uint64
	ackedAt   map[MemberID]time.Duration // when the answer came
	proven    map[MemberID]time.Duration // when the question left
	echoes    map[MemberID]uint64
	learnt    map[MemberID]uint64 // what a member's disk holds and knows to be chosen
	learners  []MemberID
	reads     map[uint64][]uint64

	out Output
}

// told is what the last beat said, and until when all that was acknowledged is in it.
type told struct {
	chosen, settled uint64
	until           time.Duration
}

// New makes a member from what its disk holds. A voter of a new cell starts
// with a snapshot at position 0 that holds the first membership.
func New(p Params, s Saved, now time.Duration) *Member {
	m := &Member{p: p, log: map[uint64]*Entry{}, promised: s.Promised, maxRound: max(s.Promised.Round, s.Round),
		waiting: map[string]bool{}, acked: map[MemberID]uint64{}, ackedAt: map[MemberID]time.Duration{},
		proven: map[MemberID]time.Duration{}, echoes: map[MemberID]uint64{}, taught: map[MemberID]teaching{},
		learnt: map[MemberID]uint64{}, reads: map[uint64][]uint64{}, life: uint64(p.Jitter() * (1 << 62))}
	m.st.kv = map[string]Value{}
	if s.Snap != nil {
		m.load(s.Snap)
	}
	sort.Slice(s.Entries, func(i, j int) bool { return s.Entries[i].Slot < s.Entries[j].Slot })
	for i := range s.Entries {
		m.keep(s.Entries[i])
	}
	for m.applied < s.Chosen && m.log[m.applied+1] != nil && m.st.founded() {
		m.applyNext()
	}
	m.noted = m.applied
	m.listen(now)
	// After a start nobody may lead: ask soon. Members that hear a proposer
	// turn us down, and we have promised nothing yet.
	m.deadline = now + time.Duration((0.2+m.p.Jitter())*float64(m.p.Patience)/3)
	return m
}

func (m *Member) load(s *Snapshot) {
	m.st.kv = make(map[string]Value, len(s.State))
	for k, v := range s.State {
		m.st.kv[k] = v
	}
	m.st.memberships = append([]Membership(nil), s.Memberships...)
	m.st.touched = Touched{All: true}
	m.base, m.applied = s.Applied, s.Applied
	for slot, e := range m.log {
		if slot <= s.Applied {
			m.logBytes -= entrySize(e)
			delete(m.log, slot)
		}
	}
}

func (m *Member) keep(e Entry) {
	if old := m.log[e.Slot]; old != nil {
		m.logBytes -= entrySize(old)
	}
	c := e
	m.log[e.Slot] = &c
	m.logBytes += entrySize(&c)
}

// Take hands over what the member wants done since the last call. What a member says that
// its disk holds is what these Writes, and those before, note as chosen there.
func (m *Member) Take() Output {
	o := m.out
	o.Writes.Chosen, o.Touched = m.applied, m.st.touched
	if !o.Writes.Empty() {
		m.noted = m.applied
	}
	for i := range o.SendSynced {
		if msg := &o.SendSynced[i]; msg.Kind == Accepted || msg.Kind == Held {
			msg.Chosen = min(msg.Chosen, m.noted)
		}
	}
	m.out, m.st.touched = Output{}, Touched{}
	return o
}

// Views of a member.

// Role returns the member's state.
func (m *Member) Role() Role { return m.role }

// Self returns the member's own name.
func (m *Member) Self() MemberID { return m.p.Self }

// Leader returns the proposer that the member knows of, or "".
func (m *Member) Leader() MemberID { return m.leader }

// Applied returns the last log position that the state includes.
func (m *Member) Applied() uint64 { return m.applied }

// Get returns a value of the applied state: a consistent prefix, maybe old.
func (m *Member) Get(key string) (Value, bool) { v, ok := m.st.kv[key]; return v, ok }

// Keys returns the keys of the applied state in order.
func (m *Member) Keys() []string { return sortedKeys(m.st.kv) }

// KeysFrom returns, in order, the keys with a prefix that are not before from.
func (m *Member) KeysFrom(prefix, from string) []string {
	var out []string
	for k := range m.st.kv {
		if k >= from && strings.HasPrefix(k, prefix) {
			out = append(out, k)
		}
	}
	sort.Strings(out)
	return out
}

// Seats returns the newest membership and whether the change to it is done: it is in
// effect, and a majority of it holds on disk all that was chosen before. Until then those
// who leave may be needed. The proposer judges it, and tells the others with its beats.
func (m *Member) Seats() ([]Seat, bool) {
	l := m.st.latest()
	if m.role == Leading {
		return l.Seats, m.settled() == l.From
	}
	return l.Seats, m.leader != "" && l.From <= m.applied+1 && m.told.settled == l.From
}

// settled is where the newest membership begins if the change to it is done.
func (m *Member) settled() uint64 {
	l := m.st.latest()
	if l.From <= m.applied+1 && majority(l, func(id MemberID) bool { return m.learnt[id]+1 >= l.From }) {
		return l.From
	}
	return 0
}

// Voter reports whether the member votes on the next position.
func (m *Member) Voter() bool { return m.st.at(m.applied + 1).Has(m.p.Self) }

// Learnt returns how far a member is known to have what was chosen on its disk.
func (m *Member) Learnt(id MemberID) uint64 { return m.learnt[id] }

// SetLearners names members without a vote that are to be kept current.
func (m *Member) SetLearners(ids []MemberID) { m.learners = ids }

// never is longer ago than any bound.
const never = 1000 * time.Hour

// Fresh reports how old the member's state may be at most: all that was acknowledged
// before is in it. A proposer knows by what a majority answered, counted from when it
// asked; the others by their proposer, counted from the last sign of theirs that it had
// had. What arrives late, after a cut or a standstill, proves nothing newer.
func (m *Member) Fresh(now time.Duration) time.Duration {
	switch {
	case m.role == Leading && !m.caughtUp(), m.leader == "",
		m.role != Leading && m.current == 0: // started, and not current even once
		return never
	case m.role == Leading:
		return now - m.majorityOf(m.proven)
	}
	return now - m.current
}

// stamp marks a moment of this life on this member's clock, for an echo.
func (m *Member) stamp(now time.Duration) uint64 { return m.life + uint64(now/time.Millisecond) + 1 }

// noteBeat takes in what a beat proves: the proposer had our echo before it sent it.
func (m *Member) noteBeat(now time.Duration, msg Message) {
	m.told.chosen, m.told.settled = msg.Chosen, msg.Settled
	if ms := msg.Echo - m.life - 1; msg.Echo > m.life && ms <= uint64(now/time.Millisecond) {
		m.told.until = time.Duration(ms)*time.Millisecond - time.Duration(min(msg.Age, uint64(never/time.Millisecond)))*time.Millisecond
	} else {
		m.told.until = 0
	}
}

// noteCurrent notes until when all that was acknowledged is in the state.
func (m *Member) noteCurrent() {
	if m.applied >= m.told.chosen && m.told.until > m.current {
		m.current = m.told.until
	}
}

func (m *Member) majorityAt() time.Duration { return m.majorityOf(m.ackedAt) }

// majorityOf is the newest time that a majority has reached.
func (m *Member) majorityOf(at map[MemberID]time.Duration) time.Duration {
	seats := m.st.at(m.applied + 1).Seats
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

func (m *Member) listen(now time.Duration) {
	if m.role == Leading {
		for _, t := range m.queue {
			m.finish(Outcome{ID: t.ID, Lost: true})
		}
	}
	m.role, m.since = Listening, now
	m.queue, m.flights, m.promises, m.adopt = nil, nil, nil, nil
	m.reads = map[uint64][]uint64{}
	m.deadline = now + m.p.Patience + time.Duration(m.p.Jitter()*float64(m.p.Patience))
}

// follow takes note of a proposer whose ballot is not behind our promise. What one that is
// over sent before keeps nobody from bidding.
func (m *Member) follow(b Ballot, now time.Duration) {
	if !m.over.Less(b) {
		return
	}
	if m.role != Listening && b.By != m.p.Self {
		m.listen(now)
	}
	if m.promised.Less(b) {
		m.promise(b)
	}
	m.leader, m.heardAt = b.By, now
	if m.role == Listening {
		m.deadline = now + m.p.Patience + time.Duration(m.p.Jitter()*float64(m.p.Patience))
	}
}

// Over takes note that a member's life has ended. If it was the proposer, there is no
// silence to wait out: who knows first bids, and tells the others in its bid. Others that
// know may bid as well, so each waits a little of its own; of two bids the higher goes on.
// Like a silence it proves nothing: a proposer that lives is elected again at the worst.
func (m *Member) Over(now time.Duration, id MemberID) {
	if m.leader == id {
		m.succeed(now, time.Duration(m.p.Jitter()*float64(m.p.Beat)/2))
	}
}

// succeed has a follower bid soon: nobody leads any more under the ballot that it follows.
func (m *Member) succeed(now, wait time.Duration) {
	if m.role == Listening && m.st.latest().Has(m.p.Self) {
		m.over = m.promised
		m.deadline = min(m.deadline, now+wait)
	}
}

func (m *Member) promise(b Ballot) {
	m.promised = b
	if b.Round > m.maxRound {
		m.maxRound = b.Round
	}
	c := b
	m.out.Writes.Promised = &c
}

// Tick lets time pass.
func (m *Member) Tick(now time.Duration) {
	switch m.role {
	case Leading:
		if now-m.majorityAt() > m.p.Patience {
			m.leader = ""
			m.listen(now)
			return
		}
		if now-m.beatAt >= m.p.Beat {
			m.resend(now)
			m.settle(now, true)
			m.pump(now)
			m.beat(now)
		}
	case Reserving: // its disk is slow, or hangs
		if now-m.since > m.p.Patience {
			m.over = Ballot{}
		}
	case Bidding, Listening:
		if now >= m.deadline {
			m.leader = ""
			if m.role == Bidding || !m.Voter() {
				m.over = Ballot{} // good for one bid: if it was wrong, the proposer is followed again
			}
			if m.Voter() {
				m.reserve(now)
			} else {
				m.listen(now)
			}
		}
	}
}

// Forget drops interest in a transaction's outcome.
func (m *Member) Forget(id string) { delete(m.waiting, id) }

func (m *Member) finish(o Outcome) {
	if m.waiting[o.ID] {
		delete(m.waiting, o.ID)
		m.out.Done = append(m.out.Done, o)
	}
}

func (m *Member) send(msg Message) {
	msg.Cell, msg.From = m.p.Cell, m.p.Self
	m.out.Send = append(m.out.Send, msg)
}

// sendSynced sends what others will count on: it leaves after the sync.
func (m *Member) sendSynced(msg Message) {
	msg.Cell, msg.From = m.p.Cell, m.p.Self
	m.out.SendSynced = append(m.out.SendSynced, msg)
}

func majority(ms Membership, has func(MemberID) bool) bool {
	n := 0
	for _, s := range ms.Seats {
		if has(s.ID) {
			n++
		}
	}
	return len(ms.Seats) > 0 && n > len(ms.Seats)/2
}

// Step takes in a message.
func (m *Member) Step(now time.Duration, msg Message) {
	if msg.To != m.p.Self || msg.Cell != m.p.Cell {
		return
	}
	switch msg.Kind {
	case Prepare:
		m.onPrepare(now, msg)
	case Promise:
		m.onPromise(now, msg)
	case Reject:
		m.onReject(now, msg)
	case Accept:
		m.onAccept(now, msg)
	case Accepted:
		m.onAccepted(now, msg)
	case Beat:
		m.onBeat(now, msg)
	case BeatAck:
		m.onBeatAck(now, msg)
	case Reserved:
		if m.role == Reserving && msg.Ballot == m.ballot {
			m.bid(now)
		}
	case Held:
		if m.role == Leading && msg.Ballot == m.ballot {
			m.learnt[msg.From] = max(m.learnt[msg.From], msg.Chosen)
		}
	case HandOver:
		if m.leader == msg.From && m.promised == msg.Ballot {
			m.succeed(now, 0)
		}
	case Ask:
		m.onAsk(now, msg)
	case Teach:
		m.onTeach(now, msg)
	}
}

func (m *Member) reject(to MemberID) {
	m.send(Message{Kind: Reject, To: to, Ballot: m.promised, Chosen: m.applied})
}

func (m *Member) onPrepare(now time.Duration, msg Message) {
	if msg.Ballot.Less(m.promised) {
		m.reject(msg.From)
		return
	}
	// Of two that bid at once the higher goes on: if each gave way to the other,
	// both bids would be lost.
	if m.role == Bidding && msg.Ballot.By != m.p.Self && msg.Ballot.Less(m.ballot) {
		m.send(Message{Kind: Reject, To: msg.From, Ballot: m.ballot, Chosen: m.applied})
		return
	}
	// A proposer that is heard keeps its place: a member that comes back from
	// a cut does not unseat it. One that the bidder knows to be over is not waited for.
	lastHeard := m.heardAt
	if m.role == Leading {
		lastHeard = m.majorityAt()
	}
	over := m.role != Leading && msg.Over != Ballot{} && !msg.Over.Less(m.promised)
	heard := !over && m.leader != "" && m.leader != msg.Ballot.By && now-lastHeard < m.p.Patience*2/3
	if heard && m.promised.Less(msg.Ballot) {
		m.send(Message{Kind: Reject, To: msg.From, Ballot: msg.Ballot, Chosen: m.applied})
		return
	}
	if msg.Ballot.By != m.p.Self && m.role != Listening {
		m.listen(now)
	}
	if m.promised.Less(msg.Ballot) {
		m.promise(msg.Ballot)
		m.leader = ""
	}
	if m.role == Listening {
		m.deadline = now + m.p.Patience + time.Duration(m.p.Jitter()*float64(m.p.Patience))
	}
	r := Message{Kind: Promise, To: msg.From, Ballot: msg.Ballot, Chosen: m.applied, Slot: msg.Slot, Echo: m.stamp(now)}
	from := msg.Slot
	if from < m.base {
		if m.mayTeach(now, msg.From, from) {
			r.Snap = m.st.snapshot(m.applied)
		}
		from = m.applied
	}
	r.Entries = m.segment(from, ^uint64(0))
	m.sendSynced(r)
}

func (m *Member) onAccept(now time.Duration, msg Message) {
	if msg.Ballot.Less(m.promised) {
		m.reject(msg.From)
		return
	}
	m.follow(msg.Ballot, now)
	r := Message{Kind: Accepted, To: msg.From, Ballot: msg.Ballot, Chosen: m.applied}
	for _, e := range msg.Entries {
		if e.Slot > m.applied {
			m.keep(e)
			m.out.Writes.Entries = append(m.out.Writes.Entries, e)
		}
		r.Slots = append(r.Slots, e.Slot)
	}
	m.sendSynced(r)
	if msg.Ballot.By != m.p.Self {
		m.catchUp(now, msg.Ballot, msg.Chosen)
	}
}

func (m *Member) onBeat(now time.Duration, msg Message) {
	if msg.Ballot.Less(m.promised) {
		m.reject(msg.From)
		return
	}
	m.follow(msg.Ballot, now)
	m.noteBeat(now, msg)
	m.catchUp(now, msg.Ballot, msg.Chosen)
	m.send(Message{Kind: BeatAck, To: msg.From, Ballot: msg.Ballot, Seq: msg.Seq, Echo: m.stamp(now)})
	if !m.Voter() { // a seat is given on the strength of what a newcomer holds on disk
		if m.noted+m.p.Alpha < m.applied { // in a quiet cell nothing more may come that is written
			m.out.Writes.Note = true
		}
		m.sendSynced(Message{Kind: Held, To: msg.From, Ballot: msg.Ballot, Chosen: m.applied})
	}
}
