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
	// idleTimeoutNotice is added to the time within which a configuration is applied. After a
	// shorter idle timeout has replaced a longer one, the longer one stays in force for that sum.
	idleTimeoutNotice = time.Second
	// suspensionIntervals is the number of maintenance intervals without a run of
	// closeExpired after which this node counts as having been suspended.
	suspensionIntervals = 4
	noIdleTimeout       = time.Duration(math.MaxInt64)
)

// idleTracker closes connections that clients leave idle for too long. It is safe for
// concurrent use.
type idleTracker struct {
	table        func() *routing.RouteTable // returns the route table in force, or nil
	applyTimeout func() time.Duration       // returns the time within which a configuration is applied

	mu          sync.Mutex // guards the fields below
	connections map[net.Conn]idleConnection
	checkedAt   time.Time     // when closeExpired last ran with a route table
	timeout     time.Duration // the idle timeout of the route table when it was last read
	// previousTimeout is the longer timeout that timeout replaced. It stays in force until
	// previousUntil, because clients still rely on it.
	previousTimeout time.Duration
	previousUntil   time.Time
}

// idleConnection is the time since which a connection is idle, and the longest timeout that
// was in force since then. The client may rely on that timeout.
type idleConnection struct {
	since   time.Time
	timeout time.Duration
}

func newIdleTracker(controlClient *controlclient.Client) *idleTracker {
	return &idleTracker{
		table:        controlClient.RouteTable,
		applyTimeout: func() time.Duration { return controlClient.Settings.Bounds.ConfigApplyTimeout() },
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

// effectiveTimeoutLocked returns how long a client may leave a connection idle from now on,
// or 0 if there is no route table. A shorter timeout takes effect with a delay, because
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

// closeExpired closes connections whose idle timeout has passed. The first run after a
// suspension of this node closes none: their clients may have sent requests that are not read yet.
func (t *idleTracker) closeExpired(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	timeout := t.effectiveTimeoutLocked(now)
	if timeout <= 0 {
		return
	}
	wasSuspended := now.Sub(t.checkedAt) > suspensionIntervals*maintenanceInterval
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
