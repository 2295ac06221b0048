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

// pipeListener is a listener whose connections are made by dial.
type pipeListener chan net.Conn

func (p pipeListener) Accept() (net.Conn, error) {
	c, ok := <-p
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}
func (p pipeListener) Close() error   { return nil }
func (p pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// TestListRespectsRateLimit: a list of more pages than the platform takes calls in a second is
// read whole without a refusal, and also while another node calls as well.
func TestListRespectsRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const rate, pages = 20, 50
		var mu sync.Mutex
		var calls []time.Time
		refused := 0
		in := make(pipeListener)
		platform := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			defer mu.Unlock()
			now := time.Now()
			for len(calls) > 0 && now.Sub(calls[0]) >= time.Second {
				calls = calls[1:]
			}
			if calls = append(calls, now); len(calls) > rate {
				refused++
				w.WriteHeader(http.StatusTooManyRequests)
				return
			}
			n, _ := strconv.Atoi(r.URL.Query().Get("pageToken"))
			var next any
			if n+1 < pages {
				next = strconv.Itoa(n + 1)
			}
			_ = json.NewEncoder(w).Encode(map[string]any{"nextPageToken": next, "instances": []any{
				map[string]any{"instanceId": fmt.Sprint("i", n), "service": "s", "address": "10.0.0.1:80", "state": "ready"}}})
		})}
		go func() { _ = platform.Serve(in) }()
		var made []net.Conn
		dial := rpc.Network(func(_, _ time.Duration) func(context.Context, string, string) (net.Conn, error) {
			return func(context.Context, string, string) (net.Conn, error) {
				a, b := net.Pipe()
				mu.Lock()
				made = append(made, a)
				mu.Unlock()
				in <- b
				return a, nil
			}
		})
		list := func() {
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			if list, err := NewClient(dial, "10.200.0.1:80", rate).List(ctx); err != nil || len(list) != pages {
				t.Errorf("%d leafs, %v", len(list), err)
			}
		}
		list()
		if refused > 0 {
			t.Errorf("%d calls were refused", refused)
		}
		time.Sleep(time.Second)
		var wg sync.WaitGroup
		wg.Go(list)
		wg.Go(list)
		wg.Wait()
		close(in)
		_ = platform.Close()
		for _, c := range made {
			_ = c.Close()
		}
	})
}
