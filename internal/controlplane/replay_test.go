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

// replayTest makes the transactions that are proposed twice, from the state as it is.
type replayTest struct {
	*schematest.Cell
	t            *testing.T
	notification outbox.Notification
}

// TestReplayedTransactionsChangeNothing: whatever is proposed twice, or comes late, after
// others of its kind, changes nothing. What is appended is excepted: a purge acts twice,
// which does no harm. So is a mark for draining that comes after it was dropped: its
// endpoint isn't listed, and the next look at the list drops it again.
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
		late := c.replayed()
		if !r.Commit(late) {
			t.Errorf("%s: not committed", c.name)
		}
		if r.Commit(late) {
			t.Errorf("%s: committed twice", c.name)
		}
		if !r.Commit(c.inBetween()) {
			t.Errorf("%s: what came after it was not committed", c.name)
		}
		if r.Commit(late) {
			t.Errorf("%s: committed late", c.name)
		}
	}
	r.checkState()
}

// replayCase is a transaction that is proposed twice, and one of its kind in between.
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
			name:      "a mark for draining",
			replayed:  func() paxos.Txn { return r.mark("", distribution.ReasonDraining) },
			inBetween: func() paxos.Txn { return paxos.Txn{} },
		},
		{
			name:        "the end of a mark",
			beforeFirst: func() { r.Commit(r.mark(distribution.ReasonDraining, distribution.ReasonUnresponsive)) },
			replayed:    func() paxos.Txn { return r.mark(distribution.ReasonUnresponsive, "") },
			inBetween:   func() paxos.Txn { return r.mark("", distribution.ReasonDraining) },
		},
		{
			name:      "a shard set",
			replayed:  func() paxos.Txn { return r.shardSet(3, "a") },
			inBetween: func() paxos.Txn { return r.shardSet(5, "b") },
		},
		{
			name:      "forgotten purges",
			replayed:  func() paxos.Txn { return r.forgetPurges(10) },
			inBetween: func() paxos.Txn { return r.forgetPurges(20) },
		},
		{
			name:      "the sweep of the outbox",
			replayed:  func() paxos.Txn { return outboxpublisher.SweepRows(schema.OutboxRows(r.Replica())).Txn },
			inBetween: r.putPendingRow,
		},
		{
			name:      "a redrive",
			replayed:  func() paxos.Txn { return r.redrive(eventID, schema.RedriveResend, "case-1") },
			inBetween: func() paxos.Txn { return r.redrive(eventID, schema.RedriveResend, "case-2") },
		},
		{
			name:        "the end of a case",
			beforeFirst: func() { r.Commit(r.quarantine("forged")) },
			replayed:    func() paxos.Txn { return r.redrive("order", schema.RedriveClose, "case-1") },
			inBetween:   func() paxos.Txn { return r.quarantine("forged again") },
		},
	}
}

// checkState looks at what the replayed transactions left.
func (r *replayTest) checkState() {
	if value, _ := r.Replica().Get(schema.PurgeCompactedKey); !value.Equal(schema.UintValue(20)) {
		r.t.Errorf("purges are forgotten up to %v", value.Int)
	}
	_, known, done := schema.RedriveTransaction(r.Replica(), &schema.RedriveRequest{
		EventID:       r.notification.EventID,
		Operator:      "op",
		CorrelationID: "case-1",
		Action:        schema.RedriveResend,
	})
	if !known || !done {
		r.t.Error("a redrive that was taken is not known when it is sent again")
	}
	held, found := r.Replica().Get(schema.ShardSetKey)
	if !found {
		return
	}
	if _, due := reconcile.ShardSetTxn(held, found, schema.ShardSetRecord{Version: 4, Services: []string{"c"}}); due {
		r.t.Error("an older shard set is due")
	}
}

// mark changes the mark of an endpoint from one reason to another; empty is none.
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
	held, found := r.Replica().Get(schema.ShardSetKey)
	record := schema.ShardSetRecord{Version: version, Services: []string{service}}
	txn, due := reconcile.ShardSetTxn(held, found, record)
	if !due {
		r.t.Errorf("the shard set of %d is not due", version)
	}
	return txn
}

func (r *replayTest) forgetPurges(upTo uint64) paxos.Txn {
	held, found := r.Replica().Get(schema.PurgeCompactedKey)
	return reconcile.CompactPurgesTxn(held, found, []string{paxos.AppendedKey(schema.PurgeKeyPrefix, upTo, "x")})
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
		r.t.Errorf("redrive %s: known %v, done %v", correlationID, known, done)
	}
	return txn
}
