package announce

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"comethold/internal/event"
	"comethold/internal/feed"
	"comethold/internal/recorder"
	"comethold/internal/vault"
	"comethold/internal/wire"

	bolt "go.etcd.io/bbolt"
)

// shelf keeps an announcer's copies on disk, written behind. What it holds is
// only ever a help: a copy found at a start whose age cannot be told is renewed
// by its tag before it is served, and all of them are dropped unless the purges
// since the shelf's position can still be told.
type shelf struct {
	dir  string
	disk vault.Disk
	log  *event.Log

	opened chan *bolt.DB

	mu     sync.Mutex
	wake   *sync.Cond
	queue  []shelfJob
	bytes  int // queued
	closed bool
	gone   chan struct{}

	boot string

	// Of the writer alone, once it runs.
	db    *bolt.DB // nil until the disk has opened it
	drop  bool     // the copies on disk may lack a purge: they go before anything is written
	index map[string]shelfEntry
	order []string // oldest first; may name what is gone
	held  int
	room  int
}

// shelfEntry is what the writer remembers of a copy: enough to know a purge
// that names it.
type shelfEntry struct {
	size int
	head recorder.Recording // without header and body
}

type shelfJob struct {
	rec    *recorder.Recording
	recall *feed.Recalls
}

// copyRecord is a recording on disk.
type copyRecord struct {
	Host    string      `cbor:"1,keyasint"`
	Target  string      `cbor:"2,keyasint"`
	Service string      `cbor:"3,keyasint"`
	ETag    string      `cbor:"4,keyasint"`
	Labels  []string    `cbor:"5,keyasint,omitempty"`
	Header  http.Header `cbor:"6,keyasint,omitempty"`
	Body    []byte      `cbor:"7,keyasint,omitempty"`
	Pos     uint64      `cbor:"8,keyasint"`
	Read    moment      `cbor:"9,keyasint"`
}

var (
	copyBucket = []byte("copies")
	nodeBucket = []byte("node")
	keyPos     = []byte("pos")
)

const (
	shelfQueue  = 8 << 20
	shelfPause  = 300 * time.Millisecond
	shelfWait   = 2 * time.Second // at a start, for a disk that does not answer
	shelfRetry  = time.Second
	shelfClose  = time.Second // at the end, likewise
	shelfPart   = 0.5         // of the disk: the file keeps room for pages not yet free
	shelfDefaul = 32 << 20
)

func shelfRoom(diskMb int64) int {
	if diskMb <= 0 {
		return shelfDefaul
	}
	return int(shelfPart * float64(diskMb<<20))
}

// openShelf opens the copies in dir. A file that cannot be read is dropped. A disk in
// trouble keeps no announcer from its start: the shelf is opened later then, and empty.
func openShelf(dir string, room int, disk vault.Disk, log *event.Log) (*shelf, uint64) {
	s := &shelf{dir: dir, disk: disk, log: log, room: room, boot: bootID(), index: map[string]shelfEntry{},
		opened: make(chan *bolt.DB, 1), gone: make(chan struct{})}
	s.wake = sync.NewCond(&s.mu)
	go s.open()
	pos := uint64(0)
	select {
	case s.db = <-s.opened:
		_ = s.db.View(func(tx *bolt.Tx) error {
			if b := tx.Bucket(nodeBucket); b != nil {
				if v := b.Get(keyPos); len(v) == 8 {
					pos = binary.BigEndian.Uint64(v)
				}
			}
			return nil
		})
	case <-time.After(shelfWait):
		s.drop = true
	}
	return s, pos
}

func (s *shelf) open() {
	path := filepath.Join(s.dir, "copies.db")
	for ; !s.isClosed(); time.Sleep(shelfRetry) {
		db, err := s.disk.Open(path)
		if errors.Is(err, vault.ErrDamaged) {
			s.log.Warn(event.ShelfDropped).Err(err).Msg("the copies on disk cannot be read and are dropped")
			if err = s.disk.Remove(path); err == nil {
				db, err = s.disk.Open(path)
			}
		}
		if err == nil {
			s.opened <- db
			return
		}
		s.log.Warn(event.ShelfDropped).Err(err).Msg("the copies on disk cannot be opened; trying again")
	}
}

func (s *shelf) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

// start calls f with every copy that is whole, then begins to write.
func (s *shelf) start(f func(*recorder.Recording)) {
	defer func() { go s.run() }()
	defer func() { _ = recover() }() // a damaged page: what came before it counts
	if s.db == nil {
		return
	}
	now, at := present(s.boot), time.Now()
	_ = s.db.View(func(tx *bolt.Tx) error {
		b := tx.Bucket(copyBucket)
		if b == nil {
			return nil
		}
		return b.ForEach(func(k, v []byte) error {
			rec := decodeCopy(v, now, at)
			if rec == nil || rec.Key() != string(k) {
				rec = &recorder.Recording{} // evicted in its turn, never used
			} else {
				f(rec)
			}
			s.note(string(k), len(v), rec)
			return nil
		})
	})
}

