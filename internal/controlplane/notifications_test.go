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

// TestNotificationsInOrder guards against notifications that a node never receives. A node
// requests the notifications after the newest log index that it knows. So a notification that
// waits for its configuration must not be overtaken by a later one, and notifications with
// the same log index must be in the same update.
func TestNotificationsInOrder(t *testing.T) {
	r := newTestServer(t, rpc.TCPNetwork, "10.0.0.1", "10.0.0.1:1")
	r.openStorage()
	go func() { _ = r.host.Run() }()
	defer r.Stop()
	// Waits for the election first, because the time-out of Commit must not include it.
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	if err := r.host.WaitLinearizable(ctx, schema.MetaCell); err != nil {
		t.Fatal("WaitLinearizable failed, so there is no leader:", err)
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
		t.Fatal("Commit did not commit the outbox rows")
	}
	knownIndex := uint64(1)
	expect := func(want int) {
		t.Helper()
		r.consumer.Apply()
		held := distribution.HeldVersions{NotificationIndex: knownIndex}
		update := r.distributor.Changes(&distribution.UpdateRequest{Held: held})
		if update.Notifications == nil && want == 0 {
			return
		}
		if update.Notifications == nil || len(update.Notifications.Notifications) != want {
			t.Fatalf("update has notifications %v, want %d", update.Notifications, want)
		}
		knownIndex = update.Notifications.LogIndex
	}
	expect(1) // the rows from index 9 on wait for configuration 3
	expect(0)
	r.distributor.SetConfiguration(3, []byte(`{"version":3}`))
	expect(3)
	expect(0)
}
