package controlclient

import (
	"fmt"
	"testing"
	"time"

	"comethold/internal/distribution"
	"comethold/internal/logging"
	"comethold/internal/outbox"
	"comethold/internal/retrybudget"
	"comethold/internal/routing"
	"comethold/internal/upstream"
)

// TestNotificationDecisions: doubled, early, forged and missing notices change nothing that they should
// not, and healthy ones go on.
func TestNotificationDecisions(t *testing.T) {
	now := time.Now()
	s := newAppliedState(logging.Nop(), upstream.NewClusterManager(upstream.Locality{Node: "n"}, nil, logging.Nop()), retrybudget.New(retrybudget.Config{}, now))
	var got []string
	s.onTenantsChanged = func(names []string) { got = append(got, fmt.Sprint(names)) }
	tell := func(pos, version, after uint64, tenant string) distribution.OutboxNotification {
		n, err := outbox.NewNotification(fmt.Sprint("c/", version), outbox.AggregateConfiguration, version, after, outbox.ConfigurationChange{Tenants: []string{tenant}})
		if err != nil {
			t.Fatal(err)
		}
		return distribution.OutboxNotification{LogIndex: pos, Notification: n}
	}
	config := func(version uint64) *distribution.ConfigUpdate {
		return distribution.FullConfig(&routing.Configuration{Version: version})
	}
	want := func(what string, n *distribution.Update, applied ...string) {
		t.Helper()
		got = nil
		s.apply(n)
		if fmt.Sprint(got) != fmt.Sprint(applied) {
			t.Errorf("%s: %v applied, not %v", what, got, applied)
		}
	}
	want("the start: the state stands for all before", &distribution.Update{Config: config(7),
		Notifications: &distribution.NotificationUpdate{LogIndex: 20, Reset: true, BaseVersions: map[string]uint64{outbox.AggregateConfiguration: 7}}})
	want("a notice before its state", &distribution.Update{Notifications: &distribution.NotificationUpdate{LogIndex: 30, Notifications: []distribution.OutboxNotification{tell(30, 9, 7, "a")}}})
	want("its state", &distribution.Update{Config: config(9)}, "[a]")
	want("the same position again", &distribution.Update{Notifications: &distribution.NotificationUpdate{LogIndex: 30, Notifications: []distribution.OutboxNotification{tell(30, 9, 7, "a")}}})
	forged, torn := tell(31, 9, 7, "x"), tell(32, 11, 9, "y")
	torn.Notification.Payload = []byte{1}
	want("other content, a torn one, a healthy one", &distribution.Update{Config: config(11),
		Notifications: &distribution.NotificationUpdate{LogIndex: 33, Notifications: []distribution.OutboxNotification{forged, torn, tell(33, 11, 9, "b"), tell(33, 11, 9, "b")}}}, "[b]")
	want("one is missing, the state covers it", &distribution.Update{Config: config(15),
		Notifications: &distribution.NotificationUpdate{LogIndex: 50, Notifications: []distribution.OutboxNotification{tell(50, 15, 13, "c")}}}, "[c]")
	if s.heldVersions().NotificationIndex != 50 {
		t.Error("the position told is", s.heldVersions().NotificationIndex)
	}
}
