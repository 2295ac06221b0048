package upstream

import (
	"fmt"
	"testing"

	"comethold/internal/distribution"
	"comethold/internal/logging"
)

// testLocality returns a locality where the first letter of a zone names its region: a1 is
// a zone of the region a.
func testLocality(node, zone string) Locality {
	return Locality{Node: node, Zone: zone, RegionOf: func(zone string) string { return zone[:1] }}
}

// endpointsAcross returns count endpoints of the service s, spread evenly over zones.
func endpointsAcross(zones []string, count int) map[string]distribution.Endpoint {
	listed := map[string]distribution.Endpoint{}
	for i := range count {
		id := fmt.Sprint("leaf-", i)
		listed[id] = distribution.Endpoint{ID: id, Service: "s", Addr: id, Zone: zones[i%len(zones)], Slots: 2}
	}
	return listed
}

var subsetZones = []string{"a1", "a2", "b1"}

// newTestManagers returns the managers of nodes in three zones. They share the endpoints of
// the service s, each of which accepts limit connections.
func newTestManagers(nodes, limit, endpoints int) []*ClusterManager {
	var managers []*ClusterManager
	for i := range nodes {
		m := NewClusterManager(testLocality(fmt.Sprint("node-", i), subsetZones[i%3]), nil, logging.Nop())
		m.SetServices(map[string]int{"s": limit}, nil)
		m.SetNodeCount(nodes)
		m.SetEndpoints(endpointsAcross(subsetZones, endpoints))
		managers = append(managers, m)
	}
	return managers
}

func (m *ClusterManager) testSubset() []*Endpoint { return m.subsets.subset(m.clusters["s"]) }

// TestSubsetOfLargeCluster: a subset contains only endpoints of the node's zone if there are
// enough of them, and each endpoint is in the subset of some node.
func TestSubsetOfLargeCluster(t *testing.T) {
	users := map[string]int{}
	for i, m := range newTestManagers(60, 400, 120) {
		subset := m.testSubset()
		if len(subset) != maxSubsetSize {
			t.Fatalf("subset of node %d has %d endpoints, want maxSubsetSize", i, len(subset))
		}
		for _, endpoint := range subset {
			info := endpoint.Info()
			users[info.ID]++
			if info.Zone != subsetZones[i%3] {
				t.Errorf("node %d in %s uses %s in %s, want only its own zone", i, subsetZones[i%3], info.ID, info.Zone)
			}
		}
	}
	if len(users) != 120 {
		t.Errorf("subsets of all nodes contain %d endpoints, want 120", len(users))
	}
}

// TestSubsetOfSmallClusterHasAllEndpoints guards against a subset that leaves out endpoints
// although the cluster is smaller than maxSubsetSize.
func TestSubsetOfSmallClusterHasAllEndpoints(t *testing.T) {
	if m := newTestManagers(1, 400, 12)[0]; len(m.testSubset()) != 12 {
		t.Error("subset of a cluster of 12 endpoints does not have 12 endpoints")
	}
}

// TestSubsetKeepsConnectionLimit guards against more connections to an endpoint than its limit
// when there are more nodes than that limit. Each node may then open one connection, and the
// endpoint may be in the subsets of at most as many nodes as the limit allows.
func TestSubsetKeepsConnectionLimit(t *testing.T) {
	users := map[string]int{}
	for _, m := range newTestManagers(90, 30, 30) {
		for _, endpoint := range m.testSubset() {
			users[endpoint.Info().ID]++
			if m.clusters["s"].connectionLimit != 1 {
				t.Fatal("connectionLimit of a node is not 1")
			}
		}
	}
	for id, count := range users {
		if count > 30 {
			t.Errorf("%s is in the subsets of %d nodes, want at most 30", id, count)
		}
	}
}

// TestSubsetExcludesEjected: the endpoints next in rank replace those that the fleet ejects,
// also from other zones of the region if the node's zone has too few. When all endpoints of
// the subset are full, Reserve returns one outside of it.
func TestSubsetExcludesEjected(t *testing.T) {
	m := newTestManagers(1, 400, 120)[0]
	marks := map[string]distribution.EjectionMark{}
	for id, endpoint := range m.endpoints {
		if endpoint.Info().Zone == "a1" && len(marks) < 30 {
			marks[id] = distribution.EjectionMark{Reason: distribution.ReasonUnresponsive}
		}
	}
	m.SetFleetEjections(marks)
	byZone := map[string]int{}
	for _, endpoint := range m.testSubset() {
		info := endpoint.Info()
		if _, ejected := marks[info.ID]; ejected {
			t.Errorf("the subset contains %s, which the fleet has ejected", info.ID)
		}
		byZone[info.Zone]++
	}
	if byZone["a1"] != 10 || byZone["a2"] != maxSubsetSize-10 {
		t.Errorf("subset has endpoints by zone: %v, want 10 in a1 and the rest in a2", byZone)
	}
	for _, endpoint := range m.testSubset() {
		endpoint.activeCalls = m.balancer.maxActiveCalls(endpoint)
	}
	if m.Reserve("s", nil, false) == nil {
		t.Error("Reserve returned no endpoint while all in the subset are full")
	}
}
