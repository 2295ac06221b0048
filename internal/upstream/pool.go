package upstream

import (
	"sync"
	"sync/atomic"
	"time"
)

// connectionPool keeps the idle connections of one endpoint. The one released
// last is reused first. It is safe for concurrent use.
type connectionPool struct {
	// idleCount is len(idle), for the load balancer to read without the lock.
	idleCount atomic.Int32

	mu      sync.Mutex // guards the fields below
	idle    []*connection
	maxIdle int
	closed  bool // the endpoint was removed
}

func newConnectionPool(maxIdle int) *connectionPool {
	return &connectionPool{maxIdle: maxIdle}
}

// take removes and returns an idle connection, or nil. The caller checks whether
// it is still reusable.
func (p *connectionPool) take() *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	last := len(p.idle) - 1
	if last < 0 {
		return nil
	}
	conn := p.idle[last]
	p.setIdleLocked(p.idle[:last])
	return conn
}

// put keeps a connection for reuse, or closes it if the pool is full or closed.
func (p *connectionPool) put(conn *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle) >= p.maxIdle {
		conn.close()
		return
	}
	conn.idleSince = time.Now()
	p.setIdleLocked(append(p.idle, conn))
}

// setMaxIdle bounds the idle connections that later calls of put keep.
func (p *connectionPool) setMaxIdle(maxIdle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxIdle = maxIdle
}

// hasIdle reports whether there is an idle connection.
func (p *connectionPool) hasIdle() bool { return p.idleCount.Load() > 0 }

// closeIdle closes all idle connections.
func (p *connectionPool) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeIdleLocked()
}

// close closes all idle connections, and makes put close the connections it gets.
func (p *connectionPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.closeIdleLocked()
}

// closeExpired closes the idle connections whose keep-alive time has passed.
func (p *connectionPool) closeExpired(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, conn := range p.idle {
		if now.After(conn.reusableUntil) {
			conn.close()
		} else {
			kept = append(kept, conn)
		}
	}
	p.setIdleLocked(kept)
}

func (p *connectionPool) closeIdleLocked() {
	for _, conn := range p.idle {
		conn.close()
	}
	p.setIdleLocked(nil)
}

func (p *connectionPool) setIdleLocked(idle []*connection) {
	p.idle = idle
	p.idleCount.Store(int32(len(idle)))
}
