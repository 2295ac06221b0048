package process

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"
)

// Limits of the HTTP servers for operators, the platform and other nodes.
const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = time.Minute
	maxHeaderBytes    = 64 << 10
	shutdownTimeout   = 300 * time.Millisecond
)

// Listen opens a TCP socket. It waits while the port is taken.
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
	return listener, nil
}

// ListenPacket opens a UDP socket. It waits while the port is taken.
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

// AddServer opens a TCP socket and adds an HTTP server for operators, the platform or other nodes on it.
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
