package metering

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sys/unix"

	"comethold/internal/rpc"
	"comethold/internal/simulation"
)

// platformAddress is the address of a faultyPlatform. Nothing listens there: calls reach it through its network.
const platformAddress = "192.0.2.1:80"

// faultyPlatform takes calls and ends them in the ways that platforms do.
type faultyPlatform struct {
	suspension time.Duration // of the caller's process, between its decision to write and the write

	mu           sync.Mutex // guards the fields below
	rng          *rand.Rand
	received     int
	lastReceived time.Time
	lastFence    string
	accepted     bool // the status of the newest call was good
}

// outcomes is how many ways of ending a call there are.
const outcomes = 10

const (
	okResponse    = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	earlyHints    = "HTTP/1.1 103 Early Hints\r\n\r\n"
	conflict      = "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n"
	truncatedBody = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n12"
	truncatedHead = "HTTP/1.1 200 O"
	noContent     = "HTTP/1.1 204 No Content\r\n\r\n"
)

func newFaultyPlatform(seed int) *faultyPlatform {
	return &faultyPlatform{rng: rand.New(rand.NewSource(int64(seed)))}
}

// network connects to the platform in memory, so that a test can run on simulated time.
func (p *faultyPlatform) network(time.Duration, time.Duration) rpc.DialFunc {
	return func(context.Context, string, string) (net.Conn, error) {
		caller, platform := newMemoryConns()
		caller.suspension = p.suspension
		go p.serve(platform) // ends with the connection
		return caller, nil
	}
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	var config net.ListenConfig
	listener, err := config.Listen(t.Context(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

func (p *faultyPlatform) serve(conn *memoryConn) {
	defer func() { _ = conn.Close() }()
	p.mu.Lock()
	delay := time.Duration(p.rng.Intn(20)) * time.Millisecond
	p.mu.Unlock()
	time.Sleep(delay) // the call is on its way
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if !p.respond(conn, p.receive(request)) {
			return
		}
	}
}

// receive notes a call and draws how it ends.
func (p *faultyPlatform) receive(request *http.Request) (outcome int) {
	body, err := io.ReadAll(request.Body)
	p.mu.Lock()
	defer p.mu.Unlock()
	outcome = p.rng.Intn(outcomes)
	p.accepted = outcome < 3 || outcome == 9
	if err == nil && len(body) > 0 || request.Method != http.MethodPost {
		p.received++
		p.lastReceived = time.Now()
		p.lastFence = request.Header.Get(fencingTokenHeader)
	}
	return outcome
}

// respond reports whether the connection stays open.
func (p *faultyPlatform) respond(conn *memoryConn, outcome int) bool {
	switch outcome {
	case 0:
		fmt.Fprint(conn, okResponse)
	case 1:
		fmt.Fprint(conn, earlyHints+okResponse+conflict)
	case 2: // taken, and the rest of the answer is lost
		fmt.Fprint(conn, truncatedBody)
		return false
	case 3:
		return false
	case 4:
		conn.reset()
		return false
	case 5:
		fmt.Fprint(conn, truncatedHead)
		return false
	case 6, 7:
		status := 301 + 6*(outcome-6)
		fmt.Fprintf(conn, "HTTP/1.1 %d Elsewhere\r\nLocation: http://%s/elsewhere\r\nContent-Length: 0\r\n\r\n",
			status, platformAddress)
	case 8: // silence
		_, _ = conn.Read(make([]byte, 1))
		return false
	case 9: // late, but inside the lease
		time.Sleep(20 * time.Millisecond)
		fmt.Fprint(conn, noContent)
	}
	return true
}

// fakeLease is a lease that is held under one term until a time.
type fakeLease struct {
	mu        sync.Mutex // guards the fields below
	term      uint64
	expiresAt time.Time
}

func (l *fakeLease) set(term uint64, expiresAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.term = term
	l.expiresAt = expiresAt
}

func (l *fakeLease) Remaining(term uint64) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.term != term {
		return 0
	}
	return time.Until(l.expiresAt)
}

// TestReportCalls: one call reaches the platform once at the most, is over before the lease
// is, went well only if the platform said so, and leaves nothing in the socket, even if the
// process is killed.
func TestReportCalls(t *testing.T) {
	for seed := range simulation.SeedCount(2) {
		t.Run(strconv.Itoa(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				platform, lease := newFaultyPlatform(seed), &fakeLease{}
				client := newTestPlatformClient(platform, lease)
				for call := range uint64(40) {
					checkCall(t, platform, lease, client, call+1)
				}
			})
		})
	}
	checkLinger(t)
}

