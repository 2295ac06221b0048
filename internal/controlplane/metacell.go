package controlplane

import (
	"context"
	"time"

	"comethold/internal/controlplane/replicahost"
	"comethold/internal/controlplane/schema"
	"comethold/internal/paxos"
)

// proposalTimeout bounds the proposals of metaCell.
const proposalTimeout = 1200 * time.Millisecond

// metaCell adapts the host to the State interfaces of outboxpublisher and metering.
type metaCell struct {
	host *replicahost.Host
}

// View runs a function that reads the applied state. It reports false if the function did not
// run.
func (c metaCell) View(read func(*paxos.Replica)) bool {
	return c.host.View(schema.MetaCell, read)
}

// Commit proposes a transaction and reports whether it is known to be committed. It gives up
// after proposalTimeout and is not cancelled when the node stops.
func (c metaCell) Commit(txn paxos.Txn) bool {
	ctx, cancel := context.WithTimeout(context.Background(), proposalTimeout)
	defer cancel()
	committed, err := c.host.Propose(ctx, schema.MetaCell, txn)
	return committed && err == nil
}
