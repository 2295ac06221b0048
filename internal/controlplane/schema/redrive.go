package schema

import (
	"errors"

	"comethold/internal/paxos"
)

// MaxRedriveRecords is the maximum number of stored redrive requests. The oldest are deleted first.
const MaxRedriveRecords = 256

// Actions of a redrive request.
const (
	RedriveResend = "resend"
	RedriveClose  = "close"
)

// ErrInvalidRedrive is returned for a redrive request with a missing field or an unknown action.
var ErrInvalidRedrive = errors.New("a redrive names eventId, operator, correlationId and action (resend or close)")

// RedriveRequest is an operator's request to send a notification again (RedriveResend), or to
// remove one from quarantine (RedriveClose). It is stored unchanged.
type RedriveRequest struct {
	EventID       string `json:"eventId" cbor:"1,keyasint"`
	Operator      string `json:"operator" cbor:"2,keyasint"`
	CorrelationID string `json:"correlationId" cbor:"3,keyasint"`
	Action        string `json:"action" cbor:"4,keyasint"` // RedriveResend or RedriveClose
}

// Validate returns ErrInvalidRedrive if a field is missing or the action is unknown.
func (r *RedriveRequest) Validate() error {
	isKnownAction := r.Action == RedriveResend || r.Action == RedriveClose
	if r.EventID == "" || r.Operator == "" || r.CorrelationID == "" || !isKnownAction {
		return ErrInvalidRedrive
	}
	return nil
}

// RedriveTransaction returns the transaction that stores a redrive request and carries it out.
// RedriveResend sets the outbox row back to pending, with its notification unchanged;
// RedriveClose deletes the quarantine record. known is false if neither an outbox row nor a
// quarantined notification has the event ID. done is true if the same request is already stored.
// If another redrive is committed first, the key of the record exists and the transaction changes
// nothing.
func RedriveTransaction(replica *paxos.Replica, request *RedriveRequest) (txn paxos.Txn, known, done bool) {
	encoded := MustEncode(request)
	records := replica.KeysWithPrefix(RedriveKeyPrefix, RedriveKeyPrefix)
	last := uint64(0)
	for _, key := range records {
		if value, _ := replica.Get(key); value.Equal(encoded) {
			return txn, true, true
		}
		last = LogIndexOfKey(key, RedriveKeyPrefix)
	}
	recordKey := paxos.AppendedKey(RedriveKeyPrefix, last+1, "")
	txn.Conditions = []paxos.Condition{{Key: recordKey, Absent: true}}
	txn.Ops = []paxos.Op{PutValueOp(recordKey, encoded)}

	quarantineKey := QuarantineKeyPrefix + request.EventID
	if _, isQuarantined := replica.Get(quarantineKey); isQuarantined {
		known = true
		if request.Action == RedriveClose {
			txn.Ops = append(txn.Ops, DeleteOp(quarantineKey))
		}
	}
	for _, row := range OutboxRows(replica) {
		if row.Row.Notification.EventID != request.EventID {
			continue
		}
		known = true
		if request.Action == RedriveResend {
			txn.Conditions = append(txn.Conditions, row.Unchanged())
			txn.Ops = append(txn.Ops, PutOp(row.Key, row.Row.Redrive()))
		}
	}
	for i := 0; i+MaxRedriveRecords <= len(records); i++ {
		txn.Ops = append(txn.Ops, DeleteOp(records[i]))
	}
	return txn, known, false
}
