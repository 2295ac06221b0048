// Package diskstore keeps the objects of an object cache on disk, so that a restarted node
// doesn't have to read all of them from their origins again.
//
// Open returns a Store. Load reads its objects and starts the writer. Put and ApplyPurges queue
// changes, which the writer applies in the background. The writer evicts the oldest objects when
// the store is full. The file is a bbolt database whose bucket names, keys and cbor numbers must
// not change.
package diskstore

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

// fileName is the name of the store's file in the data directory.
const fileName = "copies.db"

// The buckets and keys of the store's file.
var (
	objectBucket  = []byte("copies") // objectRecord by responsecache.Key
	nodeBucket    = []byte("node")
	purgeIndexKey = []byte("pos") // in nodeBucket: the log index of the purges applied
)

const (
	maxQueuedBytes = 8 << 20
	writeInterval  = 300 * time.Millisecond
	// openTimeout and closeTimeout are how long Open and Close wait for a disk that doesn't
	// respond.
	openTimeout       = 2 * time.Second
	closeTimeout      = time.Second
	openRetryInterval = time.Second
	// diskFraction is the fraction of the disk that objects may use. The file also contains
	// pages that bbolt has not freed yet.
	diskFraction      = 0.5
	defaultStoreBytes = 32 << 20
)

// Store keeps objects on disk and writes them in the background. After a restart, no outdated
// object is served from it: an object of unknown age is revalidated before it is served, and all
// objects are dropped unless the purges since the store's log index are still known. It is safe
// for concurrent use.
type Store struct {
	directory string
	disk      storage.Disk
	log       *logging.Logger
	bootID    string

	opened     chan *bolt.DB // receives the file when it is open
	writerDone chan struct{} // closed when the writer has ended

	mu          sync.Mutex // guards the fields below
	wakeWriter  *sync.Cond // on mu; signals that queue or closed has changed
	queue       []operation
	queuedBytes int
	closed      bool

	// Used only by the writer once it runs.
	db        *bolt.DB // nil until opened
	index     *objectIndex
	mustClear bool // a purge may be missing on disk: delete all objects before the next write
}

// operation is an object to store, or purges to apply.
type operation struct {
	object *responsecache.Response
	purges *distribution.PurgeUpdate
}

// Options are the options of Open.
type Options struct {
	Directory string
	DiskMb    int64 // size of the disk in MiB; 0: unknown
	Disk      storage.Disk
	Log       *logging.Logger
}

// maxBytes returns how many bytes of objects the store keeps.
func (o *Options) maxBytes() int {
	if o.DiskMb <= 0 {
		return defaultStoreBytes
	}
	return int(diskFraction * float64(o.DiskMb<<20))
}

// Open opens the store in the directory, and returns it with the log index of the purges that
// were applied to it. A corrupt file is replaced by an empty one. If the file can't be opened
// within openTimeout, Open returns the log index 0. The store then opens the file in the
// background, and deletes the objects in it before the first write.
func Open(o Options) (store *Store, purgeIndex uint64) {
	s := &Store{
		directory:  o.Directory,
		disk:       o.Disk,
		log:        o.Log,
		bootID:     readBootID(),
		opened:     make(chan *bolt.DB, 1),
		writerDone: make(chan struct{}),
		index:      newObjectIndex(o.maxBytes()),
	}
	s.wakeWriter = sync.NewCond(&s.mu)
	go s.openFile() // ends when the file is open or the store is closed
	select {
	case s.db = <-s.opened:
		return s, readPurgeIndex(s.db)
	case <-time.After(openTimeout):
		s.mustClear = true
		return s, 0
	}
}

// openFile opens the store's file. It retries until it succeeds or the store is closed. It logs an
// error only if it differs from that of the previous attempt.
func (s *Store) openFile() {
	lastError := ""
	for ; !s.isClosed(); time.Sleep(openRetryInterval) {
		db, err := s.tryOpenFile()
		if err == nil {
			s.opened <- db
			return
		}
		if message := err.Error(); message != lastError {
			lastError = message
			s.log.Warn(logging.DiskCacheDropped).Err(err).Msg("the disk cache file cannot be opened; retrying")
		}
	}
}

// tryOpenFile opens the store's file. A corrupt file is replaced by an empty one.
func (s *Store) tryOpenFile() (*bolt.DB, error) {
	path := filepath.Join(s.directory, fileName)
	db, err := s.disk.Open(path)
	if !errors.Is(err, storage.ErrCorrupt) {
		return db, err
	}
	s.log.Warn(logging.DiskCacheDropped).Err(err).Msg("the disk cache file is corrupt and is replaced by an empty one")
	if err := s.disk.Remove(path); err != nil {
		return nil, err
	}
	return s.disk.Open(path)
}

// readPurgeIndex returns the log index of the purges applied to a file; 0: none.
func readPurgeIndex(db *bolt.DB) uint64 {
	purgeIndex := uint64(0)
	_ = db.View(func(tx *bolt.Tx) error {
		b := tx.Bucket(nodeBucket)
		if b == nil {
			return nil
		}
		if value := b.Get(purgeIndexKey); len(value) == 8 {
			purgeIndex = binary.BigEndian.Uint64(value)
		}
		return nil
	})
	return purgeIndex
}

// Load calls onObject with every intact object, and then starts the writer.
func (s *Store) Load(onObject func(*responsecache.Response)) {
	if s.db != nil {
		s.readObjects(onObject)
	}
	go s.runWriter() // Close waits for it
}

// readObjects calls onObject with every intact object up to the first damaged page.
func (s *Store) readObjects(onObject func(*responsecache.Response)) {
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
				object = &responsecache.Response{} // damaged: never used, tracked only for eviction
			} else {
				onObject(object)
			}
			s.index.track(string(key), len(value), object)
			return nil
		})
	})
}

// Put queues an object. It discards the object if it has no ETag, if the store is closed, or if
// more than maxQueuedBytes would be queued.
func (s *Store) Put(object *responsecache.Response) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || object.ETag == "" || s.queuedBytes+len(object.Body) > maxQueuedBytes {
		return
	}
	s.queuedBytes += len(object.Body)
	s.queue = append(s.queue, operation{object: object})
	s.wakeWriter.Signal()
}

// ApplyPurges queues purges. Unlike objects, purges are never discarded.
func (s *Store) ApplyPurges(u *distribution.PurgeUpdate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue = append(s.queue, operation{purges: u})
	s.wakeWriter.Signal()
}

// Close closes the store. It waits at most closeTimeout for the writer to end, and leaves the file
// open if the disk hangs.
func (s *Store) Close() {
	s.mu.Lock()
	s.closed = true
	s.wakeWriter.Broadcast()
	s.mu.Unlock()
	select {
	case <-s.writerDone:
		if s.db != nil {
			_ = s.db.Close() // all committed writes are already synced
		}
	case <-time.After(closeTimeout):
	}
}

func (s *Store) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}
