package upstream

import (
	"sort"

	"comethold/internal/heartbeat"
)

// A grading gives each node its own part of a large group of leafs, so that
// neither connections nor what a node must learn grow as nodes times leafs, and
// the lines that there are stay warm. The part follows from the names alone:
// leafs of the zone come first, then those of the region, each in an order that
// differs from node to node.

const (
	// maxSubsetSize is the most leafs of a service that a node uses while they are
	// well. Fewer leave little choice, and would load the leafs unevenly.
	maxSubsetSize = 24
	// subsetOverlap allows for leafs that more nodes than usual choose.
	subsetOverlap = 2
)

// subsetRank is where a leaf stands in a node's order: the less the earlier.
type subsetRank struct {
	distance int
	hash     uint64
}

func (s subsetRank) before(o subsetRank) bool {
	return s.distance < o.distance || s.distance == o.distance && s.hash < o.hash
}

func (f *ClusterManager) rank(leaf, zone string) subsetRank {
	s := subsetRank{distance: 2}
	switch {
	case zone == f.locality.Zone:
		s.distance = 0
	case f.locality.RegionOf(zone) == f.locality.RegionOf(f.locality.Zone):
		s.distance = 1
	}
	s.hash = heartbeat.Hash(f.locality.Node, leaf)
	return s
}

// subsetSize is how many leafs of a group a node uses. Where nodes outnumber the
// connections of a leaf, not every node may use every leaf.
func (f *ClusterManager) subsetSize(g *Cluster) int {
	k := maxSubsetSize
	if l := f.connectionLimits[g.name]; l > 0 && f.nodeCount > l {
		k = min(k, len(g.endpoints)*l/(subsetOverlap*f.nodeCount))
	}
	return max(1, k)
}

// subset returns the leafs that a node uses first. Those that are drained or
// barred leave their place to the next in order.
func (f *ClusterManager) subset(g *Cluster) []*Endpoint {
	if g.subset != nil {
		return g.subset
	}
	k := f.subsetSize(g)
	if len(g.endpoints) <= k {
		g.subset = g.endpoints
		return g.subset
	}
	order := make([]*Endpoint, 0, len(g.endpoints))
	for _, t := range g.endpoints {
		if !t.info.Load().Draining && (!t.fleetEjected || t.health == Probation) && t.health != Ejected {
			order = append(order, t)
		}
	}
	sort.Slice(order, func(i, j int) bool { return order[i].rank.before(order[j].rank) })
	g.subset = order[:min(k, len(order))]
	return g.subset
}
