package loadtest

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"comethold/internal/rpc"
)

// byteMeter counts the bytes that one hollow node receives and sends.
type byteMeter struct{ received, sent atomic.Int64 }

func (m *byteMeter) total() int64 { return m.received.Load() + m.sent.Load() }

// network returns a function that dials TCP connections, like rpc.TCPNetwork, and counts the bytes of
// the connections in m.
func (m *byteMeter) network(dialTimeout, ackTimeout time.Duration) func(
	ctx context.Context, network, address string,
) (net.Conn, error) {
	dial := rpc.TCPNetwork(dialTimeout, ackTimeout)
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return meteredConn{conn, m}, nil
	}
}

// meteredConn counts the bytes of a connection.
type meteredConn struct {
	net.Conn
	meter *byteMeter
}

func (c meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.meter.received.Add(int64(n))
	return n, err
}

func (c meteredConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.meter.sent.Add(int64(n))
	return n, err
}

// meteredPacketConn counts the bytes of datagrams, with their headers.
type meteredPacketConn struct {
	net.PacketConn
	meter *byteMeter
}

const datagramHeaderBytes = 28 // IPv4 and UDP headers

func (c meteredPacketConn) ReadFrom(b []byte) (int, net.Addr, error) {
	n, from, err := c.PacketConn.ReadFrom(b)
	c.meter.received.Add(int64(n + datagramHeaderBytes))
	return n, from, err
}

func (c meteredPacketConn) WriteTo(b []byte, to net.Addr) (int, error) {
	c.meter.sent.Add(int64(len(b) + datagramHeaderBytes))
	return c.PacketConn.WriteTo(b, to)
}
