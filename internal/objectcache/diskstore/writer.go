package diskstore

import (
	"encoding/binary"
	"time"

	"comethold/internal/distribution"
	"comethold/internal/logging"
	"comethold/internal/responsecache"

	bolt "go.etcd.io/bbolt"
)

// objectIndex is the writer's in-memory index of the objects on disk, for eviction and purges.
type objectIndex struct {
	maxBytes    int
	storedBytes int
	objects     map[string]storedObject
	order       []string // keys, oldest first; may contain keys of removed objects
}

// storedObject is the index entry of one object.
type storedObject struct {
	size     int
	metadata responsecache.Response // without header and body
}

func newObjectIndex(maxBytes int) *objectIndex {
	return &objectIndex{maxBytes: maxBytes, objects: map[string]storedObject{}}
}

// track adds an object that takes size bytes on disk, or replaces the entry of its key.
func (x *objectIndex) track(key string, size int, object *responsecache.Response) {
	if old, ok := x.objects[key]; ok {
		x.storedBytes -= old.size
	} else {
		x.order = append(x.order, key)
	}
	metadata := *object
	metadata.Header = nil
	metadata.Body = nil
	x.objects[key] = storedObject{size: size, metadata: metadata}
	x.storedBytes += size
}

// untrack removes an object.
func (x *objectIndex) untrack(key string) {
	x.storedBytes -= x.objects[key].size
	delete(x.objects, key)
}

// clear removes all objects.
func (x *objectIndex) clear() {
	x.objects = map[string]storedObject{}
	x.order = nil
	x.storedBytes = 0
}

// evictOldest removes the oldest object if the objects take more than maxBytes, and returns its key.
func (x *objectIndex) evictOldest() (key string, ok bool) {
	for x.storedBytes > x.maxBytes && len(x.order) > 0 {
		key = x.order[0]
		x.order = x.order[1:]
		if _, ok := x.objects[key]; ok {
			x.untrack(key)
			return key, true
		}
	}
	return "", false
}

// matches reports whether one of the purges is newer than the object and matches it.
func (o *storedObject) matches(purges []distribution.Purge) bool {
	for _, purge := range purges {
		if purge.LogIndex > o.metadata.PurgeIndex && o.metadata.MatchesPurge(purge) {
			return true
		}
	}
	return false
}

// runWriter executes the queued operations until the store is closed.
func (s *Store) runWriter() {
	defer close(s.writerDone)
	if !s.waitForFile() {
		return
	}
	for {
		operations, closed := s.takeOperations()
		if closed {
			return
		}
		if err := s.writeBatch(operations); err == nil {
			s.mustClear = false
		} else {
			// A purge may now be missing in the file, so its objects must not be loaded again.
			s.log.Warn(logging.DiskCacheDropped).
				Err(err).
				Msg("writing to the disk cache failed; all objects on disk are dropped")
			s.index.clear()
			s.mustClear = true
		}
		time.Sleep(writeInterval)
	}
}

// waitForFile waits until the file is open. It returns false if the store is closed before that.
func (s *Store) waitForFile() bool {
	for s.db == nil {
		select {
		case s.db = <-s.opened:
		case <-time.After(openRetryInterval):
			if s.isClosed() {
				return false
			}
		}
	}
	return true
}

// takeOperations waits until operations are queued or the store is closed, and removes all
// operations from the queue.
func (s *Store) takeOperations() (operations []operation, closed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.queue) == 0 && !s.closed {
		s.wakeWriter.Wait()
	}
	operations = s.queue
	s.queue = nil
	s.queuedBytes = 0
	return operations, s.closed
}

// writeBatch executes operations in one transaction, and evicts the oldest objects if necessary.
func (s *Store) writeBatch(operations []operation) error {
	now, at := currentTimestamp(s.bootID), time.Now()
	return s.disk.Update(s.db, func(tx *bolt.Tx) error {
		if s.mustClear && tx.Bucket(objectBucket) != nil {
			if err := tx.DeleteBucket(objectBucket); err != nil {
				return err
			}
		}
		if _, err := tx.CreateBucketIfNotExists(objectBucket); err != nil {
			return err
		}
		for _, op := range operations {
			if err := s.writeOperation(tx, op, now, at); err != nil {
				return err
			}
		}
		return s.evict(tx)
	})
}

// writeOperation executes one operation. objectBucket must exist. now and at are the same current
// time in two types.
func (s *Store) writeOperation(tx *bolt.Tx, op operation, now timestamp, at time.Time) error {
	if op.purges != nil {
		return s.writePurges(tx, op.purges)
	}
	value := encodeObject(op.object, now, at)
	if value == nil {
		return nil
	}
	if err := tx.Bucket(objectBucket).Put([]byte(op.object.Key()), value); err != nil {
		return err
	}
	s.index.track(op.object.Key(), len(value), op.object)
	return nil
}

// writePurges deletes the objects that the purges match, or all objects after a reset, and stores
// the new log index.
func (s *Store) writePurges(tx *bolt.Tx, u *distribution.PurgeUpdate) error {
	var err error
	if u.Reset {
		err = s.dropAll(tx)
	} else {
		err = s.dropMatching(tx, u.Purges)
	}
	if err != nil {
		return err
	}
	node, err := tx.CreateBucketIfNotExists(nodeBucket)
	if err != nil {
		return err
	}
	return node.Put(purgeIndexKey, binary.BigEndian.AppendUint64(nil, u.LogIndex))
}

func (s *Store) dropAll(tx *bolt.Tx) error {
	if err := tx.DeleteBucket(objectBucket); err != nil {
		return err
	}
	if _, err := tx.CreateBucket(objectBucket); err != nil {
		return err
	}
	s.index.clear()
	return nil
}

func (s *Store) dropMatching(tx *bolt.Tx, purges []distribution.Purge) error {
	objects := tx.Bucket(objectBucket)
	for key, object := range s.index.objects {
		if !object.matches(purges) {
			continue
		}
		s.index.untrack(key)
		if err := objects.Delete([]byte(key)); err != nil {
			return err
		}
	}
	return nil
}

// evict deletes the oldest objects until the remaining ones take at most maxBytes.
func (s *Store) evict(tx *bolt.Tx) error {
	objects := tx.Bucket(objectBucket)
	for {
		key, ok := s.index.evictOldest()
		if !ok {
			return nil
		}
		if err := objects.Delete([]byte(key)); err != nil {
			return err
		}
	}
}
