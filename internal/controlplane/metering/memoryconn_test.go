package metering

import (
	"io"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"
)

// connQueueLength is the maximum number of writes in flight in one direction.
const connQueueLength = 64

// memoryConn is one end of an in-memory connection. Written data is delivered even if the writer closes the
// connection afterwards, like data that the kernel has already sent.
type memoryConn struct {
	in         <-chan []byte
	out        chan<- []byte
	unread     []byte        // unread part of the last received write
	suspension time.Duration // simulated suspension of the process before each write
	own, peer  *connEnd
}

// connEnd is the state of one end: whether it is closed, and whether by a reset.
type connEnd struct {
	once    sync.Once
	closed  chan struct{}
	byReset bool // set before closed is closed
}

func newMemoryConns() (a, b *memoryConn) {
	ab, ba := make(chan []byte, connQueueLength), make(chan []byte, connQueueLength)
	endA, endB := &connEnd{closed: make(chan struct{})}, &connEnd{closed: make(chan struct{})}
	return &memoryConn{in: ba, out: ab, own: endA, peer: endB}, &memoryConn{in: ab, out: ba, own: endB, peer: endA}
}

func (c *memoryConn) Read(p []byte) (int, error) {
	if len(c.unread) == 0 {
		select {
		case c.unread = <-c.in:
		default:
			if err := c.awaitData(); err != nil {
				return 0, err
			}
		}
	}
	n := copy(p, c.unread)
	c.unread = c.unread[n:]
	return n, nil
}

func (c *memoryConn) awaitData() error {
	select {
	case c.unread = <-c.in:
		return nil
	case <-c.own.closed:
		return net.ErrClosed
	case <-c.peer.closed:
	}
	select {
	case c.unread = <-c.in: // written before the peer closed
		return nil
	default:
	}
	if c.peer.byReset {
		return syscall.ECONNRESET
	}
	return io.EOF
}

func (c *memoryConn) Write(p []byte) (int, error) {
	if c.suspension > 0 { // after the suspension, the write runs before any other code of the process
		time.Sleep(c.suspension)
		c.out <- slices.Clone(p)
		return len(p), nil
	}
	select {
	case <-c.own.closed:
		return 0, net.ErrClosed
	case <-c.peer.closed:
		return 0, syscall.EPIPE
	default:
	}
	c.out <- slices.Clone(p)
	return len(p), nil
}

func (c *memoryConn) Close() error {
	c.own.once.Do(func() { close(c.own.closed) })
	return nil
}

// reset closes the connection. The peer's next read without pending data fails with ECONNRESET.
func (c *memoryConn) reset() {
	c.own.once.Do(func() {
		c.own.byReset = true
		close(c.own.closed)
	})
}

func (c *memoryConn) LocalAddr() net.Addr { return &net.TCPAddr{} }

func (c *memoryConn) RemoteAddr() net.Addr { return &net.TCPAddr{} }

func (c *memoryConn) SetDeadline(time.Time) error { return nil }

func (c *memoryConn) SetReadDeadline(time.Time) error { return nil }

func (c *memoryConn) SetWriteDeadline(time.Time) error { return nil }
