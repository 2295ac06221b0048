package cell

import (
	"sort"
	"time"
)

func (m *Member) segment(from, to uint64) []Entry {
	var out []Entry
	for slot, e := range m.log {
		if slot > from && slot <= to {
			out = append(out, *e)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Slot < out[j].Slot })
	return out
}

// Size is about how many bytes a message takes.
func (msg *Message) Size() int {
	n := 64
	for i := range msg.Entries {
		n += entrySize(&msg.Entries[i])
	}
	if msg.Snap != nil {
		st := state{kv: msg.Snap.State}
		n += st.size()
	}
	return n
}

// teaching is the last large answer that a member was sent, and where it stood then.
type teaching struct {
	slot uint64
	at   time.Duration
	wait time.Duration
}

// mostWait bounds, in beats, how long a member that has come no further waits until it
// asks again, or is sent again what is large.
const mostWait = 16

// smallTeach is for how many bytes of the log nobody need pause: they are sent as often
// as they are asked for.
const smallTeach = 4 << 10

// longer doubles a pause up to the bound.
func (m *Member) longer(wait time.Duration) time.Duration {
	return min(2*wait, mostWait*m.p.Beat)
}

// mayTeach reports whether a member that stands at a position is to be sent something
// large now: what was sent not long ago may be under way.
func (m *Member) mayTeach(now time.Duration, to MemberID, slot uint64) bool {
	t, ok := m.taught[to]
	switch {
	case !ok || t.slot != slot:
		t = teaching{slot: slot, wait: m.p.Beat}
	case now-t.at < t.wait:
		return false
	default:
		t.wait = m.longer(t.wait)
	}
	t.at = now
	m.taught[to] = t
	return true
}

// catchUp applies what the proposer says is chosen as far as we hold it from
// that very proposer, and asks to be taught the rest. A newcomer applies nothing
// before it has been taught a snapshot: the first membership stands in no log.
func (m *Member) catchUp(now time.Duration, b Ballot, chosen uint64) {
	for m.applied < chosen && m.st.founded() {
		e := m.log[m.applied+1]
		if e == nil || e.Ballot != b {
			break
		}
		m.applyNext()
	}
	if m.applied >= chosen {
		m.asked, m.askWait = false, 0
		m.noteCurrent()
		return
	}
	// Who lacks no more than what may be under way in the pipeline lost a message or two,
	// and asks with each beat; who asks for more pauses, since that may be large and slow.
	few := m.st.founded() && chosen <= m.applied+m.p.Alpha && now-m.askedAt >= m.p.Beat/2
	if !m.asked || m.askedOf != b.By || few || now-m.askedAt >= m.askWait {
		if m.askWait = m.longer(m.askWait); m.askWait == 0 || few || m.askedOf != b.By {
			m.askWait = m.p.Beat
		}
		m.asked, m.askedOf, m.askedAt = true, b.By, now
		m.send(Message{Kind: Ask, To: b.By, Slot: m.applied, Fresh: !m.st.founded()})
	}
}

func (m *Member) onAsk(now time.Duration, msg Message) {
	if !m.st.founded() || msg.Slot >= m.applied && !msg.Fresh {
		return
	}
	r := Message{Kind: Teach, To: msg.From, Chosen: m.applied}
	if msg.Slot >= m.base && !msg.Fresh {
		r.Entries = m.segment(msg.Slot, m.applied)
		n := 0
		for i := range r.Entries {
			n += entrySize(&r.Entries[i])
		}
		if n <= m.st.size() || len(r.Entries) <= 4 {
			if n <= smallTeach || m.mayTeach(now, msg.From, msg.Slot) {
				m.send(r)
			}
			return
		}
		r.Entries = nil
	}
	if m.mayTeach(now, msg.From, msg.Slot) {
		r.Snap = m.st.snapshot(m.applied)
		m.send(r)
	}
}

func (m *Member) onTeach(now time.Duration, msg Message) {
	before := m.applied
	m.learn(now, msg)
	if m.asked = false; m.applied > before {
		m.askWait = 0
	}
	m.noteCurrent()
	m.pump(now)
}

// learn takes in decided content: a snapshot and entries up to msg.Chosen.
func (m *Member) learn(now time.Duration, msg Message) {
	if m.role == Leading && msg.Chosen > m.applied && !m.mayLearn(msg) {
		m.leader = ""
		m.listen(now)
	}
	if msg.Snap != nil && (msg.Snap.Applied > m.applied || !m.st.founded()) {
		m.load(msg.Snap)
		m.out.Writes.Snap = msg.Snap
		m.out.Writes.DropTo = msg.Snap.Applied
		m.out.Changed = true
	}
	for _, e := range msg.Entries {
		if e.Slot == m.applied+1 && e.Slot <= msg.Chosen && m.st.founded() {
			m.keep(e)
			m.out.Writes.Entries = append(m.out.Writes.Entries, e)
			m.applyNext()
			delete(m.flights, m.applied)
			delete(m.adopt, m.applied)
		}
	}
	m.next = max(m.next, m.applied+1)
}

// mayLearn reports whether a proposer that is taught may stay in its place. What
// was chosen under an older ballot than its own is what it has adopted for that
// position, so it vouches for nothing else. Anything newer shows that it has been
// replaced, and a snapshot does not say under which ballots it came about.
func (m *Member) mayLearn(msg Message) bool {
	if msg.Snap != nil && msg.Snap.Applied > m.applied {
		return false
	}
	upTo := m.applied
	for _, e := range msg.Entries {
		if e.Slot == upTo+1 && e.Slot <= msg.Chosen && e.Ballot.Less(m.ballot) {
			upTo++
		}
	}
	return upTo >= msg.Chosen
}

func (m *Member) applyNext() {
	slot := m.applied + 1
	e := m.log[slot]
	for _, t := range e.Txns {
		ok := m.st.apply(t, slot, m.p.Alpha)
		m.finish(Outcome{ID: t.ID, Committed: ok})
	}
	m.applied = slot
	m.out.Changed = true
	m.st.prune(m.applied)
	m.compact()
}

// compact replaces a long log by a snapshot.
func (m *Member) compact() {
	if m.applied-m.base < 2*m.p.KeepLog && m.logBytes < 1<<20 {
		return
	}
	cut := m.applied
	if m.logBytes < 1<<20 {
		cut = m.applied - m.p.KeepLog
	}
	// The snapshot is of the newest state; the entries kept below it only
	// serve to teach.
	m.out.Writes.Snap = m.st.snapshot(m.applied)
	m.out.Writes.DropTo = m.applied
	for slot, e := range m.log {
		if slot <= cut {
			m.logBytes -= entrySize(e)
			delete(m.log, slot)
		}
	}
	m.base = cut
}
