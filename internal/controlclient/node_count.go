package controlclient

import "time"

// nodeCountWindow is how long a node that left the directory, or is down, still counts when
// limits are divided among the nodes: its requests still count in the windows of the limits.
const nodeCountWindow = 15 * time.Second

// nodeCount is how many nodes shared the limits from a time on.
type nodeCount struct {
	count int
	since time.Time
}

// updateNodeCountLocked divides the shared limits by the highest number of nodes in the last
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
	most := 0
	for _, c := range s.nodeCounts {
		most = max(most, c.count)
	}
	s.upstreams.SetNodeCount(most)
	s.retryBudget.SetNodeCount(most)
}
