package upstream

import (
	"context"
	"errors"
	"fmt"
	"time"

	"comethold/internal/logging"
)

// Availability reports, for one request, how many of the services have an
// endpoint that would accept a call now, and for each service the share of
// requests, from 0 to 1, that its endpoints have the capacity for.
func (m *ClusterManager) Availability(services []string) (available int, admitRates []float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	admitRates = make([]float64, len(services))
	now := time.Now()
	for i, service := range services {
		admitRates[i] = 1
		cluster := m.clusters[service]
		if cluster == nil {
			continue
		}
		admitRates[i] = min(1, cluster.load.admitRate)
		if m.balancer.anyAccepts(cluster, now) {
			available++
		}
	}
	return available, admitRates
}

// Reserve reserves the best endpoint of a service for one call, except the ones
// already tried, or returns nil. nonIdempotent marks a call that must not be
// executed twice. Call or Release ends the reservation.
func (m *ClusterManager) Reserve(service string, tried []*Endpoint, nonIdempotent bool) *Endpoint {
	m.mu.Lock()
	defer m.mu.Unlock()
	cluster := m.clusters[service]
	if cluster == nil {
		return nil
	}
	endpoint := m.balancer.pick(cluster, tried, nonIdempotent, time.Now())
	if endpoint != nil {
		endpoint.activeCalls++
	}
	return endpoint
}

// Release ends a reservation without a call.
func (m *ClusterManager) Release(endpoint *Endpoint) {
	m.mu.Lock()
	defer m.mu.Unlock()
	endpoint.activeCalls--
}

// Call sends a request to an endpoint that Reserve returned, and ends the
// reservation. The request contains the ID of the endpoint, so that another endpoint
// at the same address rejects it. When ctx is done, Call closes the connection, so
// that the endpoint can detect that the response is no longer needed. The error wraps
// ErrNotSent, ErrResponseLost, ErrTimeout or ErrCanceled.
func (m *ClusterManager) Call(ctx context.Context, endpoint *Endpoint, request *Request) (*Response, error) {
	conn, err := m.connect(ctx, endpoint, request)
	start := time.Now()
	if err != nil {
		err = withCancellation(ctx, err)
		m.recordCall(endpoint, endedCall{result: classifyCall(nil, err), err: err, start: start})
		return nil, err
	}
	stopWatching := context.AfterFunc(ctx, conn.close)
	response, reuse, err := conn.roundTrip(request, endpoint.info.Load().ID, m.BodyMemory)
	duration := time.Since(start)
	if !stopWatching() {
		reuse = false
		err = withCancellation(ctx, err)
	}
	if reuse {
		endpoint.pool.put(conn)
	} else {
		conn.close()
	}
	m.recordCall(endpoint, endedCall{result: classifyCall(response, err), err: err, start: start, duration: duration})
	return response, err
}

// withCancellation makes the error of a call also wrap ErrCanceled if ctx was canceled.
func withCancellation(ctx context.Context, err error) error {
	if err == nil || !errors.Is(ctx.Err(), context.Canceled) {
		return err
	}
	return fmt.Errorf("%w: %w", ErrCanceled, err)
}

// connect returns an idle connection of the endpoint, or opens a new one before the
// request's deadline. It closes idle connections that can't be reused.
func (m *ClusterManager) connect(ctx context.Context, endpoint *Endpoint, request *Request) (*connection, error) {
	for {
		conn := endpoint.pool.take()
		if conn == nil {
			return m.dialer.connect(ctx, endpoint.info.Load(), request.Deadline)
		}
		if conn.reusable(request.NonIdempotent, time.Now()) {
			return conn, nil
		}
		if conn.unexpectedBytes {
			m.log.Warn(logging.EndpointUnexpectedBytes).Str("upstream", endpoint.info.Load().ID).
				Msg("idle connection closed: unexpected bytes after a complete response")
		}
		conn.close()
	}
}

// recordCall ends a reservation and records the result of its call. Both happen in one
// critical section, so that no other call picks the endpoint in between.
func (m *ClusterManager) recordCall(endpoint *Endpoint, ended endedCall) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	endpoint.activeCalls--
	m.balancer.observe(endpoint, ended, now)
	m.outliers.observe(endpoint, ended, now)
}

// ReportOverdue reports that a call sent at sentAt takes longer than the usual latency.
// This may eject its endpoint.
func (m *ClusterManager) ReportOverdue(endpoint *Endpoint, sentAt time.Time, usualLatency time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.outliers.observeOverdue(endpoint, sentAt, time.Now(), usualLatency)
}

// Overloaded reports whether the endpoints of a service reject too many calls because they are full.
func (m *ClusterManager) Overloaded(service string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	cluster := m.clusters[service]
	return cluster != nil && cluster.load.rejectionRate > overloadRejectionRate
}

// Contended reports whether this node has more than one active call to an endpoint, or
// the endpoint's service is overloaded.
func (m *ClusterManager) Contended(endpoint *Endpoint) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return endpoint.activeCalls > 1 || endpoint.cluster.load.rejectionRate > overloadRejectionRate
}

// MeanLatency returns the smoothed latency of a service's successful calls, 0 if unknown.
func (m *ClusterManager) MeanLatency(service string) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	cluster := m.clusters[service]
	if cluster == nil {
		return 0
	}
	return time.Duration(cluster.load.meanLatency * float64(time.Second))
}
