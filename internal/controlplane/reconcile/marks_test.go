package reconcile

import (
	"testing"
	"testing/synctest"
	"time"

	"comethold/internal/distribution"
)

// report records the same report on the health of an endpoint from several nodes.
func (s *testState) report(report distribution.HealthReport, reporters ...string) {
	for _, name := range reporters {
		s.reports.Record(&distribution.UpdateRequest{
			Node:    distribution.Node{Name: name},
			Reports: []distribution.HealthReport{report},
		}, time.Now())
	}
}

// TestReportsEjectEndpoints: an endpoint that enough nodes report as faulty is ejected only in
// the indexes of its service, until one node reports it as healthy. The first transaction fails,
// as if another control node had changed a mark, so the changes must be computed again.
func TestReportsEjectEndpoints(t *testing.T) {
	s := newTestState(t)
	s.addIndex("i1", "a", "b")
	s.addIndex("i2", "b")
	s.addIndex("i3", "c")
	marks := newMarkReconciler(s.options(), s.committer())
	fault := distribution.HealthReport{EndpointID: "e", Service: "b"}
	s.report(fault, "n1")
	marks.applyReports(t.Context())
	if got := s.marks("i1"); len(got) != 0 {
		t.Errorf("marks in i1 after the report of one node: %v, want none", got)
	}
	s.report(fault, "n1", "n2")
	s.rejectNext = true // another control node changes a mark concurrently
	marks.applyReports(t.Context())
	for _, indexName := range []string{"i1", "i2"} {
		if got := s.marks(indexName)["e"]; got.Reason != distribution.ReasonUnresponsive {
			t.Errorf("mark of e in %s after the reports of two nodes: %v, want reason ReasonUnresponsive", indexName, got)
		}
	}
	if got := s.marks("i3"); len(got) != 0 {
		t.Errorf("marks in i3, an index of another service: %v, want none", got)
	}
	s.report(distribution.HealthReport{EndpointID: "e", Service: "b", Healthy: true}, "n1")
	marks.applyReports(t.Context())
	for _, indexName := range []string{"i1", "i2"} {
		if got := s.marks(indexName); len(got) != 0 {
			t.Errorf("marks in %s after a report that e is healthy: %v, want none", indexName, got)
		}
	}
}

// TestEndpointListChangesMarks: draining endpoints are marked, marks of endpoints that are no
// longer listed are removed, and marks of unresponsive endpoints are removed after
// maxEjectionTime. Without that limit, an endpoint whose recovery report is lost stays ejected.
func TestEndpointListChangesMarks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestState(t)
		s.addIndex("i1", "a")
		marks := newMarkReconciler(s.options(), s.committer())
		s.endpoints = &distribution.EndpointList{Endpoints: []distribution.Endpoint{
			{ID: "draining", Service: "a", Draining: true},
			{ID: "unresponsive", Service: "a"},
			{ID: "other-service", Service: "b", Draining: true},
		}}
		s.report(distribution.HealthReport{EndpointID: "unresponsive", Service: "a"}, "n1", "n2")
		marks.applyReports(t.Context())
		check := func(when string, want map[string]string) {
			t.Helper()
			marks.applyEndpointList(t.Context())
			got := s.marks("i1")
			if len(got) != len(want) {
				t.Errorf("%s: marks in i1 are %v, want %v", when, got, want)
			}
			for endpoint, reason := range want {
				if got[endpoint].Reason != reason {
					t.Errorf("%s: mark of %s is %v, want reason %q", when, endpoint, got[endpoint], reason)
				}
			}
		}
		both := map[string]string{
			"draining":     distribution.ReasonDraining,
			"unresponsive": distribution.ReasonUnresponsive,
		}
		check("after the first list", both)
		time.Sleep(maxEjectionTime)
		check("at maxEjectionTime", both)
		time.Sleep(time.Second)
		check("after maxEjectionTime", map[string]string{"draining": distribution.ReasonDraining})
		s.endpoints = &distribution.EndpointList{}
		check("after an empty list", nil)
	})
}
