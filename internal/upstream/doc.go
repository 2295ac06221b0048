// Package upstream holds this node's view of the leaf servers behind it: the
// clusters (all endpoints of one service), the connections to each endpoint,
// the health of each endpoint, and the choice of the endpoint for a call.
//
// A [ClusterManager] is the entry point. Its owner passes it the fleet's state
// ([ClusterManager.SetServices], [ClusterManager.SetEndpoints],
// [ClusterManager.SetFleetEjections], [ClusterManager.SetNodeCount]). A caller
// then reserves an endpoint with [ClusterManager.Reserve] and either performs
// the call with [ClusterManager.Call], which also ends the reservation, or
// ends the reservation with [ClusterManager.Release]:
//
//	endpoint := clusters.Reserve("shard-0", nil, false)
//	if endpoint == nil {
//		return errNoEndpoint
//	}
//	response, err := clusters.Call(ctx, endpoint, request)
//	outcome := upstream.OutcomeOf(response, err)
//
// The work is divided among types with one job each:
//
//   - connectionPool keeps the idle connections of one endpoint, and dialer
//     opens new ones and measures the dial latency of each zone. Each has its own
//     lock.
//   - subsetter decides which endpoints of a large cluster this node uses.
//   - loadBalancer scores the endpoints and picks one for a call.
//   - outlierDetector ejects endpoints that fail and reinstates them after
//     probes and a probation.
//
// The timing constants are at the head of each file: dialer.go (dialTimeout),
// probe.go (probeTimeout), outlier.go (ejection times and probe intervals) and
// roundtrip.go (reuse time of idle connections). Request.Deadline is the deadline
// of a call.
//
// Subsetting, balancing and ejection read and change the same state in one
// critical section: the end of a call frees its slot and may eject its endpoint
// before another call can pick that endpoint. They therefore share
// ClusterManager.mu and do no I/O.
// The lock order is ClusterManager.mu before connectionPool.mu or
// zoneLatency.mu.
package upstream
