package reconcile

import (
	"testing"
	"testing/synctest"
	"time"

	"comethold/internal/distribution"
)

// report has nodes report the health of an endpoint.
func (s *testState) report(report distribution.HealthReport, reporters ...string) {
	for _, name := range reporters {
		s.reports.Record(&distribution.UpdateRequest{
			Node:    distribution.Node{Name: name},
			Reports: []distribution.HealthReport{report},
		}, time.Now())
	}
}

// TestReportsEjectEndpoints: an endpoint that enough nodes report is ejected in the indexes
// of its service alone, until one node reports that it is well.
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
		t.Errorf("by one node's report: %v", got)
	}
	s.report(fault, "n1", "n2")
	s.rejectNext = true // another node changes a mark at the same time
	marks.applyReports(t.Context())
	for _, indexName := range []string{"i1", "i2"} {
		if got := s.marks(indexName)["e"]; got.Reason != distribution.ReasonUnresponsive {
			t.Errorf("%s: %v", indexName, got)
		}
	}
	if got := s.marks("i3"); len(got) != 0 {
		t.Errorf("in an index of another service: %v", got)
	}
	s.report(distribution.HealthReport{EndpointID: "e", Service: "b", Healthy: true}, "n1")
	marks.applyReports(t.Context())
	for _, indexName := range []string{"i1", "i2"} {
		if got := s.marks(indexName); len(got) != 0 {
			t.Errorf("%s, of one that is well: %v", indexName, got)
		}
	}
}

// TestListedMarks: endpoints that drain are marked, marks of endpoints that are not listed
// any more are dropped, and those of unresponsive ones after maxEjectionTime.
func TestListedMarks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestState(t)
		s.addIndex("i1", "a")
		marks := newMarkReconciler(s.options(), s.committer())
		s.endpoints = &distribution.EndpointList{Endpoints: []distribution.Endpoint{
			{ID: "drains", Service: "a", Draining: true},
			{ID: "silent", Service: "a"},
			{ID: "other", Service: "b", Draining: true},
		}}
		s.report(distribution.HealthReport{EndpointID: "silent", Service: "a"}, "n1", "n2")
		marks.applyReports(t.Context())
		check := func(when string, want map[string]string) {
			t.Helper()
			marks.applyEndpointList(t.Context())
			got := s.marks("i1")
			if len(got) != len(want) {
				t.Errorf("%s: %v", when, got)
			}
			for endpoint, reason := range want {
				if got[endpoint].Reason != reason {
					t.Errorf("%s: %s is %v", when, endpoint, got[endpoint])
				}
			}
		}
		both := map[string]string{
			"drains": distribution.ReasonDraining,
			"silent": distribution.ReasonUnresponsive,
		}
		check("at first", both)
		time.Sleep(maxEjectionTime)
		check("at the end of the ejection", both)
		time.Sleep(time.Second)
		check("after it", map[string]string{"drains": distribution.ReasonDraining})
		s.endpoints = &distribution.EndpointList{}
		check("not listed any more", nil)
	})
}
