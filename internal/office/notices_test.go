package office

import (
	"fmt"
	"testing"
	"time"

	"comethold/internal/event"
	"comethold/internal/feed"
	"comethold/internal/notice"
	"comethold/internal/numbering"
	"comethold/internal/toll"
	"comethold/internal/trunk"
)

// TestNotificationDecisions: doubled, early, forged and missing notices change nothing that they should
// not, and healthy ones go on.
func TestNotificationDecisions(t *testing.T) {
	now := time.Now()
	s := newAppliedState(event.Nop(), trunk.NewClusterManager(trunk.Locality{Node: "n"}, nil, event.Nop()), toll.New(toll.Config{}, now))
	var got []string
	s.onTenantsChanged = func(names []string) { got = append(got, fmt.Sprint(names)) }
	tell := func(pos, version, after uint64, tenant string) feed.OutboxNotification {
		n, err := notice.NewNotification(fmt.Sprint("c/", version), notice.AggregateConfiguration, version, after, notice.ConfigurationChange{Tenants: []string{tenant}})
		if err != nil {
			t.Fatal(err)
		}
		return feed.OutboxNotification{LogIndex: pos, Notification: n}
	}
	config := func(version uint64) *feed.ConfigUpdate {
		return feed.FullConfig(&numbering.Configuration{Version: version})
	}
	want := func(what string, n *feed.Update, applied ...string) {
		t.Helper()
		got = nil
		s.apply(n)
		if fmt.Sprint(got) != fmt.Sprint(applied) {
			t.Errorf("%s: %v applied, not %v", what, got, applied)
		}
	}
	want("the start: the state stands for all before", &feed.Update{Config: config(7),
		Notifications: &feed.NotificationUpdate{LogIndex: 20, Reset: true, BaseVersions: map[string]uint64{notice.AggregateConfiguration: 7}}})
	want("a notice before its state", &feed.Update{Notifications: &feed.NotificationUpdate{LogIndex: 30, Notifications: []feed.OutboxNotification{tell(30, 9, 7, "a")}}})
	want("its state", &feed.Update{Config: config(9)}, "[a]")
	want("the same position again", &feed.Update{Notifications: &feed.NotificationUpdate{LogIndex: 30, Notifications: []feed.OutboxNotification{tell(30, 9, 7, "a")}}})
	forged, torn := tell(31, 9, 7, "x"), tell(32, 11, 9, "y")
	torn.Notification.Payload = []byte{1}
	want("other content, a torn one, a healthy one", &feed.Update{Config: config(11),
		Notifications: &feed.NotificationUpdate{LogIndex: 33, Notifications: []feed.OutboxNotification{forged, torn, tell(33, 11, 9, "b"), tell(33, 11, 9, "b")}}}, "[b]")
	want("one is missing, the state covers it", &feed.Update{Config: config(15),
		Notifications: &feed.NotificationUpdate{LogIndex: 50, Notifications: []feed.OutboxNotification{tell(50, 15, 13, "c")}}}, "[c]")
	if s.heldVersions().NotificationIndex != 50 {
		t.Error("the position told is", s.heldVersions().NotificationIndex)
	}
}
