package registrar

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"testing"
	"time"

	"comethold/internal/cell"
	"comethold/internal/event"
	"comethold/internal/notice"
	"comethold/internal/numbering"
	"comethold/internal/settings"
	"comethold/internal/vault"
	"comethold/internal/wire"

	"github.com/labstack/echo/v4"
)

// loneCell is a cell of one member without a disk or a network.
type loneCell struct {
	t   *testing.T
	m   *cell.Member
	now time.Duration
	n   int
}

func newLoneCell(t *testing.T) *loneCell {
	c := &loneCell{t: t, m: cell.New(cell.Params{Cell: ExchangeCell, Self: "a", Alpha: 3, MaxQueue: 8, MaxBatch: 4, KeepLog: 16,
		Beat: 100 * time.Millisecond, Patience: 400 * time.Millisecond, Jitter: func() float64 { return 0.5 }},
		cell.Saved{Snap: &cell.Snapshot{State: map[string]cell.Value{}, Memberships: []cell.Membership{{From: 1, Seats: []cell.Seat{{ID: "a", Addr: "a"}}}}}}, 0)}
	for range 20 {
		c.step()
	}
	return c
}

func (c *loneCell) step() (committed bool) {
	c.now += 50 * time.Millisecond
	c.m.Tick(c.now)
	for {
		out := c.m.Take()
		for _, d := range out.Done {
			committed = committed || d.Committed
		}
		msgs := append(out.Send, out.SendSynced...)
		if len(msgs) == 0 {
			return committed
		}
		for _, msg := range msgs {
			c.m.Step(c.now, msg)
		}
	}
}

// propose has a transaction applied and tells whether it was committed.
func (c *loneCell) propose(t cell.Txn) bool {
	c.t.Helper()
	c.n++
	t.ID = strconv.Itoa(c.n)
	if err := c.m.Propose(c.now, t); err != nil {
		c.t.Fatal(err)
	}
	return c.step()
}

// TestOldOrders: an order that was taken thousands of changes ago is known still, with
// its content; one that is older than that is not taken for one that was refused.
func TestOldOrders(t *testing.T) {
	c := newLoneCell(t)
	sum := func(v uint64) []byte { return notice.Digest(strconv.AppendUint(nil, v, 10)) }
	base := func(v uint64) uint64 { return max(v, 3) - 3 }
	const changes = 5000
	for v := uint64(3); v <= 3*changes; v += 3 {
		txn := configTxn(c.m, &numbering.Configuration{Version: v}, []byte("{}"), sum(v), nil)
		txn.Ops = slices.DeleteFunc(txn.Ops, func(o cell.Op) bool { return o.Kind == cell.OpAppend }) // nobody sweeps notices here
		if !c.propose(txn) {
			t.Fatalf("%d is not taken", v)
		}
	}
	reach := 0
	for v := uint64(3); v <= 3*changes; v += 3 {
		got, forgotten := replayOf(c.m, v, base(v), sum(v))
		other, forgotten2 := replayOf(c.m, v, base(v), sum(v+1))
		apart, _ := replayOf(c.m, v, base(v)+1, sum(v))
		unused, _ := replayOf(c.m, v+1, base(v), sum(v+1))
		switch {
		case forgotten != forgotten2 || forgotten && reach > 0:
			t.Fatalf("%d: forgotten is %v, after newer ones", v, forgotten)
		case !forgotten && (got != notice.Repeated || other != notice.Conflicting || apart != notice.Fresh || unused != notice.Fresh):
			t.Fatalf("%d: %v, other content %v, other base %v, other version %v", v, got, other, apart, unused)
		case !forgotten:
			reach++
		}
	}
	if reach < keepReceipts+archiveSize*(keepArchives-1) || reach == changes {
		t.Errorf("%d changes are remembered", reach)
	}
	size := 0
	for _, prefix := range []string{keyReceipt, keyArchive, keyForgotten} {
		for _, k := range c.m.KeysFrom(prefix, prefix) {
			v, _ := c.m.Get(k)
			size += len(k) + len(v.Bytes)
		}
	}
	t.Logf("%d changes are remembered in %d bytes", reach, size)
	if size > 128<<10 {
		t.Errorf("they take %d bytes", size)
	}
}

