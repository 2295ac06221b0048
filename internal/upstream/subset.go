package upstream

import (
	"sort"

	"comethold/internal/heartbeat"
)

const (
	// maxSubsetSize is the maximum number of endpoints in the subset of a cluster. A
	// smaller value would load the endpoints unevenly.
	maxSubsetSize = 24
	// subsetOverlap divides the subset size if connections are scarce, as a margin for
	// endpoints that are in more subsets than average.
	subsetOverlap = 2
)

// subsetter selects this node's subset of a large cluster. The subset bounds the
// connections and statistics of the node, and its connections are reused more often.
// Endpoints in the node's zone come first, then those in its region, then all others;
// within each group, a hash of names orders them differently on each node. Callers hold
// ClusterManager.mu.
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

// subsetRank is the sort key of an endpoint for a node; the lowest rank is used first.
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

// size returns the size of a node's subset of a cluster. If there are more nodes than
// connections that an endpoint accepts, not every node can use every endpoint.
func (s *subsetter) size(cluster *Cluster) int {
	size := maxSubsetSize
	limit := cluster.serviceConnectionLimit
	if limit > 0 && s.nodeCount > limit {
		size = min(size, len(cluster.endpoints)*limit/(subsetOverlap*s.nodeCount))
	}
	return max(1, size)
}

// subset returns the endpoints of a cluster that this node prefers. The subset of a large
// cluster excludes draining and ejected endpoints; those next in rank replace them.
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
		return true // also if fleetEjected: a successful call ends the fleet ejection
	case stateEjected:
		return false
	default:
		return !endpoint.fleetEjected
	}
}
