package heartbeat

import (
	"fmt"
	"slices"
	"testing"
)

// TestAssign: the watchers of a node are the nodes that say they watch it, on rings of any size.
func TestAssign(t *testing.T) {
	for _, size := range []int{1, 2, 3, 4, 5, 50} {
		var nodes []string
		for i := range size {
			nodes = append(nodes, fmt.Sprint("n", i))
		}
		// Each pair "watcher>watched" must be named by both sides.
		named := map[string]int{}
		for _, node := range nodes {
			watchers, watched := AssignWatchers(node, nodes)
			want := min(WatchersPerNode, size-1)
			if len(watchers) != want || len(watched) != want || slices.Contains(watchers, node) {
				t.Fatalf("%d nodes: %s is watched by %v and watches %v", size, node, watchers, watched)
			}
			for _, watcher := range watchers {
				named[watcher+">"+node]++
			}
			for _, other := range watched {
				named[node+">"+other]++
			}
		}
		for pair, n := range named {
			if n != 2 {
				t.Errorf("%d nodes: %s is known to one side only", size, pair)
			}
		}
	}
}
