// Package storage keeps the durable state of the replicas of one control node in one bbolt file.
//
// A Store holds two kinds of state: values of the node itself (its identity, its newest endpoint list, its inbox),
// and the persistent state of the Paxos replica of each cell: the promise, the term of its last campaign, the commit
// index, the log and the newest snapshot.
//
// The order in which state becomes durable is part of the contract:
//
//   - Open returns only after the name of the file is durable, so that a loss of power can't remove the file together
//     with an identity that was stored in it later.
//   - Bootstrap stores the identity of the node and the first state of its first cell in one transaction. After a
//     crash the file holds either both or neither.
//   - Submit calls done only after its writes and all earlier ones are synced. Messages that report the writes as
//     durable must wait for done. Everything submitted during a sync is written together with the next one (group
//     commit).
//   - A snapshot is stored, and the log entries that it covers are removed, in one transaction.
//   - QueueNodeValue only queues: the value is synced together with the next group, and no caller waits for it.
//
// A corrupt file is renamed and replaced by an empty one; the node then starts as if its disk was lost. A failed write
// is repeated until it succeeds.
package storage

import (
	"errors"
	"sync"
	"time"

	bolt "go.etcd.io/bbolt"

	"comethold/internal/paxos"
)

// Errors of this package. ErrCorrupt means that the content of the file is damaged, ErrUnresponsive that an operation
// takes too long. Errors of the disk are returned unchanged, because they may be temporary.
var (
	ErrCorrupt      = errors.New("storage: database file is corrupt")
	ErrUnresponsive = errors.New("storage: disk does not respond")
)

// Times for the handling of disk faults.
const (
	// RetryDelay is the pause before a failed write is repeated.
	RetryDelay = 200 * time.Millisecond
	// UnresponsiveAfter is how long Open or a group commit may take before ErrUnresponsive is reported. The caller of
	// Open measures its time.
	UnresponsiveAfter = 2 * time.Second

	closeTimeout = time.Second // how long Close waits for a disk that hangs
)

// Store is the durable state of one node. It is safe for concurrent use; the writes of one cell reach the disk in the
// order of Submit.
type Store struct {
	db      *bolt.DB
	disk    Disk
	commits *groupCommitter

	mu         sync.Mutex
	knownCells map[string]bool // cells with stored or queued state; guarded by mu
}

// NodeValue returns a value of the node itself, or nil if none is stored under the key.
func (s *Store) NodeValue(key string) []byte {
	var value []byte
	_ = s.db.View(func(tx *bolt.Tx) error {
		if bucket := tx.Bucket(nodeBucket); bucket != nil {
			value = append(value, bucket.Get([]byte(key))...)
		}
		return nil
	})
	return value
}

// SetNodeValue stores a value of the node itself and returns after it is synced.
func (s *Store) SetNodeValue(key string, value []byte) error {
	return s.disk.Update(s.db, func(tx *bolt.Tx) error { return putNodeValue(tx, key, value) })
}

// QueueNodeValue queues a value of the node itself for the next group commit. It does not wait for the sync. A newer
// value replaces one that is not written yet.
func (s *Store) QueueNodeValue(key string, value []byte) { s.commits.addNodeValue(key, value) }

// Bootstrap stores a value of the node and the first state of a cell in one transaction, and returns after both are
// synced.
func (s *Store) Bootstrap(key string, value []byte, cell string, writes paxos.Writes) error {
	s.addKnownCell(cell)
	return s.disk.Update(s.db, func(tx *bolt.Tx) error {
		if err := putNodeValue(tx, key, value); err != nil {
			return err
		}
		return putReplicaWrites(tx, cell, &writes)
	})
}

// LoadReplica reads the stored state of a cell's replica; found is false for a cell that is new to this node. For
// such a cell it does not access the file, because a disk that hangs would block it. Every error wraps ErrCorrupt.
func (s *Store) LoadReplica(cell string) (state paxos.PersistedState, found bool, err error) {
	if !s.isKnownCell(cell) {
		return state, false, nil
	}
	defer func() {
		if fault := recover(); fault != nil { // bbolt panics on damaged pages
			err = corruptError(fault)
		}
	}()
	err = s.db.View(func(tx *bolt.Tx) error {
		bucket := tx.Bucket(cellBucket(cell))
		if bucket == nil {
			return nil
		}
		found = true
		return readReplicaState(bucket, &state)
	})
	if err != nil {
		err = corruptError(err)
	}
	return state, found, err
}

// Submit queues writes of a replica. It returns true, and does not call done, if the writes are empty and all earlier
// ones are synced. Otherwise it returns false, and done is called after these writes and all earlier ones are synced.
// Failed writes are repeated until they succeed. After Close, Submit discards the writes and returns false, and done is
// never called.
func (s *Store) Submit(cell string, writes paxos.Writes, done func()) bool {
	return s.commits.addReplicaWrites(cell, writes, done, func() { s.addKnownCell(cell) })
}

// Close stops the group commits and closes the file. Queued writes are discarded. If the disk hangs, Close returns
// ErrUnresponsive after a time-out, and the file stays open until the disk responds or the process exits.
func (s *Store) Close() error {
	s.commits.close()
	closed := make(chan error, 1)
	go func() {
		<-s.commits.stopped
		closed <- s.db.Close()
	}()
	select {
	case err := <-closed:
		return err
	case <-time.After(closeTimeout):
		return ErrUnresponsive
	}
}

func (s *Store) isKnownCell(cell string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.knownCells[cell]
}

func (s *Store) addKnownCell(cell string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.knownCells[cell] = true
}
