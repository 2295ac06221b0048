package diskstore

import (
	"os"
	"path/filepath"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"comethold/internal/distribution"
	"comethold/internal/logging"
	"comethold/internal/responsecache"
	"comethold/internal/simulation"
	"comethold/internal/storage"

	bolt "go.etcd.io/bbolt"
)

// observedDisk is the disk of the machine. It notes the log index of the purges committed.
type observedDisk struct {
	storage.LocalDisk
	purgeIndex atomic.Uint64
}

func (d *observedDisk) Update(db *bolt.DB, change func(*bolt.Tx) error) error {
	err := d.LocalDisk.Update(db, change)
	if err == nil {
		d.purgeIndex.Store(readPurgeIndex(db))
	}
	return err
}

// testStore is a store on the disk of the machine.
type testStore struct {
	*Store
	disk *observedDisk
}

// openTestStore opens the store in a directory, and returns it with its log index and its
// objects by target.
func openTestStore(t *testing.T, directory string) (testStore, uint64, map[string]*responsecache.Response) {
	t.Helper()
	disk := &observedDisk{}
	s, purgeIndex := Open(Options{Directory: directory, DiskMb: 2, Disk: disk, Log: logging.Nop()})
	objects := map[string]*responsecache.Response{}
	s.Load(func(r *responsecache.Response) { objects[r.Target] = r })
	return testStore{Store: s, disk: disk}, purgeIndex, objects
}

// waitForPurges waits until the purges up to a log index, and all that was queued before them,
// are committed. On a busy disk that may take longer than Close waits, and until then the file
// is locked for the next store.
func (s testStore) waitForPurges(t *testing.T, logIndex uint64) {
	t.Helper()
	for deadline := time.Now().Add(time.Minute); s.disk.purgeIndex.Load() < logIndex; {
		if time.Now().After(deadline) {
			t.Fatalf("the purges up to %d are not committed", logIndex)
		}
		time.Sleep(writeInterval / 10)
	}
}

// waitForWrites waits until all that is queued has been written.
func (s *Store) waitForWrites() {
	for {
		s.mu.Lock()
		n := len(s.queue)
		s.mu.Unlock()
		if n == 0 {
			time.Sleep(2 * writeInterval) // the batch that is being written
			return
		}
		time.Sleep(writeInterval / 10)
	}
}

// purgePath returns the purge of a path of the host h, at a log index.
func purgePath(logIndex uint64, path string) distribution.Purge {
	return distribution.Purge{LogIndex: logIndex, Host: "h", Path: path}
}

// purgesUpTo returns an update with purges, up to a log index.
func purgesUpTo(logIndex uint64, purges ...distribution.Purge) *distribution.PurgeUpdate {
	return &distribution.PurgeUpdate{LogIndex: logIndex, Purges: purges}
}

// TestDiskStoreReopen: objects and the purges that match them come back together; damage
// costs objects, never the start.
func TestDiskStoreReopen(t *testing.T) {
	directory := t.TempDir()
	s, _, _ := openTestStore(t, directory)
	readAt := time.Now().Add(-3 * time.Second)
	for _, target := range []string{"/a", "/b", "/c"} {
		s.Put(&responsecache.Response{
			Host:        "h",
			Target:      target,
			ETag:        "t",
			Labels:      []string{"l" + target},
			Body:        []byte("x" + target),
			ValidatedAt: readAt,
			PurgeIndex:  5,
		})
	}
	s.ApplyPurges(purgesUpTo(7, purgePath(6, "/a"), distribution.Purge{LogIndex: 7, Label: "l/b"}))
	s.waitForPurges(t, 7)
	s.Close()

	s, purgeIndex, objects := openTestStore(t, directory)
	if purgeIndex != 7 || len(objects) != 1 || objects["/c"] == nil || string(objects["/c"].Body) != "x/c" {
		t.Fatalf("log index %d, objects %v", purgeIndex, objects)
	}
	if age := objects["/c"].Age(time.Now()); age < 3*time.Second || age > time.Minute {
		t.Fatalf("the age of the object is %v", age)
	}
	s.ApplyPurges(&distribution.PurgeUpdate{LogIndex: 9, Reset: true})
	s.waitForPurges(t, 9)
	s.Close()
	s, purgeIndex, objects = openTestStore(t, directory)
	s.Close()
	if purgeIndex != 9 || len(objects) != 0 {
		t.Fatalf("after a reset: log index %d, objects %v", purgeIndex, objects)
	}

	path := filepath.Join(directory, fileName)
	if err := os.WriteFile(path, []byte("torn"), 0o600); err != nil {
		t.Fatal(err)
	}
	s, purgeIndex, objects = openTestStore(t, directory)
	s.Close()
	if purgeIndex != 0 || len(objects) != 0 {
		t.Fatalf("of a damaged file: log index %d, objects %v", purgeIndex, objects)
	}
}

