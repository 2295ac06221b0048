package upstream

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"
)

const (
	// probeTimeout bounds a whole probe: connecting, request and response. How long
	// after an ejection probes are sent is set in outlier.go.
	probeTimeout = 500 * time.Millisecond
	// The delay of a probe is multiplied by a random factor from probeJitterMin to
	// probeJitterMin+probeJitter, so that nodes don't probe an endpoint all at once.
	probeJitterMin = 0.8
	probeJitter    = 0.4
)

// scheduleProbe schedules a probe of an ejected endpoint after about the given time,
// unless one is scheduled already. The caller holds mu.
func (m *ClusterManager) scheduleProbe(endpoint *Endpoint, after time.Duration) {
	if endpoint.health.probing {
		return
	}
	endpoint.health.probing = true
	delay := time.Duration((probeJitterMin + probeJitter*rand.Float64()) * float64(after))
	time.AfterFunc(delay, func() { m.probe(endpoint) })
}

// probe checks whether an ejected endpoint answers, and records the result.
func (m *ClusterManager) probe(endpoint *Endpoint) {
	path, needed := m.startProbe(endpoint)
	if !needed {
		return
	}
	// The status of the answer does not matter: an endpoint that answers at all goes on
	// probation, where calls show how it is. Without a health path it does so unprobed.
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

// sendProbe sends a health check and reports whether the endpoint itself answered,
// rather than another one at its address.
func (m *ClusterManager) sendProbe(endpoint *Endpoint, path string) bool {
	request := &Request{
		Method:   http.MethodGet,
		Target:   path,
		Host:     endpoint.info.Load().Addr,
		Deadline: time.Now().Add(probeTimeout),
	}
	conn, err := m.connect(context.Background(), endpoint, request)
	if err != nil {
		return false
	}
	defer conn.close()
	response, _, err := conn.roundTrip(request, "", m.BodyMemory)
	return err == nil && response.Header.Get(HeaderInstanceID) == endpoint.info.Load().ID
}
