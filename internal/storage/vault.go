// Package vault keeps the cells of one node on disk: one bbolt file, one sync
// for everything that waits at the moment.
package storage

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime/debug"
	"sync"
	"time"

	"comethold/internal/paxos"
	"comethold/internal/rpc"

	bolt "go.etcd.io/bbolt"
	berrors "go.etcd.io/bbolt/errors"
)

// Errors of this layer. ErrDamaged is of the file itself; what is wrong with the disk
// under it comes as it is, and passes.
var (
	ErrCorrupt      = errors.New("vault: the file cannot be read")
	ErrClosed       = errors.New("vault: closed")
	ErrUnresponsive = errors.New("vault: the disk does not answer")
)

var (
	nodeBucket     = []byte("node")
	promisedKey    = []byte("promised")
	termKey        = []byte("round")
	commitIndexKey = []byte("chosen")
	snapshotKey    = []byte("snapshot")
	logBucket      = []byte("log")
)

// Pacing of a disk in trouble.
const (
	RetryDelay        = 200 * time.Millisecond
	UnresponsiveAfter = 2 * time.Second // without an answer
	closeTimeout      = time.Second     // for a disk that hangs
)

// Names of the files.
const (
	fileName          = "vault.db"
	corruptFileName   = fileName + ".damaged"
	temporaryFileName = fileName + ".new"
)

// Disk is what a vault asks of the file system.
type Disk interface {
	Open(path string) (*bolt.DB, error)
	// Update returns once what f wrote is synced.
	Update(db *bolt.DB, f func(*bolt.Tx) error) error
	Rename(from, to string) error
	Remove(path string) error
	// SyncDir returns once the names in a folder outlast a loss of power.
	SyncDir(dir string) error
}

// LocalDisk is the Disk of the machine.
type LocalDisk struct{}

// Open opens a bbolt file, or makes it. What is wrong with the file itself is ErrDamaged.
func (LocalDisk) Open(path string) (*bolt.DB, error) {
	opts := bolt.Options{Timeout: time.Second, NoFreelistSync: true, FreelistType: bolt.FreelistMapType}
	var db *bolt.DB
	err := verifyFile(path, opts)
	if err == nil {
		db, err = bolt.Open(path, 0o600, &opts)
	}
	if err == nil {
		db.AllocSize = 1 << 20
		return db, nil
	}
	if info, serr := os.Stat(path); errors.Is(err, berrors.ErrInvalid) || errors.Is(err, berrors.ErrVersionMismatch) ||
		errors.Is(err, berrors.ErrChecksum) || serr == nil && info.Size() > 0 && info.Size() < int64(2*os.Getpagesize()) {
		err = fmt.Errorf("%w: %v", ErrCorrupt, err)
	}
	return nil, err
}

// verifyFile reads the file once through: bbolt, opening it to write, meets what is torn or cut
// short where nobody can catch it.
func verifyFile(path string, opts bolt.Options) (err error) {
	info, err := os.Stat(path)
	if os.IsNotExist(err) || err == nil && info.Size() == 0 {
		return nil
	}
	if err != nil {
		return err
	}
	opts.ReadOnly = true
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("%w: %v", ErrCorrupt, r)
		}
	}()
	db, err := bolt.Open(path, 0o600, &opts)
	if err != nil {
		return err
	}
	defer db.Close()
	return db.View(func(tx *bolt.Tx) error {
		if tx.Size() > info.Size() {
			return fmt.Errorf("%w: cut short", ErrCorrupt)
		}
		return tx.ForEach(func(_ []byte, b *bolt.Bucket) error { return readBucket(b) })
	})
}

func readBucket(b *bolt.Bucket) error {
	return b.ForEach(func(k, v []byte) error {
		if v == nil {
			return readBucket(b.Bucket(k))
		}
		return nil
	})
}

