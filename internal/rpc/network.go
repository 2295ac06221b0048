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

// Network makes functions that open connections. An attempt to connect is abandoned after dialTimeout; an open
// connection fails when the peer acknowledges nothing for silenceTimeout.
type Network func(dialTimeout, silenceTimeout time.Duration) DialFunc

// TCPNetwork is the Network of this machine: TCP connections.
func TCPNetwork(dialTimeout, silenceTimeout time.Duration) DialFunc {
	return newDialer(dialTimeout, silenceTimeout).DialContext
}

// newDialer makes a dialer whose connections the kernel closes when the peer acknowledges nothing for silenceTimeout.
func newDialer(dialTimeout, silenceTimeout time.Duration) *net.Dialer {
	setUserTimeout := func(fd uintptr) {
		// If this fails, the connection still works; it only takes longer to fail.
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silenceTimeout.Milliseconds()))
	}
	return &net.Dialer{
		Timeout:   dialTimeout,
		KeepAlive: -1, // off: the user timeout replaces it
		Control: func(_, _ string, conn syscall.RawConn) error {
			return conn.Control(setUserTimeout)
		},
	}
}

// WithSendBuffer limits the kernel's send buffer of each connection to a number of bytes. On a slow link the messages
// of other connections are then not queued behind a large one.
func WithSendBuffer(network Network, bytes int) Network {
	return func(dialTimeout, silenceTimeout time.Duration) DialFunc {
		dial := network(dialTimeout, silenceTimeout)
		return func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dial(ctx, network, address)
			if tcp, ok := conn.(*net.TCPConn); ok && err == nil {
				_ = tcp.SetWriteBuffer(bytes) // a hint
			}
			return conn, err
		}
	}
}
