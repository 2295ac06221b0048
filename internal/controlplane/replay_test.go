package controlplane

import (
	"testing"

	"comethold/internal/controlplane/outboxpublisher"
	"comethold/internal/controlplane/reconcile"
	"comethold/internal/controlplane/schema"
	"comethold/internal/distribution"
	"comethold/internal/outbox"
	"comethold/internal/paxos"
)

// replayCase is a transaction that is proposed twice, with one of its kind in between.
type replayCase struct {
	name  string
	first func() paxos.Txn
	then  func() paxos.Txn
}

// replayed makes the transactions of the control plane on the state of a replica.
type replayed struct {
	*singleReplica
}

func (r replayed) changeMark(heldReason, nextReason string) paxos.Txn {
	var next *distribution.EjectionMark
	if nextReason != "" {
		next = &distribution.EjectionMark{Reason: nextReason}
	}
	var txn paxos.Txn
	reconcile.AddMarkChange(&txn, "endpoint", distribution.EjectionMark{Reason: heldReason}, next)
	return txn
}

func (r replayed) setShardSet(version uint64, service string) paxos.Txn {
	r.t.Helper()
	held, exists := r.replica.Get(schema.ShardSetKey)
	want := schema.ShardSetRecord{Version: version, Services: []string{service}}
	txn, isDue := reconcile.ShardSetTxn(held, exists, want)
	if !isDue {
		r.t.Errorf("the shard set of %d is not due", version)
	}
	return txn
}

func (r replayed) forgetPurges(upTo uint64) paxos.Txn {
	lowWatermark, exists := r.replica.Get(schema.PurgeCompactedKey)
	return reconcile.ForgetPurgesTxn(lowWatermark, exists, []string{paxos.AppendedKey(schema.PurgeKeyPrefix, upTo, "x")})
}

func (r replayed) redrive(eventID, action, correlation string) paxos.Txn {
	r.t.Helper()
	txn, isKnown, isDone := schema.RedriveTransaction(r.replica, redriveRequest(eventID, action, correlation))
	if !isKnown || isDone {
		r.t.Errorf("redrive %s: known %v, done %v", correlation, isKnown, isDone)
	}
	return txn
}

func redriveRequest(eventID, action, correlation string) *schema.RedriveRequest {
	return &schema.RedriveRequest{EventID: eventID, Operator: "op", CorrelationID: correlation, Action: action}
}

func (r replayed) sweepOutbox() paxos.Txn {
	return outboxpublisher.SweepRows(schema.OutboxRows(r.replica)).Txn
}

func putTxn(key string, record any) paxos.Txn {
	return paxos.Txn{Ops: []paxos.Op{{Kind: paxos.OpPut, Key: key, Value: schema.MustEncode(record)}}}
}

// TestReplayedTransactionsChangeNothing: whatever is proposed twice, or comes late, after
// others of its kind, changes nothing. What is appended is excepted: a purge acts twice,
// which does no harm. So is a draining mark that comes after it was dropped: its endpoint
// isn't listed, and the next round drops it again.
func TestReplayedTransactionsChangeNothing(t *testing.T) {
	r := replayed{newSingleReplica(t)}
	notification, err := outbox.NewNotification("configuration/3", outbox.AggregateConfiguration, 3, 0, nil)
	if err != nil {
		t.Fatal(err)
	}
	published := schema.MustEncode(outbox.Row{Notification: notification, State: outbox.Published})
	for range schema.MaxPublishedRows + 1 {
		r.propose(paxos.Txn{Ops: []paxos.Op{{Kind: paxos.OpAppend, Key: schema.OutboxKeyPrefix, Value: published}}})
	}
	for _, c := range replayCases(r, notification) {
		late := c.first()
		if !r.propose(late) {
			t.Errorf("%s: not committed", c.name)
		}
		if r.propose(late) {
			t.Errorf("%s: committed twice", c.name)
		}
		if !r.propose(c.then()) {
			t.Errorf("%s: what came after it was not committed", c.name)
		}
		if r.propose(late) {
			t.Errorf("%s: committed late", c.name)
		}
	}
	if value, _ := r.replica.Get(schema.PurgeCompactedKey); !value.Equal(schema.UintValue(20)) {
		t.Errorf("the low watermark of purges is %v", value.Int)
	}
	again := redriveRequest(notification.EventID, schema.RedriveResend, "case-1")
	if _, isKnown, isDone := schema.RedriveTransaction(r.replica, again); !isKnown || !isDone {
		t.Error("a redrive that was committed is not known when it is sent again")
	}
	if held, exists := r.replica.Get(schema.ShardSetKey); exists {
		older := schema.ShardSetRecord{Version: 4, Services: []string{"c"}}
		if _, isDue := reconcile.ShardSetTxn(held, exists, older); isDue {
			t.Error("an older shard set is due")
		}
	}
}

func replayCases(r replayed, notification outbox.Notification) []replayCase {
	const draining, unresponsive = distribution.ReasonDraining, distribution.ReasonUnresponsive
	quarantineKey := schema.QuarantineKeyPrefix + "change"
	return []replayCase{
		{
			name:  "a draining mark",
			first: func() paxos.Txn { return r.changeMark("", draining) },
			then:  func() paxos.Txn { return paxos.Txn{} },
		},
		{
			name: "the end of a mark",
			first: func() paxos.Txn {
				r.propose(r.changeMark(draining, unresponsive))
				return r.changeMark(unresponsive, "")
			},
			then: func() paxos.Txn { return r.changeMark("", draining) },
		},
		{
			name:  "a shard set",
			first: func() paxos.Txn { return r.setShardSet(3, "a") },
			then:  func() paxos.Txn { return r.setShardSet(5, "b") },
		},
		{
			name:  "compacted purges",
			first: func() paxos.Txn { return r.forgetPurges(10) },
			then:  func() paxos.Txn { return r.forgetPurges(20) },
		},
		{
			name:  "the sweep of the outbox",
			first: r.sweepOutbox,
			then: func() paxos.Txn {
				oldest := r.replica.KeysWithPrefix(schema.OutboxKeyPrefix, schema.OutboxKeyPrefix)[0]
				return putTxn(oldest, outbox.Row{Notification: notification, State: outbox.Pending})
			},
		},
		{
			name:  "a redrive",
			first: func() paxos.Txn { return r.redrive(notification.EventID, schema.RedriveResend, "case-1") },
			then:  func() paxos.Txn { return r.redrive(notification.EventID, schema.RedriveResend, "case-2") },
		},
		{
			name: "the end of a quarantine",
			first: func() paxos.Txn {
				r.propose(putTxn(quarantineKey, schema.QuarantineRecord{Reason: "forged"}))
				return r.redrive("change", schema.RedriveClose, "case-1")
			},
			then: func() paxos.Txn {
				return putTxn(quarantineKey, schema.QuarantineRecord{Reason: "forged again"})
			},
		},
	}
}
