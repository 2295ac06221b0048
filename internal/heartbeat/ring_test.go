package heartbeat

import (
	"fmt"
	"slices"
	"testing"
)

// TestAssign: who watches a node is who says that it watches that node, on rings of
// any size.
func TestAssign(t *testing.T) {
	for _, size := range []int{1, 2, 3, 4, 5, 50} {
		var all []string
		for i := range size {
			all = append(all, fmt.Sprint("n", i))
		}
		pairs, watched := map[string]int{}, 0
		for _, n := range all {
			by, whom := Assign(n, all)
			if want := min(WatchersPerNode, size-1); len(by) != want || len(whom) != want || slices.Contains(by, n) {
				t.Fatalf("%d nodes: %s is watched by %v and watches %v", size, n, by, whom)
			}
			for _, w := range by {
				pairs[w+">"+n]++
			}
			for _, o := range whom {
				pairs[n+">"+o]++
				watched++
			}
		}
		for p, k := range pairs {
			if k != 2 {
				t.Errorf("%d nodes: %s is known to one side only", size, p)
			}
		}
	}
}
