package upstream

import (
	"errors"
	"net"
	"os"
	"sync"
	"testing"
	"time"
)

// newPipeConnection returns a connection over a pipe that is reusable for a minute.
func newPipeConnection(t *testing.T) (conn *connection, isClosed func() bool) {
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

// TestPoolReusesNewestFirst guards against the reuse of an older connection while a more recently
// used one is idle.
func TestPoolReusesNewestFirst(t *testing.T) {
	pool := newConnectionPool(2)
	if pool.take() != nil || pool.hasIdle() {
		t.Fatal("take or hasIdle of an empty pool found a connection")
	}
	first, _ := newPipeConnection(t)
	second, _ := newPipeConnection(t)
	pool.put(first)
	pool.put(second)
	if first.idleSince.IsZero() || !pool.hasIdle() {
		t.Error("put did not set idleSince, or hasIdle is false after put")
	}
	if pool.take() != second || pool.take() != first || pool.take() != nil {
		t.Error("take did not return the connections in the reverse order of put")
	}
	if pool.hasIdle() {
		t.Error("hasIdle is true after all connections were taken")
	}
}

// TestPoolClosesUnusableConnections guards against idle connections that stay open although they
// may not be reused, and against the loss of reusable ones.
func TestPoolClosesUnusableConnections(t *testing.T) {
	for name, c := range map[string]struct {
		act  func(pool *connectionPool, conn *connection)
		kept bool
	}{
		"put within the limit": {func(p *connectionPool, conn *connection) { p.put(conn) }, true},
		"put beyond the limit": {func(p *connectionPool, conn *connection) {
			p.setMaxIdle(0)
			p.put(conn)
		}, false},
		"put after the endpoint was removed": {func(p *connectionPool, conn *connection) {
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
		"put after an ejection": {func(p *connectionPool, conn *connection) {
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
			conn, isClosed := newPipeConnection(t)
			c.act(pool, conn)
			if pool.hasIdle() != c.kept || isClosed() == c.kept {
				t.Errorf("hasIdle %v, connection closed %v, want connection kept %v", pool.hasIdle(), isClosed(), c.kept)
			}
		})
	}
}

// TestPoolTakeIsExclusive guards against two concurrent callers that get the same connection.
func TestPoolTakeIsExclusive(t *testing.T) {
	pool := newConnectionPool(8)
	for range 8 {
		conn, _ := newPipeConnection(t)
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
					t.Error("take returned a connection that another caller uses")
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
		t.Errorf("%d idle connections, idleCount %d, want 8", len(pool.idle), pool.idleCount.Load())
	}
}
