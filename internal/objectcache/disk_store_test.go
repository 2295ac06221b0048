package objectcache

import (
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"comethold/internal/distribution"
	"comethold/internal/logging"
	"comethold/internal/responsecache"
	"comethold/internal/simulation"
	"comethold/internal/storage"
)

func reopenStore(t *testing.T, dir string) (*diskStore, uint64, map[string]*responsecache.Response) {
	t.Helper()
	s, pos := openDiskStore(dir, 1<<20, storage.LocalDisk{}, logging.Nop())
	got := map[string]*responsecache.Response{}
	s.load(func(r *responsecache.Response) { got[r.Target] = r })
	return s, pos, got
}

func (s *diskStore) waitForWrites() {
	for {
		s.mu.Lock()
		n := len(s.queue)
		s.mu.Unlock()
		if n == 0 {
			time.Sleep(2 * writeInterval) // the batch under way
			return
		}
		time.Sleep(writeInterval / 10)
	}
}

// TestDiskStoreReopen: copies and the purges that name them come back together; damage
// costs copies, never the start.
func TestDiskStoreReopen(t *testing.T) {
	dir := t.TempDir()
	s, _, _ := reopenStore(t, dir)
	read := time.Now().Add(-3 * time.Second)
	for _, target := range []string{"/a", "/b", "/c"} {
		s.put(&responsecache.Response{Host: "h", Target: target, ETag: "t", Labels: []string{"l" + target}, Body: []byte("x" + target), ValidatedAt: read, PurgeIndex: 5})
	}
	s.applyPurges(&distribution.PurgeUpdate{LogIndex: 7, Purges: []distribution.Purge{{LogIndex: 6, Host: "h", Path: "/a"}, {LogIndex: 7, Label: "l/b"}}})
	s.waitForWrites()
	s.close()

	s, pos, got := reopenStore(t, dir)
	if pos != 7 || len(got) != 1 || got["/c"] == nil || string(got["/c"].Body) != "x/c" {
		t.Fatalf("position %d, copies %v", pos, got)
	}
	if age := got["/c"].Age(time.Now()); age < 3*time.Second || age > time.Minute {
		t.Fatalf("its age is %v", age)
	}
	s.applyPurges(&distribution.PurgeUpdate{LogIndex: 9, Reset: true})
	s.waitForWrites()
	s.close()
	s, pos, got = reopenStore(t, dir)
	s.close()
	if pos != 9 || len(got) != 0 {
		t.Fatalf("after a reset: position %d, copies %v", pos, got)
	}

	path := filepath.Join(dir, "copies.db")
	if err := os.WriteFile(path, []byte("torn"), 0o600); err != nil {
		t.Fatal(err)
	}
	s, pos, got = reopenStore(t, dir)
	s.close()
	if pos != 0 || len(got) != 0 {
		t.Fatalf("of a damaged file: position %d, copies %v", pos, got)
	}
}

// TestDiskStoreFailingDisk: a disk that refuses a purge and takes the next one has no copy that
// the first one named; one that is full or hangs at the start keeps nobody from it, and
// its copies of before are not used later.
func TestDiskStoreFailingDisk(t *testing.T) { synctest.Test(t, testFailingDisk) }

func testFailingDisk(t *testing.T) {
	dir := t.TempDir()
	d := &simulation.FaultyDisk{Base: storage.LocalDisk{}, Random: func() float64 { return 0 }}
	open := func() (*diskStore, uint64, int) {
		t.Helper()
		from, n := time.Now(), 0
		s, pos := openDiskStore(dir, 1<<20, d, logging.Nop())
		s.load(func(*responsecache.Response) { n++ })
		if took := time.Since(from); took > 2*openTimeout {
			t.Fatalf("the start took %v", took)
		}
		return s, pos, n
	}
	s, _, _ := open()
	s.put(&responsecache.Response{Host: "h", Target: "/a", ETag: "t", PurgeIndex: 5})
	s.waitForWrites()
	d.SetFault(true, false)
	s.applyPurges(&distribution.PurgeUpdate{LogIndex: 6, Purges: []distribution.Purge{{LogIndex: 6, Host: "h", Path: "/a"}}})
	s.waitForWrites()
	d.SetFault(false, false)
	s.applyPurges(&distribution.PurgeUpdate{LogIndex: 7, Purges: []distribution.Purge{{LogIndex: 7, Host: "h", Path: "/b"}}})
	s.waitForWrites()
	s.close()
	s, pos, n := open()
	if pos != 7 || n != 0 {
		t.Fatalf("after a purge that was refused: position %d, %d copies", pos, n)
	}
	s.put(&responsecache.Response{Host: "h", Target: "/c", ETag: "t", PurgeIndex: 7})
	s.waitForWrites()
	s.close()
	db, err := d.Open(filepath.Join(dir, "copies.db")) // another process has it still
	if err != nil {
		t.Fatal(err)
	}
	s, pos, n = open()
	if pos != 0 || n != 0 {
		t.Fatalf("of a disk that does not answer: position %d, %d copies", pos, n)
	}
	s.applyPurges(&distribution.PurgeUpdate{LogIndex: 9, Purges: []distribution.Purge{{LogIndex: 9, Host: "h", Path: "/c"}}})
	if err := db.Close(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(2 * openRetryInterval)
	s.waitForWrites()
	d.SetFault(false, true)
	s.applyPurges(&distribution.PurgeUpdate{LogIndex: 10})
	time.Sleep(2 * writeInterval)
	s.close() // is not held up by what hangs
	d.EndProcess()
	d.SetFault(false, false)
	<-s.writerDone
	_ = s.db.Close()
	s, pos, n = open()
	s.close()
	if pos != 9 || n != 0 {
		t.Fatalf("opened late: position %d, %d copies", pos, n)
	}
}

// TestDamagedObject: a copy with a single byte changed is no copy.
func TestDamagedObject(t *testing.T) {
	now := currentTimestamp("boot")
	v := encodeObject(&responsecache.Response{Host: "h", Target: "/a", ETag: "t", Body: []byte("body")}, now, time.Now())
	for i := range v {
		w := append([]byte(nil), v...)
		w[i] ^= 4
		if decodeObject(w, now, time.Now()) != nil {
			t.Fatalf("byte %d changed and the copy was taken", i)
		}
	}
}

// TestTimestampElapsed: an age is told only within one boot, by a steady clock that moved
// on and a time of day that agrees.
func TestTimestampElapsed(t *testing.T) {
	s := int64(time.Second)
	old := timestamp{"b", 100 * s, 1000 * s}
	for _, c := range []struct {
		now  timestamp
		want bool
	}{
		{timestamp{"b", 110 * s, 1010 * s}, true},
		{timestamp{"b", 110 * s, 1011 * s}, true},
		{timestamp{"c", 110 * s, 1010 * s}, false}, // another boot
		{timestamp{"b", 90 * s, 1010 * s}, false},  // the steady clock began anew
		{timestamp{"b", 110 * s, 1005 * s}, false}, // the time of day jumped
		{timestamp{"b", 110 * s, 1020 * s}, false},
		{timestamp{}, false},
	} {
		if age, ok := c.now.elapsedSince(old); ok != c.want || ok && age < 10*time.Second {
			t.Errorf("%v: %v %v", c.now, age, ok)
		}
	}
}
