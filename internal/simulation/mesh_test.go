package simulation_test

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"comethold/internal/rpc"
)

// network is a network of addresses on simulated time. A machine that is down refuses
// connections; behind a cut nothing is said, and what was written is held up until
// the cut ends or the writer gives up.
type network struct {
	mu             sync.Mutex
	ports          map[string]*listener
	incarnations   map[string]int // of a machine: who was killed, or lost power, calls nobody any more
	blocked        map[[2]string]bool
	answersLost    map[string]bool // whose answers to operators are lost
	conns          []*simulatedConn
	packetConns    map[string]*simulatedPacketConn
	bytesPerSecond map[string]float64      // bytes a second, each way, of a machine's link
	busyUntil      map[[2]string]time.Time // until when a link is taken, each way
	lossRate       float64
	random         func() float64
	closed         bool
}

type listener struct {
	network  *network
	addr     string
	incoming chan net.Conn
	done     chan struct{}
	once     sync.Once
}

type simulatedConn struct {
	net.Conn
	network  *network
	from, to string
	timeout  time.Duration
}

var (
	errRefused  = errors.New("mesh: refused")
	errNoAnswer = errors.New("mesh: no answer")
)

func newNetwork(luck func() float64) *network {
	return &network{ports: map[string]*listener{}, incarnations: map[string]int{}, blocked: map[[2]string]bool{}, answersLost: map[string]bool{}, packetConns: map[string]*simulatedPacketConn{}, bytesPerSecond: map[string]float64{}, busyUntil: map[[2]string]time.Time{}, random: luck}
}

func hostOf(addr string) string { h, _, _ := net.SplitHostPort(addr); return h }

func (m *network) isBlocked(a, b string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.blocked[[2]string{a, b}]
}

// resendDelay is how long a lost packet holds its connection up.
const resendDelay = 250 * time.Millisecond

func (m *network) delay() {
	m.mu.Lock()
	lost := m.random() < m.lossRate
	m.mu.Unlock()
	if lost {
		time.Sleep(resendDelay)
	}
}

// netOf is the network as a machine sees it in the life that begins now.
func (m *network) netOf(host string) rpc.Network {
	m.mu.Lock()
	life := m.incarnations[host]
	m.mu.Unlock()
	return func(limit, silent time.Duration) func(context.Context, string, string) (net.Conn, error) {
		return func(ctx context.Context, _, addr string) (net.Conn, error) {
			m.delay()
			ctx, cancel := context.WithTimeout(ctx, limit)
			defer cancel()
			for m.isBlocked(host, hostOf(addr)) || m.isBlocked(hostOf(addr), host) { // a connection needs both ways
				select {
				case <-ctx.Done():
					return nil, errNoAnswer
				case <-time.After(20 * time.Millisecond):
				}
			}
			m.mu.Lock()
			p, over := m.ports[addr], m.incarnations[host] != life
			m.mu.Unlock()
			if p == nil || over {
				return nil, errRefused
			}
			a, b := net.Pipe()
			ours, theirs := &simulatedConn{a, m, host, hostOf(addr), silent}, &simulatedConn{b, m, hostOf(addr), host, silent}
			select {
			case p.incoming <- theirs:
			case <-p.done:
				return nil, errRefused
			case <-ctx.Done():
				return nil, errNoAnswer
			}
			m.mu.Lock()
			m.conns = append(m.conns, ours, theirs)
			m.mu.Unlock()
			return ours, nil
		}
	}
}

func (c *simulatedConn) Write(b []byte) (int, error) {
	c.network.delay()
	c.network.mu.Lock()
	lost := c.to == operatorAddr && c.network.answersLost[c.from]
	c.network.mu.Unlock()
	if lost {
		_ = c.Close()
		return 0, errNoAnswer
	}
	for end := time.Now().Add(c.timeout); c.network.isBlocked(c.from, c.to); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			_ = c.Close()
			return 0, errNoAnswer
		}
	}
	n := 0
	for len(b) > 0 {
		part := b[:min(len(b), segmentBytes)]
		c.waitForLink(0)
		k, err := c.Conn.Write(part)
		if n += k; err != nil {
			return n, err
		}
		b = b[k:]
		c.waitForLink(k)
	}
	return n, nil
}

