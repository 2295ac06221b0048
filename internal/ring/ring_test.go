package ring

import (
	"fmt"
	"slices"
	"testing"
)

// TestOf: who watches a node is who says that it watches that node, on rings of
// any size.
func TestOf(t *testing.T) {
	for _, size := range []int{1, 2, 3, 4, 5, 50} {
		var all []string
		for i := range size {
			all = append(all, fmt.Sprint("n", i))
		}
		pairs, watched := map[string]int{}, 0
		for _, n := range all {
			by, whom := Of(n, all)
			if want := min(Watchers, size-1); len(by) != want || len(whom) != want || slices.Contains(by, n) {
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
