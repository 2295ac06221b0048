package controlplane

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"

	"comethold/internal/controlplane/replicahost"
	"comethold/internal/controlplane/schema"
	"comethold/internal/logging"
	"comethold/internal/outbox"
	"comethold/internal/paxos"
	"comethold/internal/rpc"

	"github.com/labstack/echo/v4"
)

// OutboxView is what an operator sees of the outbox and of what was quarantined.
type OutboxView struct {
	Backlog    int                     `json:"backlog"` // rows that are not published
	Rows       []OutboxRowView         `json:"rows"`    // those of the backlog, oldest first
	Quarantine []QuarantinedView       `json:"quarantine"`
	Redrives   []schema.RedriveRequest `json:"redrives"` // oldest first
	// AppliedVersions is up to which version this registrar has applied each aggregate.
	AppliedVersions map[string]uint64 `json:"decided"`
}

// OutboxRowView is a row of the outbox.
type OutboxRowView struct {
	EventID   string `json:"eventId"`
	Aggregate string `json:"aggregate"`
	Version   uint64 `json:"version"`
	State     string `json:"state"`
	Attempts  int    `json:"tries"`
	Owner     string `json:"owner,omitempty"`
}

// QuarantinedView is a notice or order that contradicts what was.
type QuarantinedView struct {
	EventID    string `json:"eventId"`
	Version    uint64 `json:"version"`
	Reason     string `json:"why"`
	ReportedBy string `json:"by"`
}

// outboxView reads the tables of the exchange cell.
func outboxView(m *paxos.Replica) OutboxView {
	v := OutboxView{Rows: []OutboxRowView{}, Quarantine: []QuarantinedView{}, Redrives: []schema.RedriveRequest{}, AppliedVersions: map[string]uint64{}}
	for _, k := range schema.OutboxRows(m) {
		if k.Row.State == outbox.Published {
			continue
		}
		n := &k.Row.Notification
		v.Rows = append(v.Rows, OutboxRowView{n.EventID, n.Aggregate, n.Version, k.Row.State.String(), k.Row.Attempts, k.Row.Owner})
	}
	v.Backlog = len(v.Rows)
	for _, k := range m.KeysWithPrefix(schema.QuarantineKeyPrefix, schema.QuarantineKeyPrefix) {
		var q schema.QuarantineRecord
		if raw, _ := m.Get(k); rpc.Unmarshal(raw.Bytes, &q) == nil {
			v.Quarantine = append(v.Quarantine, QuarantinedView{q.Notification.EventID, q.Notification.Version, q.Reason, q.ReportedBy})
		}
	}
	for _, k := range m.KeysWithPrefix(schema.RedriveKeyPrefix, schema.RedriveKeyPrefix) {
		var d schema.RedriveRequest
		if raw, _ := m.Get(k); rpc.Unmarshal(raw.Bytes, &d) == nil {
			v.Redrives = append(v.Redrives, d)
		}
	}
	return v
}

// CellView is how a cell stands at this registrar.
type CellView struct {
	Voters  []paxos.Voter
	Settled bool // the newest seats are in effect
	Voter   bool // this registrar has one
	Applied uint64
	Role    paxos.Role
	Leader  paxos.ReplicaID // as far as is known here
}

// Cells tells how the cells stand here.
func (r *Server) Cells() map[string]CellView {
	out := map[string]CellView{}
	if !r.isReady() {
		return out
	}
	r.host.ViewAll(func(open replicahost.OpenReplica) {
		m := open.Replica
		seats, settled := m.Voters()
		out[open.Cell] = CellView{seats, settled, m.IsVoter(), m.AppliedIndex(), m.Role(), m.Leader()}
	})
	return out
}

// LeaseView is who holds a duty.
type LeaseView struct {
	Role         string `json:"duty"`
	Holder       string `json:"holder"` // the member that holds it; empty: nobody
	FencingToken uint64 `json:"fence"`
}

