package registrar

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"testing"
	"time"

	"comethold/internal/cell"
	"comethold/internal/feed"
	"comethold/internal/ration"
	"comethold/internal/scenario"
	"comethold/internal/settings"
	"comethold/internal/vault"
	"comethold/internal/wire"

	"github.com/labstack/echo/v4"
)

// TestNextMove: seats as "ID@address/zone", what is live, what is silent.
func TestNextMove(t *testing.T) {
	for _, c := range []struct {
		why, seats, live, silent string
		want                     int
		out                      string
	}{
		{"settled", "a@1/x b@2/y c@3/z", "a@1/x b@2/y c@3/z", "", 3, ""},
		{"too few: a new zone first", "a@1/x b@2/y c@3/z", "a@1/x b@2/y c@3/z d@4/x e@5/w", "", 5, "+e"},
		{"an empty disk takes its former seat", "a@1/x b@2/y c@3/z", "a2@1/x b@2/y c@3/z", "", 3, "a+a2"},
		{"a silent seat goes to a newcomer", "a@1/x b@2/y c@3/z", "b@2/y c@3/z d@4/x", "1", 3, "a+d"},
		{"nobody to take it", "a@1/x b@2/y c@3/z", "b@2/y c@3/z", "1", 3, ""},
		{"add before replacing", "a@1/x b@2/y c@3/z", "b@2/y c@3/z d@4/x", "1", 5, "+d"},
		{"the region with fewer seats", "a@1/x1 b@2/y1 c@3/x2", "a@1/x1 b@2/y1 c@3/x2 d@4/x3 e@5/y3", "", 5, "+e"},
	} {
		var seats []cell.Seat
		live := map[string]Hello{}
		for _, w := range strings.Fields(c.seats) {
			id, rest, _ := strings.Cut(w, "@")
			addr, zone, _ := strings.Cut(rest, "/")
			seats = append(seats, cell.Seat{ID: cell.MemberID(id), Addr: addr, Zone: zone})
		}
		for _, w := range strings.Fields(c.live) {
			id, rest, _ := strings.Cut(w, "@")
			addr, zone, _ := strings.Cut(rest, "/")
			live[addr] = Hello{ID: cell.MemberID(id), Addr: addr, Zone: zone}
		}
		out, in, ok := nextMove(seats, live, func(a string) bool { return c.silent != "" && a == c.silent }, c.want,
			func(zone string) string { return zone[:1] })
		got := ""
		if ok {
			got = string(out) + "+" + string(in.ID)
		}
		if got != c.out {
			t.Errorf("%s: %q, not %q", c.why, got, c.out)
		}
	}
}

// TestShares: whatever order claims come in and whoever dies, the shares held
// never exceed the whole, and a dead holder's share is free in the end.
func TestShares(t *testing.T) {
	k := newShareKeepers()[feed.SharesOfRates]
	table := map[string]feed.Share{}
	fair := map[string]int{}
	now := time.Now()
	claim := func(node string) {
		var g feed.Grant
		table, g = k.settle(table, feed.Claim{Node: node, Permille: fair[node]}, now)
		fair[node] = g.Fair
		sum := 0
		for _, s := range table {
			sum += s.Permille
		}
		if sum > ration.Whole {
			t.Fatalf("shares add up to %d: %v", sum, table)
		}
	}
	nodes := []string{"a", "b", "c", "d"}
	for round := range 40 {
		now = now.Add(time.Second)
		for i := range nodes {
			if n := nodes[(i*3+round)%4]; round < 10 || n != "b" {
				claim(n)
			}
		}
		if round == 9 && table["b"].Permille != 250 {
			t.Fatalf("not shared evenly: %v", table)
		}
		if _, held := table["b"]; round == 12 && !held {
			t.Fatal("a share lapsed before its holder surely stopped")
		}
	}
	if _, held := table["b"]; held || table["a"].Permille != 333 {
		t.Fatalf("the dead holder's share is not free: %v", table)
	}
	// Back after a restart a holder has its share by its first claim; a newcomer
	// gets no more than what the others leave.
	if _, g := k.settle(table, feed.Claim{Node: "a", Fresh: true}, now); g.Permille != 333 {
		t.Errorf("a restarted holder is granted %d", g.Permille)
	}
	if _, g := k.settle(table, feed.Claim{Node: "b", Fresh: true}, now); g.Permille > 1 {
		t.Errorf("a newcomer is granted %d of what others hold", g.Permille)
	}
	// A claim that was given up and is settled after a newer one changes nothing.
	turn := feed.NewTurn()
	old, newer := feed.Claim{Node: "a", Permille: 100, Turn: turn.Next()}, feed.Claim{Node: "a", Permille: 300, Turn: turn.Next()}
	table, _ = k.settle(table, newer, now)
	if after, g := k.settle(table, old, now); g.Granted || after["a"] != table["a"] {
		t.Errorf("a late claim is granted: %v, the share is %v", g, after["a"])
	}
	if _, g := k.settle(table, feed.Claim{Node: "a", Permille: 300, Turn: feed.NewTurn()}, now); !g.Granted {
		t.Error("the first claim of a new life is not granted")
	}
}

