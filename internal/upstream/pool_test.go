package upstream

import (
	"errors"
	"net"
	"os"
	"sync"
	"testing"
	"time"
)

// pooled makes a connection that an endpoint keeps open for a while.
func pooled(t *testing.T) (conn *connection, isClosed func() bool) {
	t.Helper()
	near, far := net.Pipe()
	t.Cleanup(func() { _ = near.Close(); _ = far.Close() })
	conn = newConnection(near)
	conn.reusableUntil = time.Now().Add(time.Minute)
	return conn, func() bool {
		_ = far.SetReadDeadline(time.Now().Add(time.Millisecond))
		_, err := far.Read(make([]byte, 1))
		return !errors.Is(err, os.ErrDeadlineExceeded)
	}
}

func TestPoolReusesNewestFirst(t *testing.T) {
	pool := newConnectionPool(2)
	if pool.take() != nil || pool.hasIdle() {
		t.Fatal("an empty pool has a connection")
	}
	first, _ := pooled(t)
	second, _ := pooled(t)
	pool.put(first)
	pool.put(second)
	if first.idleSince.IsZero() || !pool.hasIdle() {
		t.Error("a kept connection does not count as idle")
	}
	if pool.take() != second || pool.take() != first || pool.take() != nil {
		t.Error("connections come back in the wrong order")
	}
	if pool.hasIdle() {
		t.Error("a taken connection counts as idle")
	}
}

func TestPoolClosesWhatItDoesNotKeep(t *testing.T) {
	for name, c := range map[string]struct {
		act  func(pool *connectionPool, conn *connection)
		kept bool
	}{
		"within the limit": {func(p *connectionPool, conn *connection) { p.put(conn) }, true},
		"beyond the limit": {func(p *connectionPool, conn *connection) {
			p.setMaxIdle(0)
			p.put(conn)
		}, false},
		"after the endpoint was removed": {func(p *connectionPool, conn *connection) {
			p.close()
			p.put(conn)
		}, false},
		"idle when the endpoint is removed": {func(p *connectionPool, conn *connection) {
			p.put(conn)
			p.close()
		}, false},
		"idle when the endpoint is ejected": {func(p *connectionPool, conn *connection) {
			p.put(conn)
			p.closeIdle()
		}, false},
		"put back after an ejection": {func(p *connectionPool, conn *connection) {
			p.closeIdle()
			p.put(conn)
		}, true},
		"not expired": {func(p *connectionPool, conn *connection) {
			p.put(conn)
			p.closeExpired(time.Now())
		}, true},
		"expired": {func(p *connectionPool, conn *connection) {
			p.put(conn)
			p.closeExpired(conn.reusableUntil.Add(time.Millisecond))
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			pool := newConnectionPool(1)
			conn, isClosed := pooled(t)
			c.act(pool, conn)
			if pool.hasIdle() != c.kept || isClosed() == c.kept {
				t.Errorf("idle %v, closed %v, want kept %v", pool.hasIdle(), isClosed(), c.kept)
			}
		})
	}
}

// TestPoolGivesAConnectionOnce: concurrent callers never share a connection.
func TestPoolGivesAConnectionOnce(t *testing.T) {
	pool := newConnectionPool(8)
	for range 8 {
		conn, _ := pooled(t)
		pool.put(conn)
	}
	var mu sync.Mutex
	inUse := map[*connection]bool{}
	var workers sync.WaitGroup
	for range 16 {
		workers.Add(1)
		go func() {
			defer workers.Done()
			for range 200 {
				conn := pool.take()
				if conn == nil {
					continue
				}
				mu.Lock()
				if inUse[conn] {
					t.Error("two callers have one connection")
				}
				inUse[conn] = true
				mu.Unlock()
				mu.Lock()
				inUse[conn] = false
				mu.Unlock()
				pool.put(conn)
			}
		}()
	}
	workers.Wait()
	if len(pool.idle) != 8 || pool.idleCount.Load() != 8 {
		t.Errorf("%d connections, counted %d, want 8", len(pool.idle), pool.idleCount.Load())
	}
}