// TestSuspendedReportCall guards against a call that a suspended process repeats, forgets, or gives another fence.
func TestSuspendedReportCall(t *testing.T) {
	for _, suspension := range []time.Duration{200 * time.Millisecond, 2 * time.Second, time.Minute} {
		synctest.Test(t, func(t *testing.T) {
			platform, lease := newFaultyPlatform(0), &fakeLease{}
			platform.suspension = suspension
			client := newTestPlatformClient(platform, lease)
			const term = 7
			lease.set(term, time.Now().Add(leaseSafetyMargin+60*time.Millisecond))
			_ = client.call(t.Context(), []byte("{}"), term) // it may have failed
			synctest.Wait()
			ended := time.Now()
			time.Sleep(suspension + time.Second)
			platform.mu.Lock()
			received, fence := platform.received, platform.lastFence
			platform.mu.Unlock()
			if received > 1 || received == 1 && fence != strconv.Itoa(term) {
				t.Errorf("suspended for %v: %d calls, the last with fence %s", suspension, received, fence)
			}
			if err := client.call(t.Context(), []byte("{}"), term); !errors.Is(err, ErrLeaseExpired) {
				t.Errorf("suspended for %v: the next call: %v", suspension, err)
			}
			if client.MayCall(term+1, ended.Add(time.Second)) {
				t.Errorf("suspended for %v: another term may call as if there had been no call", suspension)
			}
		})
	}
}

func newTestPlatformClient(platform *faultyPlatform, lease *fakeLease) *PlatformClient {
	return NewPlatformClient(PlatformClientOptions{
		Network:       platform.network,
		Address:       platformAddress,
		NodeName:      "n1",
		Lease:         lease,
		LeaseDuration: time.Second,
		StartedAt:     time.Now().Add(-time.Hour),
	})
}

// checkCall makes a call under a term, and one under the term before.
func checkCall(t *testing.T, platform *faultyPlatform, lease *fakeLease, client *PlatformClient, term uint64) {
	t.Helper()
	platform.mu.Lock()
	platform.received = 0
	platform.mu.Unlock()
	expiresAt := time.Now().Add(leaseSafetyMargin + 60*time.Millisecond)
	lease.set(term, expiresAt)
	err := client.call(t.Context(), []byte("{}"), term)
	if left := time.Until(expiresAt); left < leaseSafetyMargin {
		t.Errorf("a call ended %v before the end of its lease", left)
	}
	time.Sleep(2 * leaseSafetyMargin) // what is on its way arrives
	platform.mu.Lock()
	received, lastReceived, accepted := platform.received, platform.lastReceived, platform.accepted
	platform.mu.Unlock()
	if received > 1 || received == 1 && lastReceived.After(expiresAt) {
		t.Errorf("a call came %d times, %v before the lease's end", received, expiresAt.Sub(lastReceived))
	}
	later := lastReceived.Add(time.Second)
	if received > 0 && (client.MayCall(term+1, later) || !client.MayCall(term, later)) {
		t.Error("another term may call a second after it was written, not after it came")
	}
	if err == nil && (received != 1 || !accepted) {
		t.Error("a call went well that was not accepted")
	}
	if err := client.call(t.Context(), []byte("{}"), term-1); !errors.Is(err, ErrLeaseExpired) {
		t.Errorf("a call under a former term: %v", err)
	}
}

// checkLinger looks whether the kernel drops what is not sent when a connection ends.
func checkLinger(t *testing.T) {
	t.Helper()
	listener := listen(t)
	defer func() { _ = listener.Close() }()
	var dialer net.Dialer
	conn, err := dialer.DialContext(t.Context(), "tcp4", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	tcp, ok := newLeasedConn(conn, func() bool { return true }).Conn.(*net.TCPConn)
	if !ok {
		t.Fatal("not a TCP connection")
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	err = raw.Control(func(fd uintptr) {
		on, err := unix.GetsockoptUint64(int(fd), unix.SOL_SOCKET, unix.SO_LINGER)
		if err != nil || on != 1 {
			t.Errorf("a kill leaves bytes to be sent: %d, %v", on, err)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
}
