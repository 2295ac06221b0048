package upstream

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"comethold/internal/distribution"
	"comethold/internal/logging"
)

// listenEach listens on a local port and serves each connection, until the test ends.
func listenEach(t *testing.T, serve func(net.Conn)) (addr string) {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				serve(conn)
			}()
		}
	}()
	return listener.Addr().String()
}

// managerOf makes a manager with the endpoint l at an address.
func managerOf(addr string) *ClusterManager {
	m := NewClusterManager(testLocality("n1", "a"), (&net.Dialer{}).DialContext, logging.Nop())
	m.SetEndpoints(map[string]distribution.Endpoint{"l": {ID: "l", Service: "s", Addr: addr, Zone: "a", Slots: 2}})
	return m
}

// startScriptedLeaf starts a leaf that answers each connection's requests by the
// given texts, in which ID is the request's; a text that ends in CLOSE ends the
// connection.
func startScriptedLeaf(t *testing.T, responses ...string) *ClusterManager {
	t.Helper()
	return managerOf(listenEach(t, func(conn net.Conn) {
		in := bufio.NewReader(conn)
		for _, response := range responses {
			request, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			text, end := strings.CutSuffix(strings.ReplaceAll(response, "ID", request.Header.Get(HeaderRequestID)), "CLOSE")
			_, _ = fmt.Fprint(conn, text)
			if end {
				return
			}
		}
	}))
}

// TestUnexpectedBytesAnswerNoRequest: bytes that an endpoint sends after a complete
// response, at once or later, never answer the next request on the connection.
func TestUnexpectedBytesAnswerNoRequest(t *testing.T) {
	m := managerOf(listenEach(t, func(conn net.Conn) {
		in := bufio.NewReader(conn)
		for i := 0; ; i++ {
			request, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			id := request.Header.Get(HeaderRequestID)
			whole := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: s\r\nContent-Length: %d\r\n\r\n%s", HeaderServerStamp, len(id), id)
			alien := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: s\r\n%s: %s\r\nContent-Length: 5\r\n\r\nalien",
				HeaderServerStamp, HeaderRequestID, id)
			if i%2 == 0 { // later: it may even arrive after the next request was sent
				_, _ = fmt.Fprint(conn, whole)
				time.Sleep(time.Millisecond)
				_, _ = fmt.Fprint(conn, alien)
			} else {
				_, _ = fmt.Fprint(conn, whole+alien)
			}
		}
	}))
	for i := range 40 {
		endpoint := m.Reserve("s", nil, false)
		if endpoint == nil {
			t.Fatal("the endpoint accepts no call")
		}
		id := fmt.Sprint("q", i)
		request := &Request{Method: "GET", Target: "/", Host: "h", ID: id, Deadline: time.Now().Add(time.Second)}
		response, err := m.Call(t.Context(), endpoint, request)
		if err == nil && string(response.Body) != id {
			t.Fatalf("%s was answered %q", id, response.Body)
		}
		time.Sleep(3 * time.Millisecond)
	}
}

// What scripted leafs send.
const (
	okHead        = "HTTP/1.1 200 OK\r\nX-Comethold-Server-Stamp: s\r\nContent-Length: 2\r\n"
	okUnnamed     = okHead + "\r\nID"
	okNamed       = okHead + "X-Comethold-Request-Id: ID\r\n\r\nID"
	okOfFirst     = okHead + "\r\nq0"
	namedOfFirst  = okHead + "X-Comethold-Request-Id: q0\r\n\r\nq0"
	full          = "HTTP/1.1 503 Full\r\nX-Comethold-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	hints         = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
	noLength      = "HTTP/1.1 200 OK\r\nX-Comethold-Server-Stamp: s\r\n\r\nID"
	otherProtocol = "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n"
	noContent     = "HTTP/1.1 204 No Content\r\n\r\n"
	notModified   = "HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n"
	endOfConn     = "CLOSE"
)

// outcomeCase is what a leaf sends to each request, and what becomes of it: the body
// of the response, or its outcome.
type outcomeCase struct {
	method        string
	fanOut        bool
	nonIdempotent bool
	responses     []string
	want          []string
}

var outcomeCases = map[string]outcomeCase{
	"informational responses first": {responses: []string{hints + okNamed, okNamed}, want: []string{"q0", "q1"}},
	"that of another request":       {responses: []string{okNamed, namedOfFirst}, want: []string{"q0", "unknown"}},
	"one that names no request":     {responses: []string{okNamed, okOfFirst}, want: []string{"q0", "unknown"}},
	"none names a request":          {responses: []string{okUnnamed, okUnnamed}, want: []string{"q0", "q1"}},
	"a stamp of a fan-out again": {
		fanOut: true, responses: []string{okUnnamed, okOfFirst}, want: []string{"q0", "unknown"},
	},
	"half of it, then nothing": {responses: []string{okHead + "\r\nq", okNamed}, want: []string{"unknown", "unknown"}},
	"half of it, then the close": {
		responses: []string{okHead + "\r\nq" + endOfConn}, want: []string{"unknown", "unknown"},
	},
	"an end that is unmarked": {responses: []string{noLength + endOfConn}, want: []string{"unknown", "unknown"}},
	"the close before it":     {responses: []string{endOfConn}, want: []string{"unknown", "unknown"}},
	"another protocol":        {responses: []string{otherProtocol}, want: []string{"unknown", "unknown"}},
	"to HEAD": {
		method: "HEAD", responses: []string{okHead + "\r\n", okHead + "\r\n"}, want: []string{"-", "-"},
	},
	"204 and 304": {responses: []string{noContent, notModified}, want: []string{"-", "-"}},
	"a rejection that comes twice": {
		nonIdempotent: true, responses: []string{full, full}, want: []string{"rejected", "q1"},
	},
	"a rejection that comes twice, then one of a fan-out": {
		fanOut: true, responses: []string{full, full, okHead + "\r\nq1"}, want: []string{"rejected", "rejected", "rejected"},
	},
}

// TestResponseOutcomes: what of a response counts, and what becomes of its connection.
func TestResponseOutcomes(t *testing.T) {
	for name, c := range outcomeCases {
		t.Run(name, func(t *testing.T) {
			m := startScriptedLeaf(t, c.responses...)
			if c.nonIdempotent {
				divertSecondDial(m, startScriptedLeaf(t, okNamed, okNamed))
			}
			var got []string
			for i := range c.want {
				got = append(got, c.send(t.Context(), m, fmt.Sprint("q", i)))
			}
			if !slices.Equal(got, c.want) {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

// divertSecondDial has the second connection of a manager and those after it go to
// another one's leaf, which behaves well.
func divertSecondDial(m, other *ClusterManager) {
	dial := m.dialer.dial
	dials := 0
	m.dialer.dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		if dials++; dials > 1 {
			addr = other.endpoints["l"].Info().Addr
		}
		return dial(ctx, network, addr)
	}
}

// send sends a request and returns what became of it.
func (c outcomeCase) send(ctx context.Context, m *ClusterManager, id string) string {
	endpoint := m.endpoints["l"]
	m.mu.Lock()
	endpoint.activeCalls++
	m.mu.Unlock()
	response, err := m.Call(ctx, endpoint, &Request{
		Method: cmp.Or(c.method, "GET"), Target: "/", Host: "h", FanOut: c.fanOut, NonIdempotent: c.nonIdempotent,
		ID: id, Deadline: time.Now().Add(150 * time.Millisecond),
	})
	switch OutcomeOf(response, err) {
	case Rejected:
		return "rejected"
	case Executed:
		return cmp.Or(string(response.Body), "-")
	default:
		return "unknown"
	}
}
