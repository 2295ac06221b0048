package upstream

import (
	"errors"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"comethold/internal/boundedio"
)

// startEndlessServer starts a server that sends prefix and then repeated until the connection
// ends. sent counts the bytes that it could write.
func startEndlessServer(t *testing.T, prefix, repeated string) (addr string, sent *atomic.Int64) {
	t.Helper()
	sent = &atomic.Int64{}
	chunk := []byte(strings.Repeat(repeated, max(1, 16<<10/len(repeated))))
	addr = startServer(t, func(conn net.Conn) {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetWriteBuffer(16 << 10)
		}
		n, err := conn.Write([]byte(prefix))
		for ; err == nil; n, err = conn.Write(chunk) {
			sent.Add(int64(n))
		}
	})
	return addr, sent
}

// TestEndlessHead guards against responses whose head never ends. Without a bound, such a
// response made a proxy exceed its memory limit, and the proxy was killed.
func TestEndlessHead(t *testing.T) {
	// Bytes that socket buffers may hold in addition. They are not in the process's memory.
	const socketBuffers = 8 << 20
	for _, c := range []struct{ name, prefix, repeated string }{
		{"status line", "HTTP/1.1 200 ", "x"},
		{"one header line", "HTTP/1.1 200 OK\r\nX-Pad: ", "x"},
		{"many header lines", "HTTP/1.1 200 OK\r\n", "X-Pad: 1\r\n"},
		{"continued header line", "HTTP/1.1 200 OK\r\nX-Pad: 1\r\n", " 1\r\n"},
		{"informational responses", "", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			addr, sent := startEndlessServer(t, c.prefix, c.repeated)
			m := newTestManager(addr)
			endpoint := m.Reserve("s", nil, false)
			if endpoint == nil {
				t.Fatal("Reserve returned no endpoint")
			}
			request := &Request{Method: "GET", Target: "/", Host: "h", ID: "1", Deadline: time.Now().Add(5 * time.Second)}
			if _, err := m.Call(t.Context(), endpoint, request); !errors.Is(err, ErrResponseLost) {
				t.Errorf("Call returned %v, want ErrResponseLost", err)
			}
			if n := sent.Load(); n > socketBuffers {
				t.Errorf("the server could send %d bytes of the head, want at most 8 MiB", n)
			}
		})
	}
}

// TestHeadBelowBound: a head just below the bound is accepted, also if earlier responses on
// the connection had heads of the same size.
func TestHeadBelowBound(t *testing.T) {
	long := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Comethold-Request-Id: ID\r\nX-Pad: " +
		strings.Repeat("x", maxResponseHeadBytes-1<<10) + "\r\n\r\nok"
	m := startScriptedLeaf(t, long, long, long)
	for range 3 {
		endpoint := m.Reserve("s", nil, false)
		if endpoint == nil {
			t.Fatal("Reserve returned no endpoint")
		}
		request := &Request{Method: "GET", Target: "/", Host: "h", ID: "1", Deadline: time.Now().Add(5 * time.Second)}
		response, err := m.Call(t.Context(), endpoint, request)
		if err != nil || string(response.Body) != "ok" {
			t.Fatalf("Call returned the error %v or an unexpected body, want the body ok", err)
		}
	}
}

// TestEndlessBodies guards against concurrent responses with large bodies that together exceed
// the memory limit of a proxy.
func TestEndlessBodies(t *testing.T) {
	const (
		calls         = 12
		memory        = 8 << 20
		socketBuffers = calls * 8 << 20
	)
	chunk := "10000\r\n" + strings.Repeat("x", 64<<10) + "\r\n"
	addr, sent := startEndlessServer(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", chunk)
	m := newTestManager(addr)
	m.BodyMemory = boundedio.NewBudget(memory)
	endpoint := m.endpoints["l"]
	m.mu.Lock()
	endpoint.activeCalls += calls
	m.mu.Unlock()
	var running sync.WaitGroup
	for i := range calls {
		running.Go(func() {
			request := &Request{
				Method: "GET", Target: "/", Host: "h", ID: strconv.Itoa(i), Deadline: time.Now().Add(5 * time.Second),
			}
			if _, err := m.Call(t.Context(), endpoint, request); !errors.Is(err, ErrResponseLost) {
				t.Errorf("Call returned %v, want ErrResponseLost", err)
			}
		})
	}
	running.Wait()
	if n := sent.Load(); n > memory+socketBuffers {
		t.Errorf("the server could send %d bytes of bodies, want at most the budget plus socket buffers", n)
	}
}