// Update writes and syncs.
func (LocalDisk) Update(db *bolt.DB, f func(*bolt.Tx) error) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("vault: %v", r)
		}
	}()
	return db.Update(f)
}

// Rename renames a file.
func (LocalDisk) Rename(from, to string) error { return os.Rename(from, to) }

// Remove removes a file.
func (LocalDisk) Remove(path string) error { return os.Remove(path) }

// SyncDir syncs a folder.
func (LocalDisk) SyncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

type pendingWrite struct {
	cell      string
	writes    paxos.Writes
	nodeKey   string // of the node itself, instead of a cell
	nodeValue []byte
	done      func()
}

// Store is safe for use by many goroutines; what is submitted for one cell
// reaches the disk in order.
type Store struct {
	db      *bolt.DB
	disk    Disk
	onFault func(error)

	mu         sync.Mutex
	wake       *sync.Cond
	knownCells map[string]bool // that the file holds, or will
	queue      []pendingWrite
	committing bool
	closed     bool
	stopped    chan struct{}
}

// Open opens the file in dir, or makes it, and returns once its name is surely on the
// disk: what is told of a vault later must not be forgotten with it. A file that cannot
// be read is put aside: the node then starts as one whose disk was lost. onFail is told
// of that, and later of every write that the disk refuses. Where the disk is in trouble
// Open returns an error and may be called again; what it has left by then does no harm.
func Open(dir string, disk Disk, onFail func(error)) (*Store, error) {
	path := filepath.Join(dir, fileName)
	db, err := openFile(dir, disk)
	if errors.Is(err, ErrCorrupt) {
		onFail(err)
		aside := filepath.Join(dir, corruptFileName)
		// One put aside before may be this very file under both names: renaming would do nothing.
		if err := disk.Remove(aside); err != nil && !os.IsNotExist(err) {
			return nil, err
		}
		if err := disk.Rename(path, aside); err != nil {
			return nil, err
		}
		db, err = openFile(dir, disk)
	}
	if err != nil {
		return nil, err
	}
	if err := disk.SyncDir(dir); err != nil {
		_ = db.Close()
		return nil, err
	}
	v := &Store{db: db, disk: disk, onFault: onFail, stopped: make(chan struct{}), knownCells: map[string]bool{}}
	if err := db.View(func(tx *bolt.Tx) error {
		return tx.ForEach(func(name []byte, _ *bolt.Bucket) error {
			v.knownCells[string(name)] = true
			return nil
		})
	}); err != nil {
		_ = db.Close()
		return nil, err
	}
	v.wake = sync.NewCond(&v.mu)
	go v.commitLoop()
	return v, nil
}

// HasCorruptFile reports whether a file that could not be read was put aside in dir.
func HasCorruptFile(dir string) bool {
	_, err := os.Stat(filepath.Join(dir, corruptFileName))
	return err == nil
}

// openFile opens the file, or makes it under another name first: under its own name it
// is never there in part. An empty one was made by nobody who has said anything yet.
func openFile(dir string, disk Disk) (*bolt.DB, error) {
	path, fresh := filepath.Join(dir, fileName), filepath.Join(dir, temporaryFileName)
	info, err := os.Stat(path)
	if err != nil && !os.IsNotExist(err) {
		return nil, err
	}
	if err != nil || info.Size() == 0 {
		if err := disk.Remove(fresh); err != nil && !os.IsNotExist(err) {
			return nil, err
		}
		db, err := disk.Open(fresh)
		if err != nil {
			return nil, err
		}
		if err := db.Close(); err != nil {
			return nil, err
		}
		if err := disk.Rename(fresh, path); err != nil {
			return nil, err
		}
	}
	return disk.Open(path)
}

// NodeValue returns a value that the node itself keeps, or nil.
func (v *Store) NodeValue(key string) []byte {
	var out []byte
	_ = v.db.View(func(tx *bolt.Tx) error {
		if b := tx.Bucket(nodeBucket); b != nil {
			out = append(out, b.Get([]byte(key))...)
		}
		return nil
	})
	return out
}

