package nodereports

import (
	"testing"
	"time"

	"comethold/internal/distribution"
)

// reportHealth has a node report on the endpoint "e".
func reportHealth(tracker *Tracker, reporter string, healthy bool, now time.Time) {
	tracker.Record(&distribution.UpdateRequest{
		Node:    distribution.Node{Name: reporter},
		Reports: []distribution.HealthReport{{EndpointID: "e", Healthy: healthy}},
	}, now)
}

// TestHealthNeedsWitnesses: a fault counts once two nodes report it within ReportLifetime; a
// recovery that any node reports takes its place.
func TestHealthNeedsWitnesses(t *testing.T) {
	tracker := NewTracker()
	now := time.Now()
	reportHealth(tracker, "n1", false, now)
	reportHealth(tracker, "n1", false, now)
	if agreed := tracker.AgreedReports(now); !agreed.IsEmpty() {
		t.Errorf("one node reports a fault: %v", agreed)
	}
	reportHealth(tracker, "n2", false, now.Add(ReportLifetime/2))
	if agreed := tracker.AgreedReports(now.Add(ReportLifetime)); len(agreed.Faults) != 1 || len(agreed.Recoveries) != 0 {
		t.Errorf("two nodes report a fault: %v", agreed)
	}
	if agreed := tracker.AgreedReports(now.Add(ReportLifetime + time.Second/2)); !agreed.IsEmpty() {
		t.Errorf("the first report has expired: %v", agreed)
	}
	later := now.Add(ReportLifetime + time.Second)
	reportHealth(tracker, "n3", true, later)
	agreed := tracker.AgreedReports(later)
	if len(agreed.Faults) != 0 || len(agreed.Recoveries) != 1 {
		t.Errorf("a node reports a recovery: %v", agreed)
	}
	tracker.Resolve(agreed)
	if agreed := tracker.AgreedReports(later); !agreed.IsEmpty() {
		t.Errorf("it is resolved: %v", agreed)
	}
}

// TestContactsExpire: a node that calls is known for ContactLifetime, and urgent only when it
// is new.
func TestContactsExpire(t *testing.T) {
	tracker := NewTracker()
	now := time.Now()
	call := &distribution.UpdateRequest{Node: distribution.Node{Name: "n1", Zone: "z"}}
	if !tracker.Record(call, now) {
		t.Error("a new node is not urgent")
	}
	if tracker.Record(call, now) {
		t.Error("a known node is urgent")
	}
	if contacts := tracker.LiveNodes(now.Add(ContactLifetime)); contacts["n1"] != call.Node {
		t.Errorf("known are %v", contacts)
	}
	if contacts := tracker.LiveNodes(now.Add(ContactLifetime + 1)); len(contacts) != 0 {
		t.Errorf("known are still %v", contacts)
	}
	if !tracker.Record(call, now) {
		t.Error("a node that is forgotten and comes again is not urgent")
	}
}

// TestSuspectsExpire: a suspicion lasts SuspicionLifetime from its last report, and is listed
// once more, with no witness, when it ends.
func TestSuspectsExpire(t *testing.T) {
	tracker := NewTracker()
	now := time.Now()
	for _, reporter := range []string{"n1", "n2"} {
		tracker.Record(&distribution.UpdateRequest{
			Node:     distribution.Node{Name: reporter},
			Suspects: []string{"gone", "back"},
		}, now)
	}
	tracker.ClearSuspicion("back")
	if suspects := tracker.SuspicionCounts(now); len(suspects) != 1 || suspects["gone"] != 2 {
		t.Errorf("suspected are %v", suspects)
	}
	expired := now.Add(SuspicionLifetime + 1)
	if suspects := tracker.SuspicionCounts(expired); len(suspects) != 1 || suspects["gone"] != 0 {
		t.Errorf("suspected are %v at the end", suspects)
	}
	if suspects := tracker.SuspicionCounts(expired); len(suspects) != 0 {
		t.Errorf("suspected are %v after the end", suspects)
	}
}
