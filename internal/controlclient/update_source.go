package controlclient

import (
	"sort"
	"time"

	"comethold/internal/distribution"
	"comethold/internal/heartbeat"
)

const (
	// avoidDuration is how long a control node is ranked last after a failed poll or a stale
	// update.
	avoidDuration = 3 * time.Second
	// minSwitchInterval is the minimum time between two calls of switchSource that take effect.
	// Behind a network partition, it is possible that no reachable control node has newer
	// state, and further switches would not help.
	minSwitchInterval = 600 * time.Millisecond
)

// sourceRank orders the control nodes to poll. The lowest rank comes first.
type sourceRank int

const (
	rankSameZone sourceRank = iota
	rankSameRegion
	rankOtherRegion
	rankSeed // a seed node that is not in the directory of nodes, or no directory is held yet
	rankDown

	// rankAvoided is added to the rank of a node to avoid, so that the node follows all others.
	rankAvoided sourceRank = 10
)

// updateSource is a control node that may be polled.
type updateSource struct {
	host string
	rank sourceRank
	// preference orders control nodes of the same rank. It is a hash of this node's name and the
	// host, so that different nodes prefer different control nodes and the order is stable.
	preference uint64
}

// rankedHosts returns the hosts of the control nodes in the order in which to poll them.
func (s *updateStream) rankedHosts() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var sources []updateSource
	known := map[string]bool{}
	now := time.Now()
	add := func(host string, rank sourceRank) {
		if known[host] {
			return
		}
		known[host] = true
		if until, ok := s.avoidUntil[host]; ok && now.Before(until) {
			rank += rankAvoided
		}
		preference := heartbeat.Hash(s.self.Name, host)
		sources = append(sources, updateSource{host: host, rank: rank, preference: preference})
	}
	for _, n := range s.controlNodes {
		add(n.Addr, s.rankOf(n))
	}
	for _, host := range s.seeds {
		if host == s.self.Addr {
			add(host, rankSameZone)
		} else {
			add(host, rankSeed)
		}
	}
	sort.Slice(sources, func(i, j int) bool {
		if sources[i].rank != sources[j].rank {
			return sources[i].rank < sources[j].rank
		}
		return sources[i].preference < sources[j].preference
	})
	hosts := make([]string, len(sources))
	for i, source := range sources {
		hosts[i] = source.host
	}
	return hosts
}

// rankOf returns the rank of a control node in the directory.
func (s *updateStream) rankOf(n distribution.Node) sourceRank {
	switch {
	case n.Down:
		return rankDown
	case n.Zone == s.self.Zone:
		return rankSameZone
	case s.settings.RegionOf(n.Zone) == s.settings.RegionName:
		return rankSameRegion
	}
	return rankOtherRegion
}

// avoid ranks a control node last for avoidDuration.
func (s *updateStream) avoid(host string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.avoidUntil[host] = time.Now().Add(avoidDuration)
}

// switchSource cancels the open poll and avoids its control node, because another node holds
// newer state. It has no effect within minSwitchInterval of the last switch, or if no poll may
// be cancelled.
func (s *updateStream) switchSource() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.cancelPoll == nil || now.Sub(s.switchedAt) < minSwitchInterval {
		return
	}
	s.switchedAt = now
	s.avoidUntil[s.polledHost] = now.Add(avoidDuration)
	s.cancelPoll()
	s.cancelPoll = nil
}

// setNodes applies a new directory of nodes.
func (s *updateStream) setNodes(nodes []distribution.Node) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.controlNodes = nil
	s.dataPlaneNodes = nil
	for _, n := range nodes {
		switch {
		case n.ControlPlane:
			s.controlNodes = append(s.controlNodes, n)
		case n.ServesClients() && n.Name != s.self.Name:
			s.dataPlaneNodes = append(s.dataPlaneNodes, n)
		}
	}
}

// setSeeds replaces the seed nodes.
func (s *updateStream) setSeeds(hosts []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seeds = hosts
}

// peerHosts returns the hosts of the other data plane nodes of this zone and of the other seed
// nodes.
func (s *updateStream) peerHosts() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var hosts []string
	for _, n := range s.dataPlaneNodes {
		if n.Zone == s.self.Zone {
			hosts = append(hosts, n.Addr)
		}
	}
	for _, host := range s.seeds {
		if host != s.self.Addr {
			hosts = append(hosts, host)
		}
	}
	return hosts
}
