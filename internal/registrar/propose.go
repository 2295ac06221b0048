package registrar

import (
	"context"
	"errors"
	"fmt"
	mrand "math/rand/v2"
	"net"
	"strconv"
	"time"

	"comethold/internal/cell"
	"comethold/internal/feed"
)

type proposal struct {
	Cell string   `cbor:"1,keyasint"`
	Txn  cell.Txn `cbor:"2,keyasint"`
}

type verdict struct {
	Committed bool   `cbor:"1,keyasint,omitempty"`
	Busy      bool   `cbor:"2,keyasint,omitempty"`
	Unclear   bool   `cbor:"3,keyasint,omitempty"`
	NoLeader  bool   `cbor:"4,keyasint,omitempty"`
	Slot      uint64 `cbor:"5,keyasint,omitempty"`
	// Grant answers a claim.
	Grant feed.Grant `cbor:"6,keyasint,omitempty"`
}

// refusedBy is the verdict where a member takes nothing.
func refusedBy(err error) verdict {
	if errors.Is(err, cell.ErrBusy) {
		return verdict{Busy: true}
	}
	return verdict{NoLeader: true}
}

// proposeHere proposes at this node, which must be the proposer.
func (h *Host) proposeHere(ctx context.Context, name string, t cell.Txn) verdict {
	w := make(chan cell.Outcome, 1)
	var err error
	h.ask(func() {
		m := h.cells[name]
		if m == nil {
			err = cell.ErrNotProposer
			return
		}
		h.waiters[t.ID] = w
		if err = m.Propose(h.now(), t); err != nil {
			delete(h.waiters, t.ID)
		}
		h.drain(name, m)
	})
	if err != nil {
		return refusedBy(err)
	}
	select {
	case o := <-w:
		return verdict{Committed: o.Committed, Unclear: o.Lost}
	case <-ctx.Done():
	case <-h.quit:
	}
	h.do(func() {
		delete(h.waiters, t.ID)
		if m := h.cells[name]; m != nil {
			m.Forget(t.ID)
		}
	})
	return verdict{Unclear: true}
}

// readHere confirms at the proposer that its state is current.
func (h *Host) readHere(ctx context.Context, name string) verdict {
	w := make(chan uint64, 1)
	var err error
	var ticket uint64
	h.ask(func() {
		m := h.cells[name]
		if m == nil {
			err = cell.ErrNotProposer
			return
		}
		h.ticket++
		ticket = h.ticket
		h.reads[ticket] = w
		if err = m.Read(h.now(), ticket); err != nil {
			delete(h.reads, ticket)
		}
		h.drain(name, m)
	})
	if err != nil {
		return refusedBy(err)
	}
	select {
	case slot := <-w:
		return verdict{Committed: true, Slot: slot}
	case <-ctx.Done():
	case <-h.quit:
	}
	h.do(func() { delete(h.reads, ticket) })
	return verdict{NoLeader: true}
}

// leaderOf returns where the proposer is; here says that it is this node.
func (h *Host) leaderOf(name string) (addr string, here bool) {
	h.ask(func() {
		if m := h.cells[name]; m != nil {
			here = m.Role() == cell.Leading
			if l := m.Leader(); l != "" {
				addr = h.ids[l]
			}
		}
	})
	return addr, here
}

// attempt runs f at the proposer, here or by a call, and backs off
// exponentially with jitter while there is none or it refuses.
func (h *Host) attempt(ctx context.Context, name, path string, in any, f func(context.Context) verdict) (verdict, error) {
	pause := 20 * time.Millisecond
	last := ErrNoProposer
	for {
		addr, here := h.leaderOf(name)
		v := verdict{NoLeader: true}
		if here {
			v = f(ctx)
		} else if addr != "" && addr != h.self.Addr {
			// Into a fresh verdict: what is absent on the wire stays as it was.
			v = verdict{}
			if err := h.call.Call(ctx, net.JoinHostPort(addr, strconv.Itoa(h.port)), path, in, &v); err != nil {
				v = verdict{Unclear: true}
			}
		}
		switch {
		case v.Unclear:
			return v, ErrUnclear
		case v.Busy:
			last = ErrBusy
		case !v.NoLeader:
			return v, nil
		}
		wait := time.Duration((0.5 + mrand.Float64()) * float64(pause))
		most := longestPause
		if v.NoLeader {
			most = noLeaderPause // looked up here: it costs nobody else anything
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

func newID() string { return strconv.FormatUint(mrand.Uint64(), 36) }

// Propose has a transaction decided and tells whether it was committed.
func (h *Host) Propose(ctx context.Context, name string, t cell.Txn) (bool, error) {
	t.ID = newID()
	v, err := h.attempt(ctx, name, "/propose", &proposal{Cell: name, Txn: t},
		func(ctx context.Context) verdict { return h.proposeHere(ctx, name, t) })
	return v.Committed, err
}

// Sync waits until this node's copy of the cell is current.
func (h *Host) Sync(ctx context.Context, name string) error {
	v, err := verdict{}, ErrUnclear
	for errors.Is(err, ErrUnclear) { // to ask again does no harm
		v, err = h.attempt(ctx, name, "/confirm", &proposal{Cell: name},
			func(ctx context.Context) verdict { return h.readHere(ctx, name) })
		if err == nil && !v.Committed {
			err = ErrUnclear // an answer without content confirms nothing
		}
		if errors.Is(err, ErrUnclear) {
			select {
			case <-time.After(noLeaderPause):
			case <-ctx.Done():
				return ErrNoProposer
			case <-h.quit:
				return ErrNoProposer
			}
		}
	}
	if err != nil {
		return err
	}
	for {
		var applied uint64
		h.ask(func() {
			if m := h.cells[name]; m != nil {
				applied = m.Applied()
			}
		})
		if applied >= v.Slot {
			return nil
		}
		select {
		case <-time.After(5 * time.Millisecond):
		case <-ctx.Done():
			return fmt.Errorf("%w: behind its cell", ErrNoProposer)
		case <-h.quit:
			return ErrNoProposer
		}
	}
}
