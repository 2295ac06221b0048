package outbox

import (
	"errors"
	"testing"
	"time"
)

// TestOutboxRowStates: a row is published or retried by the publisher that claimed it
// alone, and the delay before its next claim grows.
func TestOutboxRowStates(t *testing.T) {
	row := Row{Notification: *newTestNotification(t, "c/3", 3, 0, nil)}
	claimed, err := row.Claim("p/1", 0)
	if err != nil || claimed.State != Claimed {
		t.Fatal(claimed, err)
	}
	if _, err := claimed.Claim("p/2", ClaimLease-1); !errors.Is(err, ErrInvalidState) {
		t.Error("a claim was taken over before its lease ended:", err)
	}
	takenOver, err := claimed.Claim("p/2", ClaimLease)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := takenOver.MarkPublished("p/1"); !errors.Is(err, ErrNotOwner) {
		t.Error("published with a claim that was taken over:", err)
	}
	if _, err := row.MarkPublished("p/1"); !errors.Is(err, ErrInvalidState) {
		t.Error("published without a claim:", err)
	}
	retried := retryUntilAttempts(t, takenOver, 9)
	published, err := retried.MarkPublished("p/3")
	if err != nil || published.State != Published {
		t.Fatal(published, err)
	}
	if _, err := published.Claim("p/4", time.Hour); !errors.Is(err, ErrInvalidState) {
		t.Error("a published row was claimed without a redrive:", err)
	}
	redriven := published.Redrive()
	sameNotification := redriven.Notification.EventID == "c/3" &&
		string(redriven.Notification.Digest) == string(row.Notification.Digest)
	if redriven.State != Pending || !sameNotification {
		t.Error("a redrive changed the notification:", redriven)
	}
}

// retryUntilAttempts fails and claims a claimed row, as publisher p/3, until it has so many
// attempts, and checks the delays between them.
func retryUntilAttempts(t *testing.T, row Row, attempts int) Row {
	t.Helper()
	lastDelay := time.Duration(0)
	for row.Attempts < attempts {
		waiting, err := row.ScheduleRetry(row.Owner)
		if err != nil {
			t.Fatal(err)
		}
		delay := waiting.ClaimDelay()
		if delay <= lastDelay && lastDelay < MaxRetryDelay {
			t.Errorf("after %d attempts the delay is %v, before it was %v", waiting.Attempts, delay, lastDelay)
		}
		if _, err := waiting.Claim("p/3", delay-1); err == nil {
			t.Error("claimed before the delay was over")
		}
		if row, err = waiting.Claim("p/3", delay); err != nil {
			t.Fatal(err)
		}
		lastDelay = delay
	}
	return row
}
