package process

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"comethold/internal/logging"
)

// Limits of the HTTP servers for operators, the platform and other nodes.
const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = time.Minute
	maxHeaderBytes    = 64 << 10
	shutdownTimeout   = 300 * time.Millisecond
)

// acceptRetryInterval is the pause after an accept error.
const acceptRetryInterval = 20 * time.Millisecond

// Listen opens a TCP socket. It retries while the port is in use or another transient error lasts, up to
// startTimeout.
func (p *Process) Listen(address string) (net.Listener, error) {
	var listener net.Listener
	err := p.await("tcp "+address, func() (err error) {
		var config net.ListenConfig
		listener, err = config.Listen(context.Background(), "tcp4", address)
		return err
	})
	if err != nil {
		return nil, fmt.Errorf("cannot listen: %w", err)
	}
	return &retryingListener{Listener: listener, log: p.Log}, nil
}

// ListenPacket opens a UDP socket. It retries while the port is in use or another transient error lasts, up to
// startTimeout.
func (p *Process) ListenPacket(address string) (net.PacketConn, error) {
	var conn net.PacketConn
	err := p.await("udp "+address, func() (err error) {
		var config net.ListenConfig
		conn, err = config.ListenPacket(context.Background(), "udp4", address)
		return err
	})
	if err != nil {
		return nil, fmt.Errorf("cannot listen: %w", err)
	}
	return conn, nil
}

// AddServer opens a TCP socket and adds a member that serves HTTP on it to operators, the platform or other nodes.
func (p *Process) AddServer(name, address string, handler http.Handler) error {
	listener, err := p.Listen(address)
	if err != nil {
		return err
	}
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	serve := func() error {
		err := server.Serve(listener)
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return err
	}
	stop := func() {
		ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		if server.Shutdown(ctx) != nil {
			_ = server.Close()
		}
	}
	p.Add(name, serve, stop)
	return nil
}

// retryingListener accepts connections until it is closed. It retries after any other error, such as too many open
// files or no memory for buffers, since these errors are transient.
type retryingListener struct {
	net.Listener
	log *logging.Logger
}

// Accept waits for the next connection. It returns an error only if the listener is closed (net.ErrClosed).
func (l *retryingListener) Accept() (net.Conn, error) {
	for failures := 0; ; failures++ {
		conn, err := l.Listener.Accept()
		if err == nil {
			if failures > 0 {
				l.log.Info(logging.AcceptRecovered).
					Stringer("address", l.Addr()).
					Int("failures", failures).
					Msg("accepting connections again")
			}
			return conn, nil
		}
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		if failures == 0 {
			l.log.Warn(logging.AcceptFailed).
				Err(err).
				Stringer("address", l.Addr()).
				Msg("cannot accept connections; retrying")
		}
		time.Sleep(acceptRetryInterval)
	}
}
