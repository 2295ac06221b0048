package upstream

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Weights of the score. docs/design.md derives them.
const (
	// unknownMeanLatency is assumed of a cluster without samples, in seconds.
	unknownMeanLatency = 0.02
	// scoreJitter spreads calls over endpoints that score alike.
	scoreJitter = 0.1

	// remoteZoneMeanShare is the share of the mean latency that a response from
	// another zone must save.
	remoteZoneMeanShare = 0.5
	// remoteZoneFactor is how many times its distance a remote endpoint must be faster.
	remoteZoneFactor = 1.0

	// The costs below count in mean latencies of the cluster.

	queueCost     = 1.5  // of an active call for each slot
	errorCost     = 20.0 // of a certain error
	warmingUpCost = 0.5  // of an endpoint that is warming up
	slowStartCost = 4.0  // at the start of slowStartWindow
	rejectionCost = 4.0  // of the queue of an endpoint that rejected a call
	dialCost      = 0.4  // of opening a connection, where connections are rarely reused

	// slowStartWindow is in what time traffic comes back to a reinstated endpoint.
	slowStartWindow = 2 * time.Second
	// rareReuseNodes is the number of nodes for each endpoint from which
	// connections are rarely reused; up to half of that they are reused often.
	rareReuseNodes = 20
	// overloadRejectionRate is the share of rejected calls above which a cluster
	// counts as overloaded.
	overloadRejectionRate = 0.02
)

// loadBalancer picks the endpoint that seems to answer soonest. Callers hold
// ClusterManager.mu.
type loadBalancer struct {
	zone           string // of this node
	nodeCount      int    // nodes that share the endpoints
	slotOvercommit float64
	dialLatency    *zoneLatency
	subsets        *subsetter
}

// pick picks the endpoint for an attempt, leaving out those already tried: one of
// the node's subset or, if none of those accepts the call, any.
func (b *loadBalancer) pick(cluster *Cluster, tried []*Endpoint, nonIdempotent bool, now time.Time) *Endpoint {
	subset := b.subsets.subset(cluster)
	endpoint := b.pickBest(subset, tried, nonIdempotent, now)
	if endpoint == nil && len(subset) < len(cluster.endpoints) {
		endpoint = b.pickBest(cluster.endpoints, tried, nonIdempotent, now)
	}
	return endpoint
}

// pickBest picks the endpoint of a list that has the lowest score.
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

// accepts reports whether an endpoint may get a call. Calls that are not
// idempotent leave endpoints on probation to others for a while.
func (b *loadBalancer) accepts(endpoint *Endpoint, nonIdempotent bool, now time.Time) bool {
	if endpoint.info.Load().Draining || endpoint.terminating || endpoint.activeCalls >= b.maxActiveCalls(endpoint) {
		return false
	}
	switch endpoint.health.state {
	case stateHealthy:
		return !endpoint.fleetEjected
	case stateProbation: // also while ejected by the fleet: a real response ends that
		return endpoint.activeCalls == 0 && endpoint.health.mayTry(nonIdempotent, now)
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

// maxActiveCalls is how many calls this node may have under way at an endpoint.
func (b *loadBalancer) maxActiveCalls(endpoint *Endpoint) int {
	limit := endpoint.cluster.connectionLimit
	if b.slotOvercommit <= 0 {
		return limit
	}
	slots := float64(max(1, endpoint.info.Load().Slots))
	share := int(math.Ceil(b.slotOvercommit * slots / float64(b.nodeCount)))
	return min(limit, max(1, share))
}

// score estimates how long a call would take, in seconds, with distance and
// likely trouble counted against the endpoint.
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
	score += errorCost * mean * endpoint.errors.current(now)
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

// rejectionPenalty is what is left of the queue of an endpoint that rejected a
// call: it has a whole queue to work off first.
func rejectionPenalty(endpoint *Endpoint, mean float64, now time.Time) float64 {
	left := rejectionCost*mean - now.Sub(endpoint.load.lastRejectedAt).Seconds()
	return max(0, left)
}

// slowStartPenalty keeps most traffic from an endpoint that was just reinstated.
func slowStartPenalty(endpoint *Endpoint, mean float64, now time.Time) float64 {
	since := now.Sub(endpoint.health.healthySince)
	if endpoint.health.state != stateHealthy || endpoint.health.ejectionTime == 0 || since >= slowStartWindow {
		return 0
	}
	return mean * slowStartCost * (1 - float64(since)/float64(slowStartWindow))
}

// observe takes in how a call ended and how long it took, as far as that shows the
// load.
func (b *loadBalancer) observe(endpoint *Endpoint, ended callEnd, now time.Time) {
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

// reuseRarity is how rarely, from 0 to 1, this node reuses a connection of the
// cluster: the more nodes share each endpoint, the longer connections are idle,
// the more of them are opened for a single call, and the less any one node can
// balance the load.
func (b *loadBalancer) reuseRarity(cluster *Cluster) float64 {
	nodesPerEndpoint := float64(b.nodeCount) / float64(max(1, len(cluster.endpoints)))
	return min(1, max(0, nodesPerEndpoint/rareReuseNodes*2-1))
}
