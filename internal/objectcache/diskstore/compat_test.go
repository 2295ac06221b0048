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

// TestCompatibleRecords guards against a change of encoding after which this version can't decode
// the objects that an earlier version stored.
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

// recordedObjects returns the objects in the recorded data directory, without ValidatedAt, which is
// unknown on other machines.
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

// recordData replaces the recorded data directory with one that this version writes.
func recordData(t *testing.T, recordPath string) {
	t.Helper()
	directory := t.TempDir()
	s, _, _ := openTestStore(t, directory)
	for _, object := range recordedObjects() {
		object.ValidatedAt = time.Now()
		s.Put(&object)
	}
	s.Put(&responsecache.Response{Host: "h.example", Target: "/gone", ETag: `"t"`, PurgeIndex: 6})
	s.ApplyPurges(purgesUpTo(7, distribution.Purge{LogIndex: 7, Host: "h.example", Path: "/gone"}))
	s.waitForPurges(t, 7)
	s.Close()
	compat.Pack(t, filepath.Join(directory, fileName), recordPath)
}

// TestRecordedData guards against a change of the file format that loses the objects of an earlier
// version. All of them must be loaded, purges must match them, and new objects must be stored with them.
func TestRecordedData(t *testing.T) {
	recordPath := compat.Path("object-cache", "copies.db.gz")
	if compat.Updating() {
		recordData(t, recordPath)
	}
	directory := t.TempDir()
	compat.Unpack(t, recordPath, filepath.Join(directory, "copies.db"))
	s, purgeIndex, objects := openTestStore(t, directory)
	want := recordedObjects()
	if purgeIndex != 7 || len(objects) != len(want) {
		t.Fatalf("the recorded data has purge index %d and objects %v, want index 7 and /a and /b", purgeIndex, objects)
	}
	for target, object := range want {
		got := *objects[target]
		got.ValidatedAt = time.Time{} // known only on the machine that wrote it, until its next boot
		if !reflect.DeepEqual(got, object) {
			t.Errorf("the recorded object %s was loaded as %+v, want %+v", target, got, object)
		}
	}
	s.Put(&responsecache.Response{Host: "h.example", Target: "/new", ETag: `"tn"`, PurgeIndex: 7})
	s.ApplyPurges(purgesUpTo(8, distribution.Purge{LogIndex: 8, Label: "l3"}))
	s.waitForPurges(t, 8)
	s.Close()
	s, purgeIndex, objects = openTestStore(t, directory)
	s.Close()
	if purgeIndex != 8 || len(objects) != 2 || objects["/a"] == nil || objects["/new"] == nil {
		t.Errorf("the reopened store has purge index %d and objects %v, want index 8 and /a and /new", purgeIndex, objects)
	}
}
