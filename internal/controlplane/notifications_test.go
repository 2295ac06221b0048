package controlplane

import (
	"testing"

	"comethold/internal/controlplane/schema"
	"comethold/internal/distribution"
	"comethold/internal/logging"
	"comethold/internal/outbox"
	"comethold/internal/paxos"
	"comethold/internal/rpc"
	"comethold/internal/settings"
	"comethold/internal/storage"
)

// TestNotificationsInOrder: nodes ask for what is after the newest position that they know, so
// a notice that waits for its state is not overtaken, and two at one position are told
// together.
func TestNotificationsInOrder(t *testing.T) {
	r := New(&settings.Settings{NodeName: "n", IPAddress: "10.0.0.1", InternalPortRange: []int{7120, 7135}, DataDirectory: t.TempDir(), FirstStart: true,
		SeedNodes: []string{"10.0.0.1:1"}}, logging.Nop(), rpc.TCPNetwork, storage.LocalDisk{})
	r.openStorage()
	go func() { _ = r.host.Run() }()
	defer r.Stop()
	change, err := outbox.NewNotification("configuration/3", outbox.AggregateConfiguration, 3, 0, nil)
	if err != nil {
		t.Fatal(err)
	}
	purges, err := outbox.NewNotification("", outbox.AggregatePurges, 0, 0, nil)
	if err != nil {
		t.Fatal(err)
	}
	put := func(slot uint64, id string, n outbox.Notification) paxos.Op {
		return paxos.Op{Kind: paxos.OpPut, Key: paxos.AppendedKey(schema.OutboxKeyPrefix, slot, id), Value: schema.MustEncode(outbox.Row{Notification: n})}
	}
	if !r.propose(schema.MetaCell, paxos.Txn{Ops: []paxos.Op{put(8, "a", purges), put(9, "a", purges), put(9, "b", change), put(10, "a", purges)}}) {
		t.Fatal("not taken")
	}
	r.board.mu.Lock()
	r.board.purgePosition = 10
	r.board.mu.Unlock()
	have := uint64(1)
	tell := func(want int) {
		t.Helper()
		r.consumer.Apply()
		r.board.mu.Lock()
		defer r.board.mu.Unlock()
		var n distribution.Update
		r.board.addNotificationsLocked(distribution.HeldVersions{NotificationIndex: have}, &n)
		if n.Notifications == nil && want == 0 {
			return
		}
		if n.Notifications == nil || len(n.Notifications.Notifications) != want {
			t.Fatalf("told are %v, not %d", n.Notifications, want)
		}
		have = n.Notifications.LogIndex
	}
	tell(1) // the configuration is not here
	tell(0)
	r.board.SetConfiguration(3, []byte(`{"version":3}`))
	tell(3)
	tell(0)
}
