package controlplane

import (
	"sync"
	"testing"

	"comethold/internal/rpc"
)

// TestRunBesideStop guards against loops that start, or a wait group that grows, while the server stops.
func TestRunBesideStop(t *testing.T) {
	for range 20 {
		s := newTestServer(t, rpc.TCPNetwork, "10.0.0.1", "10.0.0.1:1")
		var running sync.WaitGroup
		running.Go(func() { _ = s.Run() })
		<-s.ready
		s.Stop()
		s.loops.Go(func() { t.Error("a loop starts after the stop") })
		running.Wait()
	}
}
