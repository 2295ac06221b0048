// Package heartbeat detects failed nodes. Every node sends heartbeats to a few other nodes, its watchers, and suspects
// the nodes that it watches itself if their heartbeats are missing.
//
// The watchers follow from the names of the nodes alone (Assign): every node has a position on a hash ring, and the
// next few nodes on the ring watch it. A Detector records the heartbeats of the nodes that one node watches. The
// package does no I/O and reads no clock; its owner sends and receives, and passes the time.
package heartbeat

import "sort"

// WatchersPerNode is how many nodes watch each node.
const WatchersPerNode = 3

// Assign returns the nodes that watch a node, and the nodes that it watches, among all nodes. The result must never
// change: nodes of all versions must agree on it.
func Assign(node string, nodes []string) (watchers, watched []string) {
	type position struct {
		name string
		hash uint64
	}
	ring := make([]position, 0, len(nodes))
	for _, other := range nodes {
		if other != node {
			ring = append(ring, position{other, Hash(other)})
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
