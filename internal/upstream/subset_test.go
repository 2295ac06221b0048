package upstream

import (
	"fmt"
	"testing"

	"comethold/internal/distribution"
	"comethold/internal/logging"
)

// testLocality is a locality whose zones are named after their region: a1 is a
// zone of a.
func testLocality(node, zone string) Locality {
	return Locality{Node: node, Zone: zone, RegionOf: func(zone string) string { return zone[:1] }}
}

// endpointsAcross lists count endpoints of the service s, evenly over zones.
func endpointsAcross(zones []string, count int) map[string]distribution.Endpoint {
	listed := map[string]distribution.Endpoint{}
	for i := range count {
		id := fmt.Sprint("leaf-", i)
		listed[id] = distribution.Endpoint{ID: id, Service: "s", Addr: id, Zone: zones[i%len(zones)], Slots: 2}
	}
	return listed
}

var subsetZones = []string{"a1", "a2", "b1"}

// managersOf makes the managers of nodes over three zones that share endpoints of
// the service s, each of which accepts limit connections.
func managersOf(nodes, limit, endpoints int) []*ClusterManager {
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

// TestSubsetOfLargeCluster: near endpoints come first, all endpoints are used, and
// each by its part of the nodes.
func TestSubsetOfLargeCluster(t *testing.T) {
	users := map[string]int{}
	for i, m := range managersOf(60, 400, 120) {
		subset := m.testSubset()
		if len(subset) != maxSubsetSize {
			t.Fatalf("node %d uses %d endpoints", i, len(subset))
		}
		for _, endpoint := range subset {
			info := endpoint.Info()
			users[info.ID]++
			if info.Zone != subsetZones[i%3] {
				t.Errorf("node %d of %s uses %s of %s, with 40 endpoints near", i, subsetZones[i%3], info.ID, info.Zone)
			}
		}
	}
	if len(users) != 120 {
		t.Errorf("only %d of 120 endpoints are used", len(users))
	}
}

func TestSubsetOfSmallClusterIsAllOfIt(t *testing.T) {
	if m := managersOf(1, 400, 12)[0]; len(m.testSubset()) != 12 {
		t.Error("a small cluster is cut")
	}
}

// TestSubsetKeepsConnectionLimit: where more nodes than an endpoint accepts
// connections share it, each node opens one, within the limit.
func TestSubsetKeepsConnectionLimit(t *testing.T) {
	users := map[string]int{}
	for _, m := range managersOf(90, 30, 30) {
		for _, endpoint := range m.testSubset() {
			users[endpoint.Info().ID]++
			if m.clusters["s"].connectionLimit != 1 {
				t.Fatal("a node may open more than one connection to an endpoint")
			}
		}
	}
	for id, count := range users {
		if count > 30 {
			t.Errorf("%s is used by %d nodes and accepts 30 connections", id, count)
		}
	}
}

// TestSubsetLeavesOutEjected: what the fleet ejects leaves its place to the next in
// order, and when the zone has too few left the region is used. With the whole
// subset full, any other endpoint serves.
func TestSubsetLeavesOutEjected(t *testing.T) {
	m := managersOf(1, 400, 120)[0]
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
			t.Errorf("%s is ejected and used", info.ID)
		}
		byZone[info.Zone]++
	}
	if byZone["a1"] != 10 || byZone["a2"] != maxSubsetSize-10 {
		t.Errorf("used by zone: %v", byZone)
	}
	for _, endpoint := range m.testSubset() {
		endpoint.activeCalls = m.balancer.maxActiveCalls(endpoint)
	}
	if m.Reserve("s", nil, false) == nil {
		t.Error("no endpoint is used when the subset is full")
	}
}
