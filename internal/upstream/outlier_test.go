package upstream

import (
	"errors"
	"fmt"
	"net/http"
	"testing"
	"time"

	"comethold/internal/distribution"
	"comethold/internal/logging"
)

// detectorFixture is a cluster with an outlier detector. It records the health reports and
// the delays of the scheduled probes.
type detectorFixture struct {
	outlierDetector
	cluster *Cluster
	reports []distribution.HealthReport
	probes  []time.Duration
}

func newDetectorFixture(endpoints int) *detectorFixture {
	d := &detectorFixture{}
	ids := make([]string, endpoints)
	for i := range ids {
		ids[i] = fmt.Sprint("e", i)
	}
	_, d.cluster = newTestBalancer(ids...)
	d.outlierDetector = outlierDetector{
		log:           logging.Nop(),
		report:        func(report distribution.HealthReport) { d.reports = append(d.reports, report) },
		scheduleProbe: func(_ *Endpoint, after time.Duration) { d.probes = append(d.probes, after) },
	}
	return d
}

// endCall makes the detector observe, at now, the end of a call that began at start.
func (d *detectorFixture) endCall(endpoint *Endpoint, response *Response, err error, start, now time.Time) {
	d.observe(endpoint, endedCall{result: classifyCall(response, err), err: err, start: start}, now)
}

var (
	success     = &Response{Status: http.StatusOK, Header: http.Header{}}
	notFound    = &Response{Status: http.StatusNotFound, Header: http.Header{}}
	serverError = &Response{Status: http.StatusInternalServerError, Header: http.Header{}}
	misrouted   = &Response{Status: http.StatusMisdirectedRequest, Header: http.Header{}}
	rejected    = &Response{Status: http.StatusServiceUnavailable, Header: http.Header{HeaderNotExecuted: {"1"}}}
)

// TestEjection checks for each result of a call whether it ejects a healthy endpoint (one of
// four) and an endpoint on probation.
func TestEjection(t *testing.T) {
	for _, c := range []struct {
		name          string
		response      *Response
		err           error
		calls         int
		fromHealthy   healthState // final state of an initially healthy endpoint
		fromProbation healthState
	}{
		{"successes", success, nil, 9, stateHealthy, stateHealthy},
		{"client errors", notFound, nil, 9, stateHealthy, stateHealthy},
		{"rejections", rejected, nil, 9, stateHealthy, stateEjected},
		{"one server error", serverError, nil, 1, stateHealthy, stateEjected},
		{"consecutive server errors", serverError, nil, 9, stateEjected, stateEjected},
		{"misrouted call", misrouted, nil, 1, stateEjected, stateEjected},
		{"one lost response", nil, ErrResponseLost, 1, stateHealthy, stateEjected},
		{"two lost responses", nil, ErrResponseLost, maxConsecutiveFailures - 1, stateHealthy, stateEjected},
		{"three lost responses", nil, ErrResponseLost, maxConsecutiveFailures, stateEjected, stateEjected},
		{"failed connection", nil, fmt.Errorf("%w: x", ErrNotSent), 1, stateEjected, stateEjected},
		{"timeout", nil, fmt.Errorf("%w: x", ErrTimeout), 1, stateEjected, stateEjected},
	} {
		for _, before := range []healthState{stateHealthy, stateProbation} {
			d := newDetectorFixture(4)
			endpoint := d.cluster.endpoints[0]
			endpoint.health.state = before
			start := time.Now()
			for range c.calls {
				d.endCall(endpoint, c.response, c.err, start, start.Add(time.Millisecond))
			}
			want := c.fromHealthy
			if before == stateProbation {
				want = c.fromProbation
			}
			if endpoint.health.state != want {
				t.Errorf("%s, initial state %d: state %d, want %d", c.name, before, endpoint.health.state, want)
			}
			changed := before != want
			if (len(d.reports) == 1) != changed || changed && d.reports[0].Healthy != (want == stateHealthy) {
				t.Errorf("%s, initial state %d: reports %v, want one for each change of state", c.name, before, d.reports)
			}
			if (len(d.probes) == 1) != (want == stateEjected) {
				t.Errorf("%s, initial state %d: %d probes, want one if ejected, otherwise none", c.name, before, len(d.probes))
			}
		}
	}
}