func TestReadPurge(t *testing.T) {
	for body, want := range map[string]string{
		`{"hostname":"A.example","path":"/x"}`: "a.example /x ",
		`{"label":"t1"}`:                       "  t1",
		`{}`:                                   "",
		`{"hostname":"a"}`:                     "",
		`{"path":"/x"}`:                        "",
		`{"hostname":"a","path":"x"}`:          "",
		`{"hostname":"a","path":"/x","label":"t"}`: "",
		`{"label":"t1`: "",
		`{"label":7}`:  "",
		`[]`:           "",
	} {
		r, err := readPurge([]byte(body))
		got := ""
		if err == nil {
			got = fmt.Sprint(r.Host, " ", r.Path, " ", r.Label)
		}
		if got != want {
			t.Errorf("%s: %q %v", body, got, err)
		}
	}
}

// TestBoardDeltas: whatever a holder has, what the board tells brings it to the
// board's table.
func TestBoardDeltas(t *testing.T) {
	b := newBoard()
	holders := []map[string]feed.Node{{}, {}, {}}
	have := []uint64{0, 0, 0}
	for slot := uint64(1); slot < 60; slot++ {
		var all []feed.Node
		for n := range uint64(8) {
			if (slot*7+n*n)%5 != 0 {
				all = append(all, feed.Node{Name: fmt.Sprint("n", n), Zone: "z", Down: (slot+n)%4 == 0})
			}
		}
		b.nodesAt = time.Time{}
		b.setNodes(slot, all)
		for i := range holders {
			if slot%uint64(i+1) != 0 {
				continue
			}
			news := b.newerLocked(&feed.Call{Node: feed.Node{Zone: "z"}, Have: feed.Have{Nodes: have[i]}})
			if n := news.Nodes; n != nil {
				holders[i] = feed.Merge(holders[i], n.All, n.Gone, n.Delta, func(n feed.Node) string { return n.Name })
				have[i] = n.Slot
			}
			var want, got []string
			for _, n := range all {
				want = append(want, fmt.Sprint(n))
			}
			for _, n := range holders[i] {
				got = append(got, fmt.Sprint(n))
			}
			sort.Strings(want)
			sort.Strings(got)
			if fmt.Sprint(want) != fmt.Sprint(got) {
				t.Fatalf("holder %d at %d: %v, not %v", i, slot, got, want)
			}
		}
	}
}

// TestUnreached: a node that its watchers miss and that this registrar does not
// feed, but that answers, is not taken for down.
func TestUnreached(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }))
	}()
	port := l.Addr().(*net.TCPAddr).Port
	r := &Registrar{set: &settings.Settings{InternalPortRange: []int{port - int(settings.Switch), port + 9}}, host: &Host{call: wire.NewClient(wire.Sockets)},
		suspects: map[string]map[string]time.Time{"a": {"w": time.Now()}, "b": {"w": time.Now()}}}
	out := r.unreached([]feed.Node{{Name: "a", Addr: "127.0.0.1"}, {Name: "b", Addr: "127.0.0.2"}})
	if len(out) != 1 || out[0].Name != "b" {
		t.Errorf("not reached: %v", out)
	}
	if r.suspects["a"] != nil || r.suspects["b"] == nil {
		t.Errorf("suspected: %v", r.suspects)
	}
}

