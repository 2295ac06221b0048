package paxos

import (
	"sort"
	"time"
)

func (m *Replica) entriesBetween(from, to uint64) []Entry {
	var out []Entry
	for slot, e := range m.log {
		if slot > from && slot <= to {
			out = append(out, *e)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Index < out[j].Index })
	return out
}

// Size is about how many bytes a message takes.
func (msg *Message) Size() int {
	n := 64
	for i := range msg.Entries {
		n += entrySize(&msg.Entries[i])
	}
	if msg.Snapshot != nil {
		st := stateMachine{kv: msg.Snapshot.State}
		n += st.sizeBytes()
	}
	return n
}

// transfer is the last large answer that a member was sent, and where it stood then.
type transfer struct {
	index   uint64
	sentAt  time.Duration
	backoff time.Duration
}

// maxBackoffHeartbeats bounds, in beats, how long a member that has come no further waits until it
// asks again, or is sent again what is large.
const maxBackoffHeartbeats = 16

// smallTransferBytes is for how many bytes of the log nobody need pause: they are sent as often
// as they are asked for.
const smallTransferBytes = 4 << 10

// nextBackoff doubles a pause up to the bound.
func (m *Replica) nextBackoff(wait time.Duration) time.Duration {
	return min(2*wait, maxBackoffHeartbeats*m.config.HeartbeatInterval)
}

// mayTransfer reports whether a member that stands at a position is to be sent something
// large now: what was sent not long ago may be under way.
func (m *Replica) mayTransfer(now time.Duration, to ReplicaID, slot uint64) bool {
	t, ok := m.transfers[to]
	switch {
	case !ok || t.index != slot:
		t = transfer{index: slot, backoff: m.config.HeartbeatInterval}
	case now-t.sentAt < t.backoff:
		return false
	default:
		t.backoff = m.nextBackoff(t.backoff)
	}
	t.sentAt = now
	m.transfers[to] = t
	return true
}

// catchUp applies what the proposer says is chosen as far as we hold it from
// that very proposer, and asks to be taught the rest. A newcomer applies nothing
// before it has been taught a snapshot: the first membership stands in no log.
func (m *Replica) catchUp(now time.Duration, b ProposalNumber, chosen uint64) {
	for m.appliedIndex < chosen && m.state.hasMembership() {
		e := m.log[m.appliedIndex+1]
		if e == nil || e.ProposalNumber != b {
			break
		}
		m.applyNext()
	}
	if m.appliedIndex >= chosen {
		m.catchUpPending, m.catchUpBackoff = false, 0
		m.advanceCurrentUntil()
		return
	}
	// Who lacks no more than what may be under way in the pipeline lost a message or two,
	// and asks with each beat; who asks for more pauses, since that may be large and slow.
	few := m.state.hasMembership() && chosen <= m.appliedIndex+m.config.Alpha && now-m.catchUpRequestedAt >= m.config.HeartbeatInterval/2
	if !m.catchUpPending || m.catchUpRequestedFrom != b.Proposer || few || now-m.catchUpRequestedAt >= m.catchUpBackoff {
		if m.catchUpBackoff = m.nextBackoff(m.catchUpBackoff); m.catchUpBackoff == 0 || few || m.catchUpRequestedFrom != b.Proposer {
			m.catchUpBackoff = m.config.HeartbeatInterval
		}
		m.catchUpPending, m.catchUpRequestedFrom, m.catchUpRequestedAt = true, b.Proposer, now
		m.send(Message{Kind: CatchUpRequest, To: b.Proposer, Index: m.appliedIndex, NeedsSnapshot: !m.state.hasMembership()})
	}
}

