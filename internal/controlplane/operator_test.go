package controlplane

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"comethold/internal/controlplane/replicahost"
	"comethold/internal/controlplane/schema"
	"comethold/internal/logging"
	"comethold/internal/paxos"
	"comethold/internal/rpc"
	"comethold/internal/settings"
	"comethold/internal/storage"

	"github.com/labstack/echo/v4"
)

// stoppedControlPlane is one whose host does nothing any more, as while a node stops.
func stoppedControlPlane(t *testing.T) *Server {
	t.Helper()
	r := New(&settings.Settings{
		NodeName:          "n",
		IPAddress:         "127.0.0.1",
		InternalPortRange: []int{7120, 7135},
		DataDirectory:     t.TempDir(),
		FirstStart:        true,
	}, logging.Nop(), rpc.TCPNetwork, storage.LocalDisk{})
	r.openStorage()
	r.Stop()
	return r
}

// TestStoppedReplicaAnswersUnavailable: a node that stops after its state was confirmed to be
// current, and before it was looked at, rejects nothing for good; nor does one whose leader's
// answer says nothing.
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
		var dialer net.Dialer
		dialProposer := func(ctx context.Context, _, _ string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", proposer.Listener.Addr().String())
		}
		r = New(&settings.Settings{
			NodeName:          "n",
			IPAddress:         "10.0.0.1",
			InternalPortRange: []int{7120, 7135},
			DataDirectory:     t.TempDir(),
			FirstStart:        true,
			SeedNodes:         []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"},
		}, logging.Nop(), func(_, _ time.Duration) func(context.Context, string, string) (net.Conn, error) {
			return dialProposer
		}, storage.LocalDisk{})
		begin := time.Now()
		r.openStorage()
		go func() { _ = r.host.Run() }()
		r.host.View(schema.MetaCell, func(m *paxos.Replica) {
			m.Step(time.Since(begin), paxos.Message{
				Cell:              schema.MetaCell,
				Kind:              paxos.Heartbeat,
				From:              "10.0.0.2",
				To:                "10.0.0.1",
				ProposalNumber:    paxos.ProposalNumber{Term: 1, Proposer: "10.0.0.2"},
				HeartbeatSequence: 1,
			})
		})
		w := httptest.NewRecorder()
		req := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/",
			strings.NewReader(`{"version":5,"remove":{"routes":["a"]}}`))
		req.Header.Set("X-Comethold-Base-Version", "3")
		if err := try(r, e.NewContext(req, w)); err != nil || w.Code != http.StatusServiceUnavailable {
			t.Errorf("%d %s %v", w.Code, w.Body, err)
		}
		if r.host.View(schema.MetaCell, func(*paxos.Replica) {}) != (i >= 2) {
			t.Error("the node did not end")
		}
		r.Stop()
		proposer.Close()
	}
}

// TestTruncatedBody: a body that breaks off is a call that failed, not a change that is wrong.
func TestTruncatedBody(t *testing.T) {
	s := httptest.NewServer(stoppedControlPlane(t).OperatorHandler())
	defer s.Close()
	for _, path := range []string{"/Configuration.Replace", "/Configuration.Amend", "/purge", "/Notices.Redrive"} {
		for _, truncated := range []string{
			"Content-Length: 40\r\n\r\n{\"version\":",
			"Transfer-Encoding: chunked\r\n\r\n5\r\n{\"ver\r\n",
		} {
			postTruncated(t, s.Listener.Addr(), path, truncated)
		}
	}
}

// postTruncated closes the sending side of a connection after a part of a request, and checks
// what is answered.
func postTruncated(t *testing.T, server net.Addr, path, truncated string) {
	t.Helper()
	var dialer net.Dialer
	conn, err := dialer.DialContext(t.Context(), "tcp", server.String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nX-Comethold-Base-Version: 0\r\n%s", path, truncated)
	if sending, ok := conn.(*net.TCPConn); ok {
		_ = sending.CloseWrite()
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err == nil {
		defer func() { _ = response.Body.Close() }()
		if response.StatusCode != http.StatusRequestTimeout || !response.Close {
			t.Errorf("%s: %d, close is %v", path, response.StatusCode, response.Close)
		}
	}
	_, _ = io.Copy(io.Discard, conn)
}
