package outbox

import (
	"errors"
	"testing"
)

// newTestNotification returns a notification of AggregateConfiguration.
func newTestNotification(t *testing.T, id string, version, previous uint64, payload any) *Notification {
	t.Helper()
	n, err := Notification{
		EventID:         id,
		Aggregate:       AggregateConfiguration,
		Version:         version,
		PreviousVersion: previous,
	}.WithPayload(payload)
	if err != nil {
		t.Fatal(err)
	}
	return &n
}

// TestInboxDecisions: Decide returns the right decision when notifications arrive out of order,
// repeated, damaged or before the state that they announce. Guards against a change that is
// applied twice, too early or with conflicting content, and against an inbox that grows without
// bound.
func TestInboxDecisions(t *testing.T) {
	changeOf := func(tenant string) ConfigurationChange {
		return ConfigurationChange{Tenants: []string{tenant}}
	}
	three := newTestNotification(t, "c/3", 3, 0, changeOf("a"))
	four := newTestNotification(t, "c/4", 4, 3, nil)
	five := newTestNotification(t, "c/5", 5, 3, nil)
	otherFour := newTestNotification(t, "c/4", 4, 3, changeOf("z"))
	otherFive := newTestNotification(t, "c/5", 5, 3, changeOf("b"))
	damaged := *five
	damaged.Payload = []byte{1, 2}
	withoutID := newTestNotification(t, "", 9, 5, nil)
	unknownAggregate := newTestNotification(t, "x", 9, 5, nil)
	unknownAggregate.Aggregate = "charges"
	backwards := newTestNotification(t, "c/4", 4, 4, nil)
	inbox := NewInbox()
	for i, step := range []struct {
		notification *Notification
		held         uint64
		want         Decision
		wantErr      error
	}{
		{five, 5, Deferred, nil},  // version 3 was not applied yet
		{three, 0, Deferred, nil}, // the receiver lacks the state that it announces
		{three, 3, Applied, nil},
		{three, 3, Duplicate, nil},
		{five, 3, Deferred, nil},
		{&damaged, 5, Quarantined, ErrInvalidNotification},
		{withoutID, 9, Quarantined, ErrInvalidNotification},
		{unknownAggregate, 9, Quarantined, ErrInvalidNotification},
		{backwards, 9, Quarantined, ErrInvalidNotification},
		{five, 5, Applied, nil},
		{otherFive, 5, Quarantined, ErrContentMismatch},
		{five, 5, Duplicate, nil},
		{four, 5, Duplicate, nil}, // older than the applied version
		{otherFour, 5, Quarantined, ErrContentMismatch},
	} {
		got, err := inbox.Decide(step.notification, step.held)
		if got != step.want || !errors.Is(err, step.wantErr) {
			t.Errorf("step %d: Decide returned %v, %v; want %v, %v", i, got, err, step.want, step.wantErr)
		}
	}
	inbox.SetBaseVersion(AggregateConfiguration, 40)
	if d, _ := inbox.Decide(newTestNotification(t, "c/50", 50, 40, nil), 50); d != Applied {
		t.Errorf("Decide after SetBaseVersion returned %v, want %v", d, Applied)
	}
	for version := uint64(51); version < 2000; version++ {
		d, _ := inbox.Decide(newTestNotification(t, "c", version, version-1, nil), version)
		if version == 51 && d != Applied {
			t.Fatalf("Decide for version 51 returned %v, want %v", d, Applied)
		}
	}
	if len(inbox.Decided) > maxDecided {
		t.Errorf("after version 1999 Inbox.Decided holds %d notifications, want at most %d", len(inbox.Decided), maxDecided)
	}
}