func (m *Replica) handleCatchUpRequest(now time.Duration, msg Message) {
	if !m.state.hasMembership() || msg.Index >= m.appliedIndex && !msg.NeedsSnapshot {
		return
	}
	r := Message{Kind: CatchUpResponse, To: msg.From, CommitIndex: m.appliedIndex}
	if msg.Index >= m.compactedIndex && !msg.NeedsSnapshot {
		r.Entries = m.entriesBetween(msg.Index, m.appliedIndex)
		n := 0
		for i := range r.Entries {
			n += entrySize(&r.Entries[i])
		}
		if n <= m.state.sizeBytes() || len(r.Entries) <= 4 {
			if n <= smallTransferBytes || m.mayTransfer(now, msg.From, msg.Index) {
				m.send(r)
			}
			return
		}
		r.Entries = nil
	}
	if m.mayTransfer(now, msg.From, msg.Index) {
		r.Snapshot = m.state.snapshot(m.appliedIndex)
		m.send(r)
	}
}

func (m *Replica) handleCatchUpResponse(now time.Duration, msg Message) {
	before := m.appliedIndex
	m.learn(now, msg)
	if m.catchUpPending = false; m.appliedIndex > before {
		m.catchUpBackoff = 0
	}
	m.advanceCurrentUntil()
	m.fillPipeline(now)
}

// learn takes in decided content: a snapshot and entries up to msg.Chosen.
func (m *Replica) learn(now time.Duration, msg Message) {
	if m.role == Leader && msg.CommitIndex > m.appliedIndex && !m.mayLearnAsLeader(msg) {
		m.leader = ""
		m.becomeFollower(now)
	}
	if msg.Snapshot != nil && (msg.Snapshot.AppliedIndex > m.appliedIndex || !m.state.hasMembership()) {
		m.loadSnapshot(msg.Snapshot)
		m.ready.Writes.Snapshot = msg.Snapshot
		m.ready.Writes.TruncateTo = msg.Snapshot.AppliedIndex
		m.ready.StateChanged = true
	}
	for _, e := range msg.Entries {
		if e.Index == m.appliedIndex+1 && e.Index <= msg.CommitIndex && m.state.hasMembership() {
			m.storeEntry(e)
			m.ready.Writes.Entries = append(m.ready.Writes.Entries, e)
			m.applyNext()
			delete(m.inFlight, m.appliedIndex)
			delete(m.adopted, m.appliedIndex)
		}
	}
	m.nextIndex = max(m.nextIndex, m.appliedIndex+1)
}

// mayLearnAsLeader reports whether a proposer that is taught may stay in its place. What
// was chosen under an older ballot than its own is what it has adopted for that
// position, so it vouches for nothing else. Anything newer shows that it has been
// replaced, and a snapshot does not say under which ballots it came about.
func (m *Replica) mayLearnAsLeader(msg Message) bool {
	if msg.Snapshot != nil && msg.Snapshot.AppliedIndex > m.appliedIndex {
		return false
	}
	upTo := m.appliedIndex
	for _, e := range msg.Entries {
		if e.Index == upTo+1 && e.Index <= msg.CommitIndex && e.ProposalNumber.Less(m.proposalNumber) {
			upTo++
		}
	}
	return upTo >= msg.CommitIndex
}

func (m *Replica) applyNext() {
	slot := m.appliedIndex + 1
	e := m.log[slot]
	for _, t := range e.Txns {
		ok := m.state.apply(t, slot, m.config.Alpha)
		m.reportOutcome(Outcome{TxnID: t.ID, Committed: ok})
	}
	m.appliedIndex = slot
	m.ready.StateChanged = true
	m.state.pruneMemberships(m.appliedIndex)
	m.compact()
}

// compact replaces a long log by a snapshot.
func (m *Replica) compact() {
	if m.appliedIndex-m.compactedIndex < 2*m.config.RetainedEntries && m.logBytes < 1<<20 {
		return
	}
	cut := m.appliedIndex
	if m.logBytes < 1<<20 {
		cut = m.appliedIndex - m.config.RetainedEntries
	}
	// The snapshot is of the newest state; the entries kept below it only
	// serve to teach.
	m.ready.Writes.Snapshot = m.state.snapshot(m.appliedIndex)
	m.ready.Writes.TruncateTo = m.appliedIndex
	for slot, e := range m.log {
		if slot <= cut {
			m.logBytes -= entrySize(e)
			delete(m.log, slot)
		}
	}
	m.compactedIndex = cut
}