// waitForLink waits while the links are taken once so many bytes more go over them; a link that
// is quick again holds nobody up.
func (c *simulatedConn) waitForLink(n int) {
	for wait := c.network.reserveLink(c.from, c.to, n); wait > 0; wait = c.network.reserveLink(c.from, c.to, 0) {
		time.Sleep(min(wait, 20*time.Millisecond))
	}
}

// segmentBytes is what goes over a link at a time: connections share it.
const segmentBytes = 4 << 10

// reserveLink returns for how long the links of both machines are taken once so many bytes more
// go over them.
func (m *network) reserveLink(from, to string, n int) (wait time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	for _, l := range [][2]string{{from, "out"}, {to, "in"}} {
		if r := m.bytesPerSecond[l[0]]; r > 0 {
			if m.busyUntil[l].Before(now) {
				m.busyUntil[l] = now
			}
			m.busyUntil[l] = m.busyUntil[l].Add(time.Duration(float64(n) / r * float64(time.Second)))
			wait = max(wait, m.busyUntil[l].Sub(now))
		}
	}
	return wait
}

func (m *network) listen(addr string) net.Listener {
	p := &listener{network: m, addr: addr, incoming: make(chan net.Conn), done: make(chan struct{})}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ports[addr] = p
	return p
}

func (p *listener) Accept() (net.Conn, error) {
	select {
	case c := <-p.incoming:
		return c, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

func (p *listener) Close() error {
	p.once.Do(func() { close(p.done) })
	return nil
}

func (p *listener) Addr() net.Addr { return simulatedAddr(p.addr) }

type simulatedAddr string

func (a simulatedAddr) Network() string { return "mesh" }
func (a simulatedAddr) String() string  { return string(a) }

// closeListener takes a machine, or one port of it, off the network at once.
func (m *network) closeListener(host, addr string) {
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

// killMachine takes a machine off the network whose processes run on for a while in the test: what
// they still do reaches nobody, also once the machine is back.
func (m *network) killMachine(host string) {
	m.mu.Lock()
	m.incarnations[host]++
	m.mu.Unlock()
	m.closeListener(host, "")
}

// resetConnections ends every connection of a machine, which runs on.
func (m *network) resetConnections(host string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range m.conns {
		if c.from == host || c.to == host {
			_ = c.Conn.Close()
		}
	}
}

// simulatedPacketConn carries datagrams.
type simulatedPacketConn struct {
	network  *network
	addr     string
	incoming chan datagram
	done     chan struct{}
	once     sync.Once
}

type datagram struct {
	from    string
	payload []byte
}

func (m *network) listenPacket(addr string) net.PacketConn {
	c := &simulatedPacketConn{network: m, addr: addr, incoming: make(chan datagram, 64), done: make(chan struct{})}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.packetConns[addr] = c
	return c
}

func (c *simulatedPacketConn) ReadFrom(b []byte) (int, net.Addr, error) {
	select {
	case msg := <-c.incoming:
		return copy(b, msg.payload), simulatedAddr(msg.from), nil
	case <-c.done:
		return 0, nil, net.ErrClosed
	}
}

func (c *simulatedPacketConn) WriteTo(b []byte, to net.Addr) (int, error) {
	if c.network.isBlocked(hostOf(c.addr), hostOf(to.String())) {
		return len(b), nil
	}
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	if d := c.network.packetConns[to.String()]; d != nil && c.network.random() >= c.network.lossRate {
		select {
		case d.incoming <- datagram{c.addr, append([]byte(nil), b...)}:
		default:
		}
	}
	return len(b), nil
}

func (c *simulatedPacketConn) Close() error                     { c.once.Do(func() { close(c.done) }); return nil }
func (c *simulatedPacketConn) LocalAddr() net.Addr              { return simulatedAddr(c.addr) }
func (c *simulatedPacketConn) SetDeadline(time.Time) error      { return nil }
func (c *simulatedPacketConn) SetReadDeadline(time.Time) error  { return nil }
func (c *simulatedPacketConn) SetWriteDeadline(time.Time) error { return nil }
