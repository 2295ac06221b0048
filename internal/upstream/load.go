package upstream

import (
	"math"
	"time"
)

const (
	latencyWeight     = 0.2  // of a new sample in an endpoint's latency
	meanLatencyWeight = 0.02 // of a new sample in a cluster's mean latency

	rejectionWeight = 0.02 // of a new sample in a cluster's rejection rate

	// admitDecrease is subtracted from the admit rate for each call that a full
	// endpoint rejected.
	admitDecrease = 0.08
	admitIncrease = 0.005 // added for each successful call
	maxAdmitRate  = 1.1   // above 1, so that a single rejection sheds no requests
	minAdmitRate  = 0.3
)

// endpointLoad holds the load balancer's measurements of one endpoint.
type endpointLoad struct {
	latency        float64 // seconds, smoothed
	samples        int     // in latency
	lastRejectedAt time.Time
}

func (l *endpointLoad) recordLatency(seconds float64) {
	if l.samples == 0 {
		l.latency = seconds
	} else {
		l.latency += latencyWeight * (seconds - l.latency)
	}
	l.samples++
}

// clusterLoad holds the load balancer's measurements of a whole cluster.
type clusterLoad struct {
	meanLatency   float64 // seconds, smoothed
	rejectionRate float64 // share of calls that full endpoints rejected, smoothed
	// admitRate estimates the share of requests that the endpoints have the capacity
	// for. It is controlled by additive increase and additive decrease.
	admitRate float64
}

func (l *clusterLoad) recordSuccess(seconds float64) {
	l.rejectionRate -= rejectionWeight * l.rejectionRate
	l.admitRate = min(maxAdmitRate, l.admitRate+admitIncrease)
	if l.meanLatency == 0 {
		l.meanLatency = seconds
	} else {
		l.meanLatency += meanLatencyWeight * (seconds - l.meanLatency)
	}
}

func (l *clusterLoad) recordRejection() {
	l.rejectionRate += rejectionWeight * (1 - l.rejectionRate)
	l.admitRate = max(minAdmitRate, l.admitRate-admitDecrease)
}

const (
	errorWeight = 0.2             // of a new sample in an error rate
	errorDecay  = 3 * time.Second // time in which an error rate falls to 1/e without new samples
)

// decayingRate is a smoothed error rate, from 0 to 1, that decays exponentially with time.
type decayingRate struct {
	value     float64 // as of updatedAt
	updatedAt time.Time
}

// current returns the error rate, decayed until now.
func (r *decayingRate) current(now time.Time) float64 {
	if r.value == 0 {
		return 0
	}
	return r.value * math.Exp(-float64(now.Sub(r.updatedAt))/float64(errorDecay))
}

// record adds one call; sample is 1 for an error and 0 otherwise.
func (r *decayingRate) record(now time.Time, sample float64) {
	before := r.current(now)
	r.value = before + errorWeight*(sample-before)
	r.updatedAt = now
}

func (r *decayingRate) reset() { r.value = 0 }
