package controlplane

import (
	"testing"

	"comethold/internal/controlplane/outboxpublisher"
	"comethold/internal/controlplane/reconcile"
	"comethold/internal/controlplane/schema"
	"comethold/internal/controlplane/schematest"
	"comethold/internal/distribution"
	"comethold/internal/outbox"
	"comethold/internal/paxos"
)

// replayTest builds the transactions that are proposed twice from the current state of a cell.
type replayTest struct {
	*schematest.Cell
	t            *testing.T
	notification outbox.Notification
}

// TestReplayedTransactionsChangeNothing guards against a transaction that changes the state
// again if it is proposed twice, or if it arrives after a later transaction of its kind.
//
// Two kinds of transactions are exempt. One appends a value, such as a purge: a second purge does
// no harm. The other sets a draining mark and arrives after the removal of that mark: its endpoint
// isn't listed, so the next comparison with the list removes the mark again.
func TestReplayedTransactionsChangeNothing(t *testing.T) {
	notification, err := outbox.Notification{
		EventID:   "configuration/3",
		Aggregate: outbox.AggregateConfiguration,
		Version:   3,
	}.WithPayload(nil)
	if err != nil {
		t.Fatal(err)
	}
	r := &replayTest{Cell: schematest.NewCell(t), t: t, notification: notification}
	row := schema.MustEncode(outbox.Row{Notification: notification, State: outbox.Published})
	for range schema.MaxPublishedRows + 1 {
		r.Commit(paxos.Txn{Ops: []paxos.Op{{Kind: paxos.OpAppend, Key: schema.OutboxKeyPrefix, Value: row}}})
	}
	for _, c := range r.cases() {
		if c.beforeFirst != nil {
			c.beforeFirst()
		}
		txn := c.replayed()
		if !r.Commit(txn) {
			t.Errorf("%s: first proposal was not committed, want it committed", c.name)
		}
		if r.Commit(txn) {
			t.Errorf("%s: second proposal was committed, want it rejected", c.name)
		}
		if !r.Commit(c.inBetween()) {
			t.Errorf("%s: transaction in between was not committed, want it committed", c.name)
		}
		if r.Commit(txn) {
			t.Errorf("%s: proposal after the transaction in between was committed, want it rejected", c.name)
		}
	}
	r.checkState()
}

// replayCase is a transaction that is proposed repeatedly, and another one of its kind in between.
type replayCase struct {
	name        string
	beforeFirst func() // may be nil
	replayed    func() paxos.Txn
	inBetween   func() paxos.Txn
}

func (r *replayTest) cases() []replayCase {
	eventID := r.notification.EventID
	return []replayCase{
		{
			name:      "addition of a draining mark",
			replayed:  func() paxos.Txn { return r.mark("", distribution.ReasonDraining) },
			inBetween: func() paxos.Txn { return paxos.Txn{} },
		},
		{
			name:        "removal of a mark",
			beforeFirst: func() { r.Commit(r.mark(distribution.ReasonDraining, distribution.ReasonUnresponsive)) },
			replayed:    func() paxos.Txn { return r.mark(distribution.ReasonUnresponsive, "") },
			inBetween:   func() paxos.Txn { return r.mark("", distribution.ReasonDraining) },
		},
		{
			name:      "replacement of the shard set",
			replayed:  func() paxos.Txn { return r.shardSet(3, "a") },
			inBetween: func() paxos.Txn { return r.shardSet(5, "b") },
		},
		{
			name:      "removal of old purges",
			replayed:  func() paxos.Txn { return r.compactPurges(10) },
			inBetween: func() paxos.Txn { return r.compactPurges(20) },
		},
		{
			name:      "sweep of the outbox",
			replayed:  func() paxos.Txn { return outboxpublisher.SweepRows(schema.OutboxRows(r.Replica())).Txn },
			inBetween: r.putPendingRow,
		},
		{
			name:      "redrive that resends",
			replayed:  func() paxos.Txn { return r.redrive(eventID, schema.RedriveResend, "case-1") },
			inBetween: func() paxos.Txn { return r.redrive(eventID, schema.RedriveResend, "case-2") },
		},
		{
			name:        "redrive that closes a quarantine case",
			beforeFirst: func() { r.Commit(r.quarantine("forged")) },
			replayed:    func() paxos.Txn { return r.redrive("order", schema.RedriveClose, "case-1") },
			inBetween:   func() paxos.Txn { return r.quarantine("forged again") },
		},
	}
}

