package loadtest

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"comethold/internal/rpc"
)

// byteMeter counts the bytes of one hollow node.
type byteMeter struct{ received, sent atomic.Int64 }

func (m *byteMeter) total() int64 { return m.received.Load() + m.sent.Load() }

// network is the machine's network; it counts the bytes of this node's connections.
func (m *byteMeter) network(dialLimit, silenceLimit time.Duration) func(
	ctx context.Context, network, address string,
) (net.Conn, error) {
	dial := rpc.TCPNetwork(dialLimit, silenceLimit)
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return meteredConn{conn, m}, nil
	}
}

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

type meteredPacketConn struct {
	net.PacketConn
	meter *byteMeter
}

const datagramHeaderBytes = 28 // of IP and UDP

func (c meteredPacketConn) ReadFrom(b []byte) (int, net.Addr, error) {
	n, from, err := c.PacketConn.ReadFrom(b)
	c.meter.received.Add(int64(n + datagramHeaderBytes))
	return n, from, err
}

func (c meteredPacketConn) WriteTo(b []byte, to net.Addr) (int, error) {
	c.meter.sent.Add(int64(len(b) + datagramHeaderBytes))
	return c.PacketConn.WriteTo(b, to)
}
