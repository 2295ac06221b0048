package rpc

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// DialFunc opens a connection.
type DialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// Network makes functions that open connections. An attempt to connect is abandoned after dialTimeout. An open
// connection fails if sent data remains unacknowledged for ackTimeout.
type Network func(dialTimeout, ackTimeout time.Duration) DialFunc

// TCPNetwork is the Network that opens TCP connections.
func TCPNetwork(dialTimeout, ackTimeout time.Duration) DialFunc {
	return newDialer(dialTimeout, ackTimeout).DialContext
}

// newDialer makes a dialer whose connections the kernel closes if sent data remains unacknowledged for ackTimeout.
func newDialer(dialTimeout, ackTimeout time.Duration) *net.Dialer {
	setUserTimeout := func(fd uintptr) {
		// If this fails, the connection still works, but a failure of the peer is detected later.
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
	}
	return &net.Dialer{
		Timeout:   dialTimeout,
		KeepAlive: -1, // disabled: the user timeout replaces it
		Control: func(_, _ string, conn syscall.RawConn) error {
			return conn.Control(setUserTimeout)
		},
	}
}

// WithSendBuffer returns a Network that limits the kernel's send buffer of each connection to a number of bytes. On a
// slow link, messages on other connections are then not queued behind a large message.
func WithSendBuffer(network Network, bytes int) Network {
	return func(dialTimeout, ackTimeout time.Duration) DialFunc {
		dial := network(dialTimeout, ackTimeout)
		return func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dial(ctx, network, address)
			if tcp, ok := conn.(*net.TCPConn); ok && err == nil {
				_ = tcp.SetWriteBuffer(bytes) // best effort
			}
			return conn, err
		}
	}
}
