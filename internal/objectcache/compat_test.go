package objectcache

import (
	"net/http"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"comethold/internal/compat"
	"comethold/internal/distribution"
	"comethold/internal/responsecache"
)

// TestCompatibleRecords: what is kept on disk and what is asked of the object cache
// decodes from the bytes of an earlier version.
func TestCompatibleRecords(t *testing.T) {
	header := http.Header{"Content-Type": {"text/plain"}, "X-A": {"1", "2"}}
	compat.CheckMessages(t, []compat.Message{
		{
			Name: "object-request",
			Value: objectCall{
				Host:          "h.example",
				Target:        "/a?b",
				ETag:          `"t0"`,
				PurgeIndex:    30,
				ConfigVersion: 8,
				WaitMs:        900,
				OriginOnly:    true,
				Waiters:       5,
			},
		},
		{Name: "object-answer", Value: objectReply{
			NotModified:  true,
			Service:      "s",
			ETag:         `"t1"`,
			Labels:       []string{"l1", "l2"},
			Header:       header,
			Body:         []byte("body"),
			AgeUs:        1500,
			PurgeIndex:   31,
			Status:       503,
			Reason:       "no time is left",
			RetryMs:      300,
			Disconnected: true,
		}},
		{Name: "rate-request", Value: permitRequest{Service: "s", WaitMs: 800}},
		{Name: "rate-answer", Value: permitReply{Granted: true, RetryMs: 250}},
		{Name: "object-copy", Value: objectRecord{
			Host:       "h.example",
			Target:     "/a",
			Service:    "s",
			ETag:       `"t1"`,
			Labels:     []string{"l1"},
			Header:     header,
			Body:       []byte("body"),
			PurgeIndex: 31,
			ReadAt:     timestamp{BootID: "b", MonotonicNs: 123456789, WallNs: 1700000000000000004},
		}},
	})
}

// recordedCopies are the copies in the recorded data directory, as far as they are the
// same on every machine.
func recordedCopies() map[string]responsecache.Response {
	header := http.Header{"Content-Type": {"text/plain"}}
	return map[string]responsecache.Response{
		"/a": {
			Host:       "h.example",
			Target:     "/a",
			Service:    "s1",
			ETag:       `"ta"`,
			Labels:     []string{"l1", "l2"},
			Header:     header,
			Body:       []byte("body of a"),
			PurgeIndex: 5,
		},
		"/b": {
			Host:       "h.example",
			Target:     "/b",
			Service:    "s2",
			ETag:       `"tb"`,
			Labels:     []string{"l3"},
			Header:     header,
			Body:       []byte("body of b"),
			PurgeIndex: 6,
		},
	}
}

// TestRecordedData: a data directory of an object cache that an earlier version wrote is
// read whole, and the cache goes on from there: purges find its copies, and new ones stay.
func TestRecordedData(t *testing.T) {
	record := compat.Path("object-cache", "copies.db.gz")
	if compat.Updating() {
		dir := t.TempDir()
		s, _, _ := reopenStore(t, dir)
		for _, c := range recordedCopies() {
			c.ValidatedAt = time.Now()
			s.put(&c)
		}
		s.put(&responsecache.Response{Host: "h.example", Target: "/gone", ETag: `"t"`, PurgeIndex: 6})
		s.applyPurges(&distribution.PurgeUpdate{
			LogIndex: 7,
			Purges:   []distribution.Purge{{LogIndex: 7, Host: "h.example", Path: "/gone"}},
		})
		s.waitForWrites()
		s.close()
		compat.Pack(t, filepath.Join(dir, "copies.db"), record)
	}
	dir := t.TempDir()
	compat.Unpack(t, record, filepath.Join(dir, "copies.db"))
	s, pos, got := reopenStore(t, dir)
	want := recordedCopies()
	if pos != 7 || len(got) != len(want) {
		t.Fatalf("position %d, copies %v", pos, got)
	}
	for target, c := range want {
		r := *got[target]
		r.ValidatedAt = time.Time{} // known on the machine that wrote it, and until its next boot
		if !reflect.DeepEqual(r, c) {
			t.Errorf("%s: %+v, not %+v", target, r, c)
		}
	}
	s.put(&responsecache.Response{Host: "h.example", Target: "/new", ETag: `"tn"`, PurgeIndex: 7})
	s.applyPurges(&distribution.PurgeUpdate{LogIndex: 8, Purges: []distribution.Purge{{LogIndex: 8, Label: "l3"}}})
	s.waitForWrites()
	s.close()
	s, pos, got = reopenStore(t, dir)
	s.close()
	if pos != 8 || len(got) != 2 || got["/a"] == nil || got["/new"] == nil {
		t.Errorf("at the next start: position %d, copies %v", pos, got)
	}
}
