package controlplane

import (
	"sync"
	"testing"

	"comethold/internal/rpc"
)

// TestRunDuringStop guards against a race between Run and Stop: a loop that starts, or is added
// to the wait group, while Stop waits for the loops.
func TestRunDuringStop(t *testing.T) {
	for range 20 {
		s := newTestServer(t, rpc.TCPNetwork, "10.0.0.1", "10.0.0.1:1")
		var running sync.WaitGroup
		running.Go(func() { _ = s.Run() })
		<-s.ready
		s.Stop()
		s.loops.Go(func() { t.Error("loop started after Stop, want none") })
		running.Wait()
	}
}
