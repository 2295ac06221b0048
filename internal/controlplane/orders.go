package controlplane

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"comethold/internal/controlplane/placement"
	"comethold/internal/controlplane/replicahost"
	"comethold/internal/controlplane/schema"
	"comethold/internal/logging"
	"comethold/internal/outbox"
	"comethold/internal/paxos"
	"comethold/internal/routing"

	"github.com/labstack/echo/v4"
)

// Limits of the operator's calls. The operator moves on after a second.
const (
	maxChangeBytes    = 8 << 20
	largeChangeBytes  = 1 << 20                // of these one at a time is read
	largeChangeWait   = 500 * time.Millisecond // for its turn
	bodyReadTimeout   = 10 * time.Second
	RequestTimeout    = 1500 * time.Millisecond
	baseVersionHeader = "X-Comethold-Base-Version"
	greetingPeriod    = time.Second     // in which registrars that start together have met
	formationTimeout  = 5 * time.Second // in which a new cell should have its seats
	quietPeriod       = 3 * time.Second // in which a calm cell seats whoever can have a seat
)

type errorResponse struct {
	ErrorMessage string `json:"errorMessage"`
}

func writeError(c echo.Context, status int, why string) error {
	if status == http.StatusServiceUnavailable {
		c.Response().Header().Set("Retry-After", "0.2")
	}
	return c.JSON(status, errorResponse{why})
}

// configurationChange is a change of the configuration: what it makes of the one in force.
type configurationChange struct {
	version uint64
	base    uint64
	raw     []byte // as it was sent
	apply   func(current []byte) (*routing.Configuration, []byte, error)
}

// readChange reads what Replace and Amend share. To read and parse a large order takes
// many times its size, so there is room for one.
func (r *Server) readChange(c echo.Context, parse func(*configurationChange) error) (*configurationChange, int, string) {
	if n := c.Request().ContentLength; n < 0 || n > largeChangeBytes {
		select {
		case r.largeBodySlot <- struct{}{}:
			defer func() { <-r.largeBodySlot }()
		case <-time.After(largeChangeWait):
			return nil, http.StatusServiceUnavailable, "another large order is being read"
		case <-c.Request().Context().Done():
			return nil, http.StatusServiceUnavailable, "the caller is gone"
		}
	}
	raw, status, why := readBody(c, maxChangeBytes)
	if status != 0 {
		return nil, status, why
	}
	base, err := strconv.ParseUint(c.Request().Header.Get(baseVersionHeader), 10, 64)
	if err != nil {
		return nil, http.StatusBadRequest, baseVersionHeader + " holds no version"
	}
	o := &configurationChange{base: base, raw: raw}
	if err := parse(o); err != nil {
		r.log.Warn(logging.ConfigRejected).Err(err).Msg("configuration or amendment refused")
		return nil, http.StatusBadRequest, err.Error()
	}
	return o, 0, ""
}

// readBody reads the body of an operator's call. One that breaks off or comes too slowly
// says nothing of the order: it is the call that failed, and it may be made again.
func readBody(c echo.Context, most int64) (raw []byte, status int, why string) {
	body := http.NewResponseController(c.Response())
	_ = body.SetReadDeadline(time.Now().Add(bodyReadTimeout))
	raw, err := io.ReadAll(io.LimitReader(c.Request().Body, most+1))
	switch {
	case err != nil:
		c.Response().Header().Set("Connection", "close")
		return nil, http.StatusRequestTimeout, "the body broke off"
	case int64(len(raw)) > most:
		return nil, http.StatusRequestEntityTooLarge, "the body is too large"
	}
	_ = body.SetReadDeadline(time.Time{})
	return raw, 0, ""
}

// handleReplace takes a whole configuration on top of a base version.
func (r *Server) handleReplace(c echo.Context) error {
	o, status, why := r.readChange(c, func(o *configurationChange) error {
		cfg, err := routing.Parse(o.raw)
		if err != nil {
			return err
		}
		o.version = cfg.Version
		o.apply = func([]byte) (*routing.Configuration, []byte, error) { return cfg, o.raw, nil }
		return nil
	})
	if o == nil {
		return writeError(c, status, why)
	}
	return r.commitAndRespond(c, o)
}

// handleAmend takes a change of named items on top of a base version.
func (r *Server) handleAmend(c echo.Context) error {
	o, status, why := r.readChange(c, func(o *configurationChange) error {
		am, err := routing.ParseAmendment(o.raw)
		if err != nil {
			return err
		}
		o.version, o.apply = am.Version, am.Apply
		return nil
	})
	if o == nil {
		return writeError(c, status, why)
	}
	return r.commitAndRespond(c, o)
}

func (r *Server) commitAndRespond(c echo.Context, o *configurationChange) error {
	ctx, cancel := context.WithTimeout(c.Request().Context(), RequestTimeout)
	defer cancel()
	status, why := r.applyChange(ctx, o)
	if status == http.StatusOK {
		r.log.Info(logging.ConfigCommitted).Uint64("version", o.version).Uint64("base", o.base).Msg("configuration taken")
		return c.JSON(http.StatusOK, map[string]uint64{"version": o.version})
	}
	r.log.Warn(logging.ConfigRejected).Uint64("version", o.version).Uint64("base", o.base).Int("status", status).Str("why", why).Msg("configuration not taken")
	return writeError(c, status, why)
}

