package outbox

import (
	"errors"
	"testing"
	"time"
)

func newTestNotification(t *testing.T, id string, version, after uint64, payload any) *Notification {
	t.Helper()
	n, err := NewNotification(id, AggregateConfiguration, version, after, payload)
	if err != nil {
		t.Fatal(err)
	}
	return &n
}

// TestInboxDecisions: every notice is decided before anything changes, whatever order it comes in.
func TestInboxDecisions(t *testing.T) {
	three := newTestNotification(t, "c/3", 3, 0, ConfigurationChange{Tenants: []string{"a"}})
	five := newTestNotification(t, "c/5", 5, 3, nil)
	forged := newTestNotification(t, "c/5", 5, 3, ConfigurationChange{Tenants: []string{"b"}})
	torn := *five
	torn.Payload = []byte{1, 2}
	nameless := newTestNotification(t, "", 9, 5, nil)
	strange := newTestNotification(t, "x", 9, 5, nil)
	strange.Aggregate = "charges"
	back := newTestNotification(t, "c/4", 4, 4, nil)
	b := NewInbox()
	for i, c := range []struct {
		n    *Notification
		have uint64
		want Decision
		why  error
	}{
		{five, 5, Deferred, nil},  // 3 is missing
		{three, 0, Deferred, nil}, // the state it tells of is not here
		{three, 3, Applied, nil},
		{three, 3, Duplicate, nil},
		{five, 3, Deferred, nil},
		{&torn, 5, Quarantined, ErrInvalidNotification},
		{nameless, 9, Quarantined, ErrInvalidNotification},
		{strange, 9, Quarantined, ErrInvalidNotification},
		{back, 9, Quarantined, ErrInvalidNotification},
		{five, 5, Applied, nil},
		{forged, 5, Quarantined, ErrContentMismatch},
		{five, 5, Duplicate, nil},
		{newTestNotification(t, "c/4", 4, 3, nil), 5, Duplicate, nil}, // older than what was applied
		{newTestNotification(t, "c/4", 4, 3, ConfigurationChange{Tenants: []string{"z"}}), 5, Quarantined, ErrContentMismatch},
	} {
		d, why := b.Decide(c.n, c.have)
		if d != c.want || !errors.Is(why, c.why) {
			t.Errorf("%d: %v (%v), not %v", i, d, why, c.want)
		}
	}
	b.SetBaseVersion(AggregateConfiguration, 40)
	if d, _ := b.Decide(newTestNotification(t, "c/50", 50, 40, nil), 50); d != Applied {
		t.Errorf("after a state that was given: %v", d)
	}
	for v := uint64(51); v < 2000; v++ {
		if d, _ := b.Decide(newTestNotification(t, "c", v, v-1, nil), v); v == 51 && d != Applied {
			t.Fatal(d)
		}
	}
	if len(b.Decided) > maxDecided {
		t.Errorf("%d are remembered", len(b.Decided))
	}
}

// TestOutboxRowStates: a row goes through its states by its claim alone.
func TestOutboxRowStates(t *testing.T) {
	row := Row{Notification: *newTestNotification(t, "c/3", 3, 0, nil)}
	claimed, err := row.Claim("p/1", 0)
	if err != nil || claimed.State != Claimed {
		t.Fatal(claimed, err)
	}
	if _, err := claimed.Claim("p/2", ClaimLease-1); !errors.Is(err, ErrInvalidState) {
		t.Error("a claim is taken over before its lease ends:", err)
	}
	again, err := claimed.Claim("p/2", ClaimLease)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := again.MarkPublished("p/1"); !errors.Is(err, ErrNotOwner) {
		t.Error("published with a token that was taken over:", err)
	}
	if _, err := row.MarkPublished("p/1"); !errors.Is(err, ErrInvalidState) {
		t.Error("published unclaimed:", err)
	}
	waits := again
	for last := time.Duration(0); waits.Attempts < 9; {
		if waits, err = waits.ScheduleRetry(waits.Owner); err != nil {
			t.Fatal(err)
		}
		if waits.ClaimDelay() <= last && last < MaxRetryDelay {
			t.Errorf("after %d tries it waits %v, before %v", waits.Attempts, waits.ClaimDelay(), last)
		}
		if _, err := waits.Claim("p/3", waits.ClaimDelay()-1); err == nil {
			t.Error("claimed before its pause is over")
		}
		last = waits.ClaimDelay()
		if waits, err = waits.Claim("p/3", last); err != nil {
			t.Fatal(err)
		}
	}
	sent, err := waits.MarkPublished("p/3")
	if err != nil || sent.State != Published {
		t.Fatal(sent, err)
	}
	if _, err := sent.Claim("p/4", time.Hour); !errors.Is(err, ErrInvalidState) {
		t.Error("sent again without anybody's order:", err)
	}
	if d := sent.Redrive(); d.State != Pending || d.Notification.EventID != "c/3" || string(d.Notification.Digest) != string(row.Notification.Digest) {
		t.Error("a redrive changes the notice:", d)
	}
}

// TestReceiptKeyUse: a key that is known answers for its own content alone.
func TestReceiptKeyUse(t *testing.T) {
	r := &Receipt{Fingerprint: Digest([]byte("a")), Status: 200}
	if (*Receipt)(nil).Compare(Digest([]byte("a"))) != KeyUnused || r.Compare(Digest([]byte("a"))) != KeyRepeated || r.Compare(Digest([]byte("b"))) != KeyConflicting {
		t.Error("a receipt is misread")
	}
}
