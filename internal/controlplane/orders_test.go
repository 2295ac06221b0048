package controlplane

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
	"strings"
	"testing"
	"time"

	"comethold/internal/controlplane/replicahost"
	"comethold/internal/controlplane/schema"
	"comethold/internal/logging"
	"comethold/internal/outbox"
	"comethold/internal/paxos"
	"comethold/internal/routing"
	"comethold/internal/rpc"
	"comethold/internal/settings"
	"comethold/internal/storage"

	"github.com/labstack/echo/v4"
)

// singleReplica is a cell of one member without a disk or a network.
type singleReplica struct {
	t         *testing.T
	replica   *paxos.Replica
	now       time.Duration
	proposals int
}

func newSingleReplica(t *testing.T) *singleReplica {
	c := &singleReplica{t: t, replica: paxos.NewReplica(paxos.Config{Cell: schema.MetaCell, Self: "a", Alpha: 3, MaxQueue: 8, MaxBatch: 4, RetainedEntries: 16,
		HeartbeatInterval: 100 * time.Millisecond, ElectionTimeout: 400 * time.Millisecond, Jitter: func() float64 { return 0.5 }},
		paxos.PersistedState{Snapshot: &paxos.Snapshot{State: map[string]paxos.Value{}, Memberships: []paxos.Membership{{EffectiveFrom: 1, Voters: []paxos.Voter{{ID: "a", Addr: "a"}}}}}}, 0)}
	for range 20 {
		c.step()
	}
	return c
}

func (c *singleReplica) step() (committed bool) {
	c.now += 50 * time.Millisecond
	c.replica.Tick(c.now)
	for {
		out := c.replica.Ready()
		for _, d := range out.Outcomes {
			committed = committed || d.Committed
		}
		msgs := append(out.Messages, out.MessagesAfterSync...)
		if len(msgs) == 0 {
			return committed
		}
		for _, msg := range msgs {
			c.replica.Step(c.now, msg)
		}
	}
}

// propose has a transaction applied and tells whether it was committed.
func (c *singleReplica) propose(t paxos.Txn) bool {
	c.t.Helper()
	c.proposals++
	t.ID = strconv.Itoa(c.proposals)
	if err := c.replica.Propose(c.now, t); err != nil {
		c.t.Fatal(err)
	}
	return c.step()
}

// TestReceiptsOfOldChanges: an order that was taken thousands of changes ago is known still, with
// its content; one that is older than that is not taken for one that was refused.
func TestReceiptsOfOldChanges(t *testing.T) {
	c := newSingleReplica(t)
	sum := func(v uint64) []byte { return outbox.Digest(strconv.AppendUint(nil, v, 10)) }
	base := func(v uint64) uint64 { return max(v, 3) - 3 }
	const changes = 5000
	for v := uint64(3); v <= 3*changes; v += 3 {
		txn := schema.ConfigTxn(c.replica, &routing.Configuration{Version: v}, []byte("{}"), sum(v), nil)
		txn.Ops = slices.DeleteFunc(txn.Ops, func(o paxos.Op) bool { return o.Kind == paxos.OpAppend }) // nobody sweeps notices here
		if !c.propose(txn) {
			t.Fatalf("%d is not taken", v)
		}
	}
	reach := 0
	for v := uint64(3); v <= 3*changes; v += 3 {
		got, forgotten := schema.CheckReplay(c.replica, v, base(v), sum(v))
		other, forgotten2 := schema.CheckReplay(c.replica, v, base(v), sum(v+1))
		apart, _ := schema.CheckReplay(c.replica, v, base(v)+1, sum(v))
		unused, _ := schema.CheckReplay(c.replica, v+1, base(v), sum(v+1))
		switch {
		case forgotten != forgotten2 || forgotten && reach > 0:
			t.Fatalf("%d: forgotten is %v, after newer ones", v, forgotten)
		case !forgotten && (got != outbox.KeyRepeated || other != outbox.KeyConflicting || apart != outbox.KeyUnused || unused != outbox.KeyUnused):
			t.Fatalf("%d: %v, other content %v, other base %v, other version %v", v, got, other, apart, unused)
		case !forgotten:
			reach++
		}
	}
	if reach < schema.MaxReceipts+schema.ReceiptsPerArchive*(schema.MaxReceiptArchives-1) || reach == changes {
		t.Errorf("%d changes are remembered", reach)
	}
	size := 0
	for _, prefix := range []string{schema.ReceiptKeyPrefix, schema.ReceiptArchiveKeyPrefix, schema.ReceiptsForgottenKey} {
		for _, k := range c.replica.KeysWithPrefix(prefix, prefix) {
			v, _ := c.replica.Get(k)
			size += len(k) + len(v.Bytes)
		}
	}
	t.Logf("%d changes are remembered in %d bytes", reach, size)
	if size > 128<<10 {
		t.Errorf("they take %d bytes", size)
	}
}

