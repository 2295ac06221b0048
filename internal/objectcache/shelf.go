package objectcache

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"comethold/internal/distribution"
	"comethold/internal/logging"
	"comethold/internal/responsecache"
	"comethold/internal/rpc"
	"comethold/internal/storage"

	bolt "go.etcd.io/bbolt"
)

// diskStore keeps an announcer's copies on disk, written behind. What it holds is
// only ever a help: a copy found at a start whose age cannot be told is renewed
// by its tag before it is served, and all of them are dropped unless the purges
// since the shelf's position can still be told.
type diskStore struct {
	dir  string
	disk storage.Disk
	log  *logging.Logger

	opened chan *bolt.DB

	mu          sync.Mutex
	wakeWriter  *sync.Cond
	queue       []storeJob
	queuedBytes int // queued
	closed      bool
	writerDone  chan struct{}

	bootID string

	// Of the writer alone, once it runs.
	db          *bolt.DB // nil until the disk has opened it
	mustClear   bool     // the copies on disk may lack a purge: they go before anything is written
	index       map[string]storedObject
	order       []string // oldest first; may name what is gone
	storedBytes int
	maxBytes    int
}

// storedObject is what the writer remembers of a copy: enough to know a purge
// that names it.
type storedObject struct {
	size     int
	metadata responsecache.Response // without header and body
}

type storeJob struct {
	object *responsecache.Response
	purges *distribution.PurgeUpdate
}

// objectRecord is a recording on disk.
type objectRecord struct {
	Host       string      `cbor:"1,keyasint"`
	Target     string      `cbor:"2,keyasint"`
	Service    string      `cbor:"3,keyasint"`
	ETag       string      `cbor:"4,keyasint"`
	Labels     []string    `cbor:"5,keyasint,omitempty"`
	Header     http.Header `cbor:"6,keyasint,omitempty"`
	Body       []byte      `cbor:"7,keyasint,omitempty"`
	PurgeIndex uint64      `cbor:"8,keyasint"`
	ReadAt     timestamp   `cbor:"9,keyasint"`
}

var (
	objectBucket  = []byte("copies")
	nodeBucket    = []byte("node")
	purgeIndexKey = []byte("pos")
)

const (
	maxQueuedBytes    = 8 << 20
	writeInterval     = 300 * time.Millisecond
	openTimeout       = 2 * time.Second // at a start, for a disk that does not answer
	openRetryInterval = time.Second
	closeTimeout      = time.Second // at the end, likewise
	diskFraction      = 0.5         // of the disk: the file keeps room for pages not yet free
	defaultStoreBytes = 32 << 20
)

func storeCapacity(diskMb int64) int {
	if diskMb <= 0 {
		return defaultStoreBytes
	}
	return int(diskFraction * float64(diskMb<<20))
}

// openDiskStore opens the copies in dir. A file that cannot be read is dropped. A disk in
// trouble keeps no announcer from its start: the shelf is opened later then, and empty.
func openDiskStore(dir string, room int, disk storage.Disk, log *logging.Logger) (*diskStore, uint64) {
	s := &diskStore{dir: dir, disk: disk, log: log, maxBytes: room, bootID: readBootID(), index: map[string]storedObject{},
		opened: make(chan *bolt.DB, 1), writerDone: make(chan struct{})}
	s.wakeWriter = sync.NewCond(&s.mu)
	go s.open()
	pos := uint64(0)
	select {
	case s.db = <-s.opened:
		_ = s.db.View(func(tx *bolt.Tx) error {
			if b := tx.Bucket(nodeBucket); b != nil {
				if v := b.Get(purgeIndexKey); len(v) == 8 {
					pos = binary.BigEndian.Uint64(v)
				}
			}
			return nil
		})
	case <-time.After(openTimeout):
		s.mustClear = true
	}
	return s, pos
}

