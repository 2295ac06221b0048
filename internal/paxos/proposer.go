package paxos

import (
	"maps"
	"slices"
	"time"
)

// proposer owns the current campaign or leadership, and the transactions that were proposed
// under it.
//
// Invariant: under one proposal number there is at most one proposal for each index, and it is made
// only after a majority of the voters of that index has promised. If promises reported accepted
// entries for the index, the proposal repeats the one with the highest proposal number. New
// transactions are proposed only at indexes after all reported ones.
type proposer struct {
	number ProposalNumber
	// maxTerm is the highest term that the replica knows of.
	maxTerm uint64
	// promises has an element for each replica that was asked for a promise. The value is true
	// once the replica has promised.
	promises map[ReplicaID]bool
	// adopted holds the entries that promises reported for open indexes, to be proposed again.
	adopted map[uint64]Entry
	// inFlight holds the proposals after the applied index.
	inFlight map[uint64]*inFlightProposal
	// nextIndex is the first index without a proposal by this leader.
	nextIndex uint64

	queue []Txn
	// awaitingOutcome holds the IDs of the transactions whose Outcome is to be reported.
	awaitingOutcome map[string]bool
}

// inFlightProposal is a proposed entry that is not applied yet, since it or an earlier one has not
// been accepted by a majority.
type inFlightProposal struct {
	entry      Entry
	acceptedBy map[ReplicaID]bool
	committed  bool
	sentAt     time.Duration
}

// newProposer returns the proposer of a replica that has neither a campaign nor a leadership.
func newProposer(maxTerm uint64) proposer {
	return proposer{maxTerm: maxTerm, awaitingOutcome: map[string]bool{}}
}

// start initializes the data of a campaign.
func (p *proposer) start() {
	p.promises = map[ReplicaID]bool{}
	p.adopted = map[uint64]Entry{}
	p.inFlight = map[uint64]*inFlightProposal{}
}

// stop discards the data of the campaign or leadership.
func (p *proposer) stop() {
	p.queue = nil
	p.promises = nil
	p.adopted = nil
	p.inFlight = nil
}

// hasPromised reports whether a replica has promised.
func (p *proposer) hasPromised(id ReplicaID) bool { return p.promises[id] }

// adopt stores the entries that a promise reports after appliedIndex. For each index it keeps the
// entry with the highest proposal number.
func (p *proposer) adopt(entries []Entry, appliedIndex uint64) {
	for _, entry := range entries {
		if entry.Index <= appliedIndex {
			continue
		}
		known, ok := p.adopted[entry.Index]
		if !ok || known.ProposalNumber.Less(entry.ProposalNumber) {
			p.adopted[entry.Index] = entry
		}
	}
}

// maxAdoptedIndex returns the last index with an adopted entry, or 0 if there is none.
func (p *proposer) maxAdoptedIndex() uint64 {
	last := uint64(0)
	for index := range p.adopted {
		last = max(last, index)
	}
	return last
}

// drop removes the proposal of a committed index.
func (p *proposer) drop(index uint64) {
	delete(p.inFlight, index)
	delete(p.adopted, index)
}

// nextTxns returns the transactions to propose at nextIndex: those of the adopted entry, none (a
// no-op) in a gap below the last adopted index, or up to maxBatch that it removes from the queue.
// ok is false if there is nothing to propose.
func (p *proposer) nextTxns(maxBatch int) (txns []Txn, ok bool) {
	if entry, found := p.adopted[p.nextIndex]; found {
		return entry.Txns, true
	}
	if p.nextIndex <= p.maxAdoptedIndex() {
		return nil, true
	}
	if len(p.queue) == 0 {
		return nil, false
	}
	size := min(len(p.queue), maxBatch)
	txns = slices.Clone(p.queue[:size])
	p.queue = p.queue[size:]
	return txns, true
}

// Propose queues a transaction; a later Ready contains its Outcome. If Propose returns ErrNotLeader
// or ErrPipelineFull, the transaction was not queued.
func (r *Replica) Propose(now time.Duration, txn Txn) error {
	if r.role != Leader {
		return ErrNotLeader
	}
	if len(r.proposer.queue) >= r.config.MaxQueue {
		return ErrPipelineFull
	}
	r.proposer.queue = append(r.proposer.queue, txn)
	r.proposer.awaitingOutcome[txn.ID] = true
	r.fillPipeline(now)
	return nil
}

// ForgetOutcome cancels the report of a transaction's Outcome. The transaction itself is not
// cancelled.
func (r *Replica) ForgetOutcome(txnID string) { delete(r.proposer.awaitingOutcome, txnID) }

