package nodereports

import (
	"testing"
	"time"

	"comethold/internal/distribution"
)

// reportHealth records a report from reporter on the health of the endpoint "e".
func reportHealth(tracker *Tracker, reporter string, healthy bool, now time.Time) {
	tracker.Record(&distribution.UpdateRequest{
		Node:    distribution.Node{Name: reporter},
		Reports: []distribution.HealthReport{{EndpointID: "e", Healthy: healthy}},
	}, now)
}

// TestFaultRequiresTwoReporters checks that a fault is agreed only when two nodes report it within
// ReportLifetime, and that a recovery reported by any node replaces it. Otherwise, a single node
// with a faulty network could eject endpoints that are healthy.
func TestFaultRequiresTwoReporters(t *testing.T) {
	tracker := NewTracker()
	now := time.Now()
	reportHealth(tracker, "n1", false, now)
	reportHealth(tracker, "n1", false, now)
	if agreed := tracker.AgreedReports(now); !agreed.IsEmpty() {
		t.Errorf("AgreedReports after a fault reported by one node returned %v, want none", agreed)
	}
	reportHealth(tracker, "n2", false, now.Add(ReportLifetime/2))
	if agreed := tracker.AgreedReports(now.Add(ReportLifetime)); len(agreed.Faults) != 1 || len(agreed.Recoveries) != 0 {
		t.Errorf("AgreedReports after a fault reported by two nodes returned %v, want one fault", agreed)
	}
	if agreed := tracker.AgreedReports(now.Add(ReportLifetime + time.Second/2)); !agreed.IsEmpty() {
		t.Errorf("AgreedReports after one of two reports expired returned %v, want none", agreed)
	}
	later := now.Add(ReportLifetime + time.Second)
	reportHealth(tracker, "n3", true, later)
	agreed := tracker.AgreedReports(later)
	if len(agreed.Faults) != 0 || len(agreed.Recoveries) != 1 {
		t.Errorf("AgreedReports after a recovery returned %v, want one recovery and no fault", agreed)
	}
	tracker.Resolve(agreed)
	if agreed := tracker.AgreedReports(later); !agreed.IsEmpty() {
		t.Errorf("AgreedReports after Resolve returned %v, want none", agreed)
	}
}

// TestLiveNodesExpire checks that a node is live for ContactLifetime after its last request, and
// that a request is urgent only if the node is new or has expired.
func TestLiveNodesExpire(t *testing.T) {
	tracker := NewTracker()
	now := time.Now()
	request := &distribution.UpdateRequest{Node: distribution.Node{Name: "n1", Zone: "z"}}
	if !tracker.Record(request, now) {
		t.Error("Record of a new node returned isUrgent false, want true")
	}
	if tracker.Record(request, now) {
		t.Error("Record of a known node returned isUrgent true, want false")
	}
	if nodes := tracker.LiveNodes(now.Add(ContactLifetime)); nodes["n1"] != request.Node {
		t.Errorf("LiveNodes after ContactLifetime returned %v, want the node n1", nodes)
	}
	if nodes := tracker.LiveNodes(now.Add(ContactLifetime + 1)); len(nodes) != 0 {
		t.Errorf("LiveNodes after more than ContactLifetime returned %v, want none", nodes)
	}
	if !tracker.Record(request, now) {
		t.Error("Record of a node that had expired returned isUrgent false, want true")
	}
}

// TestSuspicionsExpire checks that a suspicion expires SuspicionLifetime after its last report, and
// that the node is then included once more, with a count of 0.
func TestSuspicionsExpire(t *testing.T) {
	tracker := NewTracker()
	now := time.Now()
	for _, reporter := range []string{"n1", "n2"} {
		tracker.Record(&distribution.UpdateRequest{
			Node:     distribution.Node{Name: reporter},
			Suspects: []string{"gone", "back"},
		}, now)
	}
	tracker.ClearSuspicion("back")
	if counts := tracker.SuspicionCounts(now); len(counts) != 1 || counts["gone"] != 2 {
		t.Errorf("SuspicionCounts returned %v, want 2 for the node gone only", counts)
	}
	expired := now.Add(SuspicionLifetime + 1)
	if counts := tracker.SuspicionCounts(expired); len(counts) != 1 || counts["gone"] != 0 {
		t.Errorf("SuspicionCounts after the expiry returned %v, want 0 for the node gone only", counts)
	}
	if counts := tracker.SuspicionCounts(expired); len(counts) != 0 {
		t.Errorf("second SuspicionCounts after the expiry returned %v, want none", counts)
	}
}
