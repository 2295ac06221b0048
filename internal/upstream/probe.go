package upstream

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"
)

const (
	// probeTimeout bounds a whole probe: connecting, request and response. The constants
	// in outlier.go set the delay of probes.
	probeTimeout = 500 * time.Millisecond
	// The delay of a probe is multiplied by a random factor from probeJitterMin to
	// probeJitterMin+probeJitter, so that nodes don't probe an endpoint simultaneously.
	probeJitterMin = 0.8
	probeJitter    = 0.4
)

// scheduleProbe schedules a probe of an ejected endpoint after approximately the given
// time, unless a probe is scheduled or in progress. The caller holds mu.
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
	// The status of the response does not matter: probation begins with any response, and
	// calls then show the health. Without a health path, it begins without a probe.
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

// sendProbe sends a health check. It reports whether the response came from the endpoint
// and not from another one at the same address.
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
