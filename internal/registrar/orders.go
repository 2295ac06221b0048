package registrar

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"comethold/internal/cell"
	"comethold/internal/event"
	"comethold/internal/numbering"

	"github.com/labstack/echo/v4"
)

// Limits of the operator's calls. The operator moves on after a second.
const (
	maxOrderBytes = 16 << 20
	orderPatience = 1500 * time.Millisecond
	baseHeader    = "X-Comethold-Base-Version"
)

type refusal struct {
	ErrorMessage string `json:"errorMessage"`
}

func refuse(c echo.Context, status int, why string) error {
	if status == http.StatusServiceUnavailable {
		c.Response().Header().Set("Retry-After", "0.2")
	}
	return c.JSON(status, refusal{why})
}

// replace takes a whole configuration on top of a base version.
func (r *Registrar) replace(c echo.Context) error {
	raw, err := io.ReadAll(io.LimitReader(c.Request().Body, maxOrderBytes+1))
	if err != nil {
		return refuse(c, http.StatusBadRequest, "the body broke off")
	}
	if len(raw) > maxOrderBytes {
		return refuse(c, http.StatusRequestEntityTooLarge, "the body is too large")
	}
	base, err := strconv.ParseUint(c.Request().Header.Get(baseHeader), 10, 64)
	if err != nil {
		return refuse(c, http.StatusBadRequest, baseHeader+" holds no version")
	}
	cfg, err := numbering.Read(raw)
	if err != nil {
		r.log.Warn(event.ConfigRefused).Err(err).Msg("configuration refused")
		return refuse(c, http.StatusBadRequest, err.Error())
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), orderPatience)
	defer cancel()
	status, why := r.take(ctx, base, cfg, raw)
	if status == http.StatusOK {
		r.log.Info(event.ConfigTaken).Uint64("version", cfg.Version).Uint64("base", base).Int("routes", len(cfg.Routes)).Msg("configuration taken")
		return c.JSON(http.StatusOK, map[string]uint64{"version": cfg.Version})
	}
	r.log.Warn(event.ConfigRefused).Uint64("version", cfg.Version).Uint64("base", base).Int("status", status).Str("why", why).Msg("configuration not taken")
	return refuse(c, status, why)
}

// take has the configuration decided. Only a transaction that the cell
// committed, on this call or an earlier one, is acknowledged.
func (r *Registrar) take(ctx context.Context, base uint64, cfg *numbering.Configuration, raw []byte) (int, string) {
	for range 2 {
		var t cell.Txn
		var current uint64
		var taken cell.Value
		r.host.ask(func() {
			if m := r.host.cells[ExchangeCell]; m != nil {
				current, _ = configOf(m)
				taken, _ = m.Get(takenKey(cfg.Version))
				if current == base && cfg.Version > current {
					t = configTxn(m, cfg, raw)
				}
			}
		})
		switch {
		case taken.Bytes != nil && bytes.Equal(taken.Bytes, digest(raw)):
			// Applied here, so chosen by a majority: taken already.
			return http.StatusOK, ""
		case t.Ops != nil:
			ok, err := r.host.Propose(ctx, ExchangeCell, t)
			if err != nil {
				return http.StatusServiceUnavailable, translate(err)
			}
			if ok {
				return http.StatusOK, ""
			}
		}
		// Behind, or beaten: look again at a copy that is surely current.
		if err := r.host.Sync(ctx, ExchangeCell); err != nil {
			return http.StatusServiceUnavailable, translate(err)
		}
		if t.Ops == nil && current == base && cfg.Version <= current {
			break
		}
	}
	var current uint64
	var taken cell.Value
	r.host.ask(func() {
		if m := r.host.cells[ExchangeCell]; m != nil {
			current, _ = configOf(m)
			taken, _ = m.Get(takenKey(cfg.Version))
		}
	})
	switch {
	case taken.Bytes != nil && bytes.Equal(taken.Bytes, digest(raw)):
		return http.StatusOK, ""
	case current != base:
		return http.StatusPreconditionFailed, "version " + strconv.FormatUint(current, 10) + " is current"
	case cfg.Version <= current:
		return http.StatusBadRequest, "the version is not above the current one"
	}
	return http.StatusServiceUnavailable, "the cell is busy"
}

func translate(err error) string {
	switch {
	case errors.Is(err, ErrBusy):
		return "the control plane is busy"
	case errors.Is(err, ErrUnclear):
		return "what became of the change is not known yet; send it again"
	}
	return "the control plane has no majority"
}

// read answers with the newest configuration.
func (r *Registrar) read(c echo.Context) error {
	ctx, cancel := context.WithTimeout(c.Request().Context(), orderPatience)
	defer cancel()
	if err := r.host.Sync(ctx, ExchangeCell); err != nil {
		return refuse(c, http.StatusServiceUnavailable, translate(err))
	}
	var version uint64
	var raw []byte
	r.host.ask(func() {
		if m := r.host.cells[ExchangeCell]; m != nil {
			version, raw = configOf(m)
		}
	})
	if version == 0 {
		return refuse(c, http.StatusNotFound, "no configuration has been taken yet")
	}
	return c.Blob(http.StatusOK, echo.MIMEApplicationJSON, raw)
}
