package upstream

import (
	"errors"
	"net/http"
	"time"

	"comethold/internal/distribution"
	"comethold/internal/logging"
)

const (
	// maxConsecutiveFailures is the number of calls in a row without a response after
	// which an endpoint is ejected.
	maxConsecutiveFailures = 3
	// ejectionErrorRate is the share of errors above which an endpoint is ejected.
	ejectionErrorRate = 0.6
	// The first probe of an ejected endpoint is sent after its ejection time. That is
	// baseEjectionTime at first, and doubles with each further ejection and each failed
	// probe, up to maxEjectionTime. Further probes follow after maxProbeInterval at most.
	baseEjectionTime = 400 * time.Millisecond
	maxEjectionTime  = 3 * time.Second
	maxProbeInterval = time.Second

	// probationPatience is the time after which calls that are not idempotent may end
	// a probation too.
	probationPatience = time.Second
	// overdueFactor is the number of usual latencies without any response after which
	// an endpoint counts as unresponsive.
	overdueFactor = 3
)

// healthState says whether an endpoint may get calls from this node.
type healthState uint8

// States of health. A healthy endpoint that fails is ejected. When it answers a probe,
// it is on probation until a call succeeds (healthy) or fails (ejected).
const (
	stateHealthy   healthState = iota // gets calls
	stateEjected                      // gets none
	stateProbation                    // gets one at a time
)

// endpointHealth is the health of one endpoint and the observations behind it.
type endpointHealth struct {
	state               healthState
	healthySince        time.Time
	probationSince      time.Time
	lastAnswerAt        time.Time // of any response but a rejection or a misrouted one
	consecutiveFailures int
	ejectionTime        time.Duration // of the latest ejection; 0 before the first
	probing             bool          // a probe is scheduled or under way
}

// mayEndProbation reports whether a call may be sent during the probation, which ends
// with it.
func (h *endpointHealth) mayEndProbation(nonIdempotent bool, now time.Time) bool {
	return !nonIdempotent || now.Sub(h.probationSince) > probationPatience
}

// callResult is the result of a call for the endpoint's health and load.
type callResult uint8

const (
	callSucceeded   callResult = iota
	callMisrouted              // another endpoint has the address now
	callRejected               // the endpoint is full
	callAnswered               // a response that is neither a success nor a server error
	callServerError            // a server error
	callFailed                 // no response
	callCanceled               // given up by the caller, which says nothing of the endpoint
)

// endedCall is a call that ended, with its result and times.
type endedCall struct {
	result   callResult
	err      error     // of callFailed
	start    time.Time // when it was sent
	duration time.Duration
}

func classifyCall(response *Response, err error) callResult {
	switch {
	case errors.Is(err, ErrCanceled):
		return callCanceled
	case err != nil:
		return callFailed
	case isSuccessStatus(response.Status):
		return callSucceeded
	case response.Status == http.StatusMisdirectedRequest:
		return callMisrouted
	case response.NotExecuted():
		return callRejected
	case response.Status < http.StatusInternalServerError:
		return callAnswered
	default:
		return callServerError
	}
}

// outlierDetector ejects endpoints that fail and reinstates recovered ones.
// Callers hold ClusterManager.mu.
type outlierDetector struct {
	log *logging.Logger
	// report is called for each ejected or reinstated endpoint. It must not block.
	report func(distribution.HealthReport)
	// scheduleProbe schedules a probe of an ejected endpoint after about the given time.
	scheduleProbe func(endpoint *Endpoint, after time.Duration)
}

// observe updates the health of an endpoint with a call that ended.
func (d *outlierDetector) observe(endpoint *Endpoint, ended endedCall, now time.Time) {
	health := &endpoint.health
	switch ended.result {
	case callSucceeded:
		health.consecutiveFailures = 0
		health.lastAnswerAt = now
		endpoint.errorRate.record(now, 0)
		d.reinstateUnlessHealthy(endpoint, now)
	case callMisrouted:
		d.eject(endpoint, "another leaf has its address")
	case callRejected:
		if health.state == stateProbation {
			d.eject(endpoint, "rejected a call on probation")
		}
	case callAnswered:
		health.lastAnswerAt = now
		d.reinstateUnlessHealthy(endpoint, now)
	case callServerError:
		health.lastAnswerAt = now
		endpoint.errorRate.record(now, 1)
		failing := endpoint.errorRate.current(now) > ejectionErrorRate && canEject(endpoint.cluster)
		if health.state == stateProbation || failing {
			d.eject(endpoint, "server errors")
		}
	case callFailed:
		health.consecutiveFailures++
		endpoint.errorRate.record(now, 1)
		if shouldEjectFailed(health, ended) {
			d.eject(endpoint, ended.err.Error())
		}
	case callCanceled:
	}
}