func (s *diskStore) open() {
	path := filepath.Join(s.dir, "copies.db")
	for ; !s.isClosed(); time.Sleep(openRetryInterval) {
		db, err := s.disk.Open(path)
		if errors.Is(err, storage.ErrCorrupt) {
			s.log.Warn(logging.DiskCacheDropped).Err(err).Msg("the copies on disk cannot be read and are dropped")
			if err = s.disk.Remove(path); err == nil {
				db, err = s.disk.Open(path)
			}
		}
		if err == nil {
			s.opened <- db
			return
		}
		s.log.Warn(logging.DiskCacheDropped).Err(err).Msg("the copies on disk cannot be opened; trying again")
	}
}

func (s *diskStore) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

// load calls f with every copy that is whole, then begins to write.
func (s *diskStore) load(f func(*responsecache.Response)) {
	defer func() { go s.runWriter() }()
	defer func() { _ = recover() }() // a damaged page: what came before it counts
	if s.db == nil {
		return
	}
	now, at := currentTimestamp(s.bootID), time.Now()
	_ = s.db.View(func(tx *bolt.Tx) error {
		b := tx.Bucket(objectBucket)
		if b == nil {
			return nil
		}
		return b.ForEach(func(k, v []byte) error {
			rec := decodeObject(v, now, at)
			if rec == nil || rec.Key() != string(k) {
				rec = &responsecache.Response{} // evicted in its turn, never used
			} else {
				f(rec)
			}
			s.track(string(k), len(v), rec)
			return nil
		})
	})
}

func encodeObject(rec *responsecache.Response, now timestamp, at time.Time) []byte {
	c := objectRecord{Host: rec.Host, Target: rec.Target, Service: rec.Service, ETag: rec.ETag, Labels: rec.Labels,
		Header: rec.Header, Body: rec.Body, PurgeIndex: rec.PurgeIndex}
	if !rec.ValidatedAt.IsZero() {
		c.ReadAt = now.minus(rec.Age(at))
	}
	b, err := rpc.Marshal(c)
	if err != nil {
		return nil
	}
	return append(binary.BigEndian.AppendUint32(nil, crc32.ChecksumIEEE(b)), b...)
}

// decodeObject reads a copy; damage makes it nil.
func decodeObject(v []byte, now timestamp, at time.Time) *responsecache.Response {
	if len(v) < 4 || binary.BigEndian.Uint32(v) != crc32.ChecksumIEEE(v[4:]) {
		return nil
	}
	var c objectRecord
	if rpc.Unmarshal(v[4:], &c) != nil || c.ETag == "" {
		return nil
	}
	rec := &responsecache.Response{Host: c.Host, Target: c.Target, Service: c.Service, ETag: c.ETag, Labels: c.Labels,
		Header: c.Header, Body: c.Body, PurgeIndex: c.PurgeIndex}
	if age, ok := now.elapsedSince(c.ReadAt); ok {
		rec.ValidatedAt = at.Add(-age)
	}
	return rec
}

// put queues a copy; when too much waits it is not written.
func (s *diskStore) put(rec *responsecache.Response) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || rec.ETag == "" || s.queuedBytes+len(rec.Body) > maxQueuedBytes {
		return
	}
	s.queuedBytes += len(rec.Body)
	s.queue = append(s.queue, storeJob{object: rec})
	s.wakeWriter.Signal()
}

// applyPurges queues purges; they are never left out.
func (s *diskStore) applyPurges(c *distribution.PurgeUpdate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue = append(s.queue, storeJob{purges: c})
	s.wakeWriter.Signal()
}

