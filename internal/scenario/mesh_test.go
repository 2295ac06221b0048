package scenario_test

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"comethold/internal/wire"
)

// mesh is a network of addresses on simulated time. A machine that is down refuses
// connections; behind a cut nothing is said, and what was written is held up until
// the cut ends or the writer gives up.
type mesh struct {
	mu     sync.Mutex
	ports  map[string]*port
	lives  map[string]int // of a machine: who was killed, or lost power, calls nobody any more
	cut    map[[2]string]bool
	lost   map[string]bool // whose answers to operators are lost
	conns  []*meshConn
	casts  map[string]*meshCast
	rates  map[string]float64      // bytes a second, each way, of a machine's link
	busy   map[[2]string]time.Time // until when a link is taken, each way
	lossy  float64
	luck   func() float64
	closed bool
}

type port struct {
	m    *mesh
	addr string
	in   chan net.Conn
	done chan struct{}
	once sync.Once
}

type meshConn struct {
	net.Conn
	m        *mesh
	from, to string
	silent   time.Duration
}

var (
	errRefused = errors.New("mesh: refused")
	errSilent  = errors.New("mesh: no answer")
)

func newMesh(luck func() float64) *mesh {
	return &mesh{ports: map[string]*port{}, lives: map[string]int{}, cut: map[[2]string]bool{}, lost: map[string]bool{}, casts: map[string]*meshCast{}, rates: map[string]float64{}, busy: map[[2]string]time.Time{}, luck: luck}
}

func hostOf(addr string) string { h, _, _ := net.SplitHostPort(addr); return h }

func (m *mesh) apart(a, b string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cut[[2]string{a, b}]
}

// resend is how long a lost packet holds its connection up.
const resend = 250 * time.Millisecond

func (m *mesh) late() {
	m.mu.Lock()
	lost := m.luck() < m.lossy
	m.mu.Unlock()
	if lost {
		time.Sleep(resend)
	}
}

// of is the network as a machine sees it in the life that begins now.
func (m *mesh) of(host string) wire.Net {
	m.mu.Lock()
	life := m.lives[host]
	m.mu.Unlock()
	return func(limit, silent time.Duration) func(context.Context, string, string) (net.Conn, error) {
		return func(ctx context.Context, _, addr string) (net.Conn, error) {
			m.late()
			ctx, cancel := context.WithTimeout(ctx, limit)
			defer cancel()
			for m.apart(host, hostOf(addr)) || m.apart(hostOf(addr), host) { // a connection needs both ways
				select {
				case <-ctx.Done():
					return nil, errSilent
				case <-time.After(20 * time.Millisecond):
				}
			}
			m.mu.Lock()
			p, over := m.ports[addr], m.lives[host] != life
			m.mu.Unlock()
			if p == nil || over {
				return nil, errRefused
			}
			a, b := net.Pipe()
			ours, theirs := &meshConn{a, m, host, hostOf(addr), silent}, &meshConn{b, m, hostOf(addr), host, silent}
			select {
			case p.in <- theirs:
			case <-p.done:
				return nil, errRefused
			case <-ctx.Done():
				return nil, errSilent
			}
			m.mu.Lock()
			m.conns = append(m.conns, ours, theirs)
			m.mu.Unlock()
			return ours, nil
		}
	}
}

func (c *meshConn) Write(b []byte) (int, error) {
	c.m.late()
	c.m.mu.Lock()
	lost := c.to == operatorAddr && c.m.lost[c.from]
	c.m.mu.Unlock()
	if lost {
		_ = c.Close()
		return 0, errSilent
	}
	for end := time.Now().Add(c.silent); c.m.apart(c.from, c.to); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			_ = c.Close()
			return 0, errSilent
		}
	}
	n := 0
	for len(b) > 0 {
		part := b[:min(len(b), meshPart)]
		c.rest(0)
		k, err := c.Conn.Write(part)
		if n += k; err != nil {
			return n, err
		}
		b = b[k:]
		c.rest(k)
	}
	return n, nil
}

