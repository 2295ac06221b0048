package upstream

import (
	"math"
	"time"
)

const (
	latencyWeight     = 0.2  // of a new sample in an endpoint's latency
	meanLatencyWeight = 0.02 // of a new sample in a cluster's mean latency

	rejectionWeight = 0.02 // of a new sample in a cluster's rejection rate

	// admitDecrease is by how much the admitted share of requests falls for each
	// call that a full endpoint rejected.
	admitDecrease = 0.08
	admitIncrease = 0.005 // for each success
	maxAdmitRate  = 1.1   // above 1: single full endpoints are no overload
	minAdmitRate  = 0.3
)

// endpointLoad is what the load balancer measures of one endpoint.
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

// clusterLoad is what the load balancer measures of all endpoints of a cluster.
type clusterLoad struct {
	meanLatency   float64 // seconds, smoothed
	rejectionRate float64 // share of calls that endpoints rejected as full, smoothed
	// admitRate is the share of requests that the endpoints have the capacity
	// for, as far as known: additive increase, additive decrease.
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
	errorDecay  = 3 * time.Second // in which an error rate fades to 1/e without new samples
)

// decayingRate is a smoothed share of errors that fades with time.
type decayingRate struct {
	value float64 // as of updatedAt
	at    time.Time
}

// current is the share of errors as far as it still counts.
func (r *decayingRate) current(now time.Time) float64 {
	if r.value == 0 {
		return 0
	}
	return r.value * math.Exp(-float64(now.Sub(r.at))/float64(errorDecay))
}

// record takes in one call: 1 for an error, 0 for none.
func (r *decayingRate) record(now time.Time, sample float64) {
	before := r.current(now)
	r.value = before + errorWeight*(sample-before)
	r.at = now
}

func (r *decayingRate) reset() { r.value = 0 }
