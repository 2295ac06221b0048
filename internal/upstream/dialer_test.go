package upstream

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"comethold/internal/distribution"
)

// TestZoneLatency: the least measurement counts, and longer ones raise it slowly.
func TestZoneLatency(t *testing.T) {
	var latency zoneLatency
	if got := latency.seconds("a"); got != unknownDialLatency {
		t.Errorf("an unknown zone has %v", got)
	}
	for _, c := range []struct{ sample, want float64 }{
		{0.5, 0.5},
		{0.1, 0.1},
		{0.2, 0.1 + dialLatencyWeight*0.1},
	} {
		latency.record("a", c.sample)
		if got := latency.seconds("a"); got < c.want-1e-9 || got > c.want+1e-9 {
			t.Errorf("after %v: %v, want %v", c.sample, got, c.want)
		}
	}
	if got := latency.seconds("b"); got != unknownDialLatency {
		t.Errorf("another zone has %v", got)
	}
}

// TestDialerErrors: a connection that can't be opened means that nothing was sent,
// and measures nothing.
func TestDialerErrors(t *testing.T) {
	refused := errors.New("refused")
	d := dialer{dial: func(context.Context, string, string) (net.Conn, error) { return nil, refused }}
	_, err := d.connect(context.Background(), &distribution.Endpoint{Addr: "x", Zone: "a"}, time.Now().Add(time.Second))
	if !errors.Is(err, ErrNotSent) || !errors.Is(err, refused) {
		t.Errorf("got %v", err)
	}
	if OutcomeOf(nil, err) != NotSent {
		t.Errorf("its outcome is %v", OutcomeOf(nil, err))
	}
	if got := d.latency.seconds("a"); got != unknownDialLatency {
		t.Errorf("the zone has %v", got)
	}
}
