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

// maxCommitAttempts is how often a change is tried: this node's replica may lag at first,
// and another change may be committed in between.
const maxCommitAttempts = 3

// changes commits changes of the configuration.
type changes struct {
	cells               Cells
	log                 *logging.Logger
	isForming           func() bool
	latestConfiguration func() *routing.Configuration
	quarantine          func(notification *outbox.Notification, reason string)
}

// committedState is what this node's replica knows of the configuration and of a change.
type committedState struct {
	version      uint64 // of the configuration in force
	raw          []byte
	receipt      outbox.KeyUse // what the receipts say of the change
	isForgotten  bool          // the change is older than all receipts
	isObservable bool
}

// commit has a change committed. It returns nil only if a transaction with the change was
// committed, by this call or an earlier one.
func (s *changes) commit(ctx context.Context, request *change) error {
	fingerprint := outbox.Digest(request.raw)
	for attempt := range maxCommitAttempts {
		isCurrent := attempt > 0 // before the first attempt nobody has asked the leader
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

// tryCommit is one attempt. It returns false without an error if the replica here lags, or
// another change was committed first. isCurrent says that the replica is known not to lag.
func (s *changes) tryCommit(
	ctx context.Context, request *change, fingerprint []byte, isCurrent bool,
) (committed bool, err error) {
	if s.isForming() {
		return false, errForming
	}
	state := s.readState(request, fingerprint)
	switch {
	case !state.isObservable:
		return false, replicahost.ErrNoQuorum
	case state.receipt == outbox.KeyRepeated: // applied here, so a majority has accepted it
		return true, nil
	case state.receipt == outbox.KeyConflicting:
		s.quarantineChange(request, fingerprint)
		return false, &VersionReusedError{Version: request.version}
	case state.isForgotten:
		return false, errForgotten
	case state.version == request.base && request.version > state.version:
		return s.propose(ctx, request, fingerprint, state)
	case !isCurrent:
		return false, nil
	case state.version != request.base:
		return false, &ConflictError{Current: state.version, Base: request.base}
	}
	return false, &InvalidRequestError{errVersionNotAbove}
}

func (s *changes) readState(request *change, fingerprint []byte) (state committedState) {
	found := s.cells.View(schema.MetaCell, func(replica *paxos.Replica) {
		state.version, state.raw = schema.ReadConfig(replica)
		state.receipt, state.isForgotten = schema.CheckReplay(replica, request.version, request.base, fingerprint)
	})
	if !found {
		return committedState{}
	}
	state.isObservable = true
	return state
}

// propose has the transaction of a change decided that builds on the state.
func (s *changes) propose(
	ctx context.Context, request *change, fingerprint []byte, state committedState,
) (committed bool, err error) {
	next, raw, err := request.apply(state.raw)
	if err != nil {
		return false, &InvalidRequestError{err}
	}
	var previous *routing.Configuration // if it is not at hand, any tenant counts as changed
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

// quarantineChange keeps a change for the operator that has the version and base of a
// committed one and other content. Its fingerprint is kept; nothing of it comes into force.
func (s *changes) quarantineChange(request *change, fingerprint []byte) {
	s.log.Error(logging.IdempotencyConflict).
		Uint64("version", request.version).
		Uint64("base", request.base).
		Hex("fingerprint", fingerprint).
		Msg("a change contradicts the one that was committed under its version and base")
	eventID := fmt.Sprintf("order/%d/%d/%x", request.version, request.base, fingerprint)
	notification, err := outbox.NewNotification(
		eventID, outbox.AggregateConfiguration, request.version, request.base, nil)
	if err == nil {
		s.quarantine(&notification, outbox.ErrContentMismatch.Error())
	}
}
