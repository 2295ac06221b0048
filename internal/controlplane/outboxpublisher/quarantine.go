package outboxpublisher

import (
	"comethold/internal/controlplane/schema"
	"comethold/internal/outbox"
	"comethold/internal/paxos"
)

// maxQuarantined limits the number of quarantined notifications. Adding one to a full
// quarantine deletes the first records in key order.
const maxQuarantined = 64

// Quarantine stores notifications that are invalid or conflict with earlier ones, for the
// operator to inspect.
type Quarantine struct {
	state    State
	nodeName string
}

// NewQuarantine returns the quarantine in the replicated state. nodeName is recorded as the
// reporter of new records.
func NewQuarantine(state State, nodeName string) *Quarantine {
	return &Quarantine{state: state, nodeName: nodeName}
}

// Add stores a notification with the reason, unless its event ID is quarantined already.
func (q *Quarantine) Add(notification *outbox.Notification, reason string) {
	key := schema.QuarantineKeyPrefix + notification.EventID
	record := schema.QuarantineRecord{Notification: *notification, Reason: reason, ReportedBy: q.nodeName}
	txn := paxos.Txn{
		Conditions: []paxos.Condition{{Key: key, Absent: true}},
		Ops:        []paxos.Op{schema.PutOp(key, record)},
	}
	var keys []string
	q.state.View(func(replica *paxos.Replica) {
		keys = replica.KeysWithPrefix(schema.QuarantineKeyPrefix, schema.QuarantineKeyPrefix)
	})
	for i := 0; i+maxQuarantined <= len(keys); i++ {
		txn.Ops = append(txn.Ops, schema.DeleteOp(keys[i]))
	}
	q.state.Commit(txn)
}
