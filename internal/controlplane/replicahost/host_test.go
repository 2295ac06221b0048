package replicahost

import (
	"context"
	"net"
	"testing"
	"time"

	"comethold/internal/logging"
)

// unreachable is a network without connections.
func unreachable(time.Duration, time.Duration) func(context.Context, string, string) (net.Conn, error) {
	return nil
}

// TestDoRunsWholeOrNeverAtStop: as the node ends, what was asked of the loop has run whole or never will.
func TestDoRunsWholeOrNeverAtStop(t *testing.T) {
	h := New(Options{Network: unreachable, Log: logging.Nop()})
	ended := make(chan error)
	go func() { ended <- h.Run() }()
	begun, goOn, back := make(chan struct{}), make(chan struct{}), make(chan bool)
	go func() {
		whole := false
		h.Do(func() {
			close(begun)
			<-goOn
			whole = true
		})
		back <- whole
	}()
	<-begun
	h.Stop()
	select {
	case <-back:
		t.Fatal("it returned while the function ran")
	case <-time.After(50 * time.Millisecond):
	}
	close(goOn)
	if !<-back {
		t.Error("the function has not run whole")
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
	h.Do(func() { t.Error("it runs after the end") })
}
