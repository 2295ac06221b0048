package paxos

// Ready is what a replica wants done since the call before. MessagesAfterSync wait for the
// sync of Writes and of all Writes before them, since others count on what they say;
// Messages may leave at once.
type Ready struct {
	Writes            Writes
	Messages          []Message
	MessagesAfterSync []Message
	// Outcomes of transactions that were proposed here.
	Outcomes []Outcome
	// ConfirmedReads are the tickets of reads that the state may answer now.
	ConfirmedReads []uint64
	// StateChanged is set if entries or a snapshot were applied.
	StateChanged bool
	ChangedKeys  ChangedKeys
}

// Writes must be synced before the MessagesAfterSync of the same Ready may leave.
type Writes struct {
	// Promised is the newest promise, or nil if it is unchanged.
	Promised *ProposalNumber
	// Term is one that this replica is about to campaign under, or 0; no later
	// incarnation may use it.
	Term uint64
	// CommitIndex is up to where the log is known to be committed.
	CommitIndex uint64
	// Entries replace whatever the disk holds at their indexes.
	Entries  []Entry
	Snapshot *Snapshot
	// TruncateTo is the last index whose entries the snapshot makes unnecessary.
	TruncateTo uint64
	// PersistCommitIndex is set if CommitIndex is worth a write of its own.
	PersistCommitIndex bool
}

// Empty reports whether there is nothing to sync.
func (w *Writes) Empty() bool {
	return w.Promised == nil && w.Term == 0 && len(w.Entries) == 0 && w.Snapshot == nil && !w.PersistCommitIndex
}

// PersistedState is what a replica finds on its disk when it starts: the sum of all Writes.
type PersistedState struct {
	Promised    ProposalNumber
	Term        uint64
	CommitIndex uint64
	Entries     []Entry
	Snapshot    *Snapshot
}

// Outcome tells a proposer what became of its transaction.
type Outcome struct {
	TxnID string
	// Committed is set if all conditions held and the operations were applied.
	Committed bool
	// Unknown means that this replica cannot tell: the transaction may or may not be applied.
	Unknown bool
}

// Ready returns what is to be done since the last call, and starts collecting anew. The
// commit index that a message reports as durable is at most what these Writes and those
// before put on disk.
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

// send has a message leave at once.
func (r *Replica) send(msg Message) {
	msg.Cell = r.config.Cell
	msg.From = r.config.Self
	r.ready.Messages = append(r.ready.Messages, msg)
}

// sendAfterSync has a message leave after the sync, since others will count on it.
func (r *Replica) sendAfterSync(msg Message) {
	msg.Cell = r.config.Cell
	msg.From = r.config.Self
	r.ready.MessagesAfterSync = append(r.ready.MessagesAfterSync, msg)
}

// reportOutcome tells the owner what became of a transaction, unless it asked to forget it.
func (r *Replica) reportOutcome(outcome Outcome) {
	if r.proposer.awaitingOutcome[outcome.TxnID] {
		delete(r.proposer.awaitingOutcome, outcome.TxnID)
		r.ready.Outcomes = append(r.ready.Outcomes, outcome)
	}
}