// TestMarkSums: whatever a holder's sum stands for, be it known here or not, it gets what
// it lacks and no more, and nobody who lacks nothing is answered at once again and again.
func TestMarkSums(t *testing.T) {
	b := newBoard()
	set := func(ix string, slot uint64, leafs ...string) {
		m := feed.Marks{Index: ix, Slot: slot, Drained: map[string]feed.Mark{}}
		for _, l := range leafs {
			m.Drained[l] = feed.Mark{Why: feed.WhySilent}
		}
		b.setMarks(m)
	}
	set("a", 1)
	set("b", 1, "x")
	ask := func(h feed.Have) feed.News {
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.newerLocked(&feed.Call{Have: h})
	}
	have := func(slots map[string]uint64) feed.Have { return feed.Have{MarksSum: feed.MarksSum(slots)} }
	if n := ask(feed.Have{}); len(n.Marks) != 2 {
		t.Errorf("a newcomer gets %v", n)
	}
	both := map[string]uint64{"a": 1, "b": 1}
	if n := ask(have(both)); !n.Empty() {
		t.Errorf("who has all gets %v", n)
	}
	set("b", 5, "x", "y")
	if n := ask(have(both)); len(n.Marks) != 1 || n.Marks[0].Slot != 5 || n.NeedMarks {
		t.Errorf("who has what was here before gets %v", n)
	}
	// From another registrar, newer in one index and older in the other.
	strange := map[string]uint64{"a": 9, "b": 2}
	if n := ask(have(strange)); !n.NeedMarks || n.Empty() || len(n.Marks) > 0 {
		t.Errorf("an unknown sum gets %v", n)
	}
	told := have(strange)
	told.Marks = strange
	if n := ask(told); len(n.Marks) != 1 || n.Marks[0].Index != "b" {
		t.Errorf("who tells its positions gets %v", n)
	}
	ahead := map[string]uint64{"a": 9, "b": 9}
	told = have(ahead)
	told.Marks = ahead
	if n := ask(told); !n.Empty() {
		t.Errorf("who is ahead gets %v", n)
	}
	if n := ask(have(ahead)); !n.Empty() {
		t.Errorf("who is ahead, by its sum, gets %v", n)
	}
	b.dropMarks("b")
	if n := ask(have(ahead)); len(n.Gone) != 1 || len(n.Marks) != 0 {
		t.Errorf("an index is gone: %v", n)
	}
	for slot := range uint64(3 * keepSums) {
		set("a", 10+slot, "z", strconv.FormatUint(slot, 10))
	}
	if len(b.held.by) > keepSums || len(b.held.line) > keepSums {
		t.Errorf("%d sums are known", len(b.held.by))
	}
}

// TestLane: of what is large, nothing goes a second time while it is under way, and a
// promise goes without the snapshot that is.
func TestLane(t *testing.T) {
	l := lane{wake: make(chan struct{}, 1)}
	snap := func() *cell.Snapshot {
		return &cell.Snapshot{State: map[string]cell.Value{"k": cell.Bytes(make([]byte, bulkFrom))}}
	}
	large := func(slot uint64) []cell.Entry {
		return []cell.Entry{{Slot: slot, Txns: []cell.Txn{{ID: strings.Repeat("x", bulkFrom)}}}}
	}
	l.put(cell.Message{Cell: "a", Kind: cell.Teach, Snap: snap()})
	if m := l.take(); m == nil || m.Snap == nil {
		t.Fatalf("the snapshot is not sent: %v", m)
	}
	for range 3 {
		l.put(cell.Message{Cell: "a", Kind: cell.Teach, Snap: snap()})
		l.put(cell.Message{Cell: "a", Kind: cell.Accept, Entries: large(7)})
	}
	if rest := l.put(cell.Message{Cell: "a", Kind: cell.Promise, Ballot: cell.Ballot{Round: 2}, Snap: snap()}); rest == nil || rest.Snap != nil || rest.Ballot.Round != 2 {
		t.Errorf("of the promise goes %v", rest)
	}
	l.put(cell.Message{Cell: "b", Kind: cell.Teach, Snap: snap()})
	l.put(cell.Message{Cell: "a", Kind: cell.Accept, Entries: large(8)})
	var got []string
	for m := l.take(); m != nil; m = l.take() {
		got = append(got, fmt.Sprint(m.Cell, m.Kind, len(m.Entries)))
	}
	if want := fmt.Sprint([]string{fmt.Sprint("a", cell.Accept, 1), fmt.Sprint("b", cell.Teach, 0), fmt.Sprint("a", cell.Accept, 1)}); fmt.Sprint(got) != want {
		t.Errorf("sent are %v, not %v", got, want)
	}
	l.put(cell.Message{Cell: "a", Kind: cell.Teach, Snap: snap()})
	if l.take() == nil {
		t.Error("nothing is under way, and the snapshot is not sent")
	}
}

// TestSavedEstimates: a line that was torn costs no other line, and what was saved before
// a loss of power is there after it, also right after the file was put aside.
func TestSavedEstimates(t *testing.T) {
	dir := t.TempDir()
	d := &scenario.Disk{Under: vault.Files{}, Luck: func() float64 { return 0 }}
	r := &Registrar{set: &settings.Settings{DataDirectory: dir}, disk: d}
	saved := func() (nodes []int) {
		w := httptest.NewRecorder()
		if err := r.savedEstimates(echo.New().NewContext(httptest.NewRequest(http.MethodGet, "/", nil), w)); err != nil {
			t.Fatal(err)
		}
		var all []EstimatesView
		if err := json.Unmarshal(w.Body.Bytes(), &all); err != nil {
			t.Fatal(err)
		}
		for _, v := range all {
			nodes = append(nodes, v.Nodes)
		}
		return nodes
	}
	path := filepath.Join(dir, exportName)
	torn := `{"nodes":7,"una`
	for i, before := range []string{"", torn, strings.Repeat(" ", exportMost) + "\n", ""} {
		if f, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600); err != nil {
			t.Fatal(err)
		} else if _, err = f.WriteString(before); err != nil || f.Close() != nil {
			t.Fatal(err)
		}
		if err := r.saveEstimates(EstimatesView{Nodes: i + 1}); err != nil {
			t.Fatal(err)
		}
		d.Lose()
	}
	if got := saved(); fmt.Sprint(got) != "[1 2 3 4]" {
		t.Errorf("saved are %v", got)
	}
}

