package proxy

import (
	"net"
	"net/http"
	"testing"
	"time"

	"comethold/internal/routing"
)

// idleTest is an idleTracker whose route table is set by the test.
type idleTest struct {
	*idleTracker
	current *routing.RouteTable
}

func newIdleTest() *idleTest {
	test := &idleTest{}
	test.idleTracker = &idleTracker{
		table:        func() *routing.RouteTable { return test.current },
		applyTimeout: func() time.Duration { return time.Second },
		connections:  map[net.Conn]idleConnection{},
	}
	return test
}

func (i *idleTest) setTimeout(timeout time.Duration) {
	limits := routing.Limits{IdleTimeoutMs: timeout.Milliseconds()}
	i.current = routing.Compile(&routing.Configuration{Limits: limits})
}

// addIdle adds a connection that has been idle since the given time.
func (i *idleTest) addIdle(t *testing.T, since time.Time) net.Conn {
	t.Helper()
	conn, clientConn := net.Pipe()
	t.Cleanup(func() { _ = conn.Close(); _ = clientConn.Close() })
	i.connectionChanged(conn, http.StateIdle)
	idle := i.connections[conn]
	idle.since = since
	i.connections[conn] = idle
	return conn
}

func (i *idleTest) isOpen(conn net.Conn) bool {
	_, tracked := i.connections[conn]
	return tracked
}

// TestIdleTimeout guards against connections that are closed before their idle timeout, while
// they carry a request or although no timeout is set, and against idle ones that stay open.
func TestIdleTimeout(t *testing.T) {
	test := newIdleTest()
	start := time.Now()
	test.closeExpired(start) // no route table: closes nothing
	test.setTimeout(2 * time.Second)
	conn := test.addIdle(t, start)
	busy := test.addIdle(t, start)
	test.connectionChanged(busy, http.StateActive)
	for at := time.Duration(0); at <= 2*time.Second; at += maintenanceInterval {
		test.closeExpired(start.Add(at))
		if !test.isOpen(conn) {
			t.Fatalf("idle connection closed after %v, want it open until its timeout of 2s has passed", at)
		}
	}
	test.closeExpired(start.Add(2*time.Second + maintenanceInterval))
	if test.isOpen(conn) || test.isOpen(busy) {
		t.Error("after the timeout of 2s a connection is still tracked; want the idle one closed, the busy one untracked")
	}
	test.setTimeout(0)
	withoutTimeout := test.addIdle(t, start)
	test.closeExpired(start.Add(time.Hour))
	test.closeExpired(start.Add(time.Hour + maintenanceInterval))
	if !test.isOpen(withoutTimeout) {
		t.Error("idle connection closed although no timeout is set")
	}
}

// TestShorterIdleTimeout guards against connections that are closed while their clients still
// rely on a longer timeout. Connections that became idle before a shorter timeout came into force
// keep the longer one. Others keep it until the configuration has been applied everywhere.
func TestShorterIdleTimeout(t *testing.T) {
	test := newIdleTest()
	start := time.Now()
	test.setTimeout(10 * time.Second)
	older := test.addIdle(t, start)
	test.setTimeout(time.Second)
	now := start
	sweepUntil := func(end time.Duration) {
		for ; !now.After(start.Add(end)); now = now.Add(maintenanceInterval) {
			test.closeExpired(now)
		}
	}
	sweepUntil(time.Second)
	if got := test.effectiveTimeoutLocked(now); got != 10*time.Second {
		t.Errorf("timeout in force less than 2s after the change to 1s is %v, want still 10s", got)
	}
	sweepUntil(3 * time.Second)
	if got := test.effectiveTimeoutLocked(now); got != time.Second {
		t.Errorf("timeout in force more than 2s after the change to 1s is %v, want 1s", got)
	}
	sweepUntil(9 * time.Second)
	if !test.isOpen(older) {
		t.Error("connection closed after 9s, want it open for the 10s that were in force when it became idle")
	}
	sweepUntil(11 * time.Second)
	if test.isOpen(older) {
		t.Error("connection open after 11s, want it closed after 10s")
	}
}

// TestIdleAfterSuspension guards against the loss of requests that arrived while the node was
// suspended: the first check after a suspension must not close the connections.
func TestIdleAfterSuspension(t *testing.T) {
	test := newIdleTest()
	start := time.Now()
	test.setTimeout(time.Second)
	conn := test.addIdle(t, start)
	test.closeExpired(start)
	test.closeExpired(start.Add(5 * time.Second))
	if !test.isOpen(conn) {
		t.Error("idle connection closed by the first check after a suspension, want it open")
	}
	test.closeExpired(start.Add(5*time.Second + maintenanceInterval))
	if test.isOpen(conn) {
		t.Error("idle connection open after the second check after a suspension, want it closed")
	}
}
