package replicahost

import (
	"context"
	"errors"
	"fmt"
	mrand "math/rand/v2"
	"net"
	"strconv"
	"time"

	"comethold/internal/distribution"
	"comethold/internal/paxos"
)

type ProposeRequest struct {
	Cell string    `cbor:"1,keyasint"`
	Txn  paxos.Txn `cbor:"2,keyasint"`
}

type ProposeResult struct {
	Committed bool   `cbor:"1,keyasint,omitempty"`
	Busy      bool   `cbor:"2,keyasint,omitempty"`
	Unknown   bool   `cbor:"3,keyasint,omitempty"`
	NoLeader  bool   `cbor:"4,keyasint,omitempty"`
	Index     uint64 `cbor:"5,keyasint,omitempty"`
	// Grant answers a claim.
	Grant distribution.ShareGrant `cbor:"6,keyasint,omitempty"`
}

// resultOfRefusal is the verdict where a member takes nothing.
func resultOfRefusal(err error) ProposeResult {
	if errors.Is(err, paxos.ErrPipelineFull) {
		return ProposeResult{Busy: true}
	}
	return ProposeResult{NoLeader: true}
}

// ProposeLocal proposes at this node, which must be the proposer.
func (h *Host) ProposeLocal(ctx context.Context, name string, t paxos.Txn) ProposeResult {
	w := make(chan paxos.Outcome, 1)
	var err error
	h.Do(func() {
		m := h.Replicas[name]
		if m == nil {
			err = paxos.ErrNotLeader
			return
		}
		h.proposalWaiters[t.ID] = w
		if err = m.Propose(h.Now(), t); err != nil {
			delete(h.proposalWaiters, t.ID)
		}
		h.processReady(name, m)
	})
	if err != nil {
		return resultOfRefusal(err)
	}
	select {
	case o := <-w:
		return ProposeResult{Committed: o.Committed, Unknown: o.Unknown}
	case <-ctx.Done():
	case <-h.quit:
	}
	h.Enqueue(func() {
		delete(h.proposalWaiters, t.ID)
		if m := h.Replicas[name]; m != nil {
			m.ForgetOutcome(t.ID)
		}
	})
	return ProposeResult{Unknown: true}
}

// ReadIndexLocal confirms at the proposer that its state is current.
func (h *Host) ReadIndexLocal(ctx context.Context, name string) ProposeResult {
	w := make(chan uint64, 1)
	var err error
	var ticket uint64
	h.Do(func() {
		m := h.Replicas[name]
		if m == nil {
			err = paxos.ErrNotLeader
			return
		}
		h.lastReadID++
		ticket = h.lastReadID
		h.readWaiters[ticket] = w
		if err = m.Read(h.Now(), ticket); err != nil {
			delete(h.readWaiters, ticket)
		}
		h.processReady(name, m)
	})
	if err != nil {
		return resultOfRefusal(err)
	}
	select {
	case slot := <-w:
		return ProposeResult{Committed: true, Index: slot}
	case <-ctx.Done():
	case <-h.quit:
	}
	h.Enqueue(func() { delete(h.readWaiters, ticket) })
	return ProposeResult{NoLeader: true}
}

// leaderAddress returns where the proposer is; here says that it is this node.
func (h *Host) leaderAddress(name string) (addr string, here bool) {
	h.Do(func() {
		if m := h.Replicas[name]; m != nil {
			here = m.Role() == paxos.Leader
			if l := m.Leader(); l != "" {
				addr = h.Addresses[l]
			}
		}
	})
	return addr, here
}

// CallLeader runs f at the proposer, here or by a call, and backs off
// exponentially with jitter while there is none or it refuses.
func (h *Host) CallLeader(ctx context.Context, name, path string, in any, f func(context.Context) ProposeResult) (ProposeResult, error) {
	pause := 20 * time.Millisecond
	last := ErrNoQuorum
	for {
		addr, here := h.leaderAddress(name)
		v := ProposeResult{NoLeader: true}
		if here {
			v = f(ctx)
		} else if addr != "" && addr != h.Self.Addr {
			// Into a fresh verdict: what is absent on the wire stays as it was.
			v = ProposeResult{}
			if err := h.Client.Call(ctx, net.JoinHostPort(addr, strconv.Itoa(h.Port)), path, in, &v); err != nil {
				v = ProposeResult{Unknown: true}
			}
		}
		switch {
		case v.Unknown:
			return v, ErrOutcomeUnknown
		case v.Busy:
			last = ErrBusy
		case !v.NoLeader:
			return v, nil
		}
		wait := time.Duration((0.5 + mrand.Float64()) * float64(pause))
		most := maxRetryBackoff
		if v.NoLeader {
			most = noLeaderBackoff // looked up here: it costs nobody else anything
		}
		pause = min(2*pause, most)
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return v, last
		case <-h.quit:
			return v, last
		}
	}
}

func NewTransactionID() string { return strconv.FormatUint(mrand.Uint64(), 36) }

// Propose has a transaction decided and tells whether it was committed.
func (h *Host) Propose(ctx context.Context, name string, t paxos.Txn) (bool, error) {
	t.ID = NewTransactionID()
	v, err := h.CallLeader(ctx, name, "/propose", &ProposeRequest{Cell: name, Txn: t},
		func(ctx context.Context) ProposeResult { return h.ProposeLocal(ctx, name, t) })
	return v.Committed, err
}

// WaitLinearizable waits until this node's copy of the cell is current.
func (h *Host) WaitLinearizable(ctx context.Context, name string) error {
	v, err := ProposeResult{}, ErrOutcomeUnknown
	for errors.Is(err, ErrOutcomeUnknown) { // to ask again does no harm
		v, err = h.CallLeader(ctx, name, "/confirm", &ProposeRequest{Cell: name},
			func(ctx context.Context) ProposeResult { return h.ReadIndexLocal(ctx, name) })
		if err == nil && !v.Committed {
			err = ErrOutcomeUnknown // an answer without content confirms nothing
		}
		if errors.Is(err, ErrOutcomeUnknown) {
			select {
			case <-time.After(noLeaderBackoff):
			case <-ctx.Done():
				return ErrNoQuorum
			case <-h.quit:
				return ErrNoQuorum
			}
		}
	}
	if err != nil {
		return err
	}
	for {
		var applied uint64
		h.Do(func() {
			if m := h.Replicas[name]; m != nil {
				applied = m.AppliedIndex()
			}
		})
		if applied >= v.Index {
			return nil
		}
		select {
		case <-time.After(5 * time.Millisecond):
		case <-ctx.Done():
			return fmt.Errorf("%w: behind its cell", ErrNoQuorum)
		case <-h.quit:
			return ErrNoQuorum
		}
	}
}
