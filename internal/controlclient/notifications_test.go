package controlclient

import (
	"fmt"
	"testing"

	"comethold/internal/distribution"
	"comethold/internal/outbox"
	"comethold/internal/routing"
)

// newTestNotification returns a notification of a configuration change that affects a tenant.
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

// TestNotificationsAreAppliedOnce guards against notifications that are applied twice, before their
// state, or with invalid content, and against valid ones that are lost because an earlier one is
// missing.
func TestNotificationsAreAppliedOnce(t *testing.T) {
	s := newTestState()
	var applied []string
	s.onTenantsChanged = func(tenants []string) { applied = append(applied, fmt.Sprint(tenants)) }
	config := func(version uint64) *distribution.ConfigUpdate {
		return distribution.FullConfig(&routing.Configuration{Version: version})
	}
	notification := func(logIndex, version, previous uint64, tenant string) distribution.OutboxNotification {
		return newTestNotification(t, logIndex, version, previous, tenant)
	}
	notificationsUpTo := func(logIndex uint64, all ...distribution.OutboxNotification) *distribution.NotificationUpdate {
		return &distribution.NotificationUpdate{LogIndex: logIndex, Notifications: all}
	}
	conflicting, damaged := notification(31, 9, 7, "x"), notification(32, 11, 9, "y")
	damaged.Notification.Payload = []byte{1}
	for _, step := range []struct {
		name   string
		update distribution.Update
		want   []string
	}{
		{"reset with base versions", distribution.Update{
			Config: config(7),
			Notifications: &distribution.NotificationUpdate{
				LogIndex:     20,
				Reset:        true,
				BaseVersions: map[string]uint64{outbox.AggregateConfiguration: 7},
			},
		}, nil},
		{"notification before its state", distribution.Update{
			Notifications: notificationsUpTo(30, notification(30, 9, 7, "a")),
		}, nil},
		{"state of the deferred notification", distribution.Update{Config: config(9)}, []string{"[a]"}},
		{"notification repeated at the same log index", distribution.Update{
			Notifications: notificationsUpTo(30, notification(30, 9, 7, "a")),
		}, nil},
		{"conflicting content, damaged payload, valid notification twice", distribution.Update{
			Config: config(11),
			Notifications: notificationsUpTo(33, conflicting, damaged,
				notification(33, 11, 9, "b"), notification(33, 11, 9, "b")),
		}, []string{"[b]"}},
		{"earlier notification missing, but its change is in the state", distribution.Update{
			Config:        config(15),
			Notifications: notificationsUpTo(50, notification(50, 15, 13, "c")),
		}, []string{"[c]"}},
	} {
		applied = nil
		s.apply(&step.update)
		if fmt.Sprint(applied) != fmt.Sprint(step.want) {
			t.Errorf("%s: onTenantsChanged was called with %v, want %v", step.name, applied, step.want)
		}
	}
	if got := s.heldVersions().NotificationIndex; got != 50 {
		t.Errorf("NotificationIndex is %d, want 50", got)
	}
}
