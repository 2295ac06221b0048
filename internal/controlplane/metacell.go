package controlplane

import (
	"context"
	"time"

	"comethold/internal/controlplane/replicahost"
	"comethold/internal/controlplane/schema"
	"comethold/internal/paxos"
)

// proposalTimeout bounds the proposals of the control plane's own concerns.
const proposalTimeout = 1200 * time.Millisecond

// metaCell is the replicated state of the meta cell, as the packages of the control plane's
// concerns see it.
type metaCell struct {
	host *replicahost.Host
}

// View runs a function that looks at the state as it is applied here. It reports false if
// there is none to look at.
func (c metaCell) View(read func(*paxos.Replica)) bool {
	return c.host.View(schema.MetaCell, read)
}

// Commit proposes a transaction and reports whether it was surely committed. It gives up
// after proposalTimeout and is not cancelled when the node stops.
func (c metaCell) Commit(txn paxos.Txn) bool {
	ctx, cancel := context.WithTimeout(context.Background(), proposalTimeout)
	defer cancel()
	committed, err := c.host.Propose(ctx, schema.MetaCell, txn)
	return committed && err == nil
}
