package paxos

import "time"

// The learner applies committed entries. It owns the replica's appliedIndex, and the log entries
// and snapshots that are written to disk.
//
// Invariant: entries are applied in the order of the log, each once, and only if they are
// known to be committed: either the leader's commit index covers them and they were accepted
// under that leader's proposal number, or another replica sent them as committed. No entry is
// applied before the first membership is known. Only a snapshot contains the first membership,
// never a log entry.

// maxLogBytes is the log size at which the whole log is compacted, regardless of the number of
// entries.
const maxLogBytes = 1 << 20

// storeEntry stores an entry in the log and queues its write.
func (r *Replica) storeEntry(entry Entry) {
	r.log.Store(entry)
	r.ready.Writes.Entries = append(r.ready.Writes.Entries, entry)
}

// commitUpTo applies entries up to the leader's commit index while the log holds them under that
// leader's proposal number, and requests the rest.
func (r *Replica) commitUpTo(now time.Duration, leader ProposalNumber, commitIndex uint64) {
	for r.appliedIndex < commitIndex && r.state.HasMembership() {
		entry := r.log.At(r.appliedIndex + 1)
		if entry == nil || entry.ProposalNumber != leader {
			break
		}
		r.applyNext()
	}
	if r.appliedIndex >= commitIndex {
		r.catchUp.finish()
		r.contact.advanceCurrentUntil(r.appliedIndex)
		return
	}
	r.requestCatchUp(now, leader.Proposer, commitIndex)
}

// learn applies a snapshot and the committed entries, which are those up to msg.CommitIndex.
func (r *Replica) learn(now time.Duration, msg Message) {
	if r.role == Leader && msg.CommitIndex > r.appliedIndex && !r.mayLearnAsLeader(msg) {
		r.stepDown(now)
	}
	if msg.Snapshot != nil && (msg.Snapshot.AppliedIndex > r.appliedIndex || !r.state.HasMembership()) {
		r.loadSnapshot(msg.Snapshot)
		r.ready.Writes.Snapshot = msg.Snapshot
		r.ready.Writes.TruncateTo = msg.Snapshot.AppliedIndex
		r.ready.StateChanged = true
	}
	for _, entry := range msg.Entries {
		if entry.Index == r.appliedIndex+1 && entry.Index <= msg.CommitIndex && r.state.HasMembership() {
			r.storeEntry(entry)
			r.applyNext()
			r.proposer.drop(entry.Index)
		}
	}
	r.proposer.nextIndex = max(r.proposer.nextIndex, r.appliedIndex+1)
}

// mayLearnAsLeader reports whether a leader that learns committed entries may remain leader. An
// entry committed under an older proposal number is the one that the leader adopted for that
// index, so its own proposal there is the same. A newer proposal number shows that the leader has
// been deposed. A snapshot contains no proposal numbers, so the leader steps down in that case too.
func (r *Replica) mayLearnAsLeader(msg Message) bool {
	if msg.Snapshot != nil && msg.Snapshot.AppliedIndex > r.appliedIndex {
		return false
	}
	last := r.appliedIndex
	for _, entry := range msg.Entries {
		if entry.Index == last+1 && entry.Index <= msg.CommitIndex && entry.ProposalNumber.Less(r.proposer.number) {
			last++
		}
	}
	return last >= msg.CommitIndex
}

// loadSnapshot replaces the state with a snapshot, and drops the log entries that it includes.
func (r *Replica) loadSnapshot(snapshot *Snapshot) {
	r.state.Load(snapshot)
	r.appliedIndex = snapshot.AppliedIndex
	r.log.CompactTo(snapshot.AppliedIndex)
}

// applyNext applies the log's next entry, which must exist and be committed.
func (r *Replica) applyNext() {
	index := r.appliedIndex + 1
	for _, txn := range r.log.At(index).Txns {
		committed := r.state.Apply(txn, index, r.config.Alpha)
		r.reportOutcome(Outcome{TxnID: txn.ID, Committed: committed})
	}
	r.appliedIndex = index
	r.ready.StateChanged = true
	r.state.PruneMemberships(r.appliedIndex)
	r.compact()
}

// compact replaces a long log by a snapshot of the newest state. The entries that it retains below
// the snapshot are used only for the catch-up of other replicas.
func (r *Replica) compact() {
	large := r.log.Bytes() >= maxLogBytes
	if !large && r.appliedIndex-r.log.CompactedIndex() < 2*r.config.RetainedEntries {
		return
	}
	upTo := r.appliedIndex
	if !large {
		upTo -= r.config.RetainedEntries
	}
	r.ready.Writes.Snapshot = r.state.Snapshot(r.appliedIndex)
	r.ready.Writes.TruncateTo = r.appliedIndex
	r.log.CompactTo(upTo)
}