// shouldEjectFailed decides whether a call without a response ejects its endpoint.
func shouldEjectFailed(health *endpointHealth, ended endedCall) bool {
	unreachable := errors.Is(ended.err, ErrNotSent)
	unresponsive := errors.Is(ended.err, ErrTimeout) && health.lastAnswerAt.Before(ended.start)
	return health.state == stateProbation ||
		health.consecutiveFailures >= maxConsecutiveFailures ||
		unreachable ||
		unresponsive
}

// canEject reports whether one more endpoint of a cluster may be ejected for its
// errors: at least half of all must stay healthy. If more fail, the fault is the
// service's, and ejecting endpoints would not help.
func canEject(cluster *Cluster) bool {
	healthy := 0
	for _, endpoint := range cluster.endpoints {
		if endpoint.health.state == stateHealthy && !endpoint.fleetEjected && !endpoint.info.Load().Draining {
			healthy++
		}
	}
	return 2*(healthy-1) >= len(cluster.endpoints)
}

// observeOverdue ejects the endpoint of a call that takes longer than usual if nothing
// was received from the endpoint since sentAt, for overdueFactor usual latencies.
func (d *outlierDetector) observeOverdue(endpoint *Endpoint, sentAt, now time.Time, usual time.Duration) {
	if endpoint.health.lastAnswerAt.Before(sentAt) && now.Sub(sentAt) >= overdueFactor*usual {
		d.eject(endpoint, "unresponsive")
	}
}

// eject takes an endpoint out of service until it answers a probe. The time before the
// probe grows with each ejection.
func (d *outlierDetector) eject(endpoint *Endpoint, cause string) {
	if endpoint.health.state == stateEjected || endpoint.removed {
		return
	}
	endpoint.health.state = stateEjected
	endpoint.health.ejectionTime = min(max(baseEjectionTime, 2*endpoint.health.ejectionTime), maxEjectionTime)
	endpoint.cluster.invalidateSubset()
	endpoint.pool.closeIdle()
	info := endpoint.info.Load()
	d.log.Info(logging.EndpointEjected).Str("upstream", info.ID).Str("service", info.Service).Str("cause", cause).
		Msg("endpoint ejected by this node")
	d.report(distribution.HealthReport{EndpointID: info.ID, Service: info.Service})
	d.scheduleProbe(endpoint, endpoint.health.ejectionTime)
}

func (d *outlierDetector) reinstateUnlessHealthy(endpoint *Endpoint, now time.Time) {
	if endpoint.health.state != stateHealthy {
		d.reinstate(endpoint, now)
	}
}

// reinstate puts an endpoint back in service, with a slow start, and reports that to
// the control plane, which may have ejected it for all nodes.
func (d *outlierDetector) reinstate(endpoint *Endpoint, now time.Time) {
	if endpoint.health.state == stateHealthy && !endpoint.fleetEjected {
		return
	}
	endpoint.health.state = stateHealthy
	endpoint.health.healthySince = now
	endpoint.health.consecutiveFailures = 0
	endpoint.cluster.invalidateSubset()
	endpoint.resetStatistics()
	info := endpoint.info.Load()
	d.log.Info(logging.EndpointRestored).Str("upstream", info.ID).Str("service", info.Service).
		Msg("endpoint reinstated by this node")
	d.report(distribution.HealthReport{EndpointID: info.ID, Service: info.Service, Healthy: true})
}

// observeProbe records the result of a probe: an answer begins the probation, and
// otherwise the probe is repeated.
func (d *outlierDetector) observeProbe(endpoint *Endpoint, answered bool, now time.Time) {
	endpoint.health.probing = false
	if endpoint.removed || endpoint.health.state != stateEjected {
		return
	}
	if answered {
		d.beginProbation(endpoint, now)
		return
	}
	endpoint.health.ejectionTime = min(2*endpoint.health.ejectionTime, maxEjectionTime)
	d.scheduleProbe(endpoint, min(endpoint.health.ejectionTime, maxProbeInterval))
}

// beginProbation allows an ejected endpoint one call at a time until one of them
// succeeds or fails.
func (d *outlierDetector) beginProbation(endpoint *Endpoint, now time.Time) {
	endpoint.health.state = stateProbation
	endpoint.health.probationSince = now
	endpoint.cluster.invalidateSubset()
	endpoint.resetStatistics()
}
