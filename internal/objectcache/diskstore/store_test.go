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

// observedDisk is the local disk. It records the log index of the committed purges.
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

// testStore is a store on the local disk.
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

// waitForPurges waits until the purges up to a log index, and all operations queued before them, are
// committed. On a busy disk this may take longer than Close waits, and the file stays locked until
// then, so the next store couldn't open it.
func (s testStore) waitForPurges(t *testing.T, logIndex uint64) {
	t.Helper()
	for deadline := time.Now().Add(time.Minute); s.disk.purgeIndex.Load() < logIndex; {
		if time.Now().After(deadline) {
			t.Fatalf("the purges up to log index %d were not committed within a minute", logIndex)
		}
		time.Sleep(writeInterval / 10)
	}
}

// waitForWrites waits until all queued operations have been written.
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

// TestStoreKeepsObjectsAndPurgesAcrossRestarts guards against purged objects that return after a
// restart, and against a damaged file that prevents the start. Objects are loaded with their ages, those
// that were purged are not, and a damaged file gives an empty store.
func TestStoreKeepsObjectsAndPurgesAcrossRestarts(t *testing.T) {
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
		t.Fatalf("the reopened store has purge index %d and objects %v, want index 7 and only /c", purgeIndex, objects)
	}
	if age := objects["/c"].Age(time.Now()); age < 3*time.Second || age > time.Minute {
		t.Fatalf("the reopened store gives /c an age of %v, want 3 s to 1 min", age)
	}
	s.ApplyPurges(&distribution.PurgeUpdate{LogIndex: 9, Reset: true})
	s.waitForPurges(t, 9)
	s.Close()
	s, purgeIndex, objects = openTestStore(t, directory)
	s.Close()
	if purgeIndex != 9 || len(objects) != 0 {
		t.Fatalf("after a reset the store has purge index %d and objects %v, want index 9 and none", purgeIndex, objects)
	}

	path := filepath.Join(directory, fileName)
	if err := os.WriteFile(path, []byte("torn"), 0o600); err != nil {
		t.Fatal(err)
	}
	s, purgeIndex, objects = openTestStore(t, directory)
	s.Close()
	if purgeIndex != 0 || len(objects) != 0 {
		t.Fatalf("with a damaged file the store has purge index %d and objects %v, want 0 and none", purgeIndex, objects)
	}
}

// TestFailingDiskNeverRestoresPurgedObjects guards against purged objects that return after disk
// faults. If a purge can't be written and the next one can, no object that the first purge matches
// may remain. A disk that doesn't respond must not delay Open, and the objects that were on it before
// must not be used after it responds again.
func TestFailingDiskNeverRestoresPurgedObjects(t *testing.T) { synctest.Test(t, testFailingDisk) }

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
			t.Fatalf("Open and Load took %v, want at most 2*openTimeout", took)
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
		t.Fatalf("after a purge that failed the store has purge index %d and %d objects, want 7 and 0", purgeIndex, loaded)
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
		t.Fatalf("with a locked file the store has purge index %d and %d objects, want 0 and 0", purgeIndex, loaded)
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
	s.Close() // doesn't wait for the hanging disk
	disk.EndProcess()
	disk.SetFault(simulation.NoFault)
	<-s.writerDone
	_ = s.db.Close()
	s, purgeIndex, loaded = open()
	s.Close()
	if purgeIndex != 9 || loaded != 0 {
		t.Fatalf("after a delayed open and a hanging disk the store has purge index %d and %d objects, want 9 and 0",
			purgeIndex, loaded)
	}
}

// TestDamagedObjectIsNotDecoded guards against corrupt objects that are served: an object with any
// single byte changed must not be decoded.
func TestDamagedObjectIsNotDecoded(t *testing.T) {
	now := currentTimestamp("boot")
	object := &responsecache.Response{Host: "h", Target: "/a", ETag: "t", Body: []byte("body")}
	encoded := encodeObject(object, now, time.Now())
	for i := range encoded {
		damaged := slices.Clone(encoded)
		damaged[i] ^= 4
		if decodeObject(damaged, now, time.Now()) != nil {
			t.Fatalf("decodeObject decoded an object whose byte %d was changed, want nil", i)
		}
	}
}

// TestElapsedTimeIsUnknownUnlessClocksAgree guards against wrong ages of objects after a reboot or a
// change of the wall clock: the elapsed time is known only if both timestamps are of the same boot,
// the monotonic clock has not gone back and the wall clock agrees with it.
func TestElapsedTimeIsUnknownUnlessClocksAgree(t *testing.T) {
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
		{"the clocks differ by one second", seconds("b", 110, 1011), true},
		{"another boot", seconds("c", 110, 1010), false},
		{"the monotonic clock restarted", seconds("b", 90, 1010), false},
		{"the wall clock went back", seconds("b", 110, 1005), false},
		{"the wall clock went ahead", seconds("b", 110, 1020), false},
		{"the current time is unknown", timestamp{}, false},
	} {
		age, ok := c.now.elapsedSince(earlier)
		if ok != c.want || ok && age < 10*time.Second {
			t.Errorf("%s: elapsedSince returned %v, %v, want known = %v, at least 10 s if known", c.situation, age, ok, c.want)
		}
	}
}
