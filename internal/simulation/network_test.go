package simulation_test

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"comethold/internal/rpc"
)

const (
	// resendDelay is how long a lost packet delays its connection.
	resendDelay = 250 * time.Millisecond
	// blockedPollInterval is the interval at which a blocked write or dial checks whether the direction is open.
	blockedPollInterval = 20 * time.Millisecond
	// segmentBytes is how many bytes a write sends at a time, so that connections share the bandwidth of a link.
	segmentBytes = 4 << 10
)

var (
	errRefused  = errors.New("network: connection refused")
	errNoAnswer = errors.New("network: no answer")
)

// hostPair is the direction from one host to another.
type hostPair struct{ from, to string }

// linkDirection is one direction of a host's own link.
type linkDirection struct {
	host     string
	incoming bool
}

// network connects addresses on simulated time. Connections to a machine that is down are refused. No data
// passes a blocked direction: writes wait until it is open again, or time out.
type network struct {
	mu             sync.Mutex // guards the fields below
	listeners      map[string]*listener
	packetConns    map[string]*simulatedPacketConn
	conns          []*simulatedConn
	incarnations   map[string]int // number of kills of each machine; dials of processes from before a kill are refused
	blocked        map[hostPair]bool
	answersLost    map[string]bool             // hosts whose answers to operators are lost
	bytesPerSecond map[string]float64          // of a host's own link, each direction; 0: no limit
	busyUntil      map[linkDirection]time.Time // when the data reserved on a host's link has been sent
	lossRate       float64
	random         func() float64
}

func newNetwork(random func() float64) *network {
	return &network{
		listeners:      map[string]*listener{},
		packetConns:    map[string]*simulatedPacketConn{},
		incarnations:   map[string]int{},
		blocked:        map[hostPair]bool{},
		answersLost:    map[string]bool{},
		bytesPerSecond: map[string]float64{},
		busyUntil:      map[linkDirection]time.Time{},
		random:         random,
	}
}

func hostOf(addr string) string {
	host, _, _ := net.SplitHostPort(addr)
	return host
}

func (n *network) isBlocked(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.blocked[hostPair{from, to}]
}

// block blocks one direction until heal is called.
func (n *network) block(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked[hostPair{from, to}] = true
}

func (n *network) blockBothWays(a, b string) {
	n.block(a, b)
	n.block(b, a)
}

// heal opens all blocked directions.
func (n *network) heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.blocked)
}

func (n *network) setLossRate(rate float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lossRate = rate
}

// setBandwidth limits a host's link in each direction; 0 removes the limit.
func (n *network) setBandwidth(host string, bytesPerSecond float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.bytesPerSecond[host] = bytesPerSecond
}

// setAnswersLost sets the hosts whose subsequent answers to operators are lost.
func (n *network) setAnswersLost(hosts []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.answersLost)
	for _, host := range hosts {
		n.answersLost[host] = true
	}
}

// delayIfPacketLost draws at random whether a packet is lost, and sleeps for resendDelay if it is.
func (n *network) delayIfPacketLost() {
	n.mu.Lock()
	isLost := n.random() < n.lossRate
	n.mu.Unlock()
	if isLost {
		time.Sleep(resendDelay)
	}
}

// networkFor returns the network as seen from the current processes of a machine. Their dials are refused once
// the machine is killed, even after its restart: call networkFor again for the restarted machine.
func (n *network) networkFor(host string) rpc.Network {
	n.mu.Lock()
	incarnation := n.incarnations[host]
	n.mu.Unlock()
	return func(dialTimeout, writeTimeout time.Duration) func(context.Context, string, string) (net.Conn, error) {
		return func(ctx context.Context, _, addr string) (net.Conn, error) {
			n.delayIfPacketLost()
			ctx, cancel := context.WithTimeout(ctx, dialTimeout)
			defer cancel()
			if err := n.waitUntilReachable(ctx, host, hostOf(addr)); err != nil {
				return nil, err
			}
			n.mu.Lock()
			server := n.listeners[addr]
			isKilled := n.incarnations[host] != incarnation
			n.mu.Unlock()
			if server == nil || isKilled {
				return nil, errRefused
			}
			return n.connect(ctx, server, host, writeTimeout)
		}
	}
}

// waitUntilReachable waits until both directions between two hosts are open, as a connection needs both.
func (n *network) waitUntilReachable(ctx context.Context, a, b string) error {
	for n.isBlocked(a, b) || n.isBlocked(b, a) {
		select {
		case <-ctx.Done():
			return errNoAnswer
		case <-time.After(blockedPollInterval):
		}
	}
	return nil
}

// connect opens a connection from a host to a listener.
func (n *network) connect(
	ctx context.Context, server *listener, host string, writeTimeout time.Duration,
) (net.Conn, error) {
	near, far := net.Pipe()
	dialerConn := &simulatedConn{Conn: near, network: n, from: host, to: hostOf(server.addr), timeout: writeTimeout}
	listenerConn := &simulatedConn{Conn: far, network: n, from: dialerConn.to, to: host, timeout: writeTimeout}
	select {
	case server.incoming <- listenerConn:
	case <-server.done:
		return nil, errRefused
	case <-ctx.Done():
		return nil, errNoAnswer
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns = append(n.conns, dialerConn, listenerConn)
	return dialerConn, nil
}

// reserveLink reserves time on the links of both hosts for some bytes, and returns how long the links are busy,
// including these bytes.
func (n *network) reserveLink(from, to string, bytes int) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	var wait time.Duration
	for _, direction := range []linkDirection{{from, false}, {to, true}} {
		rate := n.bytesPerSecond[direction.host]
		if rate <= 0 {
			continue
		}
		if n.busyUntil[direction].Before(now) {
			n.busyUntil[direction] = now
		}
		n.busyUntil[direction] = n.busyUntil[direction].Add(time.Duration(float64(bytes) / rate * float64(time.Second)))
		wait = max(wait, n.busyUntil[direction].Sub(now))
	}
	return wait
}

