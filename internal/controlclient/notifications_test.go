package controlclient

import (
	"fmt"
	"testing"

	"comethold/internal/distribution"
	"comethold/internal/outbox"
	"comethold/internal/routing"
)

// newTestNotification returns the notification that a configuration changed a tenant.
func newTestNotification(
	t *testing.T, logIndex, version, previous uint64, tenant string,
) distribution.OutboxNotification {
	t.Helper()
	id := fmt.Sprint("c/", version)
	change := outbox.ConfigurationChange{Tenants: []string{tenant}}
	n, err := outbox.Notification{
		EventID:         id,
		Aggregate:       outbox.AggregateConfiguration,
		Version:         version,
		PreviousVersion: previous,
	}.WithPayload(change)
	if err != nil {
		t.Fatal(err)
	}
	return distribution.OutboxNotification{LogIndex: logIndex, Notification: n}
}

// TestNotificationDecisions: notifications that are repeated, early, forged or missing change
// nothing that they should not, and valid ones are acted on.
func TestNotificationDecisions(t *testing.T) {
	s := newTestState()
	var applied []string
	s.onTenantsChanged = func(tenants []string) { applied = append(applied, fmt.Sprint(tenants)) }
	config := func(version uint64) *distribution.ConfigUpdate {
		return distribution.FullConfig(&routing.Configuration{Version: version})
	}
	notification := func(logIndex, version, previous uint64, tenant string) distribution.OutboxNotification {
		return newTestNotification(t, logIndex, version, previous, tenant)
	}
	upTo := func(logIndex uint64, all ...distribution.OutboxNotification) *distribution.NotificationUpdate {
		return &distribution.NotificationUpdate{LogIndex: logIndex, Notifications: all}
	}
	forged, damaged := notification(31, 9, 7, "x"), notification(32, 11, 9, "y")
	damaged.Notification.Payload = []byte{1}
	for _, step := range []struct {
		situation string
		update    distribution.Update
		want      []string
	}{
		{"the start: the state stands for all before", distribution.Update{
			Config: config(7),
			Notifications: &distribution.NotificationUpdate{
				LogIndex:     20,
				Reset:        true,
				BaseVersions: map[string]uint64{outbox.AggregateConfiguration: 7},
			},
		}, nil},
		{"a notification before its state", distribution.Update{
			Notifications: upTo(30, notification(30, 9, 7, "a")),
		}, nil},
		{"its state", distribution.Update{Config: config(9)}, []string{"[a]"}},
		{"the same log index again", distribution.Update{
			Notifications: upTo(30, notification(30, 9, 7, "a")),
		}, nil},
		{"other content, a damaged one, a valid one twice", distribution.Update{
			Config: config(11),
			Notifications: upTo(33, forged, damaged,
				notification(33, 11, 9, "b"), notification(33, 11, 9, "b")),
		}, []string{"[b]"}},
		{"one is missing, the state covers it", distribution.Update{
			Config:        config(15),
			Notifications: upTo(50, notification(50, 15, 13, "c")),
		}, []string{"[c]"}},
	} {
		applied = nil
		s.apply(&step.update)
		if fmt.Sprint(applied) != fmt.Sprint(step.want) {
			t.Errorf("%s: got %v, want %v", step.situation, applied, step.want)
		}
	}
	if got := s.heldVersions().NotificationIndex; got != 50 {
		t.Errorf("the log index of the notifications is %d, want 50", got)
	}
}