// TestDiskStoreFailingDisk: after a disk that failed a purge and took the next one, no object
// that the first one matched is left; one that is full or hangs at the start delays nobody,
// and its objects from before are not used later.
func TestDiskStoreFailingDisk(t *testing.T) { synctest.Test(t, testFailingDisk) }

func testFailingDisk(t *testing.T) {
	t.Helper()
	directory := t.TempDir()
	disk := &simulation.FaultyDisk{Base: storage.LocalDisk{}, Random: func() float64 { return 0 }}
	open := func() (*Store, uint64, int) {
		t.Helper()
		start, loaded := time.Now(), 0
		s, purgeIndex := Open(Options{Directory: directory, DiskMb: 2, Disk: disk, Log: logging.Nop()})
		s.Load(func(*responsecache.Response) { loaded++ })
		if took := time.Since(start); took > 2*openTimeout {
			t.Fatalf("the start took %v", took)
		}
		return s, purgeIndex, loaded
	}
	s, _, _ := open()
	s.Put(&responsecache.Response{Host: "h", Target: "/a", ETag: "t", PurgeIndex: 5})
	s.waitForWrites()
	disk.SetFault(simulation.DiskFull)
	s.ApplyPurges(purgesUpTo(6, purgePath(6, "/a")))
	s.waitForWrites()
	disk.SetFault(simulation.NoFault)
	s.ApplyPurges(purgesUpTo(7, purgePath(7, "/b")))
	s.waitForWrites()
	s.Close()
	s, purgeIndex, loaded := open()
	if purgeIndex != 7 || loaded != 0 {
		t.Fatalf("after a purge that failed: log index %d, %d objects", purgeIndex, loaded)
	}

	s.Put(&responsecache.Response{Host: "h", Target: "/c", ETag: "t", PurgeIndex: 7})
	s.waitForWrites()
	s.Close()
	otherProcess, err := disk.Open(filepath.Join(directory, fileName)) // holds the file's lock
	if err != nil {
		t.Fatal(err)
	}
	s, purgeIndex, loaded = open()
	if purgeIndex != 0 || loaded != 0 {
		t.Fatalf("of a disk that doesn't answer: log index %d, %d objects", purgeIndex, loaded)
	}
	s.ApplyPurges(purgesUpTo(9, purgePath(9, "/c")))
	if err := otherProcess.Close(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(2 * openRetryInterval)
	s.waitForWrites()
	disk.SetFault(simulation.DiskHanging)
	s.ApplyPurges(purgesUpTo(10))
	time.Sleep(2 * writeInterval)
	s.Close() // doesn't wait for the disk that hangs
	disk.EndProcess()
	disk.SetFault(simulation.NoFault)
	<-s.writerDone
	_ = s.db.Close()
	s, purgeIndex, loaded = open()
	s.Close()
	if purgeIndex != 9 || loaded != 0 {
		t.Fatalf("opened late: log index %d, %d objects", purgeIndex, loaded)
	}
}

// TestDamagedObject: an object with a single byte changed is not decoded.
func TestDamagedObject(t *testing.T) {
	now := currentTimestamp("boot")
	object := &responsecache.Response{Host: "h", Target: "/a", ETag: "t", Body: []byte("body")}
	encoded := encodeObject(object, now, time.Now())
	for i := range encoded {
		damaged := slices.Clone(encoded)
		damaged[i] ^= 4
		if decodeObject(damaged, now, time.Now()) != nil {
			t.Fatalf("the object was decoded with byte %d changed", i)
		}
	}
}

// TestTimestampElapsed: an age is known only within one boot, by a monotonic clock that went
// on and a time of day that agrees.
func TestTimestampElapsed(t *testing.T) {
	seconds := func(bootID string, monotonic, wall int64) timestamp {
		return timestamp{
			BootID:      bootID,
			MonotonicNs: monotonic * int64(time.Second),
			WallNs:      wall * int64(time.Second),
		}
	}
	earlier := seconds("b", 100, 1000)
	for _, c := range []struct {
		situation string
		now       timestamp
		want      bool
	}{
		{"both clocks agree", seconds("b", 110, 1010), true},
		{"they agree but for a second", seconds("b", 110, 1011), true},
		{"another boot", seconds("c", 110, 1010), false},
		{"the monotonic clock began anew", seconds("b", 90, 1010), false},
		{"the time of day went back", seconds("b", 110, 1005), false},
		{"the time of day went ahead", seconds("b", 110, 1020), false},
		{"no known moment", timestamp{}, false},
	} {
		age, ok := c.now.elapsedSince(earlier)
		if ok != c.want || ok && age < 10*time.Second {
			t.Errorf("%s: got %v %v, want %v", c.situation, age, ok, c.want)
		}
	}
}
