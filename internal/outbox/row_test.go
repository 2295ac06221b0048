package outbox

import (
	"errors"
	"testing"
	"time"
)

// TestOutboxRowStates: only the publisher that claimed a row can mark it as published or schedule
// a retry, and the delay before the next claim grows with each attempt. Guards against a
// publisher that changes a row whose claim another publisher has taken over.
func TestOutboxRowStates(t *testing.T) {
	row := Row{Notification: *newTestNotification(t, "c/3", 3, 0, nil)}
	claimed, err := row.Claim("p/1", 0)
	if err != nil || claimed.State != Claimed {
		t.Fatal("Claim of a pending row, want state CLAIMED and no error, got:", claimed, err)
	}
	if _, err := claimed.Claim("p/2", ClaimLease-1); !errors.Is(err, ErrInvalidState) {
		t.Error("Claim before the lease expired, want ErrInvalidState, got:", err)
	}
	takenOver, err := claimed.Claim("p/2", ClaimLease)
	if err != nil {
		t.Fatal("Claim after the lease expired, want no error, got:", err)
	}
	if _, err := takenOver.MarkPublished("p/1"); !errors.Is(err, ErrNotOwner) {
		t.Error("MarkPublished after the claim was taken over, want ErrNotOwner, got:", err)
	}
	if _, err := row.MarkPublished("p/1"); !errors.Is(err, ErrInvalidState) {
		t.Error("MarkPublished without a claim, want ErrInvalidState, got:", err)
	}
	retried := retryUntilAttempts(t, takenOver, 9)
	published, err := retried.MarkPublished("p/3")
	if err != nil || published.State != Published {
		t.Fatal("MarkPublished by the owner, want state PUBLISHED and no error, got:", published, err)
	}
	if _, err := published.Claim("p/4", time.Hour); !errors.Is(err, ErrInvalidState) {
		t.Error("Claim of a published row without Redrive, want ErrInvalidState, got:", err)
	}
	redriven := published.Redrive()
	sameNotification := redriven.Notification.EventID == "c/3" &&
		string(redriven.Notification.Digest) == string(row.Notification.Digest)
	if redriven.State != Pending || !sameNotification {
		t.Error("Redrive of notification c/3, want the same notification and state Pending, got:", redriven)
	}
}

// retryUntilAttempts schedules retries of a claimed row and claims it as publisher p/3 until it
// has the given number of attempts. It checks the delays between them.
func retryUntilAttempts(t *testing.T, row Row, attempts int) Row {
	t.Helper()
	lastDelay := time.Duration(0)
	for row.Attempts < attempts {
		waiting, err := row.ScheduleRetry(row.Owner)
		if err != nil {
			t.Fatal("ScheduleRetry by the owner, want no error, got:", err)
		}
		delay := waiting.ClaimDelay()
		if delay <= lastDelay && lastDelay < MaxRetryDelay {
			t.Errorf("delay after %d attempts is %v, want more than the previous %v", waiting.Attempts, delay, lastDelay)
		}
		if _, err := waiting.Claim("p/3", delay-1); err == nil {
			t.Error("Claim before the retry delay was over succeeded, want an error")
		}
		if row, err = waiting.Claim("p/3", delay); err != nil {
			t.Fatal("Claim after the retry delay, want no error, got:", err)
		}
		lastDelay = delay
	}
	return row
}