// TestTimeoutOfResponsiveEndpoint: a timeout of one call does not eject an endpoint that
// answered another call after the first one was sent.
func TestTimeoutOfResponsiveEndpoint(t *testing.T) {
	d := newDetectorFixture(4)
	endpoint := d.cluster.endpoints[0]
	start := time.Now()
	d.endCall(endpoint, success, nil, start, start.Add(time.Second))
	d.endCall(endpoint, nil, ErrTimeout, start, start.Add(2*time.Second))
	if endpoint.health.state != stateHealthy {
		t.Error("the timeout ejected an endpoint that answered another call meanwhile")
	}
}

// TestServerErrorsEjectAtMostHalf guards against the ejection of all endpoints when a fault
// of the service makes them all return server errors.
func TestServerErrorsEjectAtMostHalf(t *testing.T) {
	d := newDetectorFixture(4)
	now := time.Now()
	for range 20 {
		for _, endpoint := range d.cluster.endpoints {
			d.endCall(endpoint, serverError, nil, now, now)
		}
	}
	ejected := 0
	for _, endpoint := range d.cluster.endpoints {
		if endpoint.health.state == stateEjected {
			ejected++
		}
	}
	if ejected != 2 {
		t.Errorf("server errors ejected %d of 4 endpoints, want 2", ejected)
	}
}

// TestOverdue: an endpoint that sent no response for three times the usual latency is
// ejected before the call ends.
func TestOverdue(t *testing.T) {
	const usual = 10 * time.Millisecond
	sent := time.Now()
	for _, c := range []struct {
		name     string
		answered time.Time
		now      time.Time
		want     healthState
	}{
		{"below three times the usual latency", time.Time{}, sent.Add(3*usual - 1), stateHealthy},
		{"three times the usual latency", time.Time{}, sent.Add(3 * usual), stateEjected},
		{"another response meanwhile", sent.Add(usual), sent.Add(3 * usual), stateHealthy},
	} {
		d := newDetectorFixture(2)
		endpoint := d.cluster.endpoints[0]
		endpoint.health.lastResponseAt = c.answered
		d.observeOverdue(endpoint, sent, c.now, usual)
		if endpoint.health.state != c.want {
			t.Errorf("%s: state %d, want an ejection only after 30 ms without a response", c.name, endpoint.health.state)
		}
	}
}

// TestRecovery: probes of an ejected endpoint are sent at growing intervals, an answered
// probe starts its probation, and a successful call reinstates it and resets its statistics.
func TestRecovery(t *testing.T) {
	d := newDetectorFixture(4)
	endpoint := d.cluster.endpoints[0]
	now := time.Now()
	d.eject(endpoint, "test")
	d.eject(endpoint, "twice")
	d.observeProbe(endpoint, false, now)
	d.observeProbe(endpoint, false, now)
	d.observeProbe(endpoint, false, now)
	want := []time.Duration{baseEjectionTime, 2 * baseEjectionTime, maxProbeInterval, maxProbeInterval}
	if fmt.Sprint(d.probes) != fmt.Sprint(want) {
		t.Errorf("delays of the probes are %v, want %v", d.probes, want)
	}
	if endpoint.health.ejectionTime != maxEjectionTime {
		t.Errorf("ejectionTime after three failed probes is %v, want maxEjectionTime", endpoint.health.ejectionTime)
	}
	d.observeProbe(endpoint, true, now)
	if endpoint.health.state != stateProbation {
		t.Fatalf("state after an answered probe is %d, want stateProbation", endpoint.health.state)
	}
	d.observeProbe(endpoint, false, now) // a late result
	endpoint.errorRate.record(now, 1)
	d.endCall(endpoint, success, nil, now, now)
	if endpoint.health.state != stateHealthy || !endpoint.health.healthySince.Equal(now) {
		t.Fatalf("health after a successful call: %+v, want stateHealthy since now", endpoint.health)
	}
	if endpoint.load.samples != 0 || endpoint.errorRate.current(now) != 0 {
		t.Error("reinstatement did not reset the statistics")
	}
	if len(d.reports) != 2 || d.reports[0].Healthy || !d.reports[1].Healthy {
		t.Errorf("reports %v, want one of an ejection and one of a reinstatement", d.reports)
	}
}

// TestRemovedEndpoint: an endpoint that is no longer listed is neither ejected nor probed.
func TestRemovedEndpoint(t *testing.T) {
	d := newDetectorFixture(2)
	endpoint := d.cluster.endpoints[0]
	endpoint.removed = true
	d.endCall(endpoint, nil, errors.Join(ErrNotSent), time.Now(), time.Now())
	endpoint.health.state = stateEjected
	d.observeProbe(endpoint, false, time.Now())
	if len(d.reports) != 0 || len(d.probes) != 0 {
		t.Errorf("removed endpoint: reports %v and probes %v, want none", d.reports, d.probes)
	}
}
