package outboxpublisher

import (
	"comethold/internal/controlplane/schema"
	"comethold/internal/outbox"
	"comethold/internal/paxos"
)

// Sweep is the removal of the oldest rows of the outbox.
type Sweep struct {
	Txn           paxos.Txn          // without operations if there is nothing to remove
	Remaining     []schema.StoredRow // newest first
	DroppedEvents []string           // event IDs of removed rows that were not published
}

// SweepRows builds the transaction that removes the oldest rows above schema.MaxPublishedRows
// and schema.MaxUnpublishedRows; rows are sorted oldest first. The transaction has no conditions on
// rows that remain, so that concurrent claims of these can't make it fail.
func SweepRows(rows []schema.StoredRow) (sweep Sweep) {
	published, unpublished := 0, 0
	for i := len(rows) - 1; i >= 0; i-- {
		stored := rows[i]
		isPublished := stored.Row.State == outbox.Published
		var tooMany bool
		if isPublished {
			published++
			tooMany = published > schema.MaxPublishedRows
		} else {
			unpublished++
			tooMany = unpublished > schema.MaxUnpublishedRows
		}
		if !tooMany {
			sweep.Remaining = append(sweep.Remaining, stored)
			continue
		}
		sweep.Txn.Ops = append(sweep.Txn.Ops, schema.DeleteOp(stored.Key))
		if isPublished {
			sweep.Txn.Conditions = append(sweep.Txn.Conditions, stored.Unchanged()) // a redrive may make it pending again
		} else { // removed in any state, without a condition, because its key is never reused
			sweep.DroppedEvents = append(sweep.DroppedEvents, stored.Row.Notification.EventID)
		}
	}
	return sweep
}
