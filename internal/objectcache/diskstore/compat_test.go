package diskstore

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

// TestCompatibleRecords: an object on disk decodes from the bytes of an earlier version.
func TestCompatibleRecords(t *testing.T) {
	compat.CheckMessages(t, []compat.Message{
		{Name: "object-copy", Value: objectRecord{
			Host:       "h.example",
			Target:     "/a",
			Service:    "s",
			ETag:       `"t1"`,
			Labels:     []string{"l1"},
			Header:     http.Header{"Content-Type": {"text/plain"}, "X-A": {"1", "2"}},
			Body:       []byte("body"),
			PurgeIndex: 31,
			ReadAt:     timestamp{BootID: "b", MonotonicNs: 123456789, WallNs: 1700000000000000004},
		}},
	})
}

// recordedObjects are the objects in the recorded data directory, as far as they are the
// same on every machine.
func recordedObjects() map[string]responsecache.Response {
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

// recordData writes the recorded data directory anew.
func recordData(t *testing.T, record string) {
	t.Helper()
	directory := t.TempDir()
	s, _, _ := openTestStore(t, directory)
	for _, object := range recordedObjects() {
		object.ValidatedAt = time.Now()
		s.Put(&object)
	}
	s.Put(&responsecache.Response{Host: "h.example", Target: "/gone", ETag: `"t"`, PurgeIndex: 6})
	s.ApplyPurges(purgesUpTo(7, distribution.Purge{LogIndex: 7, Host: "h.example", Path: "/gone"}))
	s.waitForWrites()
	s.Close()
	compat.Pack(t, filepath.Join(directory, fileName), record)
}

// TestRecordedData: a data directory of an object cache that an earlier version wrote is
// read in full, and the store goes on from there: purges find its objects, and new ones stay.
func TestRecordedData(t *testing.T) {
	record := compat.Path("object-cache", "copies.db.gz")
	if compat.Updating() {
		recordData(t, record)
	}
	directory := t.TempDir()
	compat.Unpack(t, record, filepath.Join(directory, "copies.db"))
	s, purgeIndex, objects := openTestStore(t, directory)
	want := recordedObjects()
	if purgeIndex != 7 || len(objects) != len(want) {
		t.Fatalf("log index %d, objects %v", purgeIndex, objects)
	}
	for target, object := range want {
		got := *objects[target]
		got.ValidatedAt = time.Time{} // known on the machine that wrote it, and until its next boot
		if !reflect.DeepEqual(got, object) {
			t.Errorf("%s: got %+v, want %+v", target, got, object)
		}
	}
	s.Put(&responsecache.Response{Host: "h.example", Target: "/new", ETag: `"tn"`, PurgeIndex: 7})
	s.ApplyPurges(purgesUpTo(8, distribution.Purge{LogIndex: 8, Label: "l3"}))
	s.waitForWrites()
	s.Close()
	s, purgeIndex, objects = openTestStore(t, directory)
	s.Close()
	if purgeIndex != 8 || len(objects) != 2 || objects["/a"] == nil || objects["/new"] == nil {
		t.Errorf("at the next start: log index %d, objects %v", purgeIndex, objects)
	}
}
