package trunk

import (
	"sort"

	"comethold/internal/ring"
)

// A grading gives each node its own part of a large group of leafs, so that
// neither connections nor what a node must learn grow as nodes times leafs, and
// the lines that there are stay warm. The part follows from the names alone:
// leafs of the zone come first, then those of the region, each in an order that
// differs from node to node.

const (
	// gradeMost is the most leafs of a service that a node uses while they are
	// well. Fewer leave little choice, and would load the leafs unevenly.
	gradeMost = 24
	// gradeSpread allows for leafs that more nodes than usual choose.
	gradeSpread = 2
)

// standing is where a leaf stands in a node's order: the less the earlier.
type standing struct {
	far  int
	luck uint64
}

func (s standing) before(o standing) bool {
	return s.far < o.far || s.far == o.far && s.luck < o.luck
}

func (f *Frame) standing(leaf, zone string) standing {
	s := standing{far: 2}
	switch {
	case zone == f.place.Zone:
		s.far = 0
	case f.place.Region(zone) == f.place.Region(f.place.Zone):
		s.far = 1
	}
	s.luck = ring.Place(f.place.Node, leaf)
	return s
}

// gradeSize is how many leafs of a group a node uses. Where nodes outnumber the
// connections of a leaf, not every node may use every leaf.
func (f *Frame) gradeSize(g *Group) int {
	k := gradeMost
	if l := f.limits[g.name]; l > 0 && f.nodes > l {
		k = min(k, len(g.trunks)*l/(gradeSpread*f.nodes))
	}
	return max(1, k)
}

// graded returns the leafs that a node uses first. Those that are drained or
// barred leave their place to the next in order.
func (f *Frame) graded(g *Group) []*Trunk {
	if g.graded != nil {
		return g.graded
	}
	k := f.gradeSize(g)
	if len(g.trunks) <= k {
		g.graded = g.trunks
		return g.graded
	}
	order := make([]*Trunk, 0, len(g.trunks))
	for _, t := range g.trunks {
		if !t.leaf.Load().Draining && (!t.marked || t.health == OnTrial) && t.health != Barred {
			order = append(order, t)
		}
	}
	sort.Slice(order, func(i, j int) bool { return order[i].stands.before(order[j].stands) })
	g.graded = order[:min(k, len(order))]
	return g.graded
}
