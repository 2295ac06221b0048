package upstream

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"comethold/internal/distribution"
)

// TestZoneLatency: a lower measurement replaces the latency, and higher ones raise it
// slowly.
func TestZoneLatency(t *testing.T) {
	var latency zoneLatency
	if got := latency.seconds("a"); got != unknownDialLatency {
		t.Errorf("latency of a zone without measurements is %v, want unknownDialLatency", got)
	}
	for _, c := range []struct{ sample, want float64 }{
		{0.5, 0.5},
		{0.1, 0.1},
		{0.2, 0.1 + dialLatencyWeight*0.1},
	} {
		latency.record("a", c.sample)
		if got := latency.seconds("a"); got < c.want-1e-9 || got > c.want+1e-9 {
			t.Errorf("latency after a measurement of %v is %v, want %v", c.sample, got, c.want)
		}
	}
	if got := latency.seconds("b"); got != unknownDialLatency {
		t.Errorf("latency of another zone is %v, want unknownDialLatency", got)
	}
}

// TestDialerErrors: a failed dial returns ErrNotSent and records no latency.
func TestDialerErrors(t *testing.T) {
	refused := errors.New("refused")
	d := dialer{dial: func(context.Context, string, string) (net.Conn, error) { return nil, refused }}
	_, err := d.connect(context.Background(), &distribution.Endpoint{Addr: "x", Zone: "a"}, time.Now().Add(time.Second))
	if !errors.Is(err, ErrNotSent) || !errors.Is(err, refused) {
		t.Errorf("connect returned %v, want ErrNotSent and the dial error", err)
	}
	if OutcomeOf(nil, err) != NotSent {
		t.Errorf("OutcomeOf returned %v, want NotSent", OutcomeOf(nil, err))
	}
	if got := d.latency.seconds("a"); got != unknownDialLatency {
		t.Errorf("latency after a failed dial is %v, want unknownDialLatency", got)
	}
}
