// Package operatorapi implements the HTTP API for operators. They replace, amend and read the
// configuration, purge caches, and inspect the outbox and the leases.
//
// Handler contains the HTTP handlers. The logic is separate from HTTP: changeCommitter
// commits configurations, purgeQueue commits purges in batches, and the views read the state.
// They return typed errors, and WriteError maps these to HTTP statuses.
package operatorapi

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"comethold/internal/controlplane/replicahost"
	"comethold/internal/controlplane/schema"
	"comethold/internal/logging"
	"comethold/internal/outbox"
	"comethold/internal/paxos"
	"comethold/internal/routing"

	"github.com/labstack/echo/v4"
)

// requestTimeout limits the processing of a request. The operator's client times out after 1 s.
const requestTimeout = 1500 * time.Millisecond

// maxRedriveAttempts limits the attempts to commit a redrive. An attempt fails if the outbox
// row changes or another redrive is committed first.
const maxRedriveAttempts = 3

// Cells reads and changes the replicated cells. *replicahost.Host implements it.
type Cells interface {
	View(cell string, read func(*paxos.Replica)) bool
	Propose(ctx context.Context, cell string, txn paxos.Txn) (committed bool, err error)
	WaitLinearizable(ctx context.Context, cell string) error
}

// Options are the dependencies of a Handler. All fields are required.
type Options struct {
	Cells Cells
	Log   *logging.Logger
	// IsForming reports whether the meta cell is still adding its first voters. A change that
	// is committed in this state could be lost after fewer disk failures than the cell must
	// tolerate.
	IsForming func() bool
	// LatestConfiguration returns the newest configuration that this node holds, or nil.
	LatestConfiguration func() *routing.Configuration
	// Quarantine stores a notification, with the reason for its rejection, for the operator to
	// inspect. It must not wait until the record is committed, because the request is blocked
	// until it returns.
	Quarantine func(notification *outbox.Notification, reason string)
	// AppliedVersions returns, by aggregate, the version up to which this node has applied
	// notifications.
	AppliedVersions func() map[string]uint64
}

// Handler serves the requests of operators. It commits purges only while Run is running.
type Handler struct {
	cells           Cells
	log             *logging.Logger
	appliedVersions func() map[string]uint64
	changes         *changeCommitter
	purges          *purgeQueue
	largeBodySlot   chan struct{} // holds a token while a large body is read
}

// New returns a Handler.
func New(options Options) *Handler {
	return &Handler{
		cells:           options.Cells,
		log:             options.Log,
		appliedVersions: options.AppliedVersions,
		purges:          newPurgeQueue(options.Cells, options.Log),
		largeBodySlot:   make(chan struct{}, 1),
		changes: &changeCommitter{
			cells:               options.Cells,
			log:                 options.Log,
			isForming:           options.IsForming,
			latestConfiguration: options.LatestConfiguration,
			quarantine:          options.Quarantine,
		},
	}
}

// Run commits purges until ctx is done.
func (h *Handler) Run(ctx context.Context) { h.purges.run(ctx) }

// Replace handles POST /Configuration.Replace: it replaces the whole configuration if the base
// version is current.
func (h *Handler) Replace(c echo.Context) error { return h.handleChange(c, parseReplacement) }

// Amend handles POST /Configuration.Amend: it changes named items of the configuration if the
// base version is current.
func (h *Handler) Amend(c echo.Context) error { return h.handleChange(c, parseAmendment) }

func (h *Handler) handleChange(c echo.Context, parse parseFunc) error {
	request, err := h.readChange(c, parse)
	if err != nil {
		return WriteError(c, err)
	}
	return h.commitChange(c, request)
}

// commitChange commits a change and responds with its version.
func (h *Handler) commitChange(c echo.Context, request *change) error {
	ctx, cancel := context.WithTimeout(c.Request().Context(), requestTimeout)
	defer cancel()
	if err := h.changes.commit(ctx, request); err != nil {
		h.log.Warn(logging.ConfigRejected).
			Uint64("version", request.version).
			Uint64("base", request.base).
			Int("status", statusOf(err)).
			Str("cause", messageOf(err)).
			Msg("configuration not committed")
		return WriteError(c, err)
	}
	h.log.Info(logging.ConfigCommitted).
		Uint64("version", request.version).
		Uint64("base", request.base).
		Msg("configuration committed")
	return c.JSON(http.StatusOK, map[string]uint64{"version": request.version})
}

