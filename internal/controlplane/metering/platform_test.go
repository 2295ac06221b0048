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

// platformAddress is the address of a faultyPlatform. No process listens there: calls reach it through its network
// method.
const platformAddress = "192.0.2.1:80"

// faultyPlatform receives calls and answers each with a random outcome, such as success, an error, a redirect, a
// truncated response, a reset or no response.
type faultyPlatform struct {
	suspension time.Duration // of the caller's process, between its lease check and the write

	mu           sync.Mutex // guards the fields below
	rng          *rand.Rand
	received     int
	lastReceived time.Time
	lastFence    string
	accepted     bool // the last call was answered with a 2xx status
}

// outcomeCount is the number of outcomes of a call that respond implements.
const outcomeCount = 10

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

// network returns a dial function that connects to the platform in memory, so that a test can run on simulated time.
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
	time.Sleep(delay) // network latency
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

// receive records a call and returns a random outcome for it.
func (p *faultyPlatform) receive(request *http.Request) (outcome int) {
	body, err := io.ReadAll(request.Body)
	p.mu.Lock()
	defer p.mu.Unlock()
	outcome = p.rng.Intn(outcomeCount)
	p.accepted = outcome < 3 || outcome == 9
	if err == nil && len(body) > 0 || request.Method != http.MethodPost {
		p.received++
		p.lastReceived = time.Now()
		p.lastFence = request.Header.Get(fencingTokenHeader)
	}
	return outcome
}

// respond answers a call with an outcome. It reports whether the connection stays open.
func (p *faultyPlatform) respond(conn *memoryConn, outcome int) bool {
	switch outcome {
	case 0:
		fmt.Fprint(conn, okResponse)
	case 1:
		fmt.Fprint(conn, earlyHints+okResponse+conflict)
	case 2: // accepted, but the rest of the response is lost
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
	case 8: // no response
		_, _ = conn.Read(make([]byte, 1))
		return false
	case 9: // late, but before the lease expires
		time.Sleep(20 * time.Millisecond)
		fmt.Fprint(conn, noContent)
	}
	return true
}

// fakeLease is a LeaseTimer whose lease is held under one term until expiresAt.
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

// TestCallDeliveredAtMostOnceWithinLease guards against two control nodes that call the platform at the same time, and
// against duplicate reports: a call reaches the platform at most once, ends before its lease expires, succeeds only if
// the platform accepted it, and leaves no unsent data in the socket, even if the process is killed.
func TestCallDeliveredAtMostOnceWithinLease(t *testing.T) {
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

// TestCallOfSuspendedProcess: a process is suspended between its lease check and the write of a call, so that the lease
// may have expired when it writes. Guards against a process that repeats the call, sends it with another fencing token,
// or calls under the next term too early because it did not record the time of the call.
func TestCallOfSuspendedProcess(t *testing.T) {
	for _, suspension := range []time.Duration{200 * time.Millisecond, 2 * time.Second, time.Minute} {
		synctest.Test(t, func(t *testing.T) {
			platform, lease := newFaultyPlatform(0), &fakeLease{}
			platform.suspension = suspension
			client := newTestPlatformClient(platform, lease)
			const term = 7
			lease.set(term, time.Now().Add(leaseSafetyMargin+60*time.Millisecond))
			_ = client.call(t.Context(), []byte("{}"), term) // may fail
			synctest.Wait()
			ended := time.Now()
			time.Sleep(suspension + time.Second)
			platform.mu.Lock()
			received, fence := platform.received, platform.lastFence
			platform.mu.Unlock()
			if received > 1 || received == 1 && fence != strconv.Itoa(term) {
				t.Errorf("suspended for %v: received %d calls, the last with token %s, want at most 1, with the term as token",
					suspension, received, fence)
			}
			if err := client.call(t.Context(), []byte("{}"), term); !errors.Is(err, ErrLeaseExpired) {
				t.Errorf("suspended for %v: the next call returned %v, want ErrLeaseExpired", suspension, err)
			}
			if client.MayCall(term+1, ended.Add(time.Second)) {
				t.Errorf("suspended for %v: MayCall under the next term returned true 1s after the call, want false",
					suspension)
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

// checkCall makes a call under a term, and a second one under the former term, which must fail.
func checkCall(t *testing.T, platform *faultyPlatform, lease *fakeLease, client *PlatformClient, term uint64) {
	t.Helper()
	platform.mu.Lock()
	platform.received = 0
	platform.mu.Unlock()
	expiresAt := time.Now().Add(leaseSafetyMargin + 60*time.Millisecond)
	lease.set(term, expiresAt)
	err := client.call(t.Context(), []byte("{}"), term)
	if left := time.Until(expiresAt); left < leaseSafetyMargin {
		t.Errorf("a call ended %v before its lease expired, want at least leaseSafetyMargin", left)
	}
	time.Sleep(2 * leaseSafetyMargin) // data in flight arrives
	platform.mu.Lock()
	received, lastReceived, accepted := platform.received, platform.lastReceived, platform.accepted
	platform.mu.Unlock()
	if received > 1 || received == 1 && lastReceived.After(expiresAt) {
		t.Errorf("a call was received %d times, last %v before its lease expired, want at most once and a positive time",
			received, expiresAt.Sub(lastReceived))
	}
	later := lastReceived.Add(time.Second)
	if received > 0 && (client.MayCall(term+1, later) || !client.MayCall(term, later)) {
		t.Error("MayCall 1s after a call was received: want false under the next term and true under the same term")
	}
	if err == nil && (received != 1 || !accepted) {
		t.Errorf("a call that returned no error was received %d times (accepted: %v), want once (accepted: true)",
			received, accepted)
	}
	if err := client.call(t.Context(), []byte("{}"), term-1); !errors.Is(err, ErrLeaseExpired) {
		t.Errorf("a call under a former term returned %v, want ErrLeaseExpired", err)
	}
}

// checkLinger reports an error unless SO_LINGER is set on a leased connection, which makes the kernel drop unsent data
// on close.
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
		t.Fatal("newLeasedConn did not keep the TCP connection")
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	err = raw.Control(func(fd uintptr) {
		on, err := unix.GetsockoptUint64(int(fd), unix.SOL_SOCKET, unix.SO_LINGER)
		if err != nil || on != 1 {
			t.Errorf("SO_LINGER of a leased connection is %d (error %v), want 1", on, err)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
}
