package outboxpublisher

import (
	"comethold/internal/controlplane/schema"
	"comethold/internal/paxos"
)

// StateReader reads the replicated state that the outbox stands in.
type StateReader interface {
	// View runs a function that looks at the state of the meta cell as it is applied here.
	// It reports false if there is none to look at.
	View(read func(*paxos.Replica)) bool
}

// State reads and changes the replicated state that the outbox stands in.
type State interface {
	StateReader
	// Commit proposes a transaction to the meta cell and reports whether it was surely
	// committed. It gives up after a time of its own and is not cancelled when the node
	// stops: what was delivered should be noted.
	Commit(txn paxos.Txn) bool
}

// outboxRows lists the rows of the outbox, oldest first.
func outboxRows(state StateReader) (rows []schema.StoredRow) {
	state.View(func(replica *paxos.Replica) { rows = schema.OutboxRows(replica) })
	return rows
}
