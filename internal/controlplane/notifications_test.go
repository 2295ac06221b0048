package controlplane

import (
	"context"
	"testing"
	"time"

	"comethold/internal/controlplane/schema"
	"comethold/internal/distribution"
	"comethold/internal/outbox"
	"comethold/internal/paxos"
	"comethold/internal/rpc"
)

// TestNotificationsInOrder: nodes ask for what comes after the newest log index that they
// know, so a notification that waits for its state is not overtaken, and two at one index go
// together.
func TestNotificationsInOrder(t *testing.T) {
	r := newTestServer(t, rpc.TCPNetwork, "10.0.0.1", "10.0.0.1:1")
	r.openStorage()
	go func() { _ = r.host.Run() }()
	defer r.Stop()
	// The election is not what is tested: the commit's own time-out must not include it.
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	if err := r.host.WaitLinearizable(ctx, schema.MetaCell); err != nil {
		t.Fatal("no leader:", err)
	}
	change, err := outbox.Notification{
		EventID:   "configuration/3",
		Aggregate: outbox.AggregateConfiguration,
		Version:   3,
	}.WithPayload(nil)
	if err != nil {
		t.Fatal(err)
	}
	purges, err := outbox.Notification{Aggregate: outbox.AggregatePurges}.WithPayload(nil)
	if err != nil {
		t.Fatal(err)
	}
	row := func(index uint64, id string, notification outbox.Notification) paxos.Op {
		return paxos.Op{
			Kind:  paxos.OpPut,
			Key:   paxos.AppendedKey(schema.OutboxKeyPrefix, index, id),
			Value: schema.MustEncode(outbox.Row{Notification: notification}),
		}
	}
	purged := paxos.Op{
		Kind:  paxos.OpPut,
		Key:   paxos.AppendedKey(schema.PurgeKeyPrefix, 10, "a"),
		Value: schema.MustEncode([]distribution.Purge{{Label: "l"}}),
	}
	if !(metaCell{r.host}).Commit(paxos.Txn{Ops: []paxos.Op{
		row(8, "a", purges),
		row(9, "a", purges),
		row(9, "b", change),
		row(10, "a", purges),
		purged,
	}}) {
		t.Fatal("not committed")
	}
	known := uint64(1)
	expect := func(want int) {
		t.Helper()
		r.consumer.Apply()
		held := distribution.HeldVersions{NotificationIndex: known}
		update := r.distributor.Changes(&distribution.UpdateRequest{Held: held})
		if update.Notifications == nil && want == 0 {
			return
		}
		if update.Notifications == nil || len(update.Notifications.Notifications) != want {
			t.Fatalf("an update has %v, not %d", update.Notifications, want)
		}
		known = update.Notifications.LogIndex
	}
	expect(1) // the configuration is not here
	expect(0)
	r.distributor.SetConfiguration(3, []byte(`{"version":3}`))
	expect(3)
	expect(0)
}
