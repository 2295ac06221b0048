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

// startServer listens on a local port until the test ends and serves each connection in a
// goroutine.
func startServer(t *testing.T, serve func(net.Conn)) (addr string) {
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

// newTestManager returns a manager with a single endpoint, l of the service s, at addr.
func newTestManager(addr string) *ClusterManager {
	m := NewClusterManager(testLocality("n1", "a"), (&net.Dialer{}).DialContext, logging.Nop())
	m.SetEndpoints(map[string]distribution.Endpoint{"l": {ID: "l", Service: "s", Addr: addr, Zone: "a", Slots: 2}})
	return m
}

// startScriptedLeaf starts a leaf and returns a manager with it as the endpoint. The leaf
// answers the requests of each connection with the given responses in order. It replaces
// ID with the request ID, and closes the connection after a response that ends in CLOSE.
func startScriptedLeaf(t *testing.T, responses ...string) *ClusterManager {
	t.Helper()
	return newTestManager(startServer(t, func(conn net.Conn) {
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

// TestUnexpectedBytesAreNotReadAsResponse guards against a wrong response to a request: bytes
// that an endpoint sends after a complete response, immediately or later, must not be read
// as the response to the next request on the connection.
func TestUnexpectedBytesAreNotReadAsResponse(t *testing.T) {
	m := newTestManager(startServer(t, func(conn net.Conn) {
		in := bufio.NewReader(conn)
		for i := 0; ; i++ {
			request, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			id := request.Header.Get(HeaderRequestID)
			complete := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: s\r\nContent-Length: %d\r\n\r\n%s", HeaderServerStamp, len(id), id)
			surplus := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: s\r\n%s: %s\r\nContent-Length: 5\r\n\r\nalien",
				HeaderServerStamp, HeaderRequestID, id)
			if i%2 == 0 { // may arrive after the next request was sent
				_, _ = fmt.Fprint(conn, complete)
				time.Sleep(time.Millisecond)
				_, _ = fmt.Fprint(conn, surplus)
			} else {
				_, _ = fmt.Fprint(conn, complete+surplus)
			}
		}
	}))
	for i := range 40 {
		endpoint := m.Reserve("s", nil, false)
		if endpoint == nil {
			t.Fatal("Reserve returned no endpoint")
		}
		id := fmt.Sprint("q", i)
		request := &Request{Method: "GET", Target: "/", Host: "h", ID: id, Deadline: time.Now().Add(time.Second)}
		response, err := m.Call(t.Context(), endpoint, request)
		if err == nil && string(response.Body) != id {
			t.Fatalf("request %s got the response %q, want its own ID", id, response.Body)
		}
		time.Sleep(3 * time.Millisecond)
	}
}

// Responses of scripted leafs.
const (
	okHead           = "HTTP/1.1 200 OK\r\nX-Comethold-Server-Stamp: s\r\nContent-Length: 2\r\n"
	okWithoutID      = okHead + "\r\nID"
	okWithID         = okHead + "X-Comethold-Request-Id: ID\r\n\r\nID"
	firstOKWithoutID = okHead + "\r\nq0"
	firstOKWithID    = okHead + "X-Comethold-Request-Id: q0\r\n\r\nq0"
	rejection        = "HTTP/1.1 503 Full\r\nX-Comethold-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	informational    = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
	noLength         = "HTTP/1.1 200 OK\r\nX-Comethold-Server-Stamp: s\r\n\r\nID"
	otherProtocol    = "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n"
	noContent        = "HTTP/1.1 204 No Content\r\n\r\n"
	notModified      = "HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n"
	closeConnection  = "CLOSE"
)

// outcomeCase lists the responses of a leaf to successive requests, and for each request
// the expected result: the body of the response, or the outcome.
type outcomeCase struct {
	method        string
	fanOut        bool
	nonIdempotent bool
	responses     []string
	want          []string
}

var outcomeCases = map[string]outcomeCase{
	"informational responses first": {
		responses: []string{informational + okWithID, okWithID}, want: []string{"q0", "q1"},
	},
	"ID of another request": {
		responses: []string{okWithID, firstOKWithID}, want: []string{"q0", "unknown"},
	},
	"ID missing after a response with ID": {
		responses: []string{okWithID, firstOKWithoutID}, want: []string{"q0", "unknown"},
	},
	"no response has an ID": {
		responses: []string{okWithoutID, okWithoutID}, want: []string{"q0", "q1"},
	},
	"repeated server stamp in a fan-out": {
		fanOut: true, responses: []string{okWithoutID, firstOKWithoutID}, want: []string{"q0", "unknown"},
	},
	"truncated body, connection open": {
		responses: []string{okHead + "\r\nq", okWithID}, want: []string{"unknown", "unknown"},
	},
	"truncated body, connection closed": {
		responses: []string{okHead + "\r\nq" + closeConnection}, want: []string{"unknown", "unknown"},
	},
	"neither length nor chunks": {
		responses: []string{noLength + closeConnection}, want: []string{"unknown", "unknown"},
	},
	"connection closed before the response": {
		responses: []string{closeConnection}, want: []string{"unknown", "unknown"},
	},
	"switching protocols": {
		responses: []string{otherProtocol}, want: []string{"unknown", "unknown"},
	},
	"HEAD request": {
		method: "HEAD", responses: []string{okHead + "\r\n", okHead + "\r\n"}, want: []string{"-", "-"},
	},
	"204 and 304": {responses: []string{noContent, notModified}, want: []string{"-", "-"}},
	"duplicate rejection": {
		nonIdempotent: true, responses: []string{rejection, rejection}, want: []string{"rejected", "q1"},
	},
	"duplicate rejections in a fan-out": {
		fanOut: true, responses: []string{rejection, rejection, okHead + "\r\nq1"},
		want: []string{"rejected", "rejected", "rejected"},
	},
}

// TestResponseOutcomes guards against truncated responses and responses to other requests
// that are taken for valid ones, and against the reuse of connections that sent them.
func TestResponseOutcomes(t *testing.T) {
	for name, c := range outcomeCases {
		t.Run(name, func(t *testing.T) {
			m := startScriptedLeaf(t, c.responses...)
			if c.nonIdempotent {
				divertSecondDial(m, startScriptedLeaf(t, okWithID, okWithID))
			}
			var got []string
			for i := range c.want {
				got = append(got, c.send(t.Context(), m, fmt.Sprint("q", i)))
			}
			if !slices.Equal(got, c.want) {
				t.Errorf("successive calls returned %v, want %v", got, c.want)
			}
		})
	}
}

// divertSecondDial makes m open all connections but the first one to the leaf of other.
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

// send sends a request and returns the body of the response ("-" if empty) or the outcome.
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
