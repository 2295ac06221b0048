package rpc

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"comethold/internal/simulation"
)

const (
	callers        = 8
	callsPerCaller = 60
	callTimeout    = 20 * time.Millisecond
)

// faultyPeer receives calls and injects the faults of processes and networks. It responds to a call with the number of
// the call.
type faultyPeer struct {
	listener net.Listener

	mu       sync.Mutex  // guards the fields below
	rng      *rand.Rand  // chooses the fault
	received map[int]int // how often each call arrived, by its number
}

func (p *faultyPeer) draw(n int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rng.Intn(n)
}

func (p *faultyPeer) acceptAll() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(conn)
	}
}

func (p *faultyPeer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		var call int
		if DecodeRequest(request.Body, &call) != nil {
			return
		}
		p.mu.Lock()
		p.received[call]++
		p.mu.Unlock()
		raw, _ := Marshal(call)
		if !p.writeResponse(conn, EncodeBody(raw)) {
			return
		}
	}
}

// writeResponse responds to a call, correctly or with a random fault. It returns false if the connection must be
// closed.
func (p *faultyPeer) writeResponse(conn net.Conn, body []byte) bool {
	respond := func(status, header string, body []byte) {
		fmt.Fprintf(conn, "HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, header, len(body), body)
	}
	switch p.draw(14) {
	case 0: // closed before the first byte
		return false
	case 1: // reset
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		return false
	case 2: // shorter than its Content-Length
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body)+1, body)
		return false
	case 3: // truncated, without a Content-Length
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n\r\n%s", body[:p.draw(len(body))])
		return false
	case 4: // after the caller's time-out
		time.Sleep(2 * callTimeout)
		respond("200 OK", "", body)
	case 5: // without a body
		respond("200 OK", "", nil)
	case 6:
		respond("307 Temporary Redirect", "Location: http://"+p.listener.Addr().String()+"/\r\n", nil)
	case 7:
		respond("200 OK", "Connection: close\r\n", body)
		return false
	case 8, 9: // closed while the next call may be in flight
		respond("200 OK", "", body)
		time.Sleep(time.Duration(p.draw(800)) * time.Microsecond)
		return false
	case 10:
		fmt.Fprint(conn, "HTTP/1.1 103 Early Hints\r\n\r\n")
		respond("200 OK", "", body)
	default:
		respond("200 OK", "", body)
	}
	return true
}

// TestCallDeliversAtMostOnce: the peer receives a call at most once, and a successful call returns its own response.
// Guards against a transport that repeats a call, or that reads the response of another call, after a fault.
func TestCallDeliversAtMostOnce(t *testing.T) {
	for seed := range simulation.SeedCount(3) {
		listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		peer := &faultyPeer{listener: listener, rng: rand.New(rand.NewSource(int64(seed))), received: map[int]int{}}
		go peer.acceptAll()
		client := NewClient(TCPNetwork)
		successes := callConcurrently(t, seed, client, peer)
		time.Sleep(50 * time.Millisecond) // for requests that were sent but not read yet
		_ = listener.Close()
		client.httpClient.CloseIdleConnections()
		peer.mu.Lock()
		for call, n := range peer.received {
			if n > 1 {
				t.Errorf("seed %d: the peer received call %d %d times, want at most once", seed, call, n)
			}
		}
		peer.mu.Unlock()
		if successes == 0 {
			t.Errorf("seed %d: no call succeeded, want at least one", seed)
		}
	}
}

