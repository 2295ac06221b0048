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

// TestNoticesInOrder: nodes ask for what is after the newest position that they know, so
// a notice that waits for its state is not overtaken, and two at one position are told
// together.
func TestNoticesInOrder(t *testing.T) {
	r := New(&settings.Settings{NodeName: "n", IPAddress: "10.0.0.1", InternalPortRange: []int{7120, 7135}, DataDirectory: t.TempDir(), FirstStart: true,
		SeedNodes: []string{"10.0.0.1:1"}}, event.Nop(), wire.Sockets, vault.Files{})
	r.open()
	go func() { _ = r.host.Run() }()
	defer r.Stop()
	change, err := notice.New("configuration/3", notice.Configuration, 3, 0, nil)
	if err != nil {
		t.Fatal(err)
	}
	purges, err := notice.New("", notice.Purges, 0, 0, nil)
	if err != nil {
		t.Fatal(err)
	}
	put := func(slot uint64, id string, n notice.Notice) cell.Op {
		return cell.Op{Kind: cell.OpPut, Key: cell.AppendedKey(keyOutbox, slot, id), Value: encode(notice.Row{Notice: n})}
	}
	if !r.propose(ExchangeCell, cell.Txn{Ops: []cell.Op{put(8, "a", purges), put(9, "a", purges), put(9, "b", change), put(10, "a", purges)}}) {
		t.Fatal("not taken")
	}
	r.board.mu.Lock()
	r.board.pos = 10
	r.board.mu.Unlock()
	have := uint64(1)
	tell := func(want int) {
		t.Helper()
		r.decideNotices()
		r.board.mu.Lock()
		defer r.board.mu.Unlock()
		var n feed.News
		r.board.noticeNews(feed.Have{Notice: have}, &n)
		if n.Notices == nil && want == 0 {
			return
		}
		if n.Notices == nil || len(n.Notices.All) != want {
			t.Fatalf("told are %v, not %d", n.Notices, want)
		}
		have = n.Notices.Pos
	}
	tell(1) // the configuration is not here
	tell(0)
	r.board.setConfig(3, []byte(`{"version":3}`))
	tell(3)
	tell(0)
}
