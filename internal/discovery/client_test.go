package discovery

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"comethold/internal/rpc"
)

// pipeListener is a listener that accepts the connections that are sent to its channel.
type pipeListener chan net.Conn

func (l pipeListener) Accept() (net.Conn, error) {
	conn, ok := <-l
	if !ok {
		return nil, net.ErrClosed
	}
	return conn, nil
}
func (l pipeListener) Close() error   { return nil }
func (l pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// fakePlatform serves a list with one instance per page, and rejects calls above its rate with status 429.
type fakePlatform struct {
	ratePerS, pages int
	connections     pipeListener

	mu       sync.Mutex  // guards the fields below
	calls    []time.Time // of the last second
	rejected int
	dialled  []net.Conn
}

func (p *fakePlatform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for len(p.calls) > 0 && now.Sub(p.calls[0]) >= time.Second {
		p.calls = p.calls[1:]
	}
	p.calls = append(p.calls, now)
	if len(p.calls) > p.ratePerS {
		p.rejected++
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	page, _ := strconv.Atoi(r.URL.Query().Get("pageToken"))
	var next any
	if page+1 < p.pages {
		next = strconv.Itoa(page + 1)
	}
	_ = json.NewEncoder(w).Encode(map[string]any{
		"nextPageToken": next,
		"instances": []any{map[string]any{
			"instanceId": fmt.Sprint("i", page), "service": "s", "address": "10.0.0.1:80", "state": "ready",
		}},
	})
}

func (p *fakePlatform) network(_, _ time.Duration) rpc.DialFunc {
	return func(context.Context, string, string) (net.Conn, error) {
		clientConn, serverConn := net.Pipe()
		p.mu.Lock()
		p.dialled = append(p.dialled, clientConn)
		p.mu.Unlock()
		p.connections <- serverConn
		return clientConn, nil
	}
}

// TestListRespectsRateLimit: a list with more pages than the platform accepts calls per second is read whole without a
// rejected call. If two nodes read it concurrently, some calls may be rejected, but both still read it whole. Guards
// against a list that is never complete because of the rate limit.
func TestListRespectsRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := &fakePlatform{ratePerS: 20, pages: 50, connections: make(pipeListener)}
		server := &http.Server{Handler: platform, ReadHeaderTimeout: time.Minute}
		go func() { _ = server.Serve(platform.connections) }()
		list := func() {
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			client := NewClient(platform.network, "10.200.0.1:80", float64(platform.ratePerS))
			endpoints, err := client.List(ctx)
			if err != nil || len(endpoints) != platform.pages {
				t.Errorf("List returned %d endpoints, %v; want %d and no error", len(endpoints), err, platform.pages)
			}
		}
		list()
		if platform.rejected > 0 {
			t.Errorf("List of a single node had %d rejected calls, want 0", platform.rejected)
		}
		time.Sleep(time.Second)
		var wg sync.WaitGroup
		wg.Go(list)
		wg.Go(list)
		wg.Wait()
		close(platform.connections)
		_ = server.Close()
		for _, conn := range platform.dialled {
			_ = conn.Close()
		}
	})
}