func encodeCopy(rec *recorder.Recording, now moment, at time.Time) []byte {
	c := copyRecord{Host: rec.Host, Target: rec.Target, Service: rec.Service, ETag: rec.ETag, Labels: rec.Labels,
		Header: rec.Header, Body: rec.Body, Pos: rec.Pos}
	if !rec.Read.IsZero() {
		c.Read = now.before(rec.Age(at))
	}
	b, err := wire.Marshal(c)
	if err != nil {
		return nil
	}
	return append(binary.BigEndian.AppendUint32(nil, crc32.ChecksumIEEE(b)), b...)
}

// decodeCopy reads a copy; damage makes it nil.
func decodeCopy(v []byte, now moment, at time.Time) *recorder.Recording {
	if len(v) < 4 || binary.BigEndian.Uint32(v) != crc32.ChecksumIEEE(v[4:]) {
		return nil
	}
	var c copyRecord
	if wire.Unmarshal(v[4:], &c) != nil || c.ETag == "" {
		return nil
	}
	rec := &recorder.Recording{Host: c.Host, Target: c.Target, Service: c.Service, ETag: c.ETag, Labels: c.Labels,
		Header: c.Header, Body: c.Body, Pos: c.Pos}
	if age, ok := now.since(c.Read); ok {
		rec.Read = at.Add(-age)
	}
	return rec
}

// put queues a copy; when too much waits it is not written.
func (s *shelf) put(rec *recorder.Recording) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || rec.ETag == "" || s.bytes+len(rec.Body) > shelfQueue {
		return
	}
	s.bytes += len(rec.Body)
	s.queue = append(s.queue, shelfJob{rec: rec})
	s.wake.Signal()
}

// recalled queues purges; they are never left out.
func (s *shelf) recalled(c *feed.Recalls) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue = append(s.queue, shelfJob{recall: c})
	s.wake.Signal()
}

func (s *shelf) run() {
	defer close(s.gone)
	for s.db == nil {
		select {
		case s.db = <-s.opened:
		case <-time.After(shelfRetry):
			if s.isClosed() {
				return
			}
		}
	}
	for {
		s.mu.Lock()
		for len(s.queue) == 0 && !s.closed {
			s.wake.Wait()
		}
		jobs, closed := s.queue, s.closed
		s.queue, s.bytes = nil, 0
		s.mu.Unlock()
		if closed {
			return
		}
		err := s.write(jobs)
		if err == nil {
			s.drop = false
		} else {
			// The file may lack a purge now: it must not outlive this process.
			s.log.Warn(event.ShelfDropped).Err(err).Msg("the copies cannot be written; the disk's copies are dropped")
			s.clear()
			s.drop = true
		}
		time.Sleep(shelfPause)
	}
}

func (s *shelf) note(key string, size int, rec *recorder.Recording) {
	if old, ok := s.index[key]; ok {
		s.held -= old.size
	} else {
		s.order = append(s.order, key)
	}
	head := *rec
	head.Header, head.Body = nil, nil
	s.index[key] = shelfEntry{size, head}
	s.held += size
}

func (s *shelf) forget(key string) {
	s.held -= s.index[key].size
	delete(s.index, key)
}

func (s *shelf) write(jobs []shelfJob) error {
	now, at := present(s.boot), time.Now()
	return s.disk.Update(s.db, func(tx *bolt.Tx) error {
		if s.drop && tx.Bucket(copyBucket) != nil {
			if err := tx.DeleteBucket(copyBucket); err != nil {
				return err
			}
		}
		b, err := tx.CreateBucketIfNotExists(copyBucket)
		if err != nil {
			return err
		}
		for _, j := range jobs {
			if j.recall != nil {
				if err := s.recallIn(tx, j.recall); err != nil {
					return err
				}
				if b = tx.Bucket(copyBucket); b == nil {
					return os.ErrInvalid
				}
				continue
			}
			v := encodeCopy(j.rec, now, at)
			if v == nil {
				continue
			}
			if err := b.Put([]byte(j.rec.Key()), v); err != nil {
				return err
			}
			s.note(j.rec.Key(), len(v), j.rec)
		}
		for s.held > s.room && len(s.order) > 0 {
			key := s.order[0]
			s.order = s.order[1:]
			if _, ok := s.index[key]; ok {
				s.forget(key)
				if err := b.Delete([]byte(key)); err != nil {
					return err
				}
			}
		}
		return nil
	})
}

// recallIn drops what purges name and moves the shelf's position.
func (s *shelf) recallIn(tx *bolt.Tx, c *feed.Recalls) error {
	b := tx.Bucket(copyBucket)
	if c.Reset {
		if err := tx.DeleteBucket(copyBucket); err != nil {
			return err
		}
		if _, err := tx.CreateBucket(copyBucket); err != nil {
			return err
		}
		s.clear()
	} else {
		for k, e := range s.index {
			for _, one := range c.All {
				if one.Pos > e.head.Pos && e.head.NamedBy(one) {
					s.forget(k)
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
	return n.Put(keyPos, binary.BigEndian.AppendUint64(nil, c.Pos))
}

// clear forgets every copy.
func (s *shelf) clear() { s.index, s.order, s.held = map[string]shelfEntry{}, nil, 0 }

// close ends the shelf. A disk that hangs is not waited for.
func (s *shelf) close() {
	s.mu.Lock()
	s.closed = true
	s.wake.Broadcast()
	s.mu.Unlock()
	select {
	case <-s.gone:
		if s.db != nil {
			_ = s.db.Close()
		}
	case <-time.After(shelfClose):
	}
}
