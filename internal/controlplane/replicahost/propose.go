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

// Paths of the calls to the leader of a cell that this package makes.
const (
	PathPropose   = "/propose"
	PathReadIndex = "/confirm"
)

// Backoff of calls for which there is no leader, or which it rejects as busy.
const (
	initialRetryBackoff = 20 * time.Millisecond
	maxRetryBackoff     = 300 * time.Millisecond
	// noLeaderBackoff is shorter: the leader is looked up locally, which loads no other node.
	noLeaderBackoff = 60 * time.Millisecond
)

// ProposeRequest asks the leader of a cell to propose a transaction (PathPropose) or to
// confirm that it still leads (PathConfirm), which needs no transaction.
type ProposeRequest struct {
	Cell string    `cbor:"1,keyasint"`
	Txn  paxos.Txn `cbor:"2,keyasint"`
}

// ProposeResult is the outcome of a request to the leader of a cell.
type ProposeResult struct {
	// Committed says that the transaction was committed, or the read index confirmed. If no
	// field is set, the conditions of the transaction did not hold.
	Committed bool `cbor:"1,keyasint,omitempty"`
	// Busy says that the leader's pipeline is full.
	Busy bool `cbor:"2,keyasint,omitempty"`
	// Unknown says that the change may or may not have been committed.
	Unknown bool `cbor:"3,keyasint,omitempty"`
	// NoLeader says that the node does not lead the cell.
	NoLeader bool `cbor:"4,keyasint,omitempty"`
	// Index is the log index at which a read was confirmed.
	Index uint64 `cbor:"5,keyasint,omitempty"`
	// Grant answers a request for a share.
	Grant distribution.ShareGrant `cbor:"6,keyasint,omitempty"`
}

// resultOfRefusal returns the result of a request that a replica rejected.
func resultOfRefusal(err error) ProposeResult {
	if errors.Is(err, paxos.ErrPipelineFull) {
		return ProposeResult{Busy: true}
	}
	return ProposeResult{NoLeader: true}
}

// NewTransactionID returns a random ID for a transaction.
func NewTransactionID() string { return strconv.FormatUint(mrand.Uint64(), 36) }

// Propose proposes a transaction at the leader of a cell, wherever it is, and reports whether
// it was committed. If not, and there is no error, its conditions did not hold. The error is
// ErrNoQuorum, ErrBusy or ErrOutcomeUnknown.
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

// ProposeLocal proposes a transaction, which must have an ID, at this node. The result is
// NoLeader if this node does not lead the cell.
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
		return resultOfRefusal(err)
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

// LeaderCall is a call to the leader of a cell, wherever it is.
type LeaderCall struct {
	Cell string
	// Path is the RPC path of the request if another node leads. The response is a
	// ProposeResult.
	Path    string
	Request any
	// Local handles the request if this node leads.
	Local func(context.Context) ProposeResult
}

// CallLeader makes a call to the leader of a cell. While there is no leader, or it is busy,
// the call is retried with exponential backoff and jitter until the context ends; the error
// is then ErrNoQuorum or ErrBusy. ErrOutcomeUnknown says that the leader may have executed
// the call.
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

// leaderAddress returns the address of the leader of a cell, or an empty one if this node
// doesn't know it. isLocal says that this node leads.
func (h *Host) leaderAddress(cell string) (address string, isLocal bool) {
	h.View(cell, func(replica *paxos.Replica) {
		isLocal = replica.Role() == paxos.Leader
		if leader := replica.Leader(); leader != "" {
			address = h.addresses[leader]
		}
	})
	return address, isLocal
}

// sleep waits, and reports false if the context or the host ended first.
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
