package registrar

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"comethold/internal/cell"
	"comethold/internal/event"
	"comethold/internal/notice"
	"comethold/internal/numbering"

	"github.com/labstack/echo/v4"
)

// Limits of the operator's calls. The operator moves on after a second.
const (
	maxOrderBytes = 8 << 20
	largeOrder    = 1 << 20                // of these one at a time is read
	largeWait     = 500 * time.Millisecond // for its turn
	bodyPatience  = 10 * time.Second
	orderPatience = 1500 * time.Millisecond
	baseHeader    = "X-Comethold-Base-Version"
	greetTime     = time.Second     // in which registrars that start together have met
	growTime      = 5 * time.Second // in which a new cell should have its seats
	calmTime      = 3 * time.Second // in which a calm cell seats whoever can have a seat
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

// order is a change of the configuration: what it makes of the one in force.
type order struct {
	version uint64
	base    uint64
	raw     []byte // as it was sent
	make    func(current []byte) (*numbering.Configuration, []byte, error)
}

// readOrder reads what Replace and Amend share. To read and parse a large order takes
// many times its size, so there is room for one.
func (r *Registrar) readOrder(c echo.Context, parse func(*order) error) (*order, int, string) {
	if n := c.Request().ContentLength; n < 0 || n > largeOrder {
		select {
		case r.large <- struct{}{}:
			defer func() { <-r.large }()
		case <-time.After(largeWait):
			return nil, http.StatusServiceUnavailable, "another large order is being read"
		case <-c.Request().Context().Done():
			return nil, http.StatusServiceUnavailable, "the caller is gone"
		}
	}
	raw, status, why := readBody(c, maxOrderBytes)
	if status != 0 {
		return nil, status, why
	}
	base, err := strconv.ParseUint(c.Request().Header.Get(baseHeader), 10, 64)
	if err != nil {
		return nil, http.StatusBadRequest, baseHeader + " holds no version"
	}
	o := &order{base: base, raw: raw}
	if err := parse(o); err != nil {
		r.log.Warn(event.ConfigRefused).Err(err).Msg("configuration or amendment refused")
		return nil, http.StatusBadRequest, err.Error()
	}
	return o, 0, ""
}

// readBody reads the body of an operator's call. One that breaks off or comes too slowly
// says nothing of the order: it is the call that failed, and it may be made again.
func readBody(c echo.Context, most int64) (raw []byte, status int, why string) {
	body := http.NewResponseController(c.Response())
	_ = body.SetReadDeadline(time.Now().Add(bodyPatience))
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

// replace takes a whole configuration on top of a base version.
func (r *Registrar) replace(c echo.Context) error {
	o, status, why := r.readOrder(c, func(o *order) error {
		cfg, err := numbering.Read(o.raw)
		if err != nil {
			return err
		}
		o.version = cfg.Version
		o.make = func([]byte) (*numbering.Configuration, []byte, error) { return cfg, o.raw, nil }
		return nil
	})
	if o == nil {
		return refuse(c, status, why)
	}
	return r.decide(c, o)
}

// amend takes a change of named items on top of a base version.
func (r *Registrar) amend(c echo.Context) error {
	o, status, why := r.readOrder(c, func(o *order) error {
		am, err := numbering.ReadAmendment(o.raw)
		if err != nil {
			return err
		}
		o.version, o.make = am.Version, am.Apply
		return nil
	})
	if o == nil {
		return refuse(c, status, why)
	}
	return r.decide(c, o)
}

func (r *Registrar) decide(c echo.Context, o *order) error {
	ctx, cancel := context.WithTimeout(c.Request().Context(), orderPatience)
	defer cancel()
	status, why := r.take(ctx, o)
	if status == http.StatusOK {
		r.log.Info(event.ConfigTaken).Uint64("version", o.version).Uint64("base", o.base).Msg("configuration taken")
		return c.JSON(http.StatusOK, map[string]uint64{"version": o.version})
	}
	r.log.Warn(event.ConfigRefused).Uint64("version", o.version).Uint64("base", o.base).Int("status", status).Str("why", why).Msg("configuration not taken")
	return refuse(c, status, why)
}

// take has the change decided. Only a transaction that the cell committed, on
// this call or an earlier one, is acknowledged.
func (r *Registrar) take(ctx context.Context, o *order) (int, string) {
	sum := notice.Digest(o.raw)
	for try := range 3 {
		if r.growing() {
			return http.StatusServiceUnavailable, "the control plane is still being founded"
		}
		var t cell.Txn
		var current uint64
		var replay notice.Replay
		var forgotten bool
		var old []byte
		if !r.exchange(func(m *cell.Member) {
			current, old = configOf(m)
			replay, forgotten = replayOf(m, o.version, o.base, sum)
		}) {
			return http.StatusServiceUnavailable, translate(ErrNoProposer)
		}
		switch {
		case replay == notice.Repeated: // applied here, so chosen by a majority: taken already
			return http.StatusOK, ""
		case replay == notice.Conflicting:
			go r.quarantineOrder(o, sum)
			return http.StatusPreconditionFailed, "version " + strconv.FormatUint(o.version, 10) + " was taken with other content"
		case forgotten:
			return http.StatusServiceUnavailable, "the order is so old that nobody knows whether it was taken"
		}
		if current == o.base && o.version > current {
			cfg, raw, err := o.make(old)
			changed := []string(nil)
			if err != nil {
				return http.StatusBadRequest, err.Error()
			}
			if last := r.board.newest(); last != nil && last.Version == current {
				changed = changedTenants(last, cfg)
			} else {
				changed = changedTenants(nil, cfg) // any may have changed
			}
			r.exchange(func(m *cell.Member) {
				if now, _ := configOf(m); now == current {
					t = configTxn(m, cfg, raw, sum, changed)
				}
			})
			if t.Ops != nil {
				ok, err := r.host.Propose(ctx, ExchangeCell, t)
				if err != nil {
					return http.StatusServiceUnavailable, translate(err)
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
		if err := r.host.Sync(ctx, ExchangeCell); err != nil {
			return http.StatusServiceUnavailable, translate(err)
		}
	}
	return http.StatusServiceUnavailable, "the cell is busy"
}

// exchange looks at this node's copy of the exchange cell. Where it reports false there
// was nothing to look at, as while the node ends, and what f sets means nothing.
func (r *Registrar) exchange(f func(*cell.Member)) bool {
	var seen atomic.Bool
	r.host.ask(func() {
		if m := r.host.cells[ExchangeCell]; m != nil {
			f(m)
			seen.Store(true)
		}
	})
	return seen.Load()
}

// growing reports whether the exchange cell has yet to seat the registrars that make it
// bear the losses that it must bear, and will: what it acknowledges before could be gone
// with fewer disks. It will while this node started a moment ago, and until the cell has been
// at rest for calmTime: a registrar without a seat that is there by then can't have one, as
// with a disk in trouble, and orders can't wait for it for ever.
func (r *Registrar) growing() (yes bool) {
	live := r.host.live(learnerSpan)
	want := seatsFor(r.set.Tolerance.MachineLosses)
	r.host.ask(func() {
		m := r.host.cells[ExchangeCell]
		if m == nil {
			return
		}
		now := r.host.now()
		r.host.lookCalm(now)
		age := now - r.host.openedAt[ExchangeCell]
		seats, settled := m.Seats()
		for _, s := range seats {
			delete(live, s.Addr)
		}
		switch {
		case len(seats) < want:
			yes = age < greetTime || now-r.host.stirredAt < calmTime || len(live) > 0 && age < growTime
		case len(seats) == want && !settled: // the last of them may not hold it yet
			yes = age < growTime || now-r.host.grewAt < growTime
		}
	})
	return yes
}

// quarantineOrder notes an order that has the key of one that was taken, and other
// content. It is kept apart by its fingerprint; nothing of it comes into force.
func (r *Registrar) quarantineOrder(o *order, sum []byte) {
	r.log.Error(event.OrderConflict).Uint64("version", o.version).Uint64("base", o.base).Hex("fingerprint", sum).Msg("an order contradicts the one that was taken under its key")
	n, err := notice.New(fmt.Sprintf("order/%d/%d/%x", o.version, o.base, sum), notice.Configuration, o.version, o.base, nil)
	if err == nil {
		r.quarantine(&n, notice.ErrConflict.Error())
	}
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
	if !r.exchange(func(m *cell.Member) { version, raw = configOf(m) }) {
		return refuse(c, http.StatusServiceUnavailable, translate(ErrNoProposer))
	}
	if version == 0 {
		return refuse(c, http.StatusNotFound, "no configuration has been taken yet")
	}
	return c.Blob(http.StatusOK, echo.MIMEApplicationJSON, raw)
}
