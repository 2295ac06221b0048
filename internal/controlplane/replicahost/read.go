package replicahost

import (
	"context"
	"errors"
	"fmt"
	"time"

	"comethold/internal/paxos"
)

// appliedPollInterval is how often WaitLinearizable checks whether this node has caught up.
const appliedPollInterval = 5 * time.Millisecond

// WaitLinearizable waits until this node has applied everything that was committed to a cell
// before the call, so that a subsequent local read is linearizable. The leader confirms with a
// majority that it still leads and returns its read index; this node then waits until it has
// applied the log up to that index. The error is ErrBusy or wraps ErrNoQuorum.
func (h *Host) WaitLinearizable(ctx context.Context, cell string) error {
	index, err := h.readIndex(ctx, cell)
	if err != nil {
		return err
	}
	return h.waitApplied(ctx, cell, index)
}

// readIndex requests the read index from the leader. The request is idempotent, so it is
// repeated while its outcome is unknown.
func (h *Host) readIndex(ctx context.Context, cell string) (uint64, error) {
	call := LeaderCall{
		Cell:    cell,
		Path:    PathReadIndex,
		Request: &ProposeRequest{Cell: cell},
		Local:   func(ctx context.Context) ProposeResult { return h.ReadIndexLocal(ctx, cell) },
	}
	for {
		result, err := h.CallLeader(ctx, call)
		if err == nil && result.Committed {
			return result.Index, nil
		}
		// Retry an unknown outcome and an empty result, which doesn't confirm a read index.
		if err != nil && !errors.Is(err, ErrOutcomeUnknown) {
			return 0, err
		}
		if !h.sleep(ctx, noLeaderBackoff) {
			return 0, ErrNoQuorum
		}
	}
}

// ReadIndexLocal confirms with a majority that this node still leads a cell, and returns its
// applied index at the time of the confirmation as the read index. The result is Busy if the
// leader is still catching up, and NoLeader if this node does not lead or the
// context or the host ends before the confirmation.
func (h *Host) ReadIndexLocal(ctx context.Context, cell string) ProposeResult {
	waiter := make(chan uint64, 1)
	var readID uint64
	var err error
	h.loop.do(func() {
		hosted := h.replicas[cell]
		if hosted == nil {
			err = paxos.ErrNotLeader
			return
		}
		h.lastReadID++
		readID = h.lastReadID
		h.readWaiters[readID] = waiter
		if err = hosted.replica.Read(h.now(), readID); err != nil {
			delete(h.readWaiters, readID)
		}
		h.processReady(cell, hosted)
	})
	if err != nil {
		return rejectionResult(err)
	}
	select {
	case index := <-waiter:
		return ProposeResult{Committed: true, Index: index}
	case <-ctx.Done():
	case <-h.loop.quit:
	}
	h.Enqueue(func() { delete(h.readWaiters, readID) })
	return ProposeResult{NoLeader: true}
}

// waitApplied waits until this node has applied the log of a cell up to an index.
func (h *Host) waitApplied(ctx context.Context, cell string, index uint64) error {
	for {
		var applied uint64
		h.View(cell, func(replica *paxos.Replica) { applied = replica.AppliedIndex() })
		if applied >= index {
			return nil
		}
		select {
		case <-time.After(appliedPollInterval):
		case <-ctx.Done():
			return fmt.Errorf("%w: this node lags behind the cell", ErrNoQuorum)
		case <-h.loop.quit:
			return ErrNoQuorum
		}
	}
}
