package controlclient

import (
	"slices"
	"testing"

	"comethold/internal/distribution"
	"comethold/internal/logging"
	"comethold/internal/rpc"
	"comethold/internal/settings"
)

// newTestStream returns the update stream of the node n1 in zone r1a of region r1.
func newTestStream(seeds ...string) *updateStream {
	set := &settings.Settings{
		NodeName:         "n1",
		IPAddress:        "10.0.0.9",
		AvailabilityZone: "r1a",
		RegionName:       "r1",
		SeedNodes:        seeds,
	}
	return newUpdateStream(Options{
		Settings: set,
		Log:      logging.Nop(),
		Program:  settings.DataPlane,
		Network:  rpc.TCPNetwork,
	}, nil)
}

func controlNode(name, addr, zone string, down bool) distribution.Node {
	return distribution.Node{Name: name, Addr: addr, Zone: zone, ControlPlane: true, Down: down}
}

// TestRankedHostsOrder checks the order in which control nodes are polled: the same zone first, then
// other nodes of the directory, seed nodes outside of the directory, nodes that are down, and nodes
// to avoid last.
func TestRankedHostsOrder(t *testing.T) {
	s := newTestStream("10.0.0.8:80")
	if got, want := s.rankedHosts(), []string{"10.0.0.8"}; !slices.Equal(got, want) {
		t.Errorf("rankedHosts without a directory of nodes returned %v, want %v", got, want)
	}
	s.setNodes([]distribution.Node{
		controlNode("c1", "10.0.0.1", "r1a", true),
		controlNode("c2", "10.0.0.2", "r2a", false),
		controlNode("c3", "10.0.0.3", "r1a", false),
		{Name: "d1", Addr: "10.0.0.4", Zone: "r1a"},
	})
	if got, want := s.rankedHosts(), []string{"10.0.0.3", "10.0.0.2", "10.0.0.8", "10.0.0.1"}; !slices.Equal(got, want) {
		t.Errorf("rankedHosts with a directory of nodes returned %v, want %v", got, want)
	}
	s.avoid("10.0.0.3")
	if got, want := s.rankedHosts(), []string{"10.0.0.2", "10.0.0.8", "10.0.0.1", "10.0.0.3"}; !slices.Equal(got, want) {
		t.Errorf("rankedHosts with a node to avoid returned %v, want %v", got, want)
	}
}

// TestPeerHostsAreInZoneOrSeeds checks that this node, control nodes, object caches and nodes of other
// zones are not polled as peers.
func TestPeerHostsAreInZoneOrSeeds(t *testing.T) {
	s := newTestStream("10.0.0.8:80", "10.0.0.9:80")
	s.setNodes([]distribution.Node{
		controlNode("c1", "10.0.0.1", "r1a", false),
		{Name: "n1", Addr: "10.0.0.9", Zone: "r1a"},
		{Name: "n2", Addr: "10.0.0.4", Zone: "r1a"},
		{Name: "n3", Addr: "10.0.0.5", Zone: "r1b"},
		{Name: "s1", Addr: "10.0.0.6", Zone: "r1a", ObjectCache: true},
	})
	if got, want := s.peerHosts(), []string{"10.0.0.4", "10.0.0.8"}; !slices.Equal(got, want) {
		t.Errorf("peerHosts returned %v, want %v", got, want)
	}
}
