package metering

import (
	"context"
	"errors"
	"time"

	"comethold/internal/controlplane/schema"
	"comethold/internal/logging"
	"comethold/internal/outbox"
	"comethold/internal/paxos"
)

// acceptedRecordTimeout is how long to wait until the record of an accepted report is applied
// here. After that the record is proposed again.
const acceptedRecordTimeout = time.Second

// sendReports sends unsent reports, oldest first, while the platform client may call.
func (r *Reporter) sendReports(ctx context.Context, term uint64) {
	for r.options.Platform.MayCall(term, time.Now()) {
		row, found := r.nextUnsent()
		if !found {
			return
		}
		row, claimed := r.claim(row, term)
		if !claimed {
			return
		}
		if _, accepted := r.accepted[row.Key]; accepted {
			r.recordAccepted(row, term) // the earlier record has not been applied here
			return
		}
		if !r.send(ctx, row, term) {
			return
		}
	}
}

// nextUnsent returns the oldest report that is not recorded as sent. It skips reports that
// were accepted within acceptedRecordTimeout, because their record may not be applied here yet.
func (r *Reporter) nextUnsent() (row schema.StoredRow, found bool) {
	for _, row := range r.rows() {
		if row.Row.State == outbox.Published {
			delete(r.accepted, row.Key)
			continue
		}
		acceptedAt, accepted := r.accepted[row.Key]
		if !accepted || time.Since(acceptedAt) > acceptedRecordTimeout {
			return row, true
		}
	}
	return row, false
}

// claim claims a report under a term, if another term claimed it before. It reports false unless
// the claim is known to be committed.
func (r *Reporter) claim(row schema.StoredRow, term uint64) (claimed schema.StoredRow, ok bool) {
	owner := ownerToken(term)
	if row.Row.Owner == owner {
		return row, true
	}
	next, err := row.Row.Claim(owner, outbox.ClaimLease)
	if err != nil {
		return row, false
	}
	leaseHeld, ok := r.options.Lease.FenceCondition(term)
	if !ok {
		return row, false
	}
	put := schema.PutOp(row.Key, next)
	committed := r.options.State.Commit(paxos.Txn{
		Conditions: []paxos.Condition{row.Unchanged(), leaseHeld},
		Ops:        []paxos.Op{put},
	})
	return schema.StoredRow{Key: row.Key, Raw: put.Value.Bytes, Row: next}, committed
}

// send makes one call and records that the report was accepted. It reports whether both
// succeeded.
func (r *Reporter) send(ctx context.Context, row schema.StoredRow, term uint64) bool {
	window := row.Row.Notification.Version
	err := r.options.Platform.Post(ctx, row.Row.Notification.Payload, term)
	if err != nil {
		r.options.Log.Warn(logging.UsageReportFailed).Uint64("window", window).Uint64("fence", term).Err(err).
			Msg("the platform did not accept a usage report; retrying")
		if errors.Is(err, ErrFenced) {
			r.options.Lease.Forfeit()
		}
		return false
	}
	r.options.Log.Info(logging.UsageReportAccepted).Uint64("window", window).Uint64("fence", term).
		Int("attempts", row.Row.Attempts).Msg("the platform accepted a usage report")
	return r.recordAccepted(row, term)
}

// recordAccepted records that the platform accepted a report. It reports whether the record is
// known to be committed.
func (r *Reporter) recordAccepted(row schema.StoredRow, term uint64) bool {
	r.accepted[row.Key] = time.Now()
	next, err := row.Row.MarkPublished(ownerToken(term))
	if err != nil {
		return false
	}
	return r.options.State.Commit(paxos.Txn{
		Conditions: []paxos.Condition{row.Unchanged()},
		Ops:        []paxos.Op{schema.PutOp(row.Key, next)},
	})
}