// callConcurrently makes numbered calls, checks their responses, and returns the number of calls that succeeded.
func callConcurrently(t *testing.T, seed int, client *Client, peer *faultyPeer) (successes int) {
	t.Helper()
	var wg sync.WaitGroup
	for caller := range callers {
		wg.Go(func() {
			for i := range callsPerCaller {
				call, response := 1000*(caller+1)+i, 0
				ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
				err := client.Call(ctx, peer.listener.Addr().String(), "/", call, &response)
				cancel()
				peer.mu.Lock()
				switch {
				case err == nil && response != call:
					t.Errorf("seed %d: call %d returned the response %d, want its own number", seed, call, response)
				case err == nil:
					successes++
				case !errors.Is(err, ErrNoResponse) && !errors.Is(err, ErrRejected) && !errors.Is(err, ErrMalformed):
					t.Errorf("seed %d: Call returned %v, want ErrNoResponse, ErrRejected or ErrMalformed", seed, err)
				}
				peer.mu.Unlock()
			}
		})
	}
	wg.Wait()
	return successes
}

// TestCallLimitsResponseHeader: a call fails once the response header exceeds MaxResponseHeaderBytes. Guards against
// unbounded memory use by a peer that sends an endless header line.
func TestCallLimitsResponseHeader(t *testing.T) {
	const maxBufferedBytes = 8 << 20 // in the socket buffers of both sides
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	sent := make(chan int, 1)
	go func() {
		total := 0
		defer func() { sent <- total }()
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		line := bytes.Repeat([]byte("x"), MaxResponseHeaderBytes)
		_, err = conn.Write([]byte("HTTP/1.1 200 OK\r\nX-Pad: "))
		for err == nil {
			var n int
			n, err = conn.Write(line)
			total += n
		}
	}()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	err = NewClient(TCPNetwork).Call(ctx, listener.Addr().String(), "/", 1, nil)
	if !errors.Is(err, ErrNoResponse) || ctx.Err() != nil {
		t.Errorf("Call returned %v, want ErrNoResponse before its deadline", err)
	}
	if n := <-sent; n > maxBufferedBytes {
		t.Errorf("the peer sent %d bytes of the header, want at most maxBufferedBytes", n)
	}
}

// TestCallWithTimeouts: a response that makes progress may take longer in total than Header and Idle, as on a
// slow link. A call fails if its response doesn't begin within Header, pauses for longer than Idle, or isn't
// complete within Total.
func TestCallWithTimeouts(t *testing.T) {
	const (
		step  = 150 * time.Millisecond
		parts = 20
		limit = 2 * time.Second // shorter than all parts together
	)
	timeouts := ResponseTimeouts{Header: limit, Idle: limit, Total: time.Minute}
	text := strings.Repeat("x", parts)
	for name, c := range map[string]struct {
		pause   func(part int) time.Duration // before each part
		total   time.Duration
		succeed bool
	}{
		"slow":      {func(int) time.Duration { return step }, timeouts.Total, true},
		"no header": {func(int) time.Duration { return time.Minute }, timeouts.Total, false},
		"stops":     {func(part int) time.Duration { return time.Duration(part/5) * time.Minute }, timeouts.Total, false},
		"too slow":  {func(int) time.Duration { return step }, 3 * step, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body) // the server detects a closed connection only after this
				raw, _ := Marshal(text)
				body := EncodeUncompressedBody(raw)
				w.Header().Set("Content-Length", strconv.Itoa(len(body)))
				for part, sent := 0, 0; sent < len(body); part++ {
					select {
					case <-time.After(c.pause(part)):
					case <-r.Context().Done():
						return
					}
					_, _ = w.Write(body[sent : sent+1])
					sent++
					_ = http.NewResponseController(w).Flush()
				}
			}))
			defer server.Close()
			var response string
			perCase := timeouts
			perCase.Total = c.total
			err := NewClient(TCPNetwork).CallWithTimeouts(
				t.Context(), server.Listener.Addr().String(), "/", 1, &response, perCase,
			)
			if c.succeed && (err != nil || response != text) {
				t.Errorf("CallWithTimeouts returned response %q and error %v, want %q and no error", response, err, text)
			}
			if !c.succeed && !errors.Is(err, ErrNoResponse) {
				t.Errorf("CallWithTimeouts returned %v, want ErrNoResponse", err)
			}
		})
	}
}
