package objectcache

import (
	"encoding/binary"
	"errors"
	"path/filepath"
	"sync"
	"time"

	"comethold/internal/distribution"
	"comethold/internal/logging"
	"comethold/internal/responsecache"
	"comethold/internal/storage"

	bolt "go.etcd.io/bbolt"
)

// storeFileName is the name of the store's file in the data directory.
const storeFileName = "copies.db"

// The buckets and keys of the store's file.
var (
	objectBucket  = []byte("copies") // objectRecord by responsecache.Key
	nodeBucket    = []byte("node")
	purgeIndexKey = []byte("pos") // in nodeBucket: the log index of the purges applied
)

const (
	maxQueuedBytes = 8 << 20
	writeInterval  = 300 * time.Millisecond
	// openTimeout is how long a start waits for a disk that doesn't answer, and
	// closeTimeout how long the end does.
	openTimeout       = 2 * time.Second
	closeTimeout      = time.Second
	openRetryInterval = time.Second
	// diskFraction is the part of the disk for objects: the file keeps room for pages that
	// are not free yet.
	diskFraction      = 0.5
	defaultStoreBytes = 32 << 20
)

// diskStore keeps a server's objects on disk, written behind. It only ever helps: an object
// whose age can't be told after a restart is revalidated before it is served, and all objects
// are dropped unless the purges since the store's log index can still be told.
type diskStore struct {
	dir    string
	disk   storage.Disk
	log    *logging.Logger
	bootID string

	opened     chan *bolt.DB // the file, once the disk has opened it
	writerDone chan struct{} // closed when the writer has ended

	mu          sync.Mutex // guards the fields below
	wakeWriter  *sync.Cond // of mu: queue or closed has changed
	queue       []storeJob
	queuedBytes int
	closed      bool

	// Used by the writer alone once it runs.
	db        *bolt.DB // nil until opened
	contents  *storeContents
	mustClear bool // the objects on disk may lack a purge: they go before anything is written
}

// storeJob is an object to store, or purges to apply.
type storeJob struct {
	object *responsecache.Response
	purges *distribution.PurgeUpdate
}

// storeCapacity returns the size of the store, by that of the disk; 0: unknown.
func storeCapacity(diskMb int64) int {
	if diskMb <= 0 {
		return defaultStoreBytes
	}
	return int(diskFraction * float64(diskMb<<20))
}

// openDiskStore opens the store in dir, and returns it with the log index of the purges that
// were applied to it. A file that can't be read is dropped. A disk that fails or doesn't
// answer keeps no server from its start: the store is opened later then, without objects.
func openDiskStore(dir string, maxBytes int, disk storage.Disk, log *logging.Logger) (*diskStore, uint64) {
	s := &diskStore{
		dir:        dir,
		disk:       disk,
		log:        log,
		bootID:     readBootID(),
		opened:     make(chan *bolt.DB, 1),
		writerDone: make(chan struct{}),
		contents:   newStoreContents(maxBytes),
	}
	s.wakeWriter = sync.NewCond(&s.mu)
	go s.openFile() // ends with the file, or when the store is closed
	select {
	case s.db = <-s.opened:
		return s, readPurgeIndex(s.db)
	case <-time.After(openTimeout):
		s.mustClear = true
		return s, 0
	}
}

// openFile opens the store's file, again and again until the disk does.
func (s *diskStore) openFile() {
	path := filepath.Join(s.dir, storeFileName)
	for ; !s.isClosed(); time.Sleep(openRetryInterval) {
		db, err := s.disk.Open(path)
		if errors.Is(err, storage.ErrCorrupt) {
			s.log.Warn(logging.DiskCacheDropped).Err(err).Msg("the objects on disk cannot be read and are dropped")
			if err = s.disk.Remove(path); err == nil {
				db, err = s.disk.Open(path)
			}
		}
		if err == nil {
			s.opened <- db
			return
		}
		s.log.Warn(logging.DiskCacheDropped).Err(err).Msg("the objects on disk cannot be opened; trying again")
	}
}

// readPurgeIndex returns the log index of the purges applied to a file; 0: none.
func readPurgeIndex(db *bolt.DB) uint64 {
	index := uint64(0)
	_ = db.View(func(tx *bolt.Tx) error {
		b := tx.Bucket(nodeBucket)
		if b == nil {
			return nil
		}
		if value := b.Get(purgeIndexKey); len(value) == 8 {
			index = binary.BigEndian.Uint64(value)
		}
		return nil
	})
	return index
}

// load calls onObject with every intact object, and then starts the writer.
func (s *diskStore) load(onObject func(*responsecache.Response)) {
	if s.db != nil {
		s.readObjects(onObject)
	}
	go s.runWriter() // close waits for it
}

// readObjects calls onObject with every intact object up to the first damaged page.
func (s *diskStore) readObjects(onObject func(*responsecache.Response)) {
	defer func() { _ = recover() }() // bbolt panics on a damaged page
	now, at := currentTimestamp(s.bootID), time.Now()
	_ = s.db.View(func(tx *bolt.Tx) error {
		b := tx.Bucket(objectBucket)
		if b == nil {
			return nil
		}
		return b.ForEach(func(key, value []byte) error {
			object := decodeObject(value, now, at)
			if object == nil || object.Key() != string(key) {
				object = &responsecache.Response{} // evicted in its turn, never used
			} else {
				onObject(object)
			}
			s.contents.track(string(key), len(value), object)
			return nil
		})
	})
}

// put queues an object. It is left out if too much is queued already.
func (s *diskStore) put(object *responsecache.Response) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || object.ETag == "" || s.queuedBytes+len(object.Body) > maxQueuedBytes {
		return
	}
	s.queuedBytes += len(object.Body)
	s.queue = append(s.queue, storeJob{object: object})
	s.wakeWriter.Signal()
}

// applyPurges queues purges, which are never left out.
func (s *diskStore) applyPurges(u *distribution.PurgeUpdate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue = append(s.queue, storeJob{purges: u})
	s.wakeWriter.Signal()
}

// close ends the store. It doesn't wait for a disk that hangs.
func (s *diskStore) close() {
	s.mu.Lock()
	s.closed = true
	s.wakeWriter.Broadcast()
	s.mu.Unlock()
	select {
	case <-s.writerDone:
		if s.db != nil {
			_ = s.db.Close() // what was written is synced
		}
	case <-time.After(closeTimeout):
	}
}

func (s *diskStore) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}
