// Package heartbeat detects failed nodes. Every node sends heartbeats to a few other nodes, its watchers. A watcher
// suspects a watched node when several heartbeats in a row are missing.
//
// [AssignWatchers] derives the watchers from the names of the nodes alone: every node has a position on a hash ring,
// and the next [WatchersPerNode] nodes on the ring watch it. A [Detector] records the heartbeats of the nodes that one
// node watches. The package does no I/O and reads no clock: the caller sends and receives the heartbeats and passes
// the current time.
package heartbeat

import "sort"

// WatchersPerNode is how many nodes watch each node.
const WatchersPerNode = 3

// AssignWatchers returns the nodes that watch the given node and the nodes that it watches. The list of nodes may
// include the node itself. The algorithm must never change, because nodes of all versions must compute the same
// result.
func AssignWatchers(node string, nodes []string) (watchers, watched []string) {
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