// rest waits while the links are taken once so many bytes more go over them; a link that
// is quick again holds nobody up.
func (c *meshConn) rest(n int) {
	for wait := c.m.taken(c.from, c.to, n); wait > 0; wait = c.m.taken(c.from, c.to, 0) {
		time.Sleep(min(wait, 20*time.Millisecond))
	}
}

// meshPart is what goes over a link at a time: connections share it.
const meshPart = 4 << 10

// taken returns for how long the links of both machines are taken once so many bytes more
// go over them.
func (m *mesh) taken(from, to string, n int) (wait time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	for _, l := range [][2]string{{from, "out"}, {to, "in"}} {
		if r := m.rates[l[0]]; r > 0 {
			if m.busy[l].Before(now) {
				m.busy[l] = now
			}
			m.busy[l] = m.busy[l].Add(time.Duration(float64(n) / r * float64(time.Second)))
			wait = max(wait, m.busy[l].Sub(now))
		}
	}
	return wait
}

func (m *mesh) listen(addr string) net.Listener {
	p := &port{m: m, addr: addr, in: make(chan net.Conn), done: make(chan struct{})}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ports[addr] = p
	return p
}

func (p *port) Accept() (net.Conn, error) {
	select {
	case c := <-p.in:
		return c, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

func (p *port) Close() error {
	p.once.Do(func() { close(p.done) })
	return nil
}

func (p *port) Addr() net.Addr { return meshAddr(p.addr) }

type meshAddr string

func (a meshAddr) Network() string { return "mesh" }
func (a meshAddr) String() string  { return string(a) }

// down takes a machine, or one port of it, off the network at once.
func (m *mesh) down(host, addr string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for a, p := range m.ports {
		if a == addr || addr == "" && hostOf(a) == host {
			delete(m.ports, a)
			_ = p.Close()
		}
	}
	keep := m.conns[:0]
	for _, c := range m.conns {
		if addr == "" && (host == "" || c.from == host || c.to == host) {
			_ = c.Conn.Close()
		} else {
			keep = append(keep, c)
		}
	}
	m.conns = keep
}

// dead takes a machine off the network whose processes run on for a while in the test: what
// they still do reaches nobody, also once the machine is back.
func (m *mesh) dead(host string) {
	m.mu.Lock()
	m.lives[host]++
	m.mu.Unlock()
	m.down(host, "")
}

// reset ends every connection of a machine, which runs on.
func (m *mesh) reset(host string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range m.conns {
		if c.from == host || c.to == host {
			_ = c.Conn.Close()
		}
	}
}

// meshCast carries datagrams.
type meshCast struct {
	m    *mesh
	addr string
	in   chan meshGram
	done chan struct{}
	once sync.Once
}

type meshGram struct {
	from string
	raw  []byte
}

func (m *mesh) cast(addr string) net.PacketConn {
	c := &meshCast{m: m, addr: addr, in: make(chan meshGram, 64), done: make(chan struct{})}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.casts[addr] = c
	return c
}

func (c *meshCast) ReadFrom(b []byte) (int, net.Addr, error) {
	select {
	case msg := <-c.in:
		return copy(b, msg.raw), meshAddr(msg.from), nil
	case <-c.done:
		return 0, nil, net.ErrClosed
	}
}

func (c *meshCast) WriteTo(b []byte, to net.Addr) (int, error) {
	if c.m.apart(hostOf(c.addr), hostOf(to.String())) {
		return len(b), nil
	}
	c.m.mu.Lock()
	defer c.m.mu.Unlock()
	if d := c.m.casts[to.String()]; d != nil && c.m.luck() >= c.m.lossy {
		select {
		case d.in <- meshGram{c.addr, append([]byte(nil), b...)}:
		default:
		}
	}
	return len(b), nil
}

func (c *meshCast) Close() error                     { c.once.Do(func() { close(c.done) }); return nil }
func (c *meshCast) LocalAddr() net.Addr              { return meshAddr(c.addr) }
func (c *meshCast) SetDeadline(time.Time) error      { return nil }
func (c *meshCast) SetReadDeadline(time.Time) error  { return nil }
func (c *meshCast) SetWriteDeadline(time.Time) error { return nil }
