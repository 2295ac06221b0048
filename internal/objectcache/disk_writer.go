package objectcache

import (
	"encoding/binary"
	"os"
	"time"

	"comethold/internal/distribution"
	"comethold/internal/logging"
	"comethold/internal/responsecache"

	bolt "go.etcd.io/bbolt"
)

// storeContents is what the writer remembers of the objects on disk: enough to evict the
// oldest and to find those that a purge matches.
type storeContents struct {
	maxBytes    int
	storedBytes int
	objects     map[string]storedObject
	order       []string // keys, oldest first; may name objects that are gone
}

// storedObject is what is remembered of one object.
type storedObject struct {
	size     int
	metadata responsecache.Response // without header and body
}

func newStoreContents(maxBytes int) *storeContents {
	return &storeContents{maxBytes: maxBytes, objects: map[string]storedObject{}}
}

// track remembers an object of the given size on disk.
func (c *storeContents) track(key string, size int, object *responsecache.Response) {
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

// untrack forgets an object.
func (c *storeContents) untrack(key string) {
	c.storedBytes -= c.objects[key].size
	delete(c.objects, key)
}

// clear forgets all objects.
func (c *storeContents) clear() {
	c.objects = map[string]storedObject{}
	c.order = nil
	c.storedBytes = 0
}

// evictOldest forgets the oldest object if there are too many bytes, and returns its key.
func (c *storeContents) evictOldest() (key string, ok bool) {
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
func (s *diskStore) runWriter() {
	defer close(s.writerDone)
	if !s.waitForFile() {
		return
	}
	for {
		jobs, closed := s.takeJobs()
		if closed {
			return
		}
		if err := s.writeBatch(jobs); err == nil {
			s.mustClear = false
		} else {
			// The file may lack a purge now: it must not outlive this process.
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
func (s *diskStore) waitForFile() bool {
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

// takeJobs waits for jobs and takes all that are queued.
func (s *diskStore) takeJobs() (jobs []storeJob, closed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.queue) == 0 && !s.closed {
		s.wakeWriter.Wait()
	}
	jobs = s.queue
	s.queue = nil
	s.queuedBytes = 0
	return jobs, s.closed
}

// writeBatch carries out jobs in one transaction.
func (s *diskStore) writeBatch(jobs []storeJob) error {
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
		for _, job := range jobs {
			if err := s.writeJob(tx, job, now, at); err != nil {
				return err
			}
		}
		return s.evict(tx)
	})
}

// writeJob carries out one job. now and at are the same moment by both clocks.
func (s *diskStore) writeJob(tx *bolt.Tx, job storeJob, now timestamp, at time.Time) error {
	if job.purges != nil {
		return s.writePurges(tx, job.purges)
	}
	value := encodeObject(job.object, now, at)
	if value == nil {
		return nil
	}
	objects := tx.Bucket(objectBucket)
	if objects == nil {
		return os.ErrInvalid
	}
	if err := objects.Put([]byte(job.object.Key()), value); err != nil {
		return err
	}
	s.contents.track(job.object.Key(), len(value), job.object)
	return nil
}

// writePurges drops the objects that purges match, and moves the store's log index.
func (s *diskStore) writePurges(tx *bolt.Tx, u *distribution.PurgeUpdate) error {
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

func (s *diskStore) dropAll(tx *bolt.Tx) error {
	if err := tx.DeleteBucket(objectBucket); err != nil {
		return err
	}
	if _, err := tx.CreateBucket(objectBucket); err != nil {
		return err
	}
	s.contents.clear()
	return nil
}

func (s *diskStore) dropMatching(tx *bolt.Tx, purges []distribution.Purge) error {
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

// evict drops the oldest objects while there are too many bytes.
func (s *diskStore) evict(tx *bolt.Tx) error {
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
