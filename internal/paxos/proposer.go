package paxos

import (
	"maps"
	"slices"
	"time"
)

// proposer owns the current campaign or leadership, and the transactions that were proposed
// under it.
//
// Invariant: under one proposal number there is at most one proposal for each index, made only
// after a majority of the voters of that index has promised. If promises reported accepted
// entries for the index, the proposal is the entry with the highest proposal number. New
// transactions are proposed only at indexes after all reported ones.
type proposer struct {
	number ProposalNumber
	// maxTerm is the highest term that the replica knows of.
	maxTerm uint64
	// promises has an element for each replica that was asked for a promise; true once it promised.
	promises map[ReplicaID]bool
	// adopted holds the entries that promises reported for open indexes, to be proposed again.
	adopted map[uint64]Entry
	// inFlight holds the proposals after the applied index.
	inFlight map[uint64]*inFlightProposal
	// nextIndex is the first index of a leader without a proposal.
	nextIndex uint64

	queue []Txn
	// awaitingOutcome has the transactions whose Outcome the owner wants.
	awaitingOutcome map[string]bool
}

// inFlightProposal is a proposed entry that is not applied yet: it or an earlier one still
// lacks a majority.
type inFlightProposal struct {
	entry      Entry
	acceptedBy map[ReplicaID]bool
	committed  bool
	sentAt     time.Duration
}

// newProposer returns the proposer of a follower.
func newProposer(maxTerm uint64) proposer {
	return proposer{maxTerm: maxTerm, awaitingOutcome: map[string]bool{}}
}

// start prepares for a campaign.
func (p *proposer) start() {
	p.promises = map[ReplicaID]bool{}
	p.adopted = map[uint64]Entry{}
	p.inFlight = map[uint64]*inFlightProposal{}
}

// stop ends the campaign or leadership.
func (p *proposer) stop() {
	p.queue = nil
	p.promises = nil
	p.adopted = nil
	p.inFlight = nil
}

// hasPromised reports whether a replica has promised.
func (p *proposer) hasPromised(id ReplicaID) bool { return p.promises[id] }

// adopt keeps, of the entries that promises report for each index after appliedIndex, the
// one with the highest proposal number.
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

// maxAdoptedIndex is the last index for which a promise reported an entry, or 0.
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

// nextContent takes the transactions for nextIndex; ok is false if there is nothing to
// propose. Up to the last adopted index a gap is filled with a no-op.
func (p *proposer) nextContent(maxBatch int) (txns []Txn, ok bool) {
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

// Propose queues a transaction; a later Ready has its Outcome. If it returns ErrNotLeader or
// ErrPipelineFull the transaction was not queued.
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

// ForgetOutcome keeps a transaction's Outcome from being reported.
func (r *Replica) ForgetOutcome(txnID string) { delete(r.proposer.awaitingOutcome, txnID) }

// fillPipeline is phase 2a: it proposes while fewer than Alpha entries are in flight. The
// voters of an index whose majority has not promised yet are asked first.
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
		txns, ok := r.proposer.nextContent(r.config.MaxBatch)
		if !ok {
			return
		}
		r.propose(now, Entry{Index: index, ProposalNumber: r.proposer.number, Txns: txns}, membership)
	}
}

// propose puts an entry in flight at nextIndex.
func (r *Replica) propose(now time.Duration, entry Entry, membership Membership) {
	r.proposer.inFlight[entry.Index] = &inFlightProposal{entry: entry, acceptedBy: map[ReplicaID]bool{}, sentAt: now}
	r.proposer.nextIndex++
	r.sendAccepts(entry, membership, nil)
}

// sendAccepts sends an entry to those voters and learners that have not accepted it.
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

// retransmit repeats Accepts that are unanswered for a heartbeat interval, and all unanswered
// Prepares.
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

// tickLeader steps down without contact to a majority, and keeps the cell going otherwise.
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

// handleAccepted is the end of phase 2: an entry is committed once a majority of the voters
// of its index has accepted it, and applied once all before it are.
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

// applyCommitted applies the entries in flight that are committed with all before them, and
// reports whether there were any.
func (r *Replica) applyCommitted() bool {
	before := r.appliedIndex
	for {
		proposal := r.proposer.inFlight[r.appliedIndex+1]
		if proposal == nil || !proposal.committed {
			return r.appliedIndex > before
		}
		entry := proposal.entry
		r.proposer.drop(entry.Index)
		own := r.log.At(entry.Index)
		if own == nil || own.ProposalNumber != entry.ProposalNumber {
			r.storeEntry(entry)
		}
		r.applyNext()
	}
}

// isCaughtUp reports whether a leader has applied everything that earlier leaders committed.
// That is the case once all adopted entries are applied and a majority of the voters of the
// next index has promised: then no later entry was committed. After a membership change this
// may be another majority than the one that elected the leader.
func (r *Replica) isCaughtUp() bool {
	return r.appliedIndex >= r.proposer.maxAdoptedIndex() && r.nextMembership().IsQuorum(r.proposer.hasPromised)
}
