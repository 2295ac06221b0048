package paxos

import (
	"maps"
	"slices"
	"time"
)

// proposer owns the current campaign or leadership, and the transactions that were proposed
// under it.
//
// Invariant: under one proposal number there is at most one proposal for each index, and it is
// made only after a majority of the voters of that index has promised. If one of the promises
// reported an accepted entry for the index, the proposal is the one of these with the highest
// proposal number; a new transaction stands only at indexes after all of those.
type proposer struct {
	number ProposalNumber
	// maxTerm is the highest term that the replica knows of.
	maxTerm uint64
	// promises has who was asked for a promise, and whether it came.
	promises map[ReplicaID]bool
	// adopted holds what promises reported for open indexes, to be proposed again.
	adopted map[uint64]Entry
	// inFlight holds the proposals after the applied index.
	inFlight map[uint64]*inFlightProposal
	// nextIndex is the first index of a leader without a proposal.
	nextIndex uint64

	queue []Txn
	// awaitingOutcome has the transactions whose Outcome the owner wants.
	awaitingOutcome map[string]bool
}

// inFlightProposal is an entry that waits for its majority, or for those before it.
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

// stop drops the campaign or leadership.
func (p *proposer) stop() {
	p.queue = nil
	p.promises = nil
	p.adopted = nil
	p.inFlight = nil
}

// hasPromised reports whether a replica's promise came.
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

// drop forgets an index that is committed.
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

// Propose queues a transaction; its Outcome comes with a later Ready. It returns ErrNotLeader
// or ErrPipelineFull, and then the transaction was not taken.
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

// ForgetOutcome drops interest in a transaction's outcome.
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

// retransmit sends again what was not answered for a heartbeat interval.
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

// isCaughtUp reports whether a leader has applied all that earlier ones had committed: what it
// has adopted, and nothing after that, since a majority of those who vote on the next index
// has promised. After a membership change that may not be the majority that elected it.
func (r *Replica) isCaughtUp() bool {
	return r.appliedIndex >= r.proposer.maxAdoptedIndex() && r.nextMembership().IsQuorum(r.proposer.hasPromised)
}
