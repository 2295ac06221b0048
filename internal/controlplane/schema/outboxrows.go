package schema

import (
	"fmt"
	"strings"

	"comethold/internal/outbox"
	"comethold/internal/paxos"
	"comethold/internal/rpc"
)

// Limits on the number of rows in the outbox.
const (
	// MaxPublishedRows is the limit for published rows, whose notifications every live control node
	// has acknowledged.
	MaxPublishedRows = 128
	// MaxUnpublishedRows is the limit for all other rows. The oldest rows beyond it are deleted. No
	// change is lost, because the state already contains the changes that they announce.
	MaxUnpublishedRows = 128
	// MaxOutboxRows is the limit for all rows. It leaves room for rows that are added between two
	// clean-ups by the publisher.
	MaxOutboxRows = MaxPublishedRows + MaxUnpublishedRows + 64
)

// StoredRow is an outbox row with its key and its stored encoding.
type StoredRow struct {
	Key string
	Raw []byte // encoding of Row as stored
	Row outbox.Row
}

// DecodeRow decodes a row, and reports false if the encoding is invalid. The version and the
// event ID of a purge notification are derived from the key, because they depend on the log index
// at which the row was appended, which is unknown when the notification is made.
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

// UsageReportKey returns the key of the usage report of a window.
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
