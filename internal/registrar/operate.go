package registrar

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"

	"comethold/internal/cell"
	"comethold/internal/event"
	"comethold/internal/notice"
	"comethold/internal/wire"

	"github.com/labstack/echo/v4"
)

// NoticesView is what an operator sees of the outbox and of what was quarantined.
type NoticesView struct {
	Backlog    int               `json:"backlog"` // rows that are not published
	Rows       []RowView         `json:"rows"`    // those of the backlog, oldest first
	Quarantine []QuarantinedView `json:"quarantine"`
	Redrives   []redrive         `json:"redrives"` // oldest first
	// Decided is up to which version this registrar has applied each aggregate.
	Decided map[string]uint64 `json:"decided"`
}

// RowView is a row of the outbox.
type RowView struct {
	EventID   string `json:"eventId"`
	Aggregate string `json:"aggregate"`
	Version   uint64 `json:"version"`
	State     string `json:"state"`
	Tries     int    `json:"tries"`
	Owner     string `json:"owner,omitempty"`
}

// QuarantinedView is a notice or order that contradicts what was.
type QuarantinedView struct {
	EventID string `json:"eventId"`
	Version uint64 `json:"version"`
	Why     string `json:"why"`
	By      string `json:"by"`
}

// viewNotices reads the tables of the exchange cell.
func viewNotices(m *cell.Member) NoticesView {
	v := NoticesView{Rows: []RowView{}, Quarantine: []QuarantinedView{}, Redrives: []redrive{}, Decided: map[string]uint64{}}
	for _, k := range outboxOf(m) {
		if k.row.State == notice.Published {
			continue
		}
		n := &k.row.Notice
		v.Rows = append(v.Rows, RowView{n.EventID, n.Aggregate, n.Version, k.row.State.String(), k.row.Tries, k.row.Owner})
	}
	v.Backlog = len(v.Rows)
	for _, k := range m.KeysFrom(keyQuarantine, keyQuarantine) {
		var q quarantined
		if raw, _ := m.Get(k); wire.Unmarshal(raw.Bytes, &q) == nil {
			v.Quarantine = append(v.Quarantine, QuarantinedView{q.Notice.EventID, q.Notice.Version, q.Why, q.By})
		}
	}
	for _, k := range m.KeysFrom(keyRedrive, keyRedrive) {
		var d redrive
		if raw, _ := m.Get(k); wire.Unmarshal(raw.Bytes, &d) == nil {
			v.Redrives = append(v.Redrives, d)
		}
	}
	return v
}

// CellView is how a cell stands at this registrar.
type CellView struct {
	Seats   []cell.Seat
	Settled bool // the newest seats are in effect
	Voter   bool // this registrar has one
	Applied uint64
	Role    cell.Role
	Leader  cell.MemberID // as far as is known here
}

// Cells tells how the cells stand here.
func (r *Registrar) Cells() map[string]CellView {
	out := map[string]CellView{}
	if !r.isReady() {
		return out
	}
	r.host.ask(func() {
		for name, m := range r.host.cells {
			seats, settled := m.Seats()
			out[name] = CellView{seats, settled, m.Voter(), m.Applied(), m.Role(), m.Leader()}
		}
	})
	return out
}

// DutyView is who holds a duty.
type DutyView struct {
	Duty   string `json:"duty"`
	Holder string `json:"holder"` // the member that holds it; empty: nobody
	Fence  uint64 `json:"fence"`
}

// DutiesView is what an operator sees of the duties.
type DutiesView struct {
	Duties []DutyView `json:"duties"`
	// Of the usage reports: how many are committed and not taken yet, the oldest of them,
	// and the newest that is committed.
	ReportBacklog int    `json:"reportBacklog"`
	OldestUnsent  uint64 `json:"oldestUnsentWindow,omitempty"`
	NewestMade    uint64 `json:"newestWindow,omitempty"`
}

// viewDuties reads the duties of the exchange cell.
func viewDuties(m *cell.Member) DutiesView {
	v := DutiesView{Duties: []DutyView{}}
	for _, k := range m.KeysFrom(keyDuty, keyDuty) {
		var rec dutyRecord
		if raw, _ := m.Get(k); wire.Unmarshal(raw.Bytes, &rec) == nil {
			v.Duties = append(v.Duties, DutyView{strings.TrimPrefix(k, keyDuty), string(rec.Holder), rec.Term})
		}
	}
	for _, k := range reportsOf(m) {
		v.NewestMade = k.row.Notice.Version
		if k.row.State != notice.Published {
			if v.ReportBacklog++; v.ReportBacklog == 1 {
				v.OldestUnsent = k.row.Notice.Version
			}
		}
	}
	return v
}

// readDuties answers with who holds which duty, and how the reports stand.
func (r *Registrar) readDuties(c echo.Context) error {
	var v DutiesView
	found := false
	r.host.ask(func() {
		if m := r.host.cells[ExchangeCell]; m != nil {
			v, found = viewDuties(m), true
		}
	})
	if !found {
		return refuse(c, http.StatusServiceUnavailable, translate(ErrNoProposer))
	}
	return c.JSON(http.StatusOK, v)
}

// readNotices answers with the outbox's backlog, the quarantine and the redrives.
func (r *Registrar) readNotices(c echo.Context) error {
	var v NoticesView
	found := false
	r.host.ask(func() {
		if m := r.host.cells[ExchangeCell]; m != nil {
			v, found = viewNotices(m), true
		}
	})
	if !found {
		return refuse(c, http.StatusServiceUnavailable, translate(ErrNoProposer))
	}
	r.notices.mu.Lock()
	for a, at := range r.notices.inbox.Done {
		v.Decided[a] = at
	}
	r.notices.mu.Unlock()
	return c.JSON(http.StatusOK, v)
}

// redriveNotice has a notice sent once more, or closes its case.
func (r *Registrar) redriveNotice(c echo.Context) error {
	raw, status, why := readBody(c, maxRecallBytes)
	if status != 0 {
		return refuse(c, status, why)
	}
	var d redrive
	err := json.Unmarshal(raw, &d)
	if err == nil {
		err = d.check()
	}
	if err != nil {
		return refuse(c, http.StatusBadRequest, err.Error())
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), orderPatience)
	defer cancel()
	for range 3 {
		if err := r.host.Sync(ctx, ExchangeCell); err != nil {
			return refuse(c, http.StatusServiceUnavailable, translate(err))
		}
		var t cell.Txn
		var known, done bool
		if !r.exchange(func(m *cell.Member) { t, known, done = redriveTxn(m, &d) }) {
			return refuse(c, http.StatusServiceUnavailable, translate(ErrNoProposer))
		}
		if done {
			return c.JSON(http.StatusOK, d)
		}
		if !known {
			return refuse(c, http.StatusNotFound, "no notice and no case has this eventId")
		}
		ok, err := r.host.Propose(ctx, ExchangeCell, t)
		if err != nil {
			return refuse(c, http.StatusServiceUnavailable, translate(err))
		}
		if ok {
			r.log.Info(event.NoticeRedriven).Str("eventId", d.EventID).Str("operator", d.Operator).Str("correlationId", d.CorrelationID).Str("action", d.Action).Msg("a notice was redriven")
			return c.JSON(http.StatusOK, d)
		}
		// The row moved meanwhile, or another redrive came first.
	}
	return refuse(c, http.StatusServiceUnavailable, translate(ErrBusy))
}
