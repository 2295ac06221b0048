package proxy

import (
	"net"
	"net/http"
	"testing"
	"time"

	"comethold/internal/routing"
)

// idleTest is a tracker whose route table the test sets.
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

// idles has a new connection become idle at a moment.
func (i *idleTest) idles(t *testing.T, since time.Time) net.Conn {
	t.Helper()
	conn, far := net.Pipe()
	t.Cleanup(func() { _ = conn.Close(); _ = far.Close() })
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

// TestIdleTimeout: a connection is closed when it was idle for longer than the timeout,
// not while it carries a request, and never without a timeout.
func TestIdleTimeout(t *testing.T) {
	test := newIdleTest()
	start := time.Now()
	test.closeExpired(start) // without a route table nothing is closed
	test.setTimeout(2 * time.Second)
	conn := test.idles(t, start)
	busy := test.idles(t, start)
	test.connectionChanged(busy, http.StateActive)
	for at := time.Duration(0); at <= 2*time.Second; at += maintenanceInterval {
		test.closeExpired(start.Add(at))
		if !test.isOpen(conn) {
			t.Fatalf("closed after %v", at)
		}
	}
	test.closeExpired(start.Add(2*time.Second + maintenanceInterval))
	if test.isOpen(conn) || test.isOpen(busy) {
		t.Error("not closed after its timeout, or a busy one is tracked")
	}
	test.setTimeout(0)
	endless := test.idles(t, start)
	test.closeExpired(start.Add(time.Hour))
	test.closeExpired(start.Add(time.Hour + maintenanceInterval))
	if !test.isOpen(endless) {
		t.Error("closed without a timeout")
	}
}

// TestShorterIdleTimeout: a connection that was idle before a shorter timeout came into
// force keeps the longer one, and so do others until clients know of the new one.
func TestShorterIdleTimeout(t *testing.T) {
	test := newIdleTest()
	start := time.Now()
	test.setTimeout(10 * time.Second)
	older := test.idles(t, start)
	test.setTimeout(time.Second)
	now := start
	sweepUntil := func(end time.Duration) {
		for ; !now.After(start.Add(end)); now = now.Add(maintenanceInterval) {
			test.closeExpired(now)
		}
	}
	sweepUntil(time.Second)
	if got := test.effectiveTimeoutLocked(now); got != 10*time.Second {
		t.Errorf("%v is in force before clients know of the new one", got)
	}
	sweepUntil(3 * time.Second)
	if got := test.effectiveTimeoutLocked(now); got != time.Second {
		t.Errorf("%v is in force after that", got)
	}
	sweepUntil(9 * time.Second)
	if !test.isOpen(older) {
		t.Error("a connection is closed before the timeout that its client knew")
	}
	sweepUntil(11 * time.Second)
	if test.isOpen(older) {
		t.Error("it stays open after that")
	}
}

// TestIdleAfterStandstill: after a standstill of the node connections are spared once.
func TestIdleAfterStandstill(t *testing.T) {
	test := newIdleTest()
	start := time.Now()
	test.setTimeout(time.Second)
	conn := test.idles(t, start)
	test.closeExpired(start)
	test.closeExpired(start.Add(5 * time.Second))
	if !test.isOpen(conn) {
		t.Error("closed at once after a standstill")
	}
	test.closeExpired(start.Add(5*time.Second + maintenanceInterval))
	if test.isOpen(conn) {
		t.Error("not closed after it was spared")
	}
}
