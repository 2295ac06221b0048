package controlplane

import (
	"testing"

	"comethold/internal/controlplane/schema"
	"comethold/internal/distribution"
	"comethold/internal/outbox"
	"comethold/internal/paxos"
	"comethold/internal/rpc"
)

// TestNotificationsInOrder: nodes ask for what is after the newest log index that they know,
// so a notification that waits for its state is not overtaken, and two at one log index are
// distributed together.
func TestNotificationsInOrder(t *testing.T) {
	s := newTestServer(t, rpc.TCPNetwork, "10.0.0.1", "10.0.0.1:1")
	s.openStorage()
	go func() { _ = s.host.Run() }()
	defer s.Stop()
	change, err := outbox.NewNotification("configuration/3", outbox.AggregateConfiguration, 3, 0, nil)
	if err != nil {
		t.Fatal(err)
	}
	purges, err := outbox.NewNotification("", outbox.AggregatePurges, 0, 0, nil)
	if err != nil {
		t.Fatal(err)
	}
	put := func(prefix string, logIndex uint64, id string, value any) paxos.Op {
		return paxos.Op{
			Kind:  paxos.OpPut,
			Key:   paxos.AppendedKey(prefix, logIndex, id),
			Value: schema.MustEncode(value),
		}
	}
	txn := paxos.Txn{Ops: []paxos.Op{
		put(schema.OutboxKeyPrefix, 8, "a", outbox.Row{Notification: purges}),
		put(schema.OutboxKeyPrefix, 9, "a", outbox.Row{Notification: purges}),
		put(schema.OutboxKeyPrefix, 9, "b", outbox.Row{Notification: change}),
		put(schema.OutboxKeyPrefix, 10, "a", outbox.Row{Notification: purges}),
		put(schema.PurgeKeyPrefix, 10, "a", []distribution.Purge{{Label: "l"}}),
	}}
	if !(metaCell{s.host}).Commit(txn) {
		t.Fatal("not committed")
	}
	held := uint64(1)
	expect := func(want int) {
		t.Helper()
		s.consumer.Apply()
		request := &distribution.UpdateRequest{Held: distribution.HeldVersions{NotificationIndex: held}}
		update := s.distributor.Changes(request).Notifications
		if update == nil && want == 0 {
			return
		}
		if update == nil || len(update.Notifications) != want {
			t.Fatalf("distributed are %v, not %d", update, want)
		}
		held = update.LogIndex
	}
	expect(1) // the configuration is not here
	expect(0)
	s.distributor.SetConfiguration(3, []byte(`{"version":3}`))
	expect(3)
	expect(0)
}