// LeasesView is what an operator sees of the duties.
type LeasesView struct {
	Leases []LeaseView `json:"duties"`
	// Of the usage reports: how many are committed and not taken yet, the oldest of them,
	// and the newest that is committed.
	ReportBacklog      int    `json:"reportBacklog"`
	OldestUnsentWindow uint64 `json:"oldestUnsentWindow,omitempty"`
	NewestWindow       uint64 `json:"newestWindow,omitempty"`
}

// leasesView reads the duties of the exchange cell.
func leasesView(m *paxos.Replica) LeasesView {
	v := LeasesView{Leases: []LeaseView{}}
	for _, k := range m.KeysWithPrefix(schema.LeaseKeyPrefix, schema.LeaseKeyPrefix) {
		var rec schema.LeaseRecord
		if raw, _ := m.Get(k); rpc.Unmarshal(raw.Bytes, &rec) == nil {
			v.Leases = append(v.Leases, LeaseView{strings.TrimPrefix(k, schema.LeaseKeyPrefix), string(rec.Holder), rec.Term})
		}
	}
	for _, k := range schema.UsageReportRows(m) {
		v.NewestWindow = k.Row.Notification.Version
		if k.Row.State != outbox.Published {
			if v.ReportBacklog++; v.ReportBacklog == 1 {
				v.OldestUnsentWindow = k.Row.Notification.Version
			}
		}
	}
	return v
}

// handleReadLeases answers with who holds which duty, and how the reports stand.
func (r *Server) handleReadLeases(c echo.Context) error {
	var v LeasesView
	found := r.host.View(schema.MetaCell, func(m *paxos.Replica) { v = leasesView(m) })
	if !found {
		return writeError(c, http.StatusServiceUnavailable, unavailableReason(replicahost.ErrNoQuorum))
	}
	return c.JSON(http.StatusOK, v)
}

// handleReadOutbox answers with the outbox's backlog, the quarantine and the redrives.
func (r *Server) handleReadOutbox(c echo.Context) error {
	var v OutboxView
	found := r.host.View(schema.MetaCell, func(m *paxos.Replica) { v = outboxView(m) })
	if !found {
		return writeError(c, http.StatusServiceUnavailable, unavailableReason(replicahost.ErrNoQuorum))
	}
	v.AppliedVersions = r.consumer.AppliedVersions()
	return c.JSON(http.StatusOK, v)
}

// handleRedrive has a notice sent once more, or closes its case.
func (r *Server) handleRedrive(c echo.Context) error {
	raw, status, why := readBody(c, maxPurgeBytes)
	if status != 0 {
		return writeError(c, status, why)
	}
	var d schema.RedriveRequest
	err := json.Unmarshal(raw, &d)
	if err == nil {
		err = d.Validate()
	}
	if err != nil {
		return writeError(c, http.StatusBadRequest, err.Error())
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), RequestTimeout)
	defer cancel()
	for range 3 {
		if err := r.host.WaitLinearizable(ctx, schema.MetaCell); err != nil {
			return writeError(c, http.StatusServiceUnavailable, unavailableReason(err))
		}
		var t paxos.Txn
		var known, done bool
		if !r.viewMetaCell(func(m *paxos.Replica) { t, known, done = schema.RedriveTransaction(m, &d) }) {
			return writeError(c, http.StatusServiceUnavailable, unavailableReason(replicahost.ErrNoQuorum))
		}
		if done {
			return c.JSON(http.StatusOK, d)
		}
		if !known {
			return writeError(c, http.StatusNotFound, "no notice and no case has this eventId")
		}
		ok, err := r.host.Propose(ctx, schema.MetaCell, t)
		if err != nil {
			return writeError(c, http.StatusServiceUnavailable, unavailableReason(err))
		}
		if ok {
			r.log.Info(logging.NotificationRedriven).Str("eventId", d.EventID).Str("operator", d.Operator).Str("correlationId", d.CorrelationID).Str("action", d.Action).Msg("a notice was redriven")
			return c.JSON(http.StatusOK, d)
		}
		// The row moved meanwhile, or another redrive came first.
	}
	return writeError(c, http.StatusServiceUnavailable, unavailableReason(replicahost.ErrBusy))
}
