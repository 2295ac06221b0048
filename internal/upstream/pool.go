package upstream

import (
	"sync"
	"sync/atomic"
	"time"
)

// connectionPool keeps the idle connections of one endpoint. The most recently used
// connection is reused first. It is safe for concurrent use.
type connectionPool struct {
	// idleCount is len(idle). The load balancer reads it without the lock.
	idleCount atomic.Int32

	mu      sync.Mutex // guards the fields below
	idle    []*connection
	maxIdle int
	closed  bool // the endpoint was removed
}

func newConnectionPool(maxIdle int) *connectionPool {
	return &connectionPool{maxIdle: maxIdle}
}

// take removes and returns an idle connection, or returns nil. The caller must check
// whether the connection is still reusable.
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

// put stores a connection for reuse, or closes it if the pool is full or closed.
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

// setMaxIdle bounds the number of idle connections. It does not close any: the bound
// applies to later calls of put.
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

// close closes all idle connections. Later calls of put close their connections.
func (p *connectionPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.closeIdleLocked()
}

// closeExpired closes the idle connections whose reuse time has passed.
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
