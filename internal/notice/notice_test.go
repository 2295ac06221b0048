package notice

import (
	"errors"
	"testing"
	"time"
)

func made(t *testing.T, id string, version, after uint64, payload any) *Notice {
	t.Helper()
	n, err := New(id, Configuration, version, after, payload)
	if err != nil {
		t.Fatal(err)
	}
	return &n
}

// TestInbox: every notice is decided before anything changes, whatever order it comes in.
func TestInbox(t *testing.T) {
	three := made(t, "c/3", 3, 0, Changed{Tenants: []string{"a"}})
	five := made(t, "c/5", 5, 3, nil)
	forged := made(t, "c/5", 5, 3, Changed{Tenants: []string{"b"}})
	torn := *five
	torn.Payload = []byte{1, 2}
	nameless := made(t, "", 9, 5, nil)
	strange := made(t, "x", 9, 5, nil)
	strange.Aggregate = "charges"
	back := made(t, "c/4", 4, 4, nil)
	b := NewInbox()
	for i, c := range []struct {
		n    *Notice
		have uint64
		want Decision
		why  error
	}{
		{five, 5, Deferred, nil},  // 3 is missing
		{three, 0, Deferred, nil}, // the state it tells of is not here
		{three, 3, Applied, nil},
		{three, 3, Duplicate, nil},
		{five, 3, Deferred, nil},
		{&torn, 5, Quarantined, ErrContract},
		{nameless, 9, Quarantined, ErrContract},
		{strange, 9, Quarantined, ErrContract},
		{back, 9, Quarantined, ErrContract},
		{five, 5, Applied, nil},
		{forged, 5, Quarantined, ErrConflict},
		{five, 5, Duplicate, nil},
		{made(t, "c/4", 4, 3, nil), 5, Duplicate, nil}, // older than what was applied
		{made(t, "c/4", 4, 3, Changed{Tenants: []string{"z"}}), 5, Quarantined, ErrConflict},
	} {
		d, why := b.Decide(c.n, c.have)
		if d != c.want || !errors.Is(why, c.why) {
			t.Errorf("%d: %v (%v), not %v", i, d, why, c.want)
		}
	}
	b.Base(Configuration, 40)
	if d, _ := b.Decide(made(t, "c/50", 50, 40, nil), 50); d != Applied {
		t.Errorf("after a state that was given: %v", d)
	}
	for v := uint64(51); v < 2000; v++ {
		if d, _ := b.Decide(made(t, "c", v, v-1, nil), v); v == 51 && d != Applied {
			t.Fatal(d)
		}
	}
	if len(b.Seen) > keepSeen {
		t.Errorf("%d are remembered", len(b.Seen))
	}
}

// TestOutbox: a row goes through its states by its claim alone.
func TestOutbox(t *testing.T) {
	row := Row{Notice: *made(t, "c/3", 3, 0, nil)}
	claimed, err := row.Claim("p/1", 0)
	if err != nil || claimed.State != Claimed {
		t.Fatal(claimed, err)
	}
	if _, err := claimed.Claim("p/2", ClaimLease-1); !errors.Is(err, ErrState) {
		t.Error("a claim is taken over before its lease ends:", err)
	}
	again, err := claimed.Claim("p/2", ClaimLease)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := again.Publish("p/1"); !errors.Is(err, ErrOwner) {
		t.Error("published with a token that was taken over:", err)
	}
	if _, err := row.Publish("p/1"); !errors.Is(err, ErrState) {
		t.Error("published unclaimed:", err)
	}
	waits := again
	for last := time.Duration(0); waits.Tries < 9; {
		if waits, err = waits.Retry(waits.Owner); err != nil {
			t.Fatal(err)
		}
		if waits.Wait() <= last && last < RetryMost {
			t.Errorf("after %d tries it waits %v, before %v", waits.Tries, waits.Wait(), last)
		}
		if _, err := waits.Claim("p/3", waits.Wait()-1); err == nil {
			t.Error("claimed before its pause is over")
		}
		last = waits.Wait()
		if waits, err = waits.Claim("p/3", last); err != nil {
			t.Fatal(err)
		}
	}
	sent, err := waits.Publish("p/3")
	if err != nil || sent.State != Published {
		t.Fatal(sent, err)
	}
	if _, err := sent.Claim("p/4", time.Hour); !errors.Is(err, ErrState) {
		t.Error("sent again without anybody's order:", err)
	}
	if d := sent.Redrive(); d.State != Pending || d.Notice.EventID != "c/3" || string(d.Notice.Digest) != string(row.Notice.Digest) {
		t.Error("a redrive changes the notice:", d)
	}
}

// TestReceipt: a key that is known answers for its own content alone.
func TestReceipt(t *testing.T) {
	r := &Receipt{Fingerprint: Digest([]byte("a")), Status: 200}
	if (*Receipt)(nil).Look(Digest([]byte("a"))) != Fresh || r.Look(Digest([]byte("a"))) != Repeated || r.Look(Digest([]byte("b"))) != Conflicting {
		t.Error("a receipt is misread")
	}
}
