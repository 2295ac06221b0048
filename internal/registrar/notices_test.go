package registrar

import (
	"testing"

	"comethold/internal/cell"
	"comethold/internal/event"
	"comethold/internal/feed"
	"comethold/internal/notice"
	"comethold/internal/settings"
	"comethold/internal/vault"
	"comethold/internal/wire"
)

// TestNotificationsInOrder: nodes ask for what is after the newest position that they know, so
// a notice that waits for its state is not overtaken, and two at one position are told
// together.
func TestNotificationsInOrder(t *testing.T) {
	r := New(&settings.Settings{NodeName: "n", IPAddress: "10.0.0.1", InternalPortRange: []int{7120, 7135}, DataDirectory: t.TempDir(), FirstStart: true,
		SeedNodes: []string{"10.0.0.1:1"}}, event.Nop(), wire.TCPNetwork, vault.LocalDisk{})
	r.openStorage()
	go func() { _ = r.host.Run() }()
	defer r.Stop()
	change, err := notice.NewNotification("configuration/3", notice.AggregateConfiguration, 3, 0, nil)
	if err != nil {
		t.Fatal(err)
	}
	purges, err := notice.NewNotification("", notice.AggregatePurges, 0, 0, nil)
	if err != nil {
		t.Fatal(err)
	}
	put := func(slot uint64, id string, n notice.Notification) cell.Op {
		return cell.Op{Kind: cell.OpPut, Key: cell.AppendedKey(OutboxKeyPrefix, slot, id), Value: MustEncode(notice.Row{Notification: n})}
	}
	if !r.propose(MetaCell, cell.Txn{Ops: []cell.Op{put(8, "a", purges), put(9, "a", purges), put(9, "b", change), put(10, "a", purges)}}) {
		t.Fatal("not taken")
	}
	r.board.mu.Lock()
	r.board.purgePosition = 10
	r.board.mu.Unlock()
	have := uint64(1)
	tell := func(want int) {
		t.Helper()
		r.applyNotifications()
		r.board.mu.Lock()
		defer r.board.mu.Unlock()
		var n feed.Update
		r.board.noticeNews(feed.HeldVersions{NotificationIndex: have}, &n)
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