// checkState checks the state after all replays.
func (r *replayTest) checkState() {
	if value, _ := r.Replica().Get(schema.PurgeCompactedKey); !value.Equal(schema.UintValue(20)) {
		r.t.Errorf("low watermark of purges after all replays is %v, want 20", value.Int)
	}
	_, known, done := schema.RedriveTransaction(r.Replica(), &schema.RedriveRequest{
		EventID:       r.notification.EventID,
		Operator:      "op",
		CorrelationID: "case-1",
		Action:        schema.RedriveResend,
	})
	if !known || !done {
		r.t.Error("RedriveTransaction did not report the repeated case-1 as known and done")
	}
	stored, found := r.Replica().Get(schema.ShardSetKey)
	if !found {
		return
	}
	if _, ok := reconcile.ShardSetTxn(stored, found, schema.ShardSetRecord{Version: 4, Services: []string{"c"}}); ok {
		r.t.Error("ShardSetTxn returned isNeeded true for version 4 after version 5 was stored, want false")
	}
}

// mark returns the transaction that changes the mark of endpoint l from one reason to another.
// An empty reason stands for no mark.
func (r *replayTest) mark(from, to string) paxos.Txn {
	var next *distribution.EjectionMark
	if to != "" {
		next = &distribution.EjectionMark{Reason: to}
	}
	var txn paxos.Txn
	reconcile.AddMarkChange(&txn, "l", distribution.EjectionMark{Reason: from}, next)
	return txn
}

func (r *replayTest) shardSet(version uint64, service string) paxos.Txn {
	stored, found := r.Replica().Get(schema.ShardSetKey)
	record := schema.ShardSetRecord{Version: version, Services: []string{service}}
	txn, ok := reconcile.ShardSetTxn(stored, found, record)
	if !ok {
		r.t.Errorf("ShardSetTxn returned isNeeded false for version %d, want true", version)
	}
	return txn
}

func (r *replayTest) compactPurges(upTo uint64) paxos.Txn {
	lowWatermark, found := r.Replica().Get(schema.PurgeCompactedKey)
	return reconcile.CompactPurgesTxn(lowWatermark, found, []string{paxos.AppendedKey(schema.PurgeKeyPrefix, upTo, "x")})
}

func (r *replayTest) putPendingRow() paxos.Txn {
	key := r.Replica().KeysWithPrefix(schema.OutboxKeyPrefix, schema.OutboxKeyPrefix)[0]
	row := outbox.Row{Notification: r.notification, State: outbox.Pending}
	return paxos.Txn{Ops: []paxos.Op{{Kind: paxos.OpPut, Key: key, Value: schema.MustEncode(row)}}}
}

func (r *replayTest) quarantine(reason string) paxos.Txn {
	record := schema.QuarantineRecord{Reason: reason}
	op := paxos.Op{Kind: paxos.OpPut, Key: schema.QuarantineKeyPrefix + "order", Value: schema.MustEncode(record)}
	return paxos.Txn{Ops: []paxos.Op{op}}
}

func (r *replayTest) redrive(eventID, action, correlationID string) paxos.Txn {
	txn, known, done := schema.RedriveTransaction(r.Replica(), &schema.RedriveRequest{
		EventID:       eventID,
		Operator:      "op",
		CorrelationID: correlationID,
		Action:        action,
	})
	if !known || done {
		r.t.Errorf("RedriveTransaction of %s returned known %v, done %v, want known and not done", correlationID, known, done)
	}
	return txn
}
