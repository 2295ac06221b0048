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

// ShareRequestPath is the RPC path on which control nodes forward requests for shares to the leader
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
	// ProposeLocal proposes a transaction at this node, which must be the leader of the cell.
	ProposeLocal(ctx context.Context, cell string, txn paxos.Txn) replicahost.ProposeResult
	// CallLeader calls the leader of a cell, which may be this node.
	CallLeader(ctx context.Context, call replicahost.LeaderCall) (replicahost.ProposeResult, error)
}

// ShareService grants shares. The leader of the meta cell decides all requests, so that their
// transactions don't conflict; other control nodes forward requests to it.
type ShareService struct {
	state      ShareState
	allocators map[distribution.ShareTable]*shareAllocator
	waiting    chan *pendingShareRequest
	stopping   chan struct{} // closed when Run's context ends
}

// pendingShareRequest is a request queued for Run at the leader.
type pendingShareRequest struct {
	request distribution.ShareRequest
	result  chan replicahost.ProposeResult
}

// NewShareService returns a ShareService for the shares of rate limits and of quotas; Run starts it.
// clockSkewFactor is the greatest ratio allowed between the rates of the fastest and the slowest clock.
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

// HasTable reports whether the service grants shares of a table.
func (s *ShareService) HasTable(table distribution.ShareTable) bool {
	return s.allocators[table] != nil
}

// IsValid reports whether a request names a node and a known table, and its share is within bounds.
func (s *ShareService) IsValid(request *distribution.ShareRequest) bool {
	return request.Node != "" && request.Permille >= 0 && request.Permille <= ratelimit.FullShare &&
		s.HasTable(request.Table)
}

// Request requests a share from the leader. It returns the errors of replicahost.Host.CallLeader.
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

// DecideLocal decides a request at this node, which must be the leader of the meta cell. The result
// is Busy if too many requests are waiting, and Unknown if ctx or the service ends before the decision.
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

// Run decides requests until the context ends. It decides all waiting requests as a batch, with one
// transaction per table. When the context ends, Run completes the current batch, while DecideLocal
// returns immediately.
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

// commit decides requests and commits the resulting table. If the table was changed concurrently, it
// decides them again, with up to maxCommitAttempts attempts in all. The grants are valid only if the
// result is Committed.
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

// readTable returns a table and the condition that its stored value is unchanged.
func (s *ShareService) readTable(key string) (shareTable, paxos.Condition) {
	table := shareTable{}
	var stored paxos.Value
	valid := false
	s.state.View(schema.MetaCell, func(replica *paxos.Replica) {
		var found bool
		stored, found = replica.Get(key)
		valid = found && rpc.Unmarshal(stored.Bytes, &table) == nil
	})
	return table, schema.UnchangedCondition(key, stored, valid)
}
