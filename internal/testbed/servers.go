package testbed

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

const serverHeaderTimeout = time.Minute

// Servers are the HTTP servers of stand-ins, in this process. The zero value has none.
type Servers struct {
	servers []*http.Server
	running sync.WaitGroup
}

// Listen serves an address until Close. It is not safe for concurrent use.
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

// Close ends all servers and their connections, and waits for them.
func (s *Servers) Close() {
	for _, server := range s.servers {
		_ = server.Close()
	}
	s.running.Wait()
}
