package upstream

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"
)

const (
	probeTimeout = 500 * time.Millisecond
	// Probes are spread over probeJitter of their time, from probeJitterMin on,
	// so that nodes don't probe an endpoint all at once.
	probeJitterMin = 0.8
	probeJitter    = 0.4
)

// scheduleProbe has an ejected endpoint probed after about the given time, unless
// a probe is scheduled already. The caller holds mu.
func (m *ClusterManager) scheduleProbe(endpoint *Endpoint, after time.Duration) {
	if endpoint.health.probing {
		return
	}
	endpoint.health.probing = true
	delay := time.Duration((probeJitterMin + probeJitter*rand.Float64()) * float64(after))
	time.AfterFunc(delay, func() { m.probe(endpoint) })
}

// probe asks an ejected endpoint whether it answers.
func (m *ClusterManager) probe(endpoint *Endpoint) {
	path, needed := m.startProbe(endpoint)
	if !needed {
		return
	}
	// The status of a health check is not trusted, either way: an endpoint that
	// answers at all goes on probation, with calls that are idempotent.
	answered := path == ""
	if path != "" && !endpoint.info.Load().Draining {
		answered = m.sendProbe(endpoint, path)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.outliers.observeProbe(endpoint, answered, time.Now())
}

// startProbe returns the path of the health check and whether the probe is still needed.
func (m *ClusterManager) startProbe(endpoint *Endpoint) (path string, needed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	needed = !endpoint.removed && endpoint.health.state == stateEjected
	endpoint.health.probing = needed
	return endpoint.cluster.healthPath, needed
}

// sendProbe sends a health check and reports whether the endpoint itself, and not
// another one at its address, answered.
func (m *ClusterManager) sendProbe(endpoint *Endpoint, path string) bool {
	request := &Request{
		Method:   http.MethodGet,
		Target:   path,
		Host:     endpoint.info.Load().Addr,
		Deadline: time.Now().Add(probeTimeout),
	}
	ctx, cancel := context.WithDeadline(context.Background(), request.Deadline)
	defer cancel()
	conn, err := m.connect(ctx, endpoint, request.NonIdempotent)
	if err != nil {
		return false
	}
	defer conn.close()
	response, _, err := conn.roundTrip(request, "")
	return err == nil && response.Header.Get(HeaderInstanceID) == endpoint.info.Load().ID
}
