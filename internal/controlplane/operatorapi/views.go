package operatorapi

import (
	"strings"

	"comethold/internal/controlplane/schema"
	"comethold/internal/outbox"
	"comethold/internal/paxos"
	"comethold/internal/rpc"
)

// OutboxView is the response of ReadOutbox.
type OutboxView struct {
	Backlog    int                     `json:"backlog"` // rows that are not published
	Rows       []OutboxRowView         `json:"rows"`    // the backlog, oldest first
	Quarantine []QuarantinedView       `json:"quarantine"`
	Redrives   []schema.RedriveRequest `json:"redrives"` // oldest first
	// AppliedVersions is, by aggregate, the version up to which this node has applied
	// notifications.
	AppliedVersions map[string]uint64 `json:"decided"`
}

// OutboxRowView is an unpublished row of the outbox.
type OutboxRowView struct {
	EventID   string `json:"eventId"`
	Aggregate string `json:"aggregate"`
	Version   uint64 `json:"version"`
	State     string `json:"state"`
	Attempts  int    `json:"tries"`
	Owner     string `json:"owner,omitempty"`
}

// QuarantinedView is a notification or change in quarantine: it is invalid, or its content
// conflicts with an earlier one.
type QuarantinedView struct {
	EventID    string `json:"eventId"`
	Version    uint64 `json:"version"`
	Reason     string `json:"why"`
	ReportedBy string `json:"by"`
}

// LeaseView is the lease of a singleton role and its owner.
type LeaseView struct {
	Role         string `json:"duty"`
	Owner        string `json:"holder"` // replica ID of the owner; empty if there is none
	FencingToken uint64 `json:"fence"`
}

// LeasesView is the response of ReadLeases.
type LeasesView struct {
	Leases []LeaseView `json:"duties"`
	// ReportBacklog is the number of usage reports that are committed and not accepted yet.
	ReportBacklog      int    `json:"reportBacklog"`
	OldestUnsentWindow uint64 `json:"oldestUnsentWindow,omitempty"`
	NewestWindow       uint64 `json:"newestWindow,omitempty"` // of the reports that are committed
}

// readOutbox reads the outbox tables of the meta cell. It leaves AppliedVersions unset.
func readOutbox(replica *paxos.Replica) OutboxView {
	view := OutboxView{
		Rows:       []OutboxRowView{},
		Quarantine: []QuarantinedView{},
		Redrives:   []schema.RedriveRequest{},
	}
	for _, stored := range schema.OutboxRows(replica) {
		row := &stored.Row
		if row.State == outbox.Published {
			continue
		}
		view.Rows = append(view.Rows, OutboxRowView{
			EventID:   row.Notification.EventID,
			Aggregate: row.Notification.Aggregate,
			Version:   row.Notification.Version,
			State:     row.State.String(),
			Attempts:  row.Attempts,
			Owner:     row.Owner,
		})
	}
	view.Backlog = len(view.Rows)
	forEachRecord(replica, schema.QuarantineKeyPrefix, func(_ string, record schema.QuarantineRecord) {
		view.Quarantine = append(view.Quarantine, QuarantinedView{
			EventID:    record.Notification.EventID,
			Version:    record.Notification.Version,
			Reason:     record.Reason,
			ReportedBy: record.ReportedBy,
		})
	})
	forEachRecord(replica, schema.RedriveKeyPrefix, func(_ string, record schema.RedriveRequest) {
		view.Redrives = append(view.Redrives, record)
	})
	return view
}

// readLeases reads the leases and the usage reports of the meta cell.
func readLeases(replica *paxos.Replica) LeasesView {
	view := LeasesView{Leases: []LeaseView{}}
	forEachRecord(replica, schema.LeaseKeyPrefix, func(key string, record schema.LeaseRecord) {
		view.Leases = append(view.Leases, LeaseView{
			Role:         strings.TrimPrefix(key, schema.LeaseKeyPrefix),
			Owner:        string(record.Owner),
			FencingToken: record.Term,
		})
	})
	for _, stored := range schema.UsageReportRows(replica) {
		window := stored.Row.Notification.Version
		view.NewestWindow = window
		if stored.Row.State == outbox.Published {
			continue
		}
		if view.ReportBacklog == 0 {
			view.OldestUnsentWindow = window
		}
		view.ReportBacklog++
	}
	return view
}

// forEachRecord decodes the records under a key prefix and visits them in key order. It skips
// records that can't be decoded.
func forEachRecord[Record any](replica *paxos.Replica, prefix string, visit func(key string, record Record)) {
	for _, key := range replica.KeysWithPrefix(prefix, prefix) {
		var record Record
		value, _ := replica.Get(key)
		if rpc.Unmarshal(value.Bytes, &record) == nil {
			visit(key, record)
		}
	}
}