// endedRegistrar is one whose host does nothing any more, as at the end of a node.
func endedRegistrar(t *testing.T) *Registrar {
	r := New(&settings.Settings{NodeName: "n", IPAddress: "127.0.0.1", InternalPortRange: []int{7120, 7135}, DataDirectory: t.TempDir(), FirstStart: true}, event.Nop(), wire.Sockets, vault.Files{})
	r.open()
	r.host.openedAt[ExchangeCell] = -growTime
	r.Stop()
	return r
}

// TestNoStateNoRefusal: a node that ends after its copy was confirmed, and before it was
// looked at, refuses nothing for good; nor does one whose proposer's answer says nothing.
func TestNoStateNoRefusal(t *testing.T) {
	e := echo.New()
	order := func(r *Registrar, c echo.Context) error {
		return r.decide(c, &order{version: 5, base: 3, raw: []byte("{}")})
	}
	for i, try := range []func(*Registrar, echo.Context) error{(*Registrar).read, order, (*Registrar).read, order} {
		var r *Registrar
		proposer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if i >= 2 { // an answer without content
				return
			}
			r.Stop()
			b, _ := wire.Marshal(verdict{Committed: true})
			_, _ = w.Write(wire.Pack(b))
		}))
		r = New(&settings.Settings{NodeName: "n", IPAddress: "10.0.0.1", InternalPortRange: []int{7120, 7135}, DataDirectory: t.TempDir(), FirstStart: true,
			SeedNodes: []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"}}, event.Nop(),
			func(_, _ time.Duration) func(context.Context, string, string) (net.Conn, error) {
				return func(context.Context, string, string) (net.Conn, error) {
					return net.Dial("tcp", proposer.Listener.Addr().String())
				}
			}, vault.Files{})
		r.open()
		r.host.openedAt[ExchangeCell] = -growTime
		go func() { _ = r.host.Run() }()
		r.host.ask(func() {
			r.host.cells[ExchangeCell].Step(r.host.now(), cell.Message{Cell: ExchangeCell, Kind: cell.Beat, From: "10.0.0.2", To: "10.0.0.1", Ballot: cell.Ballot{Round: 1, By: "10.0.0.2"}, Seq: 1})
		})
		w := httptest.NewRecorder()
		if err := try(r, e.NewContext(httptest.NewRequest(http.MethodPost, "/", nil), w)); err != nil || w.Code != http.StatusServiceUnavailable {
			t.Errorf("%d %s %v", w.Code, w.Body, err)
		}
		if r.exchange(func(*cell.Member) {}) != (i >= 2) {
			t.Error("the node did not end")
		}
		r.Stop()
		proposer.Close()
	}
}

// TestBrokenBody: a body that breaks off is a call that failed, not an order that is wrong.
func TestBrokenBody(t *testing.T) {
	s := httptest.NewServer(endedRegistrar(t).Operator())
	defer s.Close()
	for _, path := range []string{"/Configuration.Replace", "/Configuration.Amend", "/purge", "/Notices.Redrive"} {
		for _, broken := range []string{"Content-Length: 40\r\n\r\n{\"version\":", "Transfer-Encoding: chunked\r\n\r\n5\r\n{\"ver\r\n"} {
			conn, err := net.Dial("tcp", s.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\n%s: 0\r\n%s", path, baseHeader, broken)
			_ = conn.(*net.TCPConn).CloseWrite()
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err == nil && (resp.StatusCode != http.StatusRequestTimeout || !resp.Close) {
				t.Errorf("%s: %d, close is %v", path, resp.StatusCode, resp.Close)
			}
			_, _ = io.Copy(io.Discard, conn)
			_ = conn.Close()
		}
	}
}

// TestLargeOrders: large orders that come at once wait for one another.
func TestLargeOrders(t *testing.T) {
	r := endedRegistrar(t)
	r.large <- struct{}{}
	time.AfterFunc(largeWait/5, func() { <-r.large })
	req := httptest.NewRequest(http.MethodPost, "/", io.LimitReader(zeros{}, largeOrder+1))
	req.ContentLength = largeOrder + 1
	req.Header.Set(baseHeader, "0")
	w := httptest.NewRecorder()
	if o, status, why := r.readOrder(echo.New().NewContext(req, w), func(*order) error { return nil }); o == nil {
		t.Errorf("%d %s", status, why)
	}
	if len(r.large) != 0 {
		t.Error("the room is not given back")
	}
}

type zeros struct{}

func (zeros) Read(b []byte) (int, error) { clear(b); return len(b), nil }