// Read handles GET /Configuration.Read: it returns the newest committed configuration.
func (h *Handler) Read(c echo.Context) error {
	ctx, cancel := context.WithTimeout(c.Request().Context(), requestTimeout)
	defer cancel()
	if err := h.cells.WaitLinearizable(ctx, schema.MetaCell); err != nil {
		return WriteError(c, err)
	}
	var version uint64
	var raw []byte
	found := h.cells.View(schema.MetaCell, func(replica *paxos.Replica) {
		version, raw = schema.ReadConfig(replica)
	})
	if !found {
		return WriteError(c, replicahost.ErrNoQuorum)
	}
	if version == 0 {
		return WriteError(c, errNoConfiguration)
	}
	return c.Blob(http.StatusOK, echo.MIMEApplicationJSON, raw)
}

// Purge handles POST /purge. It responds once the purge is committed.
func (h *Handler) Purge(c echo.Context) error {
	raw, err := readBody(c, maxSmallBodyBytes)
	if err != nil {
		return WriteError(c, err)
	}
	purge, err := parsePurge(raw)
	if err != nil {
		h.log.Warn(logging.PurgeRejected).Err(err).Msg("purge rejected")
		return WriteError(c, &InvalidRequestError{err})
	}
	if err := h.purges.submit(c.Request().Context(), purge); err != nil {
		return WriteError(c, err)
	}
	return c.JSON(http.StatusOK, struct{}{})
}

// ReadLeases handles GET /Duties.Read: the owners of the leases and the backlog of usage
// reports.
func (h *Handler) ReadLeases(c echo.Context) error {
	var view LeasesView
	found := h.cells.View(schema.MetaCell, func(replica *paxos.Replica) {
		view = readLeases(replica)
	})
	if !found {
		return WriteError(c, replicahost.ErrNoQuorum)
	}
	return c.JSON(http.StatusOK, view)
}

// ReadOutbox handles GET /Notices.Read: the outbox's backlog, the quarantine and the redrives.
func (h *Handler) ReadOutbox(c echo.Context) error {
	var view OutboxView
	found := h.cells.View(schema.MetaCell, func(replica *paxos.Replica) {
		view = readOutbox(replica)
	})
	if !found {
		return WriteError(c, replicahost.ErrNoQuorum)
	}
	view.AppliedVersions = h.appliedVersions()
	return c.JSON(http.StatusOK, view)
}

// Redrive handles POST /Notices.Redrive: it sends a notification again, or removes a
// quarantined one from the quarantine.
func (h *Handler) Redrive(c echo.Context) error {
	raw, err := readBody(c, maxSmallBodyBytes)
	if err != nil {
		return WriteError(c, err)
	}
	request := &schema.RedriveRequest{}
	if err := json.Unmarshal(raw, request); err != nil {
		return WriteError(c, &InvalidRequestError{err})
	}
	if err := request.Validate(); err != nil {
		return WriteError(c, &InvalidRequestError{err})
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), requestTimeout)
	defer cancel()
	if err := h.commitRedrive(ctx, request); err != nil {
		return WriteError(c, err)
	}
	return c.JSON(http.StatusOK, request)
}

// commitRedrive commits a redrive, unless the same request is stored already. It returns
// errUnknownEvent if the event ID is neither in the outbox nor in the quarantine, and
// replicahost.ErrBusy if every attempt failed.
func (h *Handler) commitRedrive(ctx context.Context, request *schema.RedriveRequest) error {
	for range maxRedriveAttempts {
		if err := h.cells.WaitLinearizable(ctx, schema.MetaCell); err != nil {
			return err
		}
		var txn paxos.Txn
		var isKnown, isDone bool
		found := h.cells.View(schema.MetaCell, func(replica *paxos.Replica) {
			txn, isKnown, isDone = schema.RedriveTransaction(replica, request)
		})
		switch {
		case !found:
			return replicahost.ErrNoQuorum
		case isDone:
			return nil
		case !isKnown:
			return errUnknownEvent
		}
		committed, err := h.cells.Propose(ctx, schema.MetaCell, txn)
		if err != nil {
			return err
		}
		if committed {
			h.log.Info(logging.NotificationRedriven).
				Str("eventId", request.EventID).
				Str("operator", request.Operator).
				Str("correlationId", request.CorrelationID).
				Str("action", request.Action).
				Msg("redrive committed")
			return nil
		}
		// The outbox row has changed, or another redrive was committed first.
	}
	return replicahost.ErrBusy
}
