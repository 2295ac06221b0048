package upstream

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Weights of the score. docs/design.md derives them.
const (
	// unknownMeanLatency is the assumed mean latency of a cluster without samples, in seconds.
	unknownMeanLatency = 0.02
	// scoreJitter spreads calls over endpoints with similar scores.
	scoreJitter = 0.1

	// remoteZoneMeanShare is the share of the mean latency that is added to the dial
	// latency of another zone; the sum is the distance of the zone.
	remoteZoneMeanShare = 0.5
	// remoteZoneFactor is the weight of the distance in the score.
	remoteZoneFactor = 1.0

	// The unit of the costs below is the mean latency of the cluster.

	queueCost     = 1.5  // per active call, divided by the number of slots
	errorCost     = 20.0 // at an error rate of 1
	warmingUpCost = 0.5  // for an endpoint that is warming up
	slowStartCost = 4.0  // at the start of slowStartWindow
	rejectionCost = 4.0  // for an endpoint that has just rejected a call
	dialCost      = 0.4  // for opening a connection, if connections are rarely reused

	// slowStartWindow is the time over which the traffic of a reinstated endpoint grows
	// to its full share.
	slowStartWindow = 2 * time.Second
	// rareReuseNodes is the number of nodes per endpoint at which dialCost applies in
	// full. Up to half of that number, it does not apply.
	rareReuseNodes = 20
	// overloadRejectionRate is the share of rejected calls above which a cluster
	// counts as overloaded.
	overloadRejectionRate = 0.02
)

// loadBalancer picks the endpoint with the lowest expected latency. Callers hold
// ClusterManager.mu.
type loadBalancer struct {
	zone           string // of this node
	nodeCount      int    // nodes that share the endpoints
	slotOvercommit float64
	dialLatency    *zoneLatency
	subsets        *subsetter
}

// pick returns the best endpoint for an attempt, except those already tried, or nil.
// It considers endpoints outside of the node's subset only if none in it accepts the call.
func (b *loadBalancer) pick(cluster *Cluster, tried []*Endpoint, nonIdempotent bool, now time.Time) *Endpoint {
	subset := b.subsets.subset(cluster)
	endpoint := b.pickBest(subset, tried, nonIdempotent, now)
	if endpoint == nil && len(subset) < len(cluster.endpoints) {
		endpoint = b.pickBest(cluster.endpoints, tried, nonIdempotent, now)
	}
	return endpoint
}

// pickBest returns the candidate with the lowest score that accepts the call and was
// not tried yet, or nil.
func (b *loadBalancer) pickBest(candidates, tried []*Endpoint, nonIdempotent bool, now time.Time) *Endpoint {
	var best *Endpoint
	var bestScore float64
	for _, endpoint := range candidates {
		if !b.accepts(endpoint, nonIdempotent, now) || slices.Contains(tried, endpoint) {
			continue
		}
		score := b.score(endpoint, now) * (1 + scoreJitter*rand.Float64())
		if best == nil || score < bestScore {
			best = endpoint
			bestScore = score
		}
	}
	return best
}

// accepts reports whether an endpoint may get a call. An endpoint on probation gets only
// idempotent calls for the first nonIdempotentProbationDelay.
func (b *loadBalancer) accepts(endpoint *Endpoint, nonIdempotent bool, now time.Time) bool {
	if endpoint.info.Load().Draining || endpoint.terminating || endpoint.activeCalls >= b.maxActiveCalls(endpoint) {
		return false
	}
	switch endpoint.health.state {
	case stateHealthy:
		return !endpoint.fleetEjected
	case stateProbation: // also if fleetEjected: a successful call ends the fleet ejection
		return endpoint.activeCalls == 0 && endpoint.health.allowsProbationCall(nonIdempotent, now)
	default:
		return false
	}
}

// anyAccepts reports whether an endpoint of the cluster may get an idempotent call.
func (b *loadBalancer) anyAccepts(cluster *Cluster, now time.Time) bool {
	return slices.ContainsFunc(cluster.endpoints, func(endpoint *Endpoint) bool {
		return b.accepts(endpoint, false, now)
	})
}

// maxActiveCalls returns the maximum number of concurrent calls from this node to an endpoint.
func (b *loadBalancer) maxActiveCalls(endpoint *Endpoint) int {
	limit := endpoint.cluster.connectionLimit
	if b.slotOvercommit <= 0 {
		return limit
	}
	slots := float64(max(1, endpoint.info.Load().Slots))
	share := int(math.Ceil(b.slotOvercommit * slots / float64(b.nodeCount)))
	return min(limit, max(1, share))
}

// score returns the estimated duration of a call in seconds, with penalties for
// distance, errors, rejections, opening a connection, warm-up and slow start.
func (b *loadBalancer) score(endpoint *Endpoint, now time.Time) float64 {
	info := endpoint.info.Load()
	mean := endpoint.cluster.load.meanLatency
	distance := 0.0
	if info.Zone != b.zone {
		distance = b.dialLatency.seconds(info.Zone) + remoteZoneMeanShare*mean
	}
	if mean == 0 {
		mean = unknownMeanLatency
	}
	latency := endpoint.load.latency
	if endpoint.load.samples == 0 {
		latency = mean + distance
	}
	slots := float64(max(1, info.Slots))
	score := latency + remoteZoneFactor*distance
	score += float64(endpoint.activeCalls) * mean / slots * queueCost
	score += errorCost * mean * endpoint.errorRate.current(now)
	if info.WarmingUp {
		score += mean * warmingUpCost
	}
	if !endpoint.pool.hasIdle() {
		score += mean * dialCost * b.reuseRarity(endpoint.cluster)
	}
	score += rejectionPenalty(endpoint, mean, now)
	score += slowStartPenalty(endpoint, mean, now)
	return score
}

// rejectionPenalty returns the estimated time in seconds until an endpoint that
// rejected a call has processed its queue.
func rejectionPenalty(endpoint *Endpoint, mean float64, now time.Time) float64 {
	remaining := rejectionCost*mean - now.Sub(endpoint.load.lastRejectedAt).Seconds()
	return max(0, remaining)
}

// slowStartPenalty returns a cost in seconds that keeps most traffic away from a newly
// reinstated endpoint. It decreases linearly to 0 over slowStartWindow.
func slowStartPenalty(endpoint *Endpoint, mean float64, now time.Time) float64 {
	since := now.Sub(endpoint.health.healthySince)
	if endpoint.health.state != stateHealthy || endpoint.health.ejectionTime == 0 || since >= slowStartWindow {
		return 0
	}
	return mean * slowStartCost * (1 - float64(since)/float64(slowStartWindow))
}

// observe updates the load of an endpoint and its cluster with a completed call.
func (b *loadBalancer) observe(endpoint *Endpoint, ended endedCall, now time.Time) {
	switch ended.result {
	case callSucceeded:
		endpoint.load.recordLatency(ended.duration.Seconds())
		endpoint.cluster.load.recordSuccess(ended.duration.Seconds())
	case callRejected:
		endpoint.load.lastRejectedAt = now
		endpoint.cluster.load.recordRejection()
	default:
	}
}

// reuseRarity estimates how rarely this node reuses a connection of the cluster, from 0
// (often) to 1 (rarely). The more nodes share each endpoint, the longer connections are
// idle, and the more of them are opened for a single call.
func (b *loadBalancer) reuseRarity(cluster *Cluster) float64 {
	nodesPerEndpoint := float64(b.nodeCount) / float64(max(1, len(cluster.endpoints)))
	return min(1, max(0, nodesPerEndpoint/rareReuseNodes*2-1))
}
