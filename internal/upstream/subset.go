package upstream

import (
	"sort"

	"comethold/internal/heartbeat"
)

const (
	// maxSubsetSize is the most endpoints of a service that a node uses while they
	// are healthy. A smaller subset would load the endpoints unevenly.
	maxSubsetSize = 24
	// subsetOverlap leaves a margin for endpoints that are in more subsets than average.
	subsetOverlap = 2
)

// subsetter assigns each node a part of a large cluster. This bounds the connections and
// the statistics of a node, and its connections are reused more often. The part depends
// on names only: endpoints of the zone are first, then the region, then the others, and
// within each in an order that differs from node to node. Callers hold ClusterManager.mu.
type subsetter struct {
	locality  Locality
	nodeCount int // nodes that share the endpoints
}

// Distances of an endpoint from this node.
const (
	sameZone = iota
	sameRegion
	otherRegion
)

// subsetRank orders the endpoints of a cluster for a node, lowest first.
type subsetRank struct {
	distance int
	hash     uint64
}

func (r subsetRank) less(other subsetRank) bool {
	if r.distance != other.distance {
		return r.distance < other.distance
	}
	return r.hash < other.hash
}

// rank returns the rank of an endpoint in a zone for this node.
func (s *subsetter) rank(endpointID, zone string) subsetRank {
	rank := subsetRank{distance: otherRegion, hash: heartbeat.Hash(s.locality.Node, endpointID)}
	switch {
	case zone == s.locality.Zone:
		rank.distance = sameZone
	case s.locality.RegionOf(zone) == s.locality.RegionOf(s.locality.Zone):
		rank.distance = sameRegion
	}
	return rank
}

// size returns how many endpoints of a cluster a node uses. If there are more nodes
// than connections that an endpoint accepts, not every node can use every endpoint.
func (s *subsetter) size(cluster *Cluster) int {
	size := maxSubsetSize
	limit := cluster.serviceConnectionLimit
	if limit > 0 && s.nodeCount > limit {
		size = min(size, len(cluster.endpoints)*limit/(subsetOverlap*s.nodeCount))
	}
	return max(1, size)
}

// subset returns the endpoints of a cluster that this node uses first. Draining and
// ejected endpoints are replaced by the next in order.
func (s *subsetter) subset(cluster *Cluster) []*Endpoint {
	if cluster.subset != nil {
		return cluster.subset
	}
	size := s.size(cluster)
	if len(cluster.endpoints) <= size {
		cluster.subset = cluster.endpoints
		return cluster.subset
	}
	candidates := make([]*Endpoint, 0, len(cluster.endpoints))
	for _, endpoint := range cluster.endpoints {
		if isEligible(endpoint) {
			candidates = append(candidates, endpoint)
		}
	}
	sort.Slice(candidates, func(i, j int) bool { return candidates[i].rank.less(candidates[j].rank) })
	cluster.subset = candidates[:min(size, len(candidates))]
	return cluster.subset
}

// isEligible reports whether a subset may contain the endpoint.
func isEligible(endpoint *Endpoint) bool {
	if endpoint.info.Load().Draining {
		return false
	}
	switch endpoint.health.state {
	case stateProbation:
		return true // its ejection by the fleet ends with a successful call
	case stateEjected:
		return false
	default:
		return !endpoint.fleetEjected
	}
}
