package diskstore

import (
	"encoding/binary"
	"time"

	"comethold/internal/distribution"
	"comethold/internal/logging"
	"comethold/internal/responsecache"

	bolt "go.etcd.io/bbolt"
)

// contents is the writer's index of the objects on disk, for eviction and for purges.
type contents struct {
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

func newContents(maxBytes int) *contents {
	return &contents{maxBytes: maxBytes, objects: map[string]storedObject{}}
}

// track adds an object of the given size on disk.
func (c *contents) track(key string, size int, object *responsecache.Response) {
	if old, ok := c.objects[key]; ok {
		c.storedBytes -= old.size
	} else {
		c.order = append(c.order, key)
	}
	metadata := *object
	metadata.Header = nil
	metadata.Body = nil
	c.objects[key] = storedObject{size: size, metadata: metadata}
	c.storedBytes += size
}

// untrack removes an object.
func (c *contents) untrack(key string) {
	c.storedBytes -= c.objects[key].size
	delete(c.objects, key)
}

// clear removes all objects.
func (c *contents) clear() {
	c.objects = map[string]storedObject{}
	c.order = nil
	c.storedBytes = 0
}

// evictOldest removes the oldest object if there are more than maxBytes, and returns its key.
func (c *contents) evictOldest() (key string, ok bool) {
	for c.storedBytes > c.maxBytes && len(c.order) > 0 {
		key = c.order[0]
		c.order = c.order[1:]
		if _, ok := c.objects[key]; ok {
			c.untrack(key)
			return key, true
		}
	}
	return "", false
}

// matches reports whether one of the purges, if newer than the object, matches it.
func (o *storedObject) matches(purges []distribution.Purge) bool {
	for _, purge := range purges {
		if purge.LogIndex > o.metadata.PurgeIndex && o.metadata.MatchesPurge(purge) {
			return true
		}
	}
	return false
}

// runWriter writes what is queued until the store is closed.
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
			// The file may lack a purge now: its objects must not be loaded again.
			s.log.Warn(logging.DiskCacheDropped).
				Err(err).
				Msg("the objects cannot be written; those on disk are dropped")
			s.contents.clear()
			s.mustClear = true
		}
		time.Sleep(writeInterval)
	}
}

// waitForFile waits until the file is open, and reports false if the store is closed before.
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

// takeOperations waits for operations and takes all that are queued.
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

// writeBatch carries out operations in one transaction.
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

// writeOperation carries out one operation; objectBucket is there. now and at are the same
// moment by both clocks.
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
	s.contents.track(op.object.Key(), len(value), op.object)
	return nil
}

// writePurges deletes the objects that purges match, and stores the new log index.
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
	s.contents.clear()
	return nil
}

func (s *Store) dropMatching(tx *bolt.Tx, purges []distribution.Purge) error {
	objects := tx.Bucket(objectBucket)
	for key, object := range s.contents.objects {
		if !object.matches(purges) {
			continue
		}
		s.contents.untrack(key)
		if err := objects.Delete([]byte(key)); err != nil {
			return err
		}
	}
	return nil
}

// evict deletes the oldest objects until maxBytes are left at most.
func (s *Store) evict(tx *bolt.Tx) error {
	objects := tx.Bucket(objectBucket)
	for {
		key, ok := s.contents.evictOldest()
		if !ok {
			return nil
		}
		if err := objects.Delete([]byte(key)); err != nil {
			return err
		}
	}
}
