package announce

import (
	"net/http"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"comethold/internal/compat"
	"comethold/internal/feed"
	"comethold/internal/recorder"
)

// TestCompatibleRecords: what is kept on disk and what is asked of the object cache
// decodes from the bytes of an earlier version.
func TestCompatibleRecords(t *testing.T) {
	header := http.Header{"Content-Type": {"text/plain"}, "X-A": {"1", "2"}}
	compat.CheckMessages(t, []compat.Message{
		{Name: "object-request", Value: order{Host: "h.example", Target: "/a?b", Have: `"t0"`, Pos: 30, Config: 8, WaitMs: 900, Final: true, Weight: 5}},
		{Name: "object-answer", Value: reply{Same: true, Service: "s", ETag: `"t1"`, Labels: []string{"l1", "l2"}, Header: header, Body: []byte("body"),
			AgeUs: 1500, Pos: 31, Status: 503, Why: "no time is left", RetryMs: 300, Apart: true}},
		{Name: "rate-request", Value: errand{Service: "s", WaitMs: 800}},
		{Name: "rate-answer", Value: leave{Granted: true, RetryMs: 250}},
		{Name: "object-copy", Value: copyRecord{Host: "h.example", Target: "/a", Service: "s", ETag: `"t1"`, Labels: []string{"l1"}, Header: header, Body: []byte("body"),
			Pos: 31, Read: moment{Boot: "b", Steady: 123456789, Wall: 1700000000000000004}}},
	})
}

// recordedCopies are the copies in the recorded data directory, as far as they are the
// same on every machine.
func recordedCopies() map[string]recorder.Recording {
	header := http.Header{"Content-Type": {"text/plain"}}
	return map[string]recorder.Recording{
		"/a": {Host: "h.example", Target: "/a", Service: "s1", ETag: `"ta"`, Labels: []string{"l1", "l2"}, Header: header, Body: []byte("body of a"), Pos: 5},
		"/b": {Host: "h.example", Target: "/b", Service: "s2", ETag: `"tb"`, Labels: []string{"l3"}, Header: header, Body: []byte("body of b"), Pos: 6},
	}
}

// TestRecordedData: a data directory of an object cache that an earlier version wrote is
// read whole, and the cache goes on from there: purges find its copies, and new ones stay.
func TestRecordedData(t *testing.T) {
	record := compat.Path("object-cache", "copies.db.gz")
	if compat.Updating() {
		dir := t.TempDir()
		s, _, _ := reopen(t, dir)
		for _, c := range recordedCopies() {
			c.Read = time.Now()
			s.put(&c)
		}
		s.put(&recorder.Recording{Host: "h.example", Target: "/gone", ETag: `"t"`, Pos: 6})
		s.recalled(&feed.Recalls{Pos: 7, All: []feed.Recall{{Pos: 7, Host: "h.example", Path: "/gone"}}})
		s.settle()
		s.close()
		compat.Pack(t, filepath.Join(dir, "copies.db"), record)
	}
	dir := t.TempDir()
	compat.Unpack(t, record, filepath.Join(dir, "copies.db"))
	s, pos, got := reopen(t, dir)
	want := recordedCopies()
	if pos != 7 || len(got) != len(want) {
		t.Fatalf("position %d, copies %v", pos, got)
	}
	for target, c := range want {
		r := *got[target]
		r.Read = time.Time{} // known on the machine that wrote it, and until its next boot
		if !reflect.DeepEqual(r, c) {
			t.Errorf("%s: %+v, not %+v", target, r, c)
		}
	}
	s.put(&recorder.Recording{Host: "h.example", Target: "/new", ETag: `"tn"`, Pos: 7})
	s.recalled(&feed.Recalls{Pos: 8, All: []feed.Recall{{Pos: 8, Label: "l3"}}})
	s.settle()
	s.close()
	s, pos, got = reopen(t, dir)
	s.close()
	if pos != 8 || len(got) != 2 || got["/a"] == nil || got["/new"] == nil {
		t.Errorf("at the next start: position %d, copies %v", pos, got)
	}
}
