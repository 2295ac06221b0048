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

// detected is a cluster with a detector whose reports and probes are recorded.
type detected struct {
	outlierDetector
	cluster *Cluster
	reports []distribution.HealthReport
	probes  []time.Duration
}

func newDetected(endpoints int) *detected {
	d := &detected{}
	ids := make([]string, endpoints)
	for i := range ids {
		ids[i] = fmt.Sprint("e", i)
	}
	_, d.cluster = balancedCluster(ids...)
	d.outlierDetector = outlierDetector{
		log:           logging.Nop(),
		report:        func(report distribution.HealthReport) { d.reports = append(d.reports, report) },
		scheduleProbe: func(_ *Endpoint, after time.Duration) { d.probes = append(d.probes, after) },
	}
	return d
}

// end has a call that began at start end at now.
func (d *detected) end(endpoint *Endpoint, response *Response, err error, start, now time.Time) {
	d.observe(endpoint, endedCall{result: classifyCall(response, err), err: err, start: start}, now)
}

var (
	success     = &Response{Status: http.StatusOK, Header: http.Header{}}
	notFound    = &Response{Status: http.StatusNotFound, Header: http.Header{}}
	serverError = &Response{Status: http.StatusInternalServerError, Header: http.Header{}}
	misrouted   = &Response{Status: http.StatusMisdirectedRequest, Header: http.Header{}}
	rejected    = &Response{Status: http.StatusServiceUnavailable, Header: http.Header{HeaderNotExecuted: {"1"}}}
)

// TestEjection: which calls eject a healthy endpoint of four, and one on probation.
func TestEjection(t *testing.T) {
	for _, c := range []struct {
		why         string
		response    *Response
		err         error
		calls       int
		healthy     healthState // what a healthy endpoint becomes
		onProbation healthState
	}{
		{"successes", success, nil, 9, stateHealthy, stateHealthy},
		{"client errors", notFound, nil, 9, stateHealthy, stateHealthy},
		{"rejections", rejected, nil, 9, stateHealthy, stateEjected},
		{"a server error", serverError, nil, 1, stateHealthy, stateEjected},
		{"server errors in a row", serverError, nil, 9, stateEjected, stateEjected},
		{"a call for another endpoint", misrouted, nil, 1, stateEjected, stateEjected},
		{"a lost response", nil, ErrResponseLost, 1, stateHealthy, stateEjected},
		{"two lost responses", nil, ErrResponseLost, maxConsecutiveFailures - 1, stateHealthy, stateEjected},
		{"three lost responses", nil, ErrResponseLost, maxConsecutiveFailures, stateEjected, stateEjected},
		{"no connection", nil, fmt.Errorf("%w: x", ErrNotSent), 1, stateEjected, stateEjected},
		{"a time-out", nil, fmt.Errorf("%w: x", ErrTimeout), 1, stateEjected, stateEjected},
	} {
		for _, before := range []healthState{stateHealthy, stateProbation} {
			d := newDetected(4)
			endpoint := d.cluster.endpoints[0]
			endpoint.health.state = before
			start := time.Now()
			for range c.calls {
				d.end(endpoint, c.response, c.err, start, start.Add(time.Millisecond))
			}
			want := c.healthy
			if before == stateProbation {
				want = c.onProbation
			}
			if endpoint.health.state != want {
				t.Errorf("%s, from state %d: state %d, want %d", c.why, before, endpoint.health.state, want)
			}
			changed := before != want
			if (len(d.reports) == 1) != changed || changed && d.reports[0].Healthy != (want == stateHealthy) {
				t.Errorf("%s, from state %d: reports %v", c.why, before, d.reports)
			}
			if (len(d.probes) == 1) != (want == stateEjected) {
				t.Errorf("%s, from state %d: %d probes", c.why, before, len(d.probes))
			}
		}
	}
}

// TestTimeoutOfLivelyEndpoint: a call that times out does not eject an endpoint that
// answered others meanwhile.
func TestTimeoutOfLivelyEndpoint(t *testing.T) {
	d := newDetected(4)
	endpoint := d.cluster.endpoints[0]
	start := time.Now()
	d.end(endpoint, success, nil, start, start.Add(time.Second))
	d.end(endpoint, nil, ErrTimeout, start, start.Add(2*time.Second))
	if endpoint.health.state != stateHealthy {
		t.Error("ejected")
	}
}