// TestFounder: the name of a founder and its part of the first cell are on the disk
// together, and a name that may have voted before a file was put aside is not used again.
func TestFounder(t *testing.T) {
	seats := []cell.Seat{{ID: "a", Addr: "a"}, {ID: "b", Addr: "b"}, {ID: "c", Addr: "c"}}
	life := func(dir string, first bool) (cell.MemberID, bool) {
		v, err := vault.Open(dir, vault.Files{}, func(error) {})
		if err != nil {
			t.Fatal(err)
		}
		defer v.Close()
		id, _, err := Identity(v, "a", first, vault.SetAside(dir), seats)
		if err != nil {
			t.Fatal(err)
		}
		s, found, err := v.Load(ExchangeCell)
		return id, err == nil && found && s.Snap != nil && (cell.Membership{Seats: s.Snap.Memberships[0].Seats}).Has(id)
	}
	dir := t.TempDir()
	for _, first := range []bool{true, false} {
		if id, voter := life(dir, first); id != "a" || !voter {
			t.Errorf("first start %v: %s, voter %v", first, id, voter)
		}
	}
	dir = t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "vault.db"), []byte("no vault"), 0o600); err != nil {
		t.Fatal(err)
	}
	if id, voter := life(dir, true); id == "a" || voter {
		t.Errorf("after damage: %s, voter %v", id, voter)
	}
}

// TestQueueBounds: what one tick says in many cells finds room, and what is oldest makes
// room for what is newest.
func TestQueueBounds(t *testing.T) {
	p := &peer{wake: make(chan struct{}, 1), bulk: lane{wake: make(chan struct{}, 1)}}
	h := &Host{peers: map[string]*peer{"b": p}}
	const cells = 1000
	h.push("b", make([]cell.Message, cells))
	if len(p.queue) != cells {
		t.Errorf("%d of %d messages wait", len(p.queue), cells)
	}
	half := cell.Message{Entries: []cell.Entry{{Txns: []cell.Txn{{ID: strings.Repeat("x", bulkFrom/2)}}}}}
	for i := range 2 * queueBytes / half.Size() {
		half.Seq = uint64(i)
		h.push("b", []cell.Message{half})
	}
	if n := len(p.queue); p.bytes > queueBytes || n < queueBytes/half.Size() || p.queue[n-1].Seq != half.Seq {
		t.Errorf("%d messages, %d bytes, the last %d of %d", n, p.bytes, p.queue[n-1].Seq, half.Seq)
	}
}

// TestLateTimes: what may be long under way tells no time of day, which would be taken for
// that of its arrival.
func TestLateTimes(t *testing.T) {
	h := &Host{listed: func() feed.Stamp { return feed.Stamp{} }, times: func() (int64, int64) { return 7, 8 }}
	if b := h.batch([]cell.Message{{}}); b.Wall != 7 || b.Agreed != 8 {
		t.Errorf("a greeting says %d and %d", b.Wall, b.Agreed)
	}
	large := cell.Message{Snap: &cell.Snapshot{State: map[string]cell.Value{"k": cell.Bytes(make([]byte, bulkFrom))}}}
	if b := h.batch([]cell.Message{large}); b.Wall != 0 || b.Agreed != 0 {
		t.Errorf("a snapshot says %d and %d", b.Wall, b.Agreed)
	}
}

// TestGreeted: a registrar that knows no seats greets, besides its seeds, whoever greets it
// and whoever is listed: the proposer need not be a seed, and only it teaches.
func TestGreeted(t *testing.T) {
	h := &Host{self: Hello{ID: "1~a", Addr: "1"}, seeds: []string{"1", "2"}, start: time.Now(), cells: map[string]*cell.Member{},
		listing: func() []string { return []string{"3", "1"} }, peers: map[string]*peer{
			"4": {hello: Hello{ID: "4", Addr: "4"}}, "5": {hello: Hello{ID: "5", Addr: "5"}, heard: -2 * learnerSpan}}}
	got := h.addresses()
	sort.Strings(got)
	if fmt.Sprint(got) != "[2 3 4]" {
		t.Errorf("greets %v", got)
	}
}
