package testbed

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

const serverHeaderTimeout = time.Minute

// Servers runs HTTP servers in this process, for simulated services. The zero value is ready to use.
type Servers struct {
	servers []*http.Server
	running sync.WaitGroup
}

// Listen starts a server for handler on an address; it runs until Close. It is not safe for concurrent use.
func (s *Servers) Listen(ctx context.Context, address string, handler http.Handler) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp4", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: serverHeaderTimeout}
	s.running.Go(func() { _ = server.Serve(listener) })
	s.servers = append(s.servers, server)
	return nil
}

// Close closes all servers and their connections, and waits for the servers to end.
func (s *Servers) Close() {
	for _, server := range s.servers {
		_ = server.Close()
	}
	s.running.Wait()
}
