package proxy

import (
	"math"
	"net"
	"net/http"
	"sync"
	"time"

	"comethold/internal/controlclient"
	"comethold/internal/routing"
)

const (
	// idleTimeoutNotice is how much longer than the time to apply a configuration a
	// longer idle timeout stays in force after a shorter one took its place.
	idleTimeoutNotice = time.Second
	// standstillFactor is after how many maintenance intervals without one this
	// node counts as having stood still.
	standstillFactor = 4
	noIdleTimeout    = time.Duration(math.MaxInt64)
)

// idleTracker closes connections that clients leave idle for too long. It is safe for
// concurrent use.
type idleTracker struct {
	table        func() *routing.RouteTable // in force, or nil
	applyTimeout func() time.Duration       // in which a configuration is applied

	mu          sync.Mutex // guards the fields below
	connections map[net.Conn]idleConnection
	checkedAt   time.Time
	timeout     time.Duration // of the route table, as last seen
	// previousTimeout is the one before, where it was longer. It stays in force until
	// previousUntil, for clients that have yet to learn of the new one.
	previousTimeout time.Duration
	previousUntil   time.Time
}

// idleConnection is since when a connection is idle, and the longest timeout that was
// in force since: a client goes by the one that it knew.
type idleConnection struct {
	since   time.Time
	timeout time.Duration
}

func newIdleTracker(client *controlclient.Client) *idleTracker {
	return &idleTracker{
		table:        client.RouteTable,
		applyTimeout: func() time.Duration { return client.Settings.Bounds.ConfigApplyTimeout() },
		connections:  map[net.Conn]idleConnection{},
	}
}

// connectionChanged takes in the state of a connection; see http.Server.ConnState.
func (t *idleTracker) connectionChanged(conn net.Conn, state http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if state != http.StateIdle {
		delete(t.connections, conn)
		return
	}
	now := time.Now()
	t.connections[conn] = idleConnection{since: now, timeout: t.effectiveTimeoutLocked(now)}
}

// effectiveTimeoutLocked is for how long a client may leave a connection idle from now
// on, 0 without a route table. Where it has become shorter, clients learn of that
// later than this node.
func (t *idleTracker) effectiveTimeoutLocked(now time.Time) time.Duration {
	table := t.table()
	if table == nil {
		return 0
	}
	timeout := time.Duration(table.Limits.IdleTimeoutMs) * time.Millisecond
	if timeout <= 0 {
		timeout = noIdleTimeout
	}
	if timeout < t.timeout {
		if now.After(t.previousUntil) || t.previousTimeout < t.timeout {
			t.previousTimeout = t.timeout
		}
		t.previousUntil = now.Add(t.applyTimeout() + idleTimeoutNotice)
	}
	t.timeout = timeout
	if now.Before(t.previousUntil) {
		return max(timeout, t.previousTimeout)
	}
	return timeout
}

// closeExpired closes connections whose idle timeout has passed. After a standstill of
// this node it spares them once: their requests may be here and not read yet.
func (t *idleTracker) closeExpired(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	timeout := t.effectiveTimeoutLocked(now)
	if timeout <= 0 {
		return
	}
	stoodStill := now.Sub(t.checkedAt) > standstillFactor*maintenanceInterval
	t.checkedAt = now
	for conn, idle := range t.connections {
		if idle.timeout < timeout {
			idle.timeout = timeout
			t.connections[conn] = idle
		}
		if now.Sub(idle.since) > idle.timeout && !stoodStill {
			_ = conn.Close()
			delete(t.connections, conn)
		}
	}
}