// closeHost closes the listeners and connections of a machine, or, for "", the connections of all machines.
func (n *network) closeHost(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for addr, server := range n.listeners {
		if hostOf(addr) == host {
			delete(n.listeners, addr)
			_ = server.Close()
		}
	}
	var kept []*simulatedConn
	for _, conn := range n.conns {
		if host == "" || conn.isConnectedTo(host) {
			_ = conn.Close()
		} else {
			kept = append(kept, conn)
		}
	}
	n.conns = kept
}

// killMachine closes the listeners and connections of a machine and refuses further dials of its current
// processes. In the test, these processes continue for a while, but nothing that they send over connections
// arrives, even after the machine has restarted.
func (n *network) killMachine(host string) {
	n.mu.Lock()
	n.incarnations[host]++
	n.mu.Unlock()
	n.closeHost(host)
}

// resetConnections closes every connection of a machine, which keeps running.
func (n *network) resetConnections(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, conn := range n.conns {
		if conn.isConnectedTo(host) {
			_ = conn.Close()
		}
	}
}

// simulatedConn is one end of a connection.
type simulatedConn struct {
	net.Conn
	network  *network
	from, to string
	timeout  time.Duration // of a write in a blocked direction
}

func (c *simulatedConn) isConnectedTo(host string) bool { return c.from == host || c.to == host }

func (c *simulatedConn) Write(b []byte) (int, error) {
	c.network.delayIfPacketLost()
	if c.isAnswerLost() {
		_ = c.Close()
		return 0, errNoAnswer
	}
	for end := time.Now().Add(c.timeout); c.network.isBlocked(c.from, c.to); time.Sleep(blockedPollInterval) {
		if time.Now().After(end) {
			_ = c.Close()
			return 0, errNoAnswer
		}
	}
	written := 0
	for len(b) > 0 {
		c.waitForLink(0)
		n, err := c.Conn.Write(b[:min(len(b), segmentBytes)])
		written += n
		if err != nil {
			return written, err
		}
		b = b[n:]
		c.waitForLink(n)
	}
	return written, nil
}

// isAnswerLost reports whether a write at this end is an answer to an operator that setAnswersLost drops.
func (c *simulatedConn) isAnswerLost() bool {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	return c.to == operatorAddr && c.network.answersLost[c.from]
}

// waitForLink reserves the links for some bytes and waits while they are busy; it stops waiting
// if the bandwidth limit is removed.
func (c *simulatedConn) waitForLink(bytes int) {
	for wait := c.network.reserveLink(c.from, c.to, bytes); wait > 0; wait = c.network.reserveLink(c.from, c.to, 0) {
		time.Sleep(min(wait, blockedPollInterval))
	}
}

// listener accepts the connections to one address.
type listener struct {
	addr     string
	incoming chan net.Conn
	done     chan struct{}
	once     sync.Once
}

func (n *network) listen(addr string) net.Listener {
	l := &listener{addr: addr, incoming: make(chan net.Conn), done: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[addr] = l
	return l
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.incoming:
		return conn, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

func (l *listener) Addr() net.Addr { return simulatedAddr(l.addr) }

type simulatedAddr string

func (a simulatedAddr) Network() string { return "simulated" }

func (a simulatedAddr) String() string { return string(a) }

// simulatedPacketConn sends and receives the datagrams of one address.
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

// maxQueuedDatagrams is how many datagrams an address queues until they are read; further ones are dropped.
const maxQueuedDatagrams = 64

func (n *network) listenPacket(addr string) net.PacketConn {
	c := &simulatedPacketConn{
		network: n, addr: addr, incoming: make(chan datagram, maxQueuedDatagrams), done: make(chan struct{}),
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.packetConns[addr] = c
	return c
}

func (c *simulatedPacketConn) ReadFrom(b []byte) (int, net.Addr, error) {
	select {
	case received := <-c.incoming:
		return copy(b, received.payload), simulatedAddr(received.from), nil
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
	receiver := c.network.packetConns[to.String()]
	if receiver == nil || c.network.random() < c.network.lossRate {
		return len(b), nil
	}
	select {
	case receiver.incoming <- datagram{c.addr, append([]byte(nil), b...)}:
	default:
	}
	return len(b), nil
}

func (c *simulatedPacketConn) Close() error {
	c.once.Do(func() { close(c.done) })
	return nil
}

func (c *simulatedPacketConn) LocalAddr() net.Addr { return simulatedAddr(c.addr) }

func (c *simulatedPacketConn) SetDeadline(time.Time) error { return nil }

func (c *simulatedPacketConn) SetReadDeadline(time.Time) error { return nil }

func (c *simulatedPacketConn) SetWriteDeadline(time.Time) error { return nil }