// SetNodeValue stores a value of the node itself and returns once it is synced.
func (v *Store) SetNodeValue(key string, val []byte) error {
	return v.disk.Update(v.db, func(tx *bolt.Tx) error { return putNodeValue(tx, key, val) })
}

// Bootstrap stores a value of the node and the beginning of a cell: both or neither.
func (v *Store) Bootstrap(key string, val []byte, name string, w paxos.Writes) error {
	v.mu.Lock()
	v.knownCells[string(cellBucket(name))] = true
	v.mu.Unlock()
	return v.disk.Update(v.db, func(tx *bolt.Tx) error {
		if err := putNodeValue(tx, key, val); err != nil {
			return err
		}
		return putReplicaWrites(tx, name, &w)
	})
}

func putNodeValue(tx *bolt.Tx, key string, val []byte) error {
	b, err := tx.CreateBucketIfNotExists(nodeBucket)
	if err != nil {
		return err
	}
	return b.Put([]byte(key), val)
}

// QueueNodeValue queues a value of the node itself; nothing waits for its sync.
func (v *Store) QueueNodeValue(key string, val []byte) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.closed {
		return
	}
	for i := range v.queue {
		if v.queue[i].nodeKey == key {
			v.queue[i].nodeValue = val // what was not written yet need not be
			return
		}
	}
	v.queue = append(v.queue, pendingWrite{nodeKey: key, nodeValue: val, done: func() {}})
	v.wake.Signal()
}

func cellBucket(name string) []byte { return []byte("cell/" + name) }

// LoadReplica reads what the disk holds of a cell. For one that is new the disk, which may be
// hanging, is not asked.
func (v *Store) LoadReplica(name string) (s paxos.PersistedState, found bool, err error) {
	v.mu.Lock()
	known := v.knownCells[string(cellBucket(name))]
	v.mu.Unlock()
	if !known {
		return s, false, nil
	}
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("%w: %v", ErrCorrupt, r)
		}
	}()
	err = v.db.View(func(tx *bolt.Tx) error {
		b := tx.Bucket(cellBucket(name))
		if b == nil {
			return nil
		}
		found = true
		if p := b.Get(promisedKey); p != nil {
			if err := rpc.Unmarshal(p, &s.Promised); err != nil {
				return err
			}
		}
		if r := b.Get(termKey); len(r) == 8 {
			s.Term = binary.BigEndian.Uint64(r)
		}
		if c := b.Get(commitIndexKey); len(c) == 8 {
			s.CommitIndex = binary.BigEndian.Uint64(c)
		}
		if p := b.Get(snapshotKey); p != nil {
			s.Snapshot = &paxos.Snapshot{}
			if err := rpc.Unmarshal(p, s.Snapshot); err != nil {
				return err
			}
		}
		if l := b.Bucket(logBucket); l != nil {
			return l.ForEach(func(_, val []byte) error {
				var e paxos.Entry
				if err := rpc.Unmarshal(val, &e); err != nil {
					return err
				}
				s.Entries = append(s.Entries, e)
				return nil
			})
		}
		return nil
	})
	if err != nil && !errors.Is(err, ErrCorrupt) {
		err = fmt.Errorf("%w: %v", ErrCorrupt, err)
	}
	return s, found, err
}

// Submit queues writes; done is called once they, and all submitted before
// them, are synced. A disk that refuses is tried again until it takes them.
// With nothing to wait for it returns true and does not call done.
func (v *Store) Submit(name string, w paxos.Writes, done func()) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.closed {
		return false
	}
	if w.Empty() && len(v.queue) == 0 && !v.committing {
		return true
	}
	v.knownCells[string(cellBucket(name))] = true
	v.queue = append(v.queue, pendingWrite{cell: name, writes: w, done: done})
	v.wake.Signal()
	return false
}

