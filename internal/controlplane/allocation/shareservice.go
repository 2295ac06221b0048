package allocation

import (
	"context"
	"time"

	"comethold/internal/controlplane/batching"
	"comethold/internal/controlplane/replicahost"
	"comethold/internal/controlplane/schema"
	"comethold/internal/distribution"
	"comethold/internal/paxos"
	"comethold/internal/ratelimit"
	"comethold/internal/rpc"
)

// ShareRequestPath is the RPC path of requests for shares that control nodes forward to the leader
// of the meta cell.
const ShareRequestPath = "/claim"

const (
	maxWaitingRequests = 256
	commitTimeout      = ratelimit.LeaseDuration / 3
	maxCommitAttempts  = 3
)

// ShareState is the replicated state that contains the shares. *replicahost.Host implements it.
type ShareState interface {
	// View runs a function that reads the applied state of a cell. It reports false if the
	// function did not run.
	View(cell string, read func(*paxos.Replica)) bool
	// ProposeLocal proposes a transaction at this node, which must lead the cell.
	ProposeLocal(ctx context.Context, cell string, txn paxos.Txn) replicahost.ProposeResult
	// CallLeader makes a call to the leader of a cell, here or at another node.
	CallLeader(ctx context.Context, call replicahost.LeaderCall) (replicahost.ProposeResult, error)
}

// ShareService grants shares. Requests are decided at the leader of the meta cell, so that
// their transactions don't conflict; other control nodes forward requests to it.
type ShareService struct {
	state      ShareState
	allocators map[distribution.ShareTable]*shareAllocator
	waiting    chan *pendingShareRequest
	stopping   chan struct{} // closed when Run's context ends
}

// pendingShareRequest is a request that waits for Run at the leader.
type pendingShareRequest struct {
	request distribution.ShareRequest
	result  chan replicahost.ProposeResult
}

// NewShareService returns the service of the shares of rate limits and of quotas.
// clockSkewFactor is how many times faster the fastest clock may run than the slowest.
func NewShareService(state ShareState, clockSkewFactor int) *ShareService {
	return &ShareService{
		state: state,
		allocators: map[distribution.ShareTable]*shareAllocator{
			distribution.RateShares: newShareAllocator(
				schema.RateSharesKey, ratelimit.LeaseDuration, clockSkewFactor),
			distribution.QuotaShares: newShareAllocator(
				schema.QuotaSharesKey, ratelimit.QuotaLeaseDuration, clockSkewFactor),
		},
		waiting:  make(chan *pendingShareRequest, maxWaitingRequests),
		stopping: make(chan struct{}),
	}
}

// HasTable reports whether there are shares of a table.
func (s *ShareService) HasTable(table distribution.ShareTable) bool {
	return s.allocators[table] != nil
}

// IsValid reports whether the fields of a request are within their bounds.
func (s *ShareService) IsValid(request *distribution.ShareRequest) bool {
	return request.Node != "" && request.Permille >= 0 && request.Permille <= ratelimit.FullShare &&
		s.HasTable(request.Table)
}

// Request requests a share from the leader. The errors are those of Host.CallLeader.
func (s *ShareService) Request(
	ctx context.Context, request distribution.ShareRequest,
) (distribution.ShareGrant, error) {
	result, err := s.state.CallLeader(ctx, replicahost.LeaderCall{
		Cell:    schema.MetaCell,
		Path:    ShareRequestPath,
		Request: &request,
		Local: func(ctx context.Context) replicahost.ProposeResult {
			return s.DecideLocal(ctx, request)
		},
	})
	if err != nil {
		return distribution.ShareGrant{}, err
	}
	return result.Grant, nil
}

// DecideLocal decides a request at this node, which must lead the meta cell.
func (s *ShareService) DecideLocal(
	ctx context.Context, request distribution.ShareRequest,
) replicahost.ProposeResult {
	pending := &pendingShareRequest{request: request, result: make(chan replicahost.ProposeResult, 1)}
	select {
	case s.waiting <- pending:
	default:
		return replicahost.ProposeResult{Busy: true}
	}
	select {
	case result := <-pending.result:
		return result
	case <-ctx.Done():
	case <-s.stopping:
	}
	return replicahost.ProposeResult{Unknown: true}
}

// Run decides requests until the context ends, all waiting ones in one transaction per table.
// When the context ends it completes the batch under way, but DecideLocal returns at once.
func (s *ShareService) Run(ctx context.Context) {
	context.AfterFunc(ctx, func() { close(s.stopping) })
	for {
		var batch []*pendingShareRequest
		select {
		case pending := <-s.waiting:
			batch = append(batch, pending)
		case <-ctx.Done():
			return
		}
		batch = batching.Drain(s.waiting, batch, cap(s.waiting))
		for _, table := range []distribution.ShareTable{distribution.RateShares, distribution.QuotaShares} {
			s.decideTable(context.WithoutCancel(ctx), table, batch)
		}
	}
}

// decideTable decides the requests of a batch that are for one table.
func (s *ShareService) decideTable(
	ctx context.Context, table distribution.ShareTable, batch []*pendingShareRequest,
) {
	var requests []*pendingShareRequest
	for _, pending := range batch {
		if pending.request.Table == table {
			requests = append(requests, pending)
		}
	}
	if len(requests) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	result, grants := s.commit(ctx, s.allocators[table], requests)
	for i, pending := range requests {
		if result.Committed {
			result.Grant = grants[i]
		}
		pending.result <- result
	}
}

// commit decides requests and commits the resulting table. It retries if the table has changed
// meanwhile.
func (s *ShareService) commit(
	ctx context.Context, allocator *shareAllocator, requests []*pendingShareRequest,
) (replicahost.ProposeResult, []distribution.ShareGrant) {
	for range maxCommitAttempts {
		table, unchanged := s.readTable(allocator.tableKey)
		grants := make([]distribution.ShareGrant, len(requests))
		now := time.Now()
		for i, pending := range requests {
			table, grants[i] = allocator.allocate(table, pending.request, now)
		}
		result := s.state.ProposeLocal(ctx, schema.MetaCell, paxos.Txn{
			ID:         replicahost.NewTransactionID(),
			Conditions: []paxos.Condition{unchanged},
			Ops:        []paxos.Op{schema.PutOp(allocator.tableKey, table)},
		})
		if result.Committed || result.Busy || result.Unknown || result.NoLeader {
			return result, grants
		}
	}
	return replicahost.ProposeResult{Busy: true}, nil
}

// readTable returns a table and the condition that it is unchanged.
func (s *ShareService) readTable(key string) (shareTable, paxos.Condition) {
	table := shareTable{}
	var stored paxos.Value
	isRead := false
	s.state.View(schema.MetaCell, func(replica *paxos.Replica) {
		var found bool
		stored, found = replica.Get(key)
		isRead = found && rpc.Unmarshal(stored.Bytes, &table) == nil
	})
	return table, schema.UnchangedCondition(key, stored, isRead)
}
