package outboxpublisher

import (
	"comethold/internal/controlplane/schema"
	"comethold/internal/paxos"
)

// StateReader reads the replicated state that contains the outbox.
type StateReader interface {
	// View runs a function that reads the applied state of the meta cell. It reports false
	// if the function did not run.
	View(read func(*paxos.Replica)) bool
}

// State reads and changes the replicated state that contains the outbox.
type State interface {
	StateReader
	// Commit proposes a transaction to the meta cell and reports whether it is known to be
	// committed. It has its own time-out and is not cancelled when the node stops, so that
	// deliveries are recorded.
	Commit(txn paxos.Txn) bool
}

// outboxRows lists the rows of the outbox, oldest first.
func outboxRows(state StateReader) (rows []schema.StoredRow) {
	state.View(func(replica *paxos.Replica) { rows = schema.OutboxRows(replica) })
	return rows
}
