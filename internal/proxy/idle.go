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
	// idleTimeoutNotice is added to the time in which a configuration is applied: for
	// that long a longer idle timeout stays in force after a shorter one replaced it.
	idleTimeoutNotice = time.Second
	// standstillFactor is the number of maintenance intervals without a run of
	// closeExpired after which this node counts as having been suspended.
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
	// previousTimeout is the longer timeout that timeout replaced. It stays in force
	// until previousUntil, for clients that still rely on it.
	previousTimeout time.Duration
	previousUntil   time.Time
}

// idleConnection records since when a connection is idle, and the longest timeout that
// was in force since then: the client may rely on it.
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

// connectionChanged records the state of a connection; see http.Server.ConnState.
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

// effectiveTimeoutLocked returns how long a client may leave a connection idle from now
// on; 0 without a route table. A shorter timeout takes effect with a delay, since
// clients learn of it later than this node.
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

// closeExpired closes connections whose idle timeout has passed. In the first run after
// this node was suspended it closes none: requests may have arrived that are not read yet.
func (t *idleTracker) closeExpired(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	timeout := t.effectiveTimeoutLocked(now)
	if timeout <= 0 {
		return
	}
	wasSuspended := now.Sub(t.checkedAt) > standstillFactor*maintenanceInterval
	t.checkedAt = now
	for conn, idle := range t.connections {
		if idle.timeout < timeout {
			idle.timeout = timeout
			t.connections[conn] = idle
		}
		if now.Sub(idle.since) > idle.timeout && !wasSuspended {
			_ = conn.Close()
			delete(t.connections, conn)
		}
	}
}
