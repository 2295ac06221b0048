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

// newTestServer returns a server at the first start of a system with the given seed nodes.
func newTestServer(t *testing.T, network rpc.Network, address string, seeds ...string) *Server {
	t.Helper()
	set := &settings.Settings{
		NodeName:          "n",
		IPAddress:         address,
		InternalPortRange: []int{7120, 7135},
		DataDirectory:     t.TempDir(),
		FirstStart:        true,
		SeedNodes:         seeds,
	}
	return New(set, logging.Nop(), network, storage.LocalDisk{})
}

// dial opens a TCP connection to an address.
func dial(ctx context.Context, address net.Addr) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(ctx, "tcp", address.String())
}

// TestStoppedReplicaAnswersUnavailable guards against a final rejection of a request, instead
// of 503, in two cases: the node stops after the leader has confirmed that its replica is
// current and before the replica is read, or the leader's answer is empty.
func TestStoppedReplicaAnswersUnavailable(t *testing.T) {
	amend := func(s *Server, c echo.Context) error { return s.operator.Amend(c) }
	read := func(s *Server, c echo.Context) error { return s.operator.Read(c) }
	for _, c := range []struct {
		name            string
		handle          func(*Server, echo.Context) error
		leaderStopsNode bool // otherwise the leader's answers are empty
	}{
		{"read, stopped", read, true},
		{"amend, stopped", amend, true},
		{"read, empty answer", read, false},
		{"amend, empty answer", amend, false},
	} {
		var s *Server
		leader := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if !c.leaderStopsNode {
				return
			}
			s.Stop()
			confirmed, _ := rpc.Marshal(replicahost.ProposeResult{Committed: true})
			_, _ = w.Write(rpc.EncodeBody(confirmed))
		}))
		toLeader := func(_, _ time.Duration) func(context.Context, string, string) (net.Conn, error) {
			return func(ctx context.Context, _, _ string) (net.Conn, error) {
				return dial(ctx, leader.Listener.Addr())
			}
		}
		s = newTestServer(t, toLeader, "10.0.0.1", "10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1")
		begin := time.Now()
		s.openStorage()
		go func() { _ = s.host.Run() }()
		s.host.View(schema.MetaCell, func(replica *paxos.Replica) {
			replica.Step(time.Since(begin), paxos.Message{
				Cell:              schema.MetaCell,
				Kind:              paxos.Heartbeat,
				From:              "10.0.0.2",
				To:                "10.0.0.1",
				ProposalNumber:    paxos.ProposalNumber{Term: 1, Proposer: "10.0.0.2"},
				HeartbeatSequence: 1,
			})
		})
		body := strings.NewReader(`{"version":5,"remove":{"routes":["a"]}}`)
		request := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/", body)
		request.Header.Set("X-Comethold-Base-Version", "3")
		w := httptest.NewRecorder()
		err := c.handle(s, echo.New().NewContext(request, w))
		if err != nil || w.Code != http.StatusServiceUnavailable {
			t.Errorf("%s: handler answered %d %s and returned %v, want 503 and no error", c.name, w.Code, w.Body, err)
		}
		if isRunning := s.host.View(schema.MetaCell, func(*paxos.Replica) {}); isRunning == c.leaderStopsNode {
			t.Errorf("%s: replica runs after the request: %v, want true unless the leader stops the node", c.name, isRunning)
		}
		s.Stop()
		leader.Close()
	}
}

// TestTruncatedBody guards against the rejection of a truncated request body as an invalid
// change: the transfer failed, so the answer must be 408 and the connection must be closed.
func TestTruncatedBody(t *testing.T) {
	s := newTestServer(t, rpc.TCPNetwork, "127.0.0.1")
	s.openStorage()
	s.Stop() // a truncated body is rejected before a replica is needed
	server := httptest.NewServer(s.OperatorHandler())
	defer server.Close()
	for _, path := range []string{"/Configuration.Replace", "/Configuration.Amend", "/purge", "/Notices.Redrive"} {
		for _, truncated := range []string{
			"Content-Length: 40\r\n\r\n{\"version\":",
			"Transfer-Encoding: chunked\r\n\r\n5\r\n{\"ver\r\n",
		} {
			conn, err := dial(t.Context(), server.Listener.Addr())
			if err != nil {
				t.Fatal(err)
			}
			_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nX-Comethold-Base-Version: 0\r\n%s", path, truncated)
			if tcp, isTCP := conn.(*net.TCPConn); isTCP {
				_ = tcp.CloseWrite()
			}
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err == nil {
				if response.StatusCode != http.StatusRequestTimeout || !response.Close {
					t.Errorf("truncated body to %s: status %d, close %v, want 408, true", path, response.StatusCode, response.Close)
				}
				_ = response.Body.Close()
			}
			_, _ = io.Copy(io.Discard, conn)
			_ = conn.Close()
		}
	}
}
