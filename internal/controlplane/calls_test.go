package controlplane

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"comethold/internal/controlplane/lease"
	"comethold/internal/rpc"
	"comethold/internal/settings"
	"comethold/internal/simulation"
)

// faultyPlatform takes calls of a duty and ends them in the ways that platforms do.
type faultyPlatform struct {
	listener     net.Listener
	mu           sync.Mutex
	rng          *rand.Rand
	received     int
	lastReceived time.Time
	accepted     bool // the status of the newest call was good
}

func (p *faultyPlatform) serve(c net.Conn) {
	defer c.Close()
	p.mu.Lock()
	late := time.Duration(p.rng.Intn(20)) * time.Millisecond
	p.mu.Unlock()
	time.Sleep(late) // on its way
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		raw, err := io.ReadAll(r.Body)
		p.mu.Lock()
		way := p.rng.Intn(10)
		p.accepted = way < 3 || way == 9
		if err == nil && len(raw) > 0 || r.Method != http.MethodPost {
			p.received++
			p.lastReceived = time.Now()
		}
		p.mu.Unlock()
		switch way {
		case 0:
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		case 1:
			fmt.Fprint(c, "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nHTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n")
		case 2: // taken, and the rest of the answer is lost
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n12")
			return
		case 3:
			return
		case 4:
			_ = c.(*net.TCPConn).SetLinger(0)
			return
		case 5:
			fmt.Fprint(c, "HTTP/1.1 200 O")
			return
		case 6, 7:
			fmt.Fprintf(c, "HTTP/1.1 %d Elsewhere\r\nLocation: http://%s/elsewhere\r\nContent-Length: 0\r\n\r\n", 301+6*(way-6), p.listener.Addr())
		case 8: // silence
			_, _ = c.Read(make([]byte, 1))
			return
		case 9: // late, but inside the lease
			time.Sleep(20 * time.Millisecond)
			fmt.Fprint(c, "HTTP/1.1 204 No Content\r\n\r\n")
		}
	}
}

// heldLease is a lease that is held under one term until a time.
type heldLease struct {
	*lease.Lease
	mu        sync.Mutex // guards the fields below
	term      uint64
	expiresAt time.Time
}

func (l *heldLease) set(term uint64, expiresAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.term = term
	l.expiresAt = expiresAt
}

func (l *heldLease) Remaining(term uint64) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.term != term {
		return 0
	}
	return time.Until(l.expiresAt)
}

// TestReportCalls: one call of a duty reaches the platform once at the most, is over
// before the lease is, went well only if the platform said so, and leaves nothing in
// the socket, be the process killed.
func TestReportCalls(t *testing.T) {
	for seed := range simulation.SeedCount(2) {
		door, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		p := &faultyPlatform{listener: door, rng: rand.New(rand.NewSource(int64(seed)))}
		go func() {
			for {
				c, err := door.Accept()
				if err != nil {
					return
				}
				go p.serve(c)
			}
		}()
		set := &settings.Settings{NodeName: "n1"}
		set.Platform.Address = door.Addr().String()
		held := &heldLease{}
		r := &Server{settings: set, usages: NewCollector(rpc.TCPNetwork), usageLease: held}
		r.usages.startedAt = time.Now().Add(-time.Hour)
		for i := range 40 {
			p.mu.Lock()
			p.received = 0
			p.mu.Unlock()
			until := time.Now().Add(leaseSafetyMargin + 60*time.Millisecond)
			held.set(uint64(i+1), until)
			err := r.postReport([]byte("{}"), uint64(i+1))
			if time.Now().After(until) {
				t.Errorf("seed %d: a call ended after its lease", seed)
			}
			time.Sleep(2 * time.Millisecond)
			p.mu.Lock()
			if p.received > 1 || p.received == 1 && p.lastReceived.After(until) {
				t.Errorf("seed %d: a call came %d times, %v before the lease's end", seed, p.received, until.Sub(p.lastReceived))
			}
			if u := r.usages; p.received > 0 && (u.mayCall(uint64(i+2), time.Second, p.lastReceived.Add(time.Second)) || !u.mayCall(uint64(i+1), 0, p.lastReceived.Add(time.Second))) {
				t.Errorf("seed %d: another term may call a second after it was written, not after it came", seed)
			}
			if err == nil && !(p.received == 1 && p.accepted) {
				t.Errorf("seed %d: a call went well that was not taken", seed)
			}
			p.mu.Unlock()
			if err := r.postReport([]byte("{}"), uint64(i)); !errors.Is(err, ErrLeaseExpired) {
				t.Errorf("a call under a former term: %v", err)
			}
		}
		_ = door.Close()
	}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c, err := net.Dial("tcp4", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	c = newLeasedConn(c, func() bool { return true }).Conn
	defer c.Close()
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	_ = raw.Control(func(fd uintptr) {
		if on, err := unix.GetsockoptUint64(int(fd), unix.SOL_SOCKET, unix.SO_LINGER); err != nil || on != 1 {
			t.Errorf("a kill leaves bytes to be sent: %d, %v", on, err)
		}
	})
}
