package paxos

// Ready holds the I/O that the owner of a replica must perform, and results for the owner. Messages
// may be sent at once. MessagesAfterSync must wait until these Writes and all earlier ones are
// synced, since the messages report state as durable and the recipients rely on that.
type Ready struct {
	Writes            Writes
	Messages          []Message
	MessagesAfterSync []Message
	// Outcomes holds the outcomes of transactions that were proposed on this replica.
	Outcomes []Outcome
	// ConfirmedReads holds the tickets of reads that may now be answered from the applied state.
	ConfirmedReads []uint64
	// StateChanged is set if entries or a snapshot were applied.
	StateChanged bool
	ChangedKeys  ChangedKeys
}

// Writes holds the data to be written to disk. It must be synced before the MessagesAfterSync of
// the same Ready are sent.
type Writes struct {
	// Promised is the newest promise, or nil if it is unchanged.
	Promised *ProposalNumber
	// Term is the term of this replica's next campaign, or 0 if unchanged. The replica must not
	// use it again after a restart.
	Term uint64
	// CommitIndex is the last log index that is known to be committed.
	CommitIndex uint64
	// Entries replace the entries on disk at the same indexes.
	Entries  []Entry
	Snapshot *Snapshot
	// TruncateTo is the last index whose entry may be deleted because the snapshot includes it.
	TruncateTo uint64
	// PersistCommitIndex is set if CommitIndex must be written even without other writes.
	PersistCommitIndex bool
}

// Empty reports whether there is nothing to sync.
func (w *Writes) Empty() bool {
	return w.Promised == nil && w.Term == 0 && len(w.Entries) == 0 && w.Snapshot == nil && !w.PersistCommitIndex
}

// PersistedState is the state on a replica's disk when it starts: the result of all synced Writes.
type PersistedState struct {
	Promised    ProposalNumber
	Term        uint64
	CommitIndex uint64
	Entries     []Entry
	Snapshot    *Snapshot
}

// Outcome is the result of a transaction that was proposed on this replica.
type Outcome struct {
	TxnID string
	// Committed is set if all conditions held and the operations were applied.
	Committed bool
	// Unknown is set if this replica cannot determine whether the transaction is or will be applied.
	Unknown bool
}

// Ready returns the I/O and results collected since the last call. The commit index that a message
// reports as durable is limited to the one in these and earlier Writes.
func (r *Replica) Ready() Ready {
	ready := r.ready
	ready.Writes.CommitIndex = r.appliedIndex
	ready.ChangedKeys = r.state.TakeChangedKeys()
	if !ready.Writes.Empty() {
		r.durableCommitIndex = r.appliedIndex
	}
	for i := range ready.MessagesAfterSync {
		msg := &ready.MessagesAfterSync[i]
		if msg.Kind == Accepted || msg.Kind == CommitPersisted {
			msg.CommitIndex = min(msg.CommitIndex, r.durableCommitIndex)
		}
	}
	r.ready = Ready{}
	return ready
}

// send queues a message that may be sent at once.
func (r *Replica) send(msg Message) {
	msg.Cell = r.config.Cell
	msg.From = r.config.Self
	r.ready.Messages = append(r.ready.Messages, msg)
}

// sendAfterSync queues a message that must wait for the sync of the Writes collected so far.
func (r *Replica) sendAfterSync(msg Message) {
	msg.Cell = r.config.Cell
	msg.From = r.config.Self
	r.ready.MessagesAfterSync = append(r.ready.MessagesAfterSync, msg)
}

// reportOutcome reports a transaction's outcome to the owner, unless the transaction was
// proposed on another replica or the owner called ForgetOutcome.
func (r *Replica) reportOutcome(outcome Outcome) {
	if r.proposer.awaitingOutcome[outcome.TxnID] {
		delete(r.proposer.awaitingOutcome, outcome.TxnID)
		r.ready.Outcomes = append(r.ready.Outcomes, outcome)
	}
}