func (s *diskStore) runWriter() {
	defer close(s.writerDone)
	for s.db == nil {
		select {
		case s.db = <-s.opened:
		case <-time.After(openRetryInterval):
			if s.isClosed() {
				return
			}
		}
	}
	for {
		s.mu.Lock()
		for len(s.queue) == 0 && !s.closed {
			s.wakeWriter.Wait()
		}
		jobs, closed := s.queue, s.closed
		s.queue, s.queuedBytes = nil, 0
		s.mu.Unlock()
		if closed {
			return
		}
		err := s.writeBatch(jobs)
		if err == nil {
			s.mustClear = false
		} else {
			// The file may lack a purge now: it must not outlive this process.
			s.log.Warn(logging.DiskCacheDropped).Err(err).Msg("the copies cannot be written; the disk's copies are dropped")
			s.untrackAll()
			s.mustClear = true
		}
		time.Sleep(writeInterval)
	}
}

func (s *diskStore) track(key string, size int, rec *responsecache.Response) {
	if old, ok := s.index[key]; ok {
		s.storedBytes -= old.size
	} else {
		s.order = append(s.order, key)
	}
	head := *rec
	head.Header, head.Body = nil, nil
	s.index[key] = storedObject{size, head}
	s.storedBytes += size
}

func (s *diskStore) untrack(key string) {
	s.storedBytes -= s.index[key].size
	delete(s.index, key)
}

func (s *diskStore) writeBatch(jobs []storeJob) error {
	now, at := currentTimestamp(s.bootID), time.Now()
	return s.disk.Update(s.db, func(tx *bolt.Tx) error {
		if s.mustClear && tx.Bucket(objectBucket) != nil {
			if err := tx.DeleteBucket(objectBucket); err != nil {
				return err
			}
		}
		b, err := tx.CreateBucketIfNotExists(objectBucket)
		if err != nil {
			return err
		}
		for _, j := range jobs {
			if j.purges != nil {
				if err := s.purgeInTx(tx, j.purges); err != nil {
					return err
				}
				if b = tx.Bucket(objectBucket); b == nil {
					return os.ErrInvalid
				}
				continue
			}
			v := encodeObject(j.object, now, at)
			if v == nil {
				continue
			}
			if err := b.Put([]byte(j.object.Key()), v); err != nil {
				return err
			}
			s.track(j.object.Key(), len(v), j.object)
		}
		for s.storedBytes > s.maxBytes && len(s.order) > 0 {
			key := s.order[0]
			s.order = s.order[1:]
			if _, ok := s.index[key]; ok {
				s.untrack(key)
				if err := b.Delete([]byte(key)); err != nil {
					return err
				}
			}
		}
		return nil
	})
}

// purgeInTx drops what purges name and moves the shelf's position.
func (s *diskStore) purgeInTx(tx *bolt.Tx, c *distribution.PurgeUpdate) error {
	b := tx.Bucket(objectBucket)
	if c.Reset {
		if err := tx.DeleteBucket(objectBucket); err != nil {
			return err
		}
		if _, err := tx.CreateBucket(objectBucket); err != nil {
			return err
		}
		s.untrackAll()
	} else {
		for k, e := range s.index {
			for _, one := range c.Purges {
				if one.LogIndex > e.metadata.PurgeIndex && e.metadata.MatchesPurge(one) {
					s.untrack(k)
					if err := b.Delete([]byte(k)); err != nil {
						return err
					}
					break
				}
			}
		}
	}
	n, err := tx.CreateBucketIfNotExists(nodeBucket)
	if err != nil {
		return err
	}
	return n.Put(purgeIndexKey, binary.BigEndian.AppendUint64(nil, c.LogIndex))
}

// untrackAll forgets every copy.
func (s *diskStore) untrackAll() { s.index, s.order, s.storedBytes = map[string]storedObject{}, nil, 0 }

// close ends the shelf. A disk that hangs is not waited for.
func (s *diskStore) close() {
	s.mu.Lock()
	s.closed = true
	s.wakeWriter.Broadcast()
	s.mu.Unlock()
	select {
	case <-s.writerDone:
		if s.db != nil {
			_ = s.db.Close()
		}
	case <-time.After(closeTimeout):
	}
}
