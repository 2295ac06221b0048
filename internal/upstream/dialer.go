package upstream

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"comethold/internal/distribution"
)

const (
	// dialTimeout bounds the opening of a connection to an endpoint.
	dialTimeout = 600 * time.Millisecond
	// unknownDialLatency is the assumed dial latency of a zone without measurements,
	// in seconds.
	unknownDialLatency = 0.02
	// dialLatencyWeight is the weight of a new measurement that is above the known
	// latency. A lower measurement replaces the known latency, since the minimum is the
	// latency without queueing.
	dialLatencyWeight = 0.01
)

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// dialer opens connections to endpoints and measures the dial latency of each zone.
type dialer struct {
	dial    DialFunc
	latency zoneLatency
}

// connect opens a connection to an endpoint before the deadline and within dialTimeout.
// Its error wraps ErrNotSent.
func (d *dialer) connect(
	ctx context.Context, endpoint *distribution.Endpoint, deadline time.Time,
) (*connection, error) {
	start := time.Now()
	if latest := start.Add(dialTimeout); latest.Before(deadline) {
		deadline = latest
	}
	dialCtx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	conn, err := d.dial(dialCtx, "tcp4", endpoint.Addr)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	d.latency.record(endpoint.Zone, time.Since(start).Seconds())
	return newConnection(conn), nil
}

// zoneLatency holds the dial latency of each zone. It is safe for concurrent use.
type zoneLatency struct {
	mu     sync.Mutex         // guards the fields below
	byZone map[string]float64 // seconds
}

// record adds a measurement in seconds; see dialLatencyWeight.
func (l *zoneLatency) record(zone string, seconds float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byZone == nil {
		l.byZone = map[string]float64{}
	}
	known, ok := l.byZone[zone]
	if !ok || seconds < known {
		l.byZone[zone] = seconds
		return
	}
	l.byZone[zone] = known + dialLatencyWeight*(seconds-known)
}

// seconds returns the dial latency of a zone in seconds.
func (l *zoneLatency) seconds(zone string) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if known, ok := l.byZone[zone]; ok {
		return known
	}
	return unknownDialLatency
}
