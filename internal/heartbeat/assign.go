// Package heartbeat detects failed nodes. Every node sends heartbeats to a few others, its watchers, and suspects
// those whose own heartbeats stay away.
//
// The assignment of watchers follows from the names of the nodes alone (Assign): every node has a place on a hash
// ring, and the next few nodes on the ring watch it. A Detector holds what one node knows of those that it watches.
// The package does no I/O; its owner sends, receives and passes the time in.
package heartbeat

import "sort"

// WatchersPerNode is how many nodes watch each node.
const WatchersPerNode = 3

// Assign returns the nodes that watch a node, and those that it watches, among all nodes. All nodes must agree on it,
// also those of other versions.
func Assign(node string, nodes []string) (watchers, watched []string) {
	type place struct {
		name string
		hash uint64
	}
	ring := make([]place, 0, len(nodes))
	for _, other := range nodes {
		if other != node {
			ring = append(ring, place{other, Hash(other)})
		}
	}
	sort.Slice(ring, func(i, j int) bool { return ring[i].hash < ring[j].hash })
	own := Hash(node)
	next := sort.Search(len(ring), func(i int) bool { return ring[i].hash > own })
	for k := range min(WatchersPerNode, len(ring)) {
		watchers = append(watchers, ring[(next+k)%len(ring)].name)
		watched = append(watched, ring[(next-1-k+len(ring))%len(ring)].name)
	}
	return watchers, watched
}
