package upstream

import (
	"errors"
	"net/http"
	"time"

	"comethold/internal/distribution"
	"comethold/internal/logging"
)

const (
	// maxConsecutiveFailures is the number of consecutive calls without a response after
	// which an endpoint is ejected.
	maxConsecutiveFailures = 3
	// ejectionErrorRate is the error rate above which an endpoint is ejected.
	ejectionErrorRate = 0.6
	// The first probe of an ejected endpoint is sent after its ejection time. This is
	// initially baseEjectionTime, and doubles with each further ejection and each failed
	// probe, up to maxEjectionTime. Further probes follow after at most maxProbeInterval.
	baseEjectionTime = 400 * time.Millisecond
	maxEjectionTime  = 3 * time.Second
	maxProbeInterval = time.Second

	// nonIdempotentProbationDelay is the time from the start of a probation in which the
	// endpoint gets only idempotent calls.
	nonIdempotentProbationDelay = time.Second
	// overdueFactor times the usual latency is the time without any response after which
	// an endpoint counts as unresponsive.
	overdueFactor = 3
)

// healthState is the health of an endpoint as seen by this node.
type healthState uint8

// Health states. A healthy endpoint that fails is ejected. When it answers a probe, it
// is on probation until a call succeeds (healthy) or fails (ejected).
const (
	stateHealthy   healthState = iota // gets calls
	stateEjected                      // gets no calls
	stateProbation                    // gets one call at a time
)

// endpointHealth is the health of one endpoint and the observations behind it.
type endpointHealth struct {
	state               healthState
	healthySince        time.Time
	probationSince      time.Time
	lastResponseAt      time.Time // of any response except rejected and misrouted calls
	consecutiveFailures int
	ejectionTime        time.Duration // of the latest ejection; 0 before the first one
	probing             bool          // a probe is scheduled or in progress
}

// allowsProbationCall reports whether a call may be sent to an endpoint on probation.
func (h *endpointHealth) allowsProbationCall(nonIdempotent bool, now time.Time) bool {
	return !nonIdempotent || now.Sub(h.probationSince) > nonIdempotentProbationDelay
}

// callResult classifies the result of a call for the endpoint's health and load.
type callResult uint8

const (
	callSucceeded   callResult = iota
	callMisrouted              // another endpoint uses the address now
	callRejected               // the endpoint is full
	callOtherStatus            // another status below 500
	callServerError            // a 5xx status, and the request may have been executed
	callFailed                 // no response
	callCanceled               // canceled by the caller; no information about the endpoint
)

// endedCall is a completed call with its result and times.
type endedCall struct {
	result   callResult
	err      error     // set for callFailed and callCanceled
	start    time.Time // when the request was sent or the dial failed
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
		return callOtherStatus
	default:
		return callServerError
	}
}

// outlierDetector ejects endpoints that fail and reinstates recovered ones.
// Callers hold ClusterManager.mu.
type outlierDetector struct {
	log *logging.Logger
	// report is called when an endpoint is ejected or reinstated. It must not block.
	report func(distribution.HealthReport)
	// scheduleProbe schedules a probe of an ejected endpoint after approximately the given time.
	scheduleProbe func(endpoint *Endpoint, after time.Duration)
}

// observe updates the health of an endpoint with a completed call.
func (d *outlierDetector) observe(endpoint *Endpoint, ended endedCall, now time.Time) {
	health := &endpoint.health
	switch ended.result {
	case callSucceeded:
		health.consecutiveFailures = 0
		health.lastResponseAt = now
		endpoint.errorRate.record(now, 0)
		d.reinstateUnlessHealthy(endpoint, now)
	case callMisrouted:
		d.eject(endpoint, "misdirected request: another endpoint uses the address")
	case callRejected:
		if health.state == stateProbation {
			d.eject(endpoint, "rejected a call on probation")
		}
	case callOtherStatus:
		health.lastResponseAt = now
		d.reinstateUnlessHealthy(endpoint, now)
	case callServerError:
		health.lastResponseAt = now
		endpoint.errorRate.record(now, 1)
		failing := endpoint.errorRate.current(now) > ejectionErrorRate && canEject(endpoint.cluster)
		if health.state == stateProbation || failing {
			d.eject(endpoint, "server errors")
		}
	case callFailed:
		health.consecutiveFailures++
		endpoint.errorRate.record(now, 1)
		if shouldEjectAfterFailure(health, ended) {
			d.eject(endpoint, ended.err.Error())
		}
	case callCanceled:
	}
}

// shouldEjectAfterFailure reports whether a call without a response ejects its endpoint.
func shouldEjectAfterFailure(health *endpointHealth, ended endedCall) bool {
	unreachable := errors.Is(ended.err, ErrNotSent)
	unresponsive := errors.Is(ended.err, ErrTimeout) && health.lastResponseAt.Before(ended.start)
	return health.state == stateProbation ||
		health.consecutiveFailures >= maxConsecutiveFailures ||
		unreachable ||
		unresponsive
}

// canEject reports whether one more endpoint of a cluster may be ejected for its
// server errors. At least half of all endpoints must stay healthy: if more of them
// fail, the fault is in the service, and ejections would not help.
func canEject(cluster *Cluster) bool {
	healthy := 0
	for _, endpoint := range cluster.endpoints {
		if endpoint.health.state == stateHealthy && !endpoint.fleetEjected && !endpoint.info.Load().Draining {
			healthy++
		}
	}
	return 2*(healthy-1) >= len(cluster.endpoints)
}

// observeOverdue ejects the endpoint of a call sent at sentAt if overdueFactor times the
// usual latency has passed without any response from the endpoint.
func (d *outlierDetector) observeOverdue(endpoint *Endpoint, sentAt, now time.Time, usualLatency time.Duration) {
	if endpoint.health.lastResponseAt.Before(sentAt) && now.Sub(sentAt) >= overdueFactor*usualLatency {
		d.eject(endpoint, "unresponsive")
	}
}

// eject takes an endpoint out of service until it answers a probe. The delay of the
// first probe grows with each ejection.
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

// reinstate returns an endpoint to service, with a slow start if it was ejected before,
// and reports this to the control plane, which may have ejected it for all nodes.
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
	d.log.Info(logging.EndpointReinstated).Str("upstream", info.ID).Str("service", info.Service).
		Msg("endpoint reinstated by this node")
	d.report(distribution.HealthReport{EndpointID: info.ID, Service: info.Service, Healthy: true})
}

// observeProbe records the result of a probe. It begins the probation if the endpoint
// answered, and otherwise schedules another probe.
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