// fillPipeline runs phase 2a: it proposes entries while fewer than Alpha are in flight. If a
// majority of the voters of an index has not promised yet, it asks them for promises instead.
func (r *Replica) fillPipeline(now time.Duration) {
	if r.role != Leader {
		return
	}
	for r.proposer.nextIndex <= r.lastOpenIndex() {
		index := r.proposer.nextIndex
		membership := r.state.MembershipAt(index)
		if !membership.Contains(r.config.Self) && index == r.appliedIndex+1 {
			r.transferLeadership(now, membership)
			return
		}
		if !membership.IsQuorum(r.proposer.hasPromised) {
			r.sendPrepares(index)
			return
		}
		txns, ok := r.proposer.nextTxns(r.config.MaxBatch)
		if !ok {
			return
		}
		r.propose(now, Entry{Index: index, ProposalNumber: r.proposer.number, Txns: txns}, membership)
	}
}

// propose proposes an entry at nextIndex.
func (r *Replica) propose(now time.Duration, entry Entry, membership Membership) {
	r.proposer.inFlight[entry.Index] = &inFlightProposal{entry: entry, acceptedBy: map[ReplicaID]bool{}, sentAt: now}
	r.proposer.nextIndex++
	r.sendAccepts(entry, membership, nil)
}

// sendAccepts sends an entry to the voters and learners that have not accepted it.
func (r *Replica) sendAccepts(entry Entry, membership Membership, acceptedBy map[ReplicaID]bool) {
	msg := Message{
		Kind: Accept, ProposalNumber: r.proposer.number,
		CommitIndex: r.appliedIndex, Entries: []Entry{entry},
	}
	for _, voter := range membership.Voters {
		if !acceptedBy[voter.ID] {
			msg.To = voter.ID
			r.send(msg)
		}
	}
	for _, id := range r.learners {
		if !membership.Contains(id) && !acceptedBy[id] {
			msg.To = id
			r.send(msg)
		}
	}
}

// retransmit resends the Accepts of uncommitted entries after a heartbeat interval, and all
// unanswered Prepares.
func (r *Replica) retransmit(now time.Duration) {
	for index := r.appliedIndex + 1; index < r.proposer.nextIndex; index++ {
		proposal := r.proposer.inFlight[index]
		if proposal != nil && !proposal.committed && now-proposal.sentAt >= r.config.HeartbeatInterval {
			proposal.sentAt = now
			r.sendAccepts(proposal.entry, r.state.MembershipAt(index), proposal.acceptedBy)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(r.proposer.promises)) {
		if !r.proposer.promises[id] {
			r.sendPrepare(id)
		}
	}
}

// tickLeader steps down after an election timeout without contact to a majority. Otherwise it
// retransmits, proposes entries and sends a heartbeat once per heartbeat interval.
func (r *Replica) tickLeader(now time.Duration) {
	if now-r.quorumContactAt() > r.config.ElectionTimeout {
		r.stepDown(now)
		return
	}
	if now-r.followers.heartbeatSentAt >= r.config.HeartbeatInterval {
		r.retransmit(now)
		r.continueMembershipChange()
		r.fillPipeline(now)
		r.broadcastHeartbeat(now)
	}
}

// handleAccepted completes phase 2: an entry is committed once a majority of the voters of its
// index has accepted it, and applied once all entries before it are applied.
func (r *Replica) handleAccepted(now time.Duration, msg Message) {
	if r.role != Leader || msg.ProposalNumber != r.proposer.number {
		return
	}
	r.followers.recordDurableCommit(msg.From, msg.CommitIndex)
	for _, index := range msg.AcceptedIndexes {
		proposal := r.proposer.inFlight[index]
		if proposal == nil {
			continue
		}
		proposal.acceptedBy[msg.From] = true
		accepted := func(id ReplicaID) bool { return proposal.acceptedBy[id] }
		if r.state.MembershipAt(index).IsQuorum(accepted) {
			proposal.committed = true
		}
	}
	if r.applyCommitted() {
		if r.appliedIndex <= r.state.LatestMembership().EffectiveFrom+1 {
			r.continueMembershipChange()
		}
		r.fillPipeline(now)
		if r.role == Leader {
			r.broadcastHeartbeat(now) // followers learn the commit index at once
		}
	}
}

// applyCommitted applies the entries in flight that follow the applied index without a gap and are
// committed. It reports whether there were any.
func (r *Replica) applyCommitted() bool {
	before := r.appliedIndex
	for {
		proposal := r.proposer.inFlight[r.appliedIndex+1]
		if proposal == nil || !proposal.committed {
			return r.appliedIndex > before
		}
		entry := proposal.entry
		r.proposer.drop(entry.Index)
		logged := r.log.At(entry.Index)
		if logged == nil || logged.ProposalNumber != entry.ProposalNumber {
			r.storeEntry(entry)
		}
		r.applyNext()
	}
}

// isCaughtUp reports whether a leader has applied all entries that earlier leaders committed.
// This is the case once all adopted entries are applied and a majority of the voters of the next
// index has promised, since an earlier leader can then have committed no further entry. After a
// membership change, this majority may differ from the one that elected the leader.
func (r *Replica) isCaughtUp() bool {
	return r.appliedIndex >= r.proposer.maxAdoptedIndex() && r.nextMembership().IsQuorum(r.proposer.hasPromised)
}
