package schema

import (
	"fmt"
	"strings"

	"comethold/internal/outbox"
	"comethold/internal/paxos"
	"comethold/internal/rpc"
)

// Bounds of the outbox.
const (
	// MaxPublishedRows bounds the rows that every control node has received.
	MaxPublishedRows = 128
	// MaxUnsentRows bounds the other rows. Older ones may be dropped, since the state
	// already contains the changes that they announce.
	MaxUnsentRows = 128
	// MaxOutboxRows bounds all rows, between two sweeps of the publisher.
	MaxOutboxRows = MaxPublishedRows + MaxUnsentRows + 64
)

// StoredRow is a row of the outbox under its key.
type StoredRow struct {
	Key string
	Raw []byte // as it is stored
	Row outbox.Row
}

// DecodeRow reads a row. A purge gets its version and its event ID from the log index at
// which it was appended.
func DecodeRow(key string, raw []byte) (stored StoredRow, ok bool) {
	stored = StoredRow{Key: key, Raw: raw}
	if rpc.Unmarshal(raw, &stored.Row) != nil {
		return stored, false
	}
	notification := &stored.Row.Notification
	if notification.Aggregate == outbox.AggregatePurges {
		notification.Version = LogIndexOfKey(key, OutboxKeyPrefix)
		notification.EventID = outbox.AggregatePurges + "/" + strings.TrimPrefix(key, OutboxKeyPrefix)
	}
	return stored, true
}

// OutboxRows lists the rows of the outbox, oldest first.
func OutboxRows(replica *paxos.Replica) []StoredRow { return readRows(replica, OutboxKeyPrefix) }

// UsageReportRows lists the usage reports, oldest first.
func UsageReportRows(replica *paxos.Replica) []StoredRow {
	return readRows(replica, UsageReportKeyPrefix)
}

// UsageReportKey is the key of the report of a window.
func UsageReportKey(window uint64) string {
	return fmt.Sprintf("%s%020d", UsageReportKeyPrefix, window)
}

func readRows(replica *paxos.Replica, prefix string) (rows []StoredRow) {
	for _, key := range replica.KeysWithPrefix(prefix, prefix) {
		value, _ := replica.Get(key)
		if row, ok := DecodeRow(key, value.Bytes); ok {
			rows = append(rows, row)
		}
	}
	return rows
}
