package replicahost

import (
	"context"
	"net"
	"testing"
	"time"

	"comethold/internal/logging"
)

// unreachable is a network whose dial function is nil, for hosts that never connect to a peer.
func unreachable(time.Duration, time.Duration) func(context.Context, string, string) (net.Conn, error) {
	return nil
}

// TestDoWaitsForRunningTaskAtStop guards against Do returning while its function still runs, when
// the event loop is stopped at that moment, and against a function that runs after the stop.
func TestDoWaitsForRunningTaskAtStop(t *testing.T) {
	h := New(Options{Network: unreachable, Log: logging.Nop()})
	ended := make(chan error)
	go func() { ended <- h.Run() }()
	started, resume, returned := make(chan struct{}), make(chan struct{}), make(chan bool)
	go func() {
		completed := false
		h.Do(func() {
			close(started)
			<-resume
			completed = true
		})
		returned <- completed
	}()
	<-started
	h.Stop()
	select {
	case <-returned:
		t.Fatal("Do returned while its function was running, want it to wait for the function")
	case <-time.After(50 * time.Millisecond):
	}
	close(resume)
	if !<-returned {
		t.Error("Do returned after Stop before its function had completed")
	}
	if err := <-ended; err != nil {
		t.Error("Run returned an error after Stop, want nil:", err)
	}
	h.Do(func() { t.Error("Do ran a function after Run had returned, want it never to run") })
}
