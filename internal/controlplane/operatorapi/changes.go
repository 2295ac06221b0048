package operatorapi

import (
	"context"
	"fmt"

	"comethold/internal/controlplane/replicahost"
	"comethold/internal/controlplane/schema"
	"comethold/internal/logging"
	"comethold/internal/outbox"
	"comethold/internal/paxos"
	"comethold/internal/routing"
)

// maxCommitAttempts limits the attempts to commit a change. An attempt fails if this node's
// replica lags or if another change is committed first.
const maxCommitAttempts = 3

// changeCommitter commits changes of the configuration. tryCommit returns a typed error for each
// rejection; statusOf and messageOf map it to the response.
type changeCommitter struct {
	cells               Cells
	log                 *logging.Logger
	isForming           func() bool
	latestConfiguration func() *routing.Configuration
	quarantine          func(notification *outbox.Notification, reason string)
}

// committedState is the state of this node's replica that concerns a change.
type committedState struct {
	version          uint64 // of the current configuration
	raw              []byte
	receipt          outbox.KeyUse // whether the change, or a conflicting one, was committed
	isReceiptDeleted bool          // the receipts of this version were deleted, so receipt is unknown
	isReadable       bool          // the replica could be read; otherwise all fields are zero
}

// commit commits a change. It returns nil only if a transaction with the change was
// committed, by this call or an earlier one. It returns errContended if every attempt failed
// for a temporary reason.
func (s *changeCommitter) commit(ctx context.Context, request *change) error {
	fingerprint := outbox.Digest(request.raw)
	for attempt := range maxCommitAttempts {
		isCurrent := attempt > 0 // WaitLinearizable has run since the last attempt
		committed, err := s.tryCommit(ctx, request, fingerprint, isCurrent)
		if err != nil || committed {
			return err
		}
		if err := s.cells.WaitLinearizable(ctx, schema.MetaCell); err != nil {
			return err
		}
	}
	return errContended
}

// tryCommit makes one attempt. It returns false without an error if the local replica may
// lag or another change was committed first. isCurrent reports whether the replica had
// caught up with the leader before the attempt.
func (s *changeCommitter) tryCommit(
	ctx context.Context, request *change, fingerprint []byte, isCurrent bool,
) (committed bool, err error) {
	if s.isForming() {
		return false, errForming
	}
	state := s.readState(request, fingerprint)
	switch {
	case !state.isReadable:
		return false, replicahost.ErrNoQuorum
	case state.receipt == outbox.KeyRepeated: // applied here, so a majority has accepted it
		return true, nil
	case state.receipt == outbox.KeyConflicting:
		s.quarantineChange(request, fingerprint)
		return false, &VersionReusedError{Version: request.version}
	case state.isReceiptDeleted:
		return false, errReceiptDeleted
	case state.version == request.base && request.version > state.version:
		return s.propose(ctx, request, fingerprint, state)
	case !isCurrent:
		return false, nil
	case state.version != request.base:
		return false, &ConflictError{Current: state.version, Base: request.base}
	}
	return false, &InvalidRequestError{errVersionNotAbove}
}

func (s *changeCommitter) readState(request *change, fingerprint []byte) (state committedState) {
	found := s.cells.View(schema.MetaCell, func(replica *paxos.Replica) {
		state.version, state.raw = schema.ReadConfig(replica)
		state.receipt, state.isReceiptDeleted = schema.CheckReplay(replica, request.version, request.base, fingerprint)
	})
	if !found {
		return committedState{}
	}
	state.isReadable = true
	return state
}

// propose applies a change to the configuration in state and proposes the transaction. It
// returns false without an error if the configuration has changed since state was read.
func (s *changeCommitter) propose(
	ctx context.Context, request *change, fingerprint []byte, state committedState,
) (committed bool, err error) {
	next, raw, err := request.apply(state.raw)
	if err != nil {
		return false, &InvalidRequestError{err}
	}
	var previous *routing.Configuration // if nil, all tenants count as changed
	if latest := s.latestConfiguration(); latest != nil && latest.Version == state.version {
		previous = latest
	}
	update := &schema.ConfigChange{
		Config:         next,
		Raw:            raw,
		Fingerprint:    fingerprint,
		ChangedTenants: changedTenants(previous, next),
	}
	var txn paxos.Txn
	s.cells.View(schema.MetaCell, func(replica *paxos.Replica) {
		if version, _ := schema.ReadConfig(replica); version == state.version {
			txn = schema.ConfigTxn(replica, update)
		}
	})
	if txn.Ops == nil {
		return false, nil
	}
	return s.cells.Propose(ctx, schema.MetaCell, txn)
}

// quarantineChange records a change whose version and base equal those of a committed change
// but whose content differs. Only its fingerprint is stored; the change is never applied.
func (s *changeCommitter) quarantineChange(request *change, fingerprint []byte) {
	s.log.Error(logging.IdempotencyConflict).
		Uint64("version", request.version).
		Uint64("base", request.base).
		Hex("fingerprint", fingerprint).
		Msg("change rejected: its content differs from the change committed with the same version and base")
	eventID := fmt.Sprintf("order/%d/%d/%x", request.version, request.base, fingerprint)
	notification, err := outbox.Notification{
		EventID:         eventID,
		Aggregate:       outbox.AggregateConfiguration,
		Version:         request.version,
		PreviousVersion: request.base,
	}.WithPayload(nil)
	if err == nil {
		s.quarantine(&notification, outbox.ErrContentMismatch.Error())
	}
}
