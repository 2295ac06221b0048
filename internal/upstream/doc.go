// Package upstream holds this node's view of the leaf servers behind it: the
// clusters (all endpoints of one service), the connections to each endpoint,
// how healthy each endpoint is, and which of them gets the next call.
//
// A [ClusterManager] is the entry point. Its owner feeds it the fleet's state
// ([ClusterManager.SetServices], [ClusterManager.SetEndpoints],
// [ClusterManager.SetFleetEjections], [ClusterManager.SetNodeCount]). A caller
// then reserves an endpoint with [ClusterManager.Reserve] and either performs
// the call with [ClusterManager.Call], which also ends the reservation, or
// gives the reservation up with [ClusterManager.Release]:
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
//     opens new ones and measures how long that takes for each zone. Both have a
//     lock of their own.
//   - subsetter decides which endpoints of a large cluster this node uses.
//   - loadBalancer scores the endpoints and picks one for a call.
//   - outlierDetector ejects endpoints that fail and reinstates them after
//     probes and a probation.
//
// The timing constants are at the head of each file: dialer.go (dialTimeout),
// probe.go (probeTimeout), outlier.go (ejections, and when probes are sent) and
// roundtrip.go (how long idle connections are reused). The deadline of a call
// comes with its Request.
//
// Subsetting, balancing and ejection read and change the same state in one
// step: a call that ends frees its slot and may eject its endpoint before any
// other call can pick it. They therefore share ClusterManager.mu and do no I/O.
// The lock order is ClusterManager.mu before connectionPool.mu or
// zoneLatency.mu.
package upstream
