package controlclient

import "time"

// nodeCountWindow is how long a node that left the directory, or is down, is still included when
// limits are divided among the nodes. Its recent requests are still in the windows over which the
// limits are measured.
const nodeCountWindow = 15 * time.Second

// nodeCount is the number of nodes that share the limits from the time since until the next entry.
type nodeCount struct {
	count int
	since time.Time
}

// updateNodeCountLocked divides the shared limits by the highest node count within the last
// nodeCountWindow.
func (s *appliedState) updateNodeCountLocked(now time.Time) {
	count := s.dataPlaneCount
	if s.sharingNodes != nil {
		count = s.sharingNodes()
	}
	if count == 0 {
		return
	}
	if n := len(s.nodeCounts); n == 0 || s.nodeCounts[n-1].count != count {
		s.nodeCounts = append(s.nodeCounts, nodeCount{count: count, since: now})
	}
	for len(s.nodeCounts) > 1 && now.Sub(s.nodeCounts[1].since) > nodeCountWindow {
		s.nodeCounts = s.nodeCounts[1:]
	}
	highest := 0
	for _, c := range s.nodeCounts {
		highest = max(highest, c.count)
	}
	s.upstreams.SetNodeCount(highest)
	s.retryBudget.SetNodeCount(highest)
}
