package replicahost

import (
	"context"
	"errors"
	mrand "math/rand/v2"
	"strconv"
	"time"

	"comethold/internal/distribution"
	"comethold/internal/paxos"
)

// RPC paths of the calls that this package makes to the leader of a cell.
const (
	PathPropose   = "/propose"
	PathReadIndex = "/confirm"
)

// Backoff of calls that found no leader or that the leader rejected because it is busy.
const (
	initialRetryBackoff = 20 * time.Millisecond
	maxRetryBackoff     = 300 * time.Millisecond
	// noLeaderBackoff is the maximum backoff while there is no leader. It is shorter than
	// maxRetryBackoff because a retry only looks up the leader locally and loads no other node.
	noLeaderBackoff = 60 * time.Millisecond
)

// ProposeRequest asks the leader of a cell to propose a transaction (PathPropose), or to
// confirm that it still leads and return its read index (PathReadIndex; Txn is not used).
type ProposeRequest struct {
	Cell string    `cbor:"1,keyasint"`
	Txn  paxos.Txn `cbor:"2,keyasint"`
}

// ProposeResult is the outcome of a request to the leader of a cell.
type ProposeResult struct {
	// Committed is true if the transaction was committed or the read index confirmed. If the
	// result of a proposal has no field set, the conditions of the transaction did not hold.
	Committed bool `cbor:"1,keyasint,omitempty"`
	// Busy is true if the leader can't handle the request now: its pipeline is full, it is still
	// catching up, or the local handler of the request rejects it for now.
	Busy bool `cbor:"2,keyasint,omitempty"`
	// Unknown is true if the change may or may not have been committed.
	Unknown bool `cbor:"3,keyasint,omitempty"`
	// NoLeader is true if the node that handled the request does not lead the cell.
	NoLeader bool `cbor:"4,keyasint,omitempty"`
	// Index is the read index.
	Index uint64 `cbor:"5,keyasint,omitempty"`
	// Grant is the answer to a distribution.ShareRequest.
	Grant distribution.ShareGrant `cbor:"6,keyasint,omitempty"`
}

// rejectionResult returns the result of a request that a replica rejected with an error.
func rejectionResult(err error) ProposeResult {
	if errors.Is(err, paxos.ErrPipelineFull) {
		return ProposeResult{Busy: true}
	}
	return ProposeResult{NoLeader: true}
}

// NewTransactionID returns a random ID for a transaction.
func NewTransactionID() string { return strconv.FormatUint(mrand.Uint64(), 36) }

// Propose proposes a transaction to the leader of a cell, which may be on another node, and
// reports whether the transaction was committed. If committed is false and err is nil, the
// conditions of the transaction did not hold. The error is ErrNoQuorum, ErrBusy or
// ErrOutcomeUnknown.
func (h *Host) Propose(ctx context.Context, cell string, txn paxos.Txn) (committed bool, err error) {
	txn.ID = NewTransactionID()
	result, err := h.CallLeader(ctx, LeaderCall{
		Cell:    cell,
		Path:    PathPropose,
		Request: &ProposeRequest{Cell: cell, Txn: txn},
		Local:   func(ctx context.Context) ProposeResult { return h.ProposeLocal(ctx, cell, txn) },
	})
	return result.Committed, err
}

// ProposeLocal proposes a transaction, which must have an ID, to this node's replica. The
// result is NoLeader if this node does not lead the cell, Busy if its pipeline is full, and
// Unknown if the context or the host ends before the outcome is known.
func (h *Host) ProposeLocal(ctx context.Context, cell string, txn paxos.Txn) ProposeResult {
	waiter := make(chan paxos.Outcome, 1)
	var err error
	h.loop.do(func() {
		hosted := h.replicas[cell]
		if hosted == nil {
			err = paxos.ErrNotLeader
			return
		}
		h.proposalWaiters[txn.ID] = waiter
		if err = hosted.replica.Propose(h.now(), txn); err != nil {
			delete(h.proposalWaiters, txn.ID)
		}
		h.processReady(cell, hosted)
	})
	if err != nil {
		return rejectionResult(err)
	}
	select {
	case outcome := <-waiter:
		return ProposeResult{Committed: outcome.Committed, Unknown: outcome.Unknown}
	case <-ctx.Done():
	case <-h.loop.quit:
	}
	h.Enqueue(func() {
		delete(h.proposalWaiters, txn.ID)
		if replica := h.Replica(cell); replica != nil {
			replica.ForgetOutcome(txn.ID)
		}
	})
	return ProposeResult{Unknown: true}
}

// LeaderCall is a call to the leader of a cell, either on this node or on another one.
type LeaderCall struct {
	Cell string
	// Path is the RPC path to which Request is sent if another node leads. The response is a
	// ProposeResult.
	Path    string
	Request any
	// Local handles the request if this node leads.
	Local func(context.Context) ProposeResult
}

// CallLeader makes a call to the leader of a cell. While there is no leader, or it is busy,
// the call is retried with exponential backoff and jitter until the context or the host ends;
// the error is then ErrNoQuorum or ErrBusy. The error is ErrOutcomeUnknown, without a retry, if
// the leader may have executed the call.
func (h *Host) CallLeader(ctx context.Context, call LeaderCall) (ProposeResult, error) {
	backoff := initialRetryBackoff
	cause := ErrNoQuorum
	for {
		result := h.callLeaderOnce(ctx, &call)
		switch {
		case result.Unknown:
			return result, ErrOutcomeUnknown
		case result.Busy:
			cause = ErrBusy
		case !result.NoLeader:
			return result, nil
		}
		pause := time.Duration((0.5 + mrand.Float64()) * float64(backoff))
		maxBackoff := maxRetryBackoff
		if result.NoLeader {
			maxBackoff = noLeaderBackoff
		}
		backoff = min(2*backoff, maxBackoff)
		if !h.sleep(ctx, pause) {
			return result, cause
		}
	}
}

func (h *Host) callLeaderOnce(ctx context.Context, call *LeaderCall) ProposeResult {
	address, isLocal := h.leaderAddress(call.Cell)
	if isLocal {
		return call.Local(ctx)
	}
	if address == "" || address == h.Self.Addr {
		return ProposeResult{NoLeader: true}
	}
	var result ProposeResult
	if err := h.CallPeer(ctx, address, call.Path, call.Request, &result); err != nil {
		return ProposeResult{Unknown: true}
	}
	return result
}

// leaderAddress returns the address of the leader of a cell, or an empty string if this node
// doesn't know it. isLocal is true if this node leads.
func (h *Host) leaderAddress(cell string) (address string, isLocal bool) {
	h.View(cell, func(replica *paxos.Replica) {
		isLocal = replica.Role() == paxos.Leader
		if leader := replica.Leader(); leader != "" {
			address = h.addresses[leader]
		}
	})
	return address, isLocal
}

// sleep waits for the pause to elapse. It reports false if the context or the host ended first.
func (h *Host) sleep(ctx context.Context, pause time.Duration) bool {
	select {
	case <-time.After(pause):
		return true
	case <-ctx.Done():
		return false
	case <-h.loop.quit:
		return false
	}
}