// TestServiceErrors: where most endpoints have server errors, that is how the
// service is, and they stay.
func TestServiceErrors(t *testing.T) {
	d := newDetected(4)
	now := time.Now()
	for range 20 {
		for _, endpoint := range d.cluster.endpoints {
			d.end(endpoint, serverError, nil, now, now)
		}
	}
	ejected := 0
	for _, endpoint := range d.cluster.endpoints {
		if endpoint.health.state == stateEjected {
			ejected++
		}
	}
	if ejected != 2 {
		t.Errorf("%d of 4 are ejected, want half", ejected)
	}
}

// TestOverdue: an endpoint from which nothing came for three times the usual
// latency is ejected before the call ends.
func TestOverdue(t *testing.T) {
	const usual = 10 * time.Millisecond
	sent := time.Now()
	for _, c := range []struct {
		why      string
		answered time.Time
		now      time.Time
		want     healthState
	}{
		{"not long", time.Time{}, sent.Add(3*usual - 1), stateHealthy},
		{"long", time.Time{}, sent.Add(3 * usual), stateEjected},
		{"long, with another response meanwhile", sent.Add(usual), sent.Add(3 * usual), stateHealthy},
	} {
		d := newDetected(2)
		endpoint := d.cluster.endpoints[0]
		endpoint.health.lastAnswerAt = c.answered
		d.observeOverdue(endpoint, sent, c.now, usual)
		if endpoint.health.state != c.want {
			t.Errorf("%s: state %d", c.why, endpoint.health.state)
		}
	}
}

// TestRecovery: an ejected endpoint is probed at growing intervals, goes on
// probation when it answers, and a success reinstates it with fresh statistics.
func TestRecovery(t *testing.T) {
	d := newDetected(4)
	endpoint := d.cluster.endpoints[0]
	now := time.Now()
	d.eject(endpoint, "test")
	d.eject(endpoint, "twice")
	d.observeProbe(endpoint, false, now)
	d.observeProbe(endpoint, false, now)
	d.observeProbe(endpoint, false, now)
	want := []time.Duration{baseEjectionTime, 2 * baseEjectionTime, maxProbeInterval, maxProbeInterval}
	if fmt.Sprint(d.probes) != fmt.Sprint(want) {
		t.Errorf("probes after %v, want %v", d.probes, want)
	}
	if endpoint.health.ejectionTime != maxEjectionTime {
		t.Errorf("the ejection time is %v", endpoint.health.ejectionTime)
	}
	d.observeProbe(endpoint, true, now)
	if endpoint.health.state != stateProbation {
		t.Fatalf("state %d after a probe was answered", endpoint.health.state)
	}
	d.observeProbe(endpoint, false, now) // a late one
	endpoint.errorRate.record(now, 1)
	d.end(endpoint, success, nil, now, now)
	if endpoint.health.state != stateHealthy || !endpoint.health.healthySince.Equal(now) {
		t.Fatalf("after a success: %+v", endpoint.health)
	}
	if endpoint.load.samples != 0 || endpoint.errorRate.current(now) != 0 {
		t.Error("statistics from before the ejection stay")
	}
	if len(d.reports) != 2 || d.reports[0].Healthy || !d.reports[1].Healthy {
		t.Errorf("reports %v", d.reports)
	}
}

// TestRemovedEndpoint: what is no longer listed is neither ejected nor probed.
func TestRemovedEndpoint(t *testing.T) {
	d := newDetected(2)
	endpoint := d.cluster.endpoints[0]
	endpoint.removed = true
	d.end(endpoint, nil, errors.Join(ErrNotSent), time.Now(), time.Now())
	endpoint.health.state = stateEjected
	d.observeProbe(endpoint, false, time.Now())
	if len(d.reports) != 0 || len(d.probes) != 0 {
		t.Errorf("reports %v, probes %v", d.reports, d.probes)
	}
}
