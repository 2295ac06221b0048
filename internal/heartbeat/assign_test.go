package heartbeat

import (
	"fmt"
	"slices"
	"testing"
)

// TestAssignWatchers: node A computes that it watches node B exactly if B computes that A is one of its watchers, on
// rings of any size. Otherwise heartbeats would be sent to nodes that ignore them, or a node would be suspected
// wrongly.
func TestAssignWatchers(t *testing.T) {
	for _, size := range []int{1, 2, 3, 4, 5, 50} {
		var nodes []string
		for i := range size {
			nodes = append(nodes, fmt.Sprint("n", i))
		}
		// Counts each pair "watcher>watched" once for each of the two nodes that computes it.
		pairs := map[string]int{}
		for _, node := range nodes {
			watchers, watched := AssignWatchers(node, nodes)
			want := min(WatchersPerNode, size-1)
			if len(watchers) != want || len(watched) != want || slices.Contains(watchers, node) {
				t.Fatalf("%d nodes: AssignWatchers(%s) returned watchers %v, watched %v, want %d others of each",
					size, node, watchers, watched, want)
			}
			for _, watcher := range watchers {
				pairs[watcher+">"+node]++
			}
			for _, other := range watched {
				pairs[node+">"+other]++
			}
		}
		for pair, n := range pairs {
			if n != 2 {
				t.Errorf("%d nodes: only one of the two nodes computes the pair %s", size, pair)
			}
		}
	}
}