func (v *Store) commitLoop() {
	defer close(v.stopped)
	for {
		v.mu.Lock()
		v.committing = false
		for len(v.queue) == 0 && !v.closed {
			v.wake.Wait()
		}
		if v.closed {
			v.mu.Unlock()
			return
		}
		batch := v.queue
		v.queue, v.committing = nil, true
		v.mu.Unlock()
		for {
			late := time.AfterFunc(UnresponsiveAfter, func() { v.onFault(ErrUnresponsive) })
			err := v.commit(batch)
			late.Stop()
			if err == nil {
				break
			}
			v.onFault(err)
			time.Sleep(RetryDelay)
			v.mu.Lock()
			closed := v.closed
			v.mu.Unlock()
			if closed {
				return
			}
		}
		for _, j := range batch {
			j.done()
		}
	}
}

func (v *Store) commit(batch []pendingWrite) error {
	any := false
	last := map[string]int{} // of a cell: its newest snapshot, which takes the place of those before
	for i := range batch {
		any = any || !batch[i].writes.Empty() || batch[i].nodeKey != ""
		if batch[i].writes.Snapshot != nil {
			last[batch[i].cell] = i
		}
	}
	if !any {
		return nil
	}
	return v.disk.Update(v.db, func(tx *bolt.Tx) error {
		for i := range batch {
			if batch[i].nodeKey != "" {
				if err := putNodeValue(tx, batch[i].nodeKey, batch[i].nodeValue); err != nil {
					return err
				}
				continue
			}
			w := batch[i].writes
			if n, ok := last[batch[i].cell]; ok && i < n {
				w.Snapshot, w.TruncateTo = nil, 0
			}
			if err := putReplicaWrites(tx, batch[i].cell, &w); err != nil {
				return err
			}
		}
		return nil
	})
}

func encodeUint64(slot uint64) []byte { return binary.BigEndian.AppendUint64(nil, slot) }

func putReplicaWrites(tx *bolt.Tx, name string, w *paxos.Writes) error {
	if w.Empty() {
		return nil
	}
	b, err := tx.CreateBucketIfNotExists(cellBucket(name))
	if err != nil {
		return err
	}
	l, err := b.CreateBucketIfNotExists(logBucket)
	if err != nil {
		return err
	}
	if w.Promised != nil {
		p, err := rpc.Marshal(w.Promised)
		if err != nil {
			return err
		}
		if err := b.Put(promisedKey, p); err != nil {
			return err
		}
	}
	if w.Term != 0 {
		if err := b.Put(termKey, encodeUint64(w.Term)); err != nil {
			return err
		}
	}
	for i := range w.Entries {
		p, err := rpc.Marshal(&w.Entries[i])
		if err != nil {
			return err
		}
		if err := l.Put(encodeUint64(w.Entries[i].Index), p); err != nil {
			return err
		}
	}
	if w.Snapshot != nil {
		p, err := rpc.Marshal(w.Snapshot)
		if err != nil {
			return err
		}
		if err := b.Put(snapshotKey, p); err != nil {
			return err
		}
		c := l.Cursor()
		for k, _ := c.First(); k != nil && binary.BigEndian.Uint64(k) <= w.TruncateTo; k, _ = c.Next() {
			if err := c.Delete(); err != nil {
				return err
			}
		}
	}
	return b.Put(commitIndexKey, encodeUint64(w.CommitIndex))
}

// Close ends the vault; what was submitted and not yet synced is given up. A disk that
// hangs is not waited for: the file is let go of when the process ends.
func (v *Store) Close() error {
	v.mu.Lock()
	v.closed = true
	v.wake.Broadcast()
	v.mu.Unlock()
	done := make(chan error, 1)
	go func() {
		<-v.stopped
		done <- v.db.Close()
	}()
	select {
	case err := <-done:
		return err
	case <-time.After(closeTimeout):
		return ErrUnresponsive
	}
}