// stoppedControlPlane is one whose host does nothing any more, as at the end of a node.
func stoppedControlPlane(t *testing.T) *Server {
	r := New(&settings.Settings{NodeName: "n", IPAddress: "127.0.0.1", InternalPortRange: []int{7120, 7135}, DataDirectory: t.TempDir(), FirstStart: true}, logging.Nop(), rpc.TCPNetwork, storage.LocalDisk{})
	r.openStorage()
	r.Stop()
	return r
}

// TestStoppedReplicaAnswersUnavailable: a node that ends after its copy was confirmed, and before it was
// looked at, refuses nothing for good; nor does one whose proposer's answer says nothing.
func TestStoppedReplicaAnswersUnavailable(t *testing.T) {
	e := echo.New()
	amend := func(r *Server, c echo.Context) error { return r.operator.Amend(c) }
	read := func(r *Server, c echo.Context) error { return r.operator.Read(c) }
	for i, try := range []func(*Server, echo.Context) error{read, amend, read, amend} {
		var r *Server
		proposer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if i >= 2 { // an answer without content
				return
			}
			r.Stop()
			b, _ := rpc.Marshal(replicahost.ProposeResult{Committed: true})
			_, _ = w.Write(rpc.EncodeBody(b))
		}))
		r = New(&settings.Settings{NodeName: "n", IPAddress: "10.0.0.1", InternalPortRange: []int{7120, 7135}, DataDirectory: t.TempDir(), FirstStart: true,
			SeedNodes: []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"}}, logging.Nop(),
			func(_, _ time.Duration) func(context.Context, string, string) (net.Conn, error) {
				return func(context.Context, string, string) (net.Conn, error) {
					return net.Dial("tcp", proposer.Listener.Addr().String())
				}
			}, storage.LocalDisk{})
		begin := time.Now()
		r.openStorage()
		go func() { _ = r.host.Run() }()
		r.host.View(schema.MetaCell, func(m *paxos.Replica) {
			m.Step(time.Since(begin), paxos.Message{Cell: schema.MetaCell, Kind: paxos.Heartbeat, From: "10.0.0.2", To: "10.0.0.1", ProposalNumber: paxos.ProposalNumber{Term: 1, Proposer: "10.0.0.2"}, HeartbeatSequence: 1})
		})
		w := httptest.NewRecorder()
		req := httptest.NewRequest(http.MethodPost, "/", strings.NewReader(`{"version":5,"remove":{"routes":["a"]}}`))
		req.Header.Set("X-Comethold-Base-Version", "3")
		if err := try(r, e.NewContext(req, w)); err != nil || w.Code != http.StatusServiceUnavailable {
			t.Errorf("%d %s %v", w.Code, w.Body, err)
		}
		if r.viewMetaCell(func(*paxos.Replica) {}) != (i >= 2) {
			t.Error("the node did not end")
		}
		r.Stop()
		proposer.Close()
	}
}

// TestTruncatedBody: a body that breaks off is a call that failed, not an order that is wrong.
func TestTruncatedBody(t *testing.T) {
	s := httptest.NewServer(stoppedControlPlane(t).OperatorHandler())
	defer s.Close()
	for _, path := range []string{"/Configuration.Replace", "/Configuration.Amend", "/purge", "/Notices.Redrive"} {
		for _, broken := range []string{"Content-Length: 40\r\n\r\n{\"version\":", "Transfer-Encoding: chunked\r\n\r\n5\r\n{\"ver\r\n"} {
			conn, err := net.Dial("tcp", s.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\n%s: 0\r\n%s", path, "X-Comethold-Base-Version", broken)
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
