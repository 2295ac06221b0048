package metering

import (
	"io"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"
)

// connQueueLength is how many writes may be on their way in one direction.
const connQueueLength = 64

// memoryConn is one end of a connection in memory. What was written arrives also if the writer closes after it, as
// bytes do that the kernel has already sent.
type memoryConn struct {
	in         <-chan []byte
	out        chan<- []byte
	rest       []byte        // of what was received last
	suspension time.Duration // of the process, before each write
	own, peer  *connEnd
}

// connEnd says whether one end is closed, and how.
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
	if len(c.rest) == 0 {
		select {
		case c.rest = <-c.in:
		default:
			if err := c.awaitData(); err != nil {
				return 0, err
			}
		}
	}
	n := copy(p, c.rest)
	c.rest = c.rest[n:]
	return n, nil
}

func (c *memoryConn) awaitData() error {
	select {
	case c.rest = <-c.in:
		return nil
	case <-c.own.closed:
		return net.ErrClosed
	case <-c.peer.closed:
	}
	select {
	case c.rest = <-c.in: // written before the end
		return nil
	default:
	}
	if c.peer.byReset {
		return syscall.ECONNRESET
	}
	return io.EOF
}

func (c *memoryConn) Write(p []byte) (int, error) {
	if c.suspension > 0 { // the write comes before whatever else the process does when it goes on
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

// reset closes the connection so that the peer's next read fails.
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