// applyChange has the change decided. Only a transaction that the cell committed, on
// this call or an earlier one, is acknowledged.
func (r *Server) applyChange(ctx context.Context, o *configurationChange) (int, string) {
	sum := outbox.Digest(o.raw)
	for try := range 3 {
		if r.underReplicated() {
			return http.StatusServiceUnavailable, "the control plane is still being founded"
		}
		var t paxos.Txn
		var current uint64
		var replay outbox.KeyUse
		var forgotten bool
		var old []byte
		if !r.viewMetaCell(func(m *paxos.Replica) {
			current, old = schema.ReadConfig(m)
			replay, forgotten = schema.CheckReplay(m, o.version, o.base, sum)
		}) {
			return http.StatusServiceUnavailable, unavailableReason(replicahost.ErrNoQuorum)
		}
		switch {
		case replay == outbox.KeyRepeated: // applied here, so chosen by a majority: taken already
			return http.StatusOK, ""
		case replay == outbox.KeyConflicting:
			go r.quarantineChange(o, sum)
			return http.StatusPreconditionFailed, "version " + strconv.FormatUint(o.version, 10) + " was taken with other content"
		case forgotten:
			return http.StatusServiceUnavailable, "the order is so old that nobody knows whether it was taken"
		}
		if current == o.base && o.version > current {
			cfg, raw, err := o.apply(old)
			changed := []string(nil)
			if err != nil {
				return http.StatusBadRequest, err.Error()
			}
			if last := r.board.LatestConfiguration(); last != nil && last.Version == current {
				changed = changedTenants(last, cfg)
			} else {
				changed = changedTenants(nil, cfg) // any may have changed
			}
			r.viewMetaCell(func(m *paxos.Replica) {
				if now, _ := schema.ReadConfig(m); now == current {
					t = schema.ConfigTxn(m, cfg, raw, sum, changed)
				}
			})
			if t.Ops != nil {
				ok, err := r.host.Propose(ctx, schema.MetaCell, t)
				if err != nil {
					return http.StatusServiceUnavailable, unavailableReason(err)
				}
				if ok {
					return http.StatusOK, ""
				}
			}
		} else if try > 0 {
			if current != o.base {
				return http.StatusPreconditionFailed, "version " + strconv.FormatUint(current, 10) + " is current"
			}
			return http.StatusBadRequest, "the version is not above the current one"
		}
		// Behind, or beaten: look again at a copy that is surely current.
		if err := r.host.WaitLinearizable(ctx, schema.MetaCell); err != nil {
			return http.StatusServiceUnavailable, unavailableReason(err)
		}
	}
	return http.StatusServiceUnavailable, "the cell is busy"
}

// viewMetaCell looks at this node's copy of the exchange cell. Where it reports false there
// was nothing to look at, as while the node ends, and what f sets means nothing.
func (r *Server) viewMetaCell(f func(*paxos.Replica)) bool { return r.host.View(schema.MetaCell, f) }

// underReplicated reports whether the exchange cell has yet to seat the registrars that make it
// bear the losses that it must bear, and will: what it acknowledges before could be gone
// with fewer disks. It will while this node started a moment ago, and until the cell has been
// at rest for calmTime: a registrar without a seat that is there by then can't have one, as
// with a disk in trouble, and orders can't wait for it for ever.
func (r *Server) underReplicated() bool {
	live := r.host.LivePeers(replicahost.LearnerTimeout)
	want := placement.VotersFor(r.settings.Tolerance.MachineLosses)
	cell, found := r.host.Stability()
	if !found {
		return false
	}
	for _, voter := range cell.Voters {
		delete(live, voter.Addr)
	}
	switch {
	case len(cell.Voters) < want:
		return cell.Age < greetingPeriod || cell.SinceDisturbed < quietPeriod || len(live) > 0 && cell.Age < formationTimeout
	case len(cell.Voters) == want && !cell.MembershipInEffect: // the last of them may not hold it yet
		return cell.Age < formationTimeout || cell.SinceVoterAdded < formationTimeout
	}
	return false
}

// quarantineChange notes an order that has the key of one that was taken, and other
// content. It is kept apart by its fingerprint; nothing of it comes into force.
func (r *Server) quarantineChange(o *configurationChange, sum []byte) {
	r.log.Error(logging.IdempotencyConflict).Uint64("version", o.version).Uint64("base", o.base).Hex("fingerprint", sum).Msg("an order contradicts the one that was taken under its key")
	n, err := outbox.NewNotification(fmt.Sprintf("order/%d/%d/%x", o.version, o.base, sum), outbox.AggregateConfiguration, o.version, o.base, nil)
	if err == nil {
		r.quarantine.Add(&n, outbox.ErrContentMismatch.Error())
	}
}

func unavailableReason(err error) string {
	switch {
	case errors.Is(err, replicahost.ErrBusy):
		return "the control plane is busy"
	case errors.Is(err, replicahost.ErrOutcomeUnknown):
		return "what became of the change is not known yet; send it again"
	}
	return "the control plane has no majority"
}

// handleRead answers with the newest configuration.
func (r *Server) handleRead(c echo.Context) error {
	ctx, cancel := context.WithTimeout(c.Request().Context(), RequestTimeout)
	defer cancel()
	if err := r.host.WaitLinearizable(ctx, schema.MetaCell); err != nil {
		return writeError(c, http.StatusServiceUnavailable, unavailableReason(err))
	}
	var version uint64
	var raw []byte
	if !r.viewMetaCell(func(m *paxos.Replica) { version, raw = schema.ReadConfig(m) }) {
		return writeError(c, http.StatusServiceUnavailable, unavailableReason(replicahost.ErrNoQuorum))
	}
	if version == 0 {
		return writeError(c, http.StatusNotFound, "no configuration has been taken yet")
	}
	return c.Blob(http.StatusOK, echo.MIMEApplicationJSON, raw)
}
