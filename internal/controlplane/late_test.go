package controlplane

import (
	"testing"

	"comethold/internal/controlplane/outboxpublisher"
	"comethold/internal/controlplane/schema"
	"comethold/internal/distribution"
	"comethold/internal/outbox"
	"comethold/internal/paxos"
)

// TestReplayedTransactionsChangeNothing: whatever is proposed twice, or comes late, after others of its
// kind, changes nothing. What is appended is excepted: a purge acts twice, which does no
// harm. So is a mark of the list that comes after it was dropped: its leaf isn't listed,
// and the next look drops it again.
func TestReplayedTransactionsChangeNothing(t *testing.T) {
	c := newSingleReplica(t)
	held := func(key string) (paxos.Value, bool) { return c.replica.Get(key) }
	mark := func(why string, next *distribution.EjectionMark) paxos.Txn {
		todo := map[string]*paxos.Txn{}
		AddMarkChange(todo, "i", "l", distribution.EjectionMark{Reason: why}, next)
		return *todo["i"]
	}
	cut := func(version uint64, shard string) paxos.Txn {
		v, known := held(schema.ShardSetKey)
		txn, due := ShardSetTxn(v, known, schema.ShardSetRecord{Version: version, Services: []string{shard}})
		if !due {
			t.Errorf("the cut of %d is not due", version)
		}
		return txn
	}
	forget := func(upTo uint64) paxos.Txn {
		v, known := held(schema.PurgeCompactedKey)
		return ForgetPurgesTxn(v, known, []string{paxos.AppendedKey(schema.PurgeKeyPrefix, upTo, "x")})
	}
	again := func(eventID, action, correlation string) paxos.Txn {
		txn, known, done := schema.RedriveTransaction(c.replica, &schema.RedriveRequest{EventID: eventID, Operator: "op", CorrelationID: correlation, Action: action})
		if !known || done {
			t.Errorf("redrive %s: known %v, done %v", correlation, known, done)
		}
		return txn
	}
	n, err := outbox.NewNotification("configuration/3", outbox.AggregateConfiguration, 3, 0, nil)
	if err != nil {
		t.Fatal(err)
	}
	for range schema.MaxPublishedRows + 1 {
		c.propose(paxos.Txn{Ops: []paxos.Op{{Kind: paxos.OpAppend, Key: schema.OutboxKeyPrefix, Value: schema.MustEncode(outbox.Row{Notification: n, State: outbox.Published})}}})
	}
	sweep := func() paxos.Txn {
		return outboxpublisher.SweepRows(schema.OutboxRows(c.replica)).Txn
	}
	for _, k := range []struct {
		why   string
		first func() paxos.Txn
		then  func() paxos.Txn
	}{
		{"a mark of the list", func() paxos.Txn { return mark("", &distribution.EjectionMark{Reason: distribution.ReasonDraining}) }, func() paxos.Txn { return paxos.Txn{} }},
		{"the end of a mark", func() paxos.Txn {
			c.propose(mark(distribution.ReasonDraining, &distribution.EjectionMark{Reason: distribution.ReasonUnresponsive}))
			return mark(distribution.ReasonUnresponsive, nil)
		}, func() paxos.Txn { return mark("", &distribution.EjectionMark{Reason: distribution.ReasonDraining}) }},
		{"a cut", func() paxos.Txn { return cut(3, "a") }, func() paxos.Txn { return cut(5, "b") }},
		{"forgotten purges", func() paxos.Txn { return forget(10) }, func() paxos.Txn { return forget(20) }},
		{"the sweep of notices", sweep, func() paxos.Txn {
			return paxos.Txn{Ops: []paxos.Op{{Kind: paxos.OpPut, Key: c.replica.KeysWithPrefix(schema.OutboxKeyPrefix, schema.OutboxKeyPrefix)[0], Value: schema.MustEncode(outbox.Row{Notification: n, State: outbox.Pending})}}}
		}},
		{"a redrive", func() paxos.Txn { return again(n.EventID, schema.RedriveResend, "case-1") }, func() paxos.Txn { return again(n.EventID, schema.RedriveResend, "case-2") }},
		{"the end of a case", func() paxos.Txn {
			c.propose(paxos.Txn{Ops: []paxos.Op{{Kind: paxos.OpPut, Key: schema.QuarantineKeyPrefix + "order", Value: schema.MustEncode(schema.QuarantineRecord{Reason: "forged"})}}})
			return again("order", schema.RedriveClose, "case-1")
		}, func() paxos.Txn {
			return paxos.Txn{Ops: []paxos.Op{{Kind: paxos.OpPut, Key: schema.QuarantineKeyPrefix + "order", Value: schema.MustEncode(schema.QuarantineRecord{Reason: "forged again"})}}}
		}},
	} {
		late := k.first()
		if !c.propose(late) {
			t.Errorf("%s: not committed", k.why)
		}
		if c.propose(late) {
			t.Errorf("%s: committed twice", k.why)
		}
		if !c.propose(k.then()) {
			t.Errorf("%s: what came after it was not committed", k.why)
		}
		if c.propose(late) {
			t.Errorf("%s: committed late", k.why)
		}
	}
	if v, _ := held(schema.PurgeCompactedKey); !v.Equal(schema.UintValue(20)) {
		t.Errorf("the floor of purges is %v", v.Int)
	}
	if _, known, done := schema.RedriveTransaction(c.replica, &schema.RedriveRequest{EventID: n.EventID, Operator: "op", CorrelationID: "case-1", Action: schema.RedriveResend}); !known || !done {
		t.Error("a redrive that was taken is not known when it is sent again")
	}
	if v, known := held(schema.ShardSetKey); known {
		if _, due := ShardSetTxn(v, known, schema.ShardSetRecord{Version: 4, Services: []string{"c"}}); due {
			t.Error("an older cut is due")
		}
	}
}
