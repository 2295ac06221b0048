// Package vault keeps the cells of one node on disk: one bbolt file, one sync
// for everything that waits at the moment.
package vault

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"comethold/internal/cell"
	"comethold/internal/wire"

	bolt "go.etcd.io/bbolt"
)

// Errors of this layer.
var (
	ErrDamaged = errors.New("vault: the file cannot be read")
	ErrClosed  = errors.New("vault: closed")
)

var (
	nodeBucket  = []byte("node")
	keyPromised = []byte("promised")
	keyRound    = []byte("round")
	keyChosen   = []byte("chosen")
	keySnap     = []byte("snapshot")
	logBucket   = []byte("log")
)

const retryPause = 200 * time.Millisecond

type job struct {
	cell string
	w    cell.Writes
	key  string // of the node itself, instead of a cell
	val  []byte
	done func()
}

// Vault is safe for use by many goroutines; what is submitted for one cell
// reaches the disk in order.
type Vault struct {
	db     *bolt.DB
	onFail func(error)

	mu     sync.Mutex
	wake   *sync.Cond
	jobs   []job
	busy   bool
	closed bool
	gone   chan struct{}
}

// Open opens the file in dir, or makes it. A file that cannot be read is put
// aside: the node then starts as one whose disk was lost. onFail is told of that,
// and later of every write that the disk refuses.
func Open(dir string, onFail func(error)) (*Vault, bool, error) {
	path := filepath.Join(dir, "vault.db")
	opts := &bolt.Options{Timeout: time.Second, NoFreelistSync: true, FreelistType: bolt.FreelistMapType}
	_, statErr := os.Stat(path)
	db, err := open(path, opts)
	if err != nil {
		if statErr != nil {
			return nil, false, fmt.Errorf("%w: %v", ErrDamaged, err)
		}
		if rerr := os.Rename(path, path+".damaged"); rerr != nil {
			return nil, false, fmt.Errorf("%w: %v; %v", ErrDamaged, err, rerr)
		}
		onFail(fmt.Errorf("%w: %v", ErrDamaged, err))
		statErr = os.ErrNotExist
		if db, err = open(path, opts); err != nil {
			return nil, false, fmt.Errorf("%w: %v", ErrDamaged, err)
		}
	}
	if d, err := os.Open(dir); err == nil { // the file's name must outlast a loss of power
		_ = d.Sync()
		_ = d.Close()
	}
	db.AllocSize = 1 << 20
	v := &Vault{db: db, onFail: onFail, gone: make(chan struct{})}
	v.wake = sync.NewCond(&v.mu)
	go v.run()
	return v, statErr != nil, nil
}

func open(path string, opts *bolt.Options) (db *bolt.DB, err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("%v", r)
		}
	}()
	return bolt.Open(path, 0o600, opts)
}

// Node returns a value that the node itself keeps, or nil.
func (v *Vault) Node(key string) []byte {
	var out []byte
	_ = v.db.View(func(tx *bolt.Tx) error {
		if b := tx.Bucket(nodeBucket); b != nil {
			out = append(out, b.Get([]byte(key))...)
		}
		return nil
	})
	return out
}

// SetNode stores a value of the node itself and returns once it is synced.
func (v *Vault) SetNode(key string, val []byte) error {
	return v.db.Update(func(tx *bolt.Tx) error { return putNode(tx, key, val) })
}

func putNode(tx *bolt.Tx, key string, val []byte) error {
	b, err := tx.CreateBucketIfNotExists(nodeBucket)
	if err != nil {
		return err
	}
	return b.Put([]byte(key), val)
}

// NoteNode queues a value of the node itself; nothing waits for its sync.
func (v *Vault) NoteNode(key string, val []byte) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.closed {
		v.jobs = append(v.jobs, job{key: key, val: val, done: func() {}})
		v.wake.Signal()
	}
}

func bucketOf(name string) []byte { return []byte("cell/" + name) }

// Load reads what the disk holds of a cell.
func (v *Vault) Load(name string) (s cell.Saved, found bool, err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("%w: %v", ErrDamaged, r)
		}
	}()
	err = v.db.View(func(tx *bolt.Tx) error {
		b := tx.Bucket(bucketOf(name))
		if b == nil {
			return nil
		}
		found = true
		if p := b.Get(keyPromised); p != nil {
			if err := wire.Unmarshal(p, &s.Promised); err != nil {
				return err
			}
		}
		if r := b.Get(keyRound); len(r) == 8 {
			s.Round = binary.BigEndian.Uint64(r)
		}
		if c := b.Get(keyChosen); len(c) == 8 {
			s.Chosen = binary.BigEndian.Uint64(c)
		}
		if p := b.Get(keySnap); p != nil {
			s.Snap = &cell.Snapshot{}
			if err := wire.Unmarshal(p, s.Snap); err != nil {
				return err
			}
		}
		if l := b.Bucket(logBucket); l != nil {
			return l.ForEach(func(_, val []byte) error {
				var e cell.Entry
				if err := wire.Unmarshal(val, &e); err != nil {
					return err
				}
				s.Entries = append(s.Entries, e)
				return nil
			})
		}
		return nil
	})
	if err != nil && !errors.Is(err, ErrDamaged) {
		err = fmt.Errorf("%w: %v", ErrDamaged, err)
	}
	return s, found, err
}

// Submit queues writes; done is called once they, and all submitted before
// them, are synced. A disk that refuses is tried again until it takes them.
// With nothing to wait for it returns true and does not call done.
func (v *Vault) Submit(name string, w cell.Writes, done func()) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.closed {
		return false
	}
	if w.Empty() && len(v.jobs) == 0 && !v.busy {
		return true
	}
	v.jobs = append(v.jobs, job{cell: name, w: w, done: done})
	v.wake.Signal()
	return false
}

func (v *Vault) run() {
	defer close(v.gone)
	for {
		v.mu.Lock()
		v.busy = false
		for len(v.jobs) == 0 && !v.closed {
			v.wake.Wait()
		}
		if v.closed {
			v.mu.Unlock()
			return
		}
		batch := v.jobs
		v.jobs, v.busy = nil, true
		v.mu.Unlock()
		for {
			err := v.write(batch)
			if err == nil {
				break
			}
			v.onFail(err)
			time.Sleep(retryPause)
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

func (v *Vault) write(batch []job) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("vault: %v", r)
		}
	}()
	any := false
	for i := range batch {
		any = any || !batch[i].w.Empty() || batch[i].key != ""
	}
	if !any {
		return nil
	}
	return v.db.Update(func(tx *bolt.Tx) error {
		for i := range batch {
			if batch[i].key != "" {
				if err := putNode(tx, batch[i].key, batch[i].val); err != nil {
					return err
				}
				continue
			}
			if err := put(tx, batch[i].cell, &batch[i].w); err != nil {
				return err
			}
		}
		return nil
	})
}

func slotKey(slot uint64) []byte { return binary.BigEndian.AppendUint64(nil, slot) }

func put(tx *bolt.Tx, name string, w *cell.Writes) error {
	if w.Empty() {
		return nil
	}
	b, err := tx.CreateBucketIfNotExists(bucketOf(name))
	if err != nil {
		return err
	}
	l, err := b.CreateBucketIfNotExists(logBucket)
	if err != nil {
		return err
	}
	if w.Promised != nil {
		p, err := wire.Marshal(w.Promised)
		if err != nil {
			return err
		}
		if err := b.Put(keyPromised, p); err != nil {
			return err
		}
	}
	if w.Round != 0 {
		if err := b.Put(keyRound, slotKey(w.Round)); err != nil {
			return err
		}
	}
	for i := range w.Entries {
		p, err := wire.Marshal(&w.Entries[i])
		if err != nil {
			return err
		}
		if err := l.Put(slotKey(w.Entries[i].Slot), p); err != nil {
			return err
		}
	}
	if w.Snap != nil {
		p, err := wire.Marshal(w.Snap)
		if err != nil {
			return err
		}
		if err := b.Put(keySnap, p); err != nil {
			return err
		}
		c := l.Cursor()
		for k, _ := c.First(); k != nil && binary.BigEndian.Uint64(k) <= w.DropTo; k, _ = c.Next() {
			if err := c.Delete(); err != nil {
				return err
			}
		}
	}
	return b.Put(keyChosen, slotKey(w.Chosen))
}

// Close ends the vault; what was submitted and not yet synced is given up.
func (v *Vault) Close() error {
	v.mu.Lock()
	v.closed = true
	v.wake.Broadcast()
	v.mu.Unlock()
	<-v.gone
	return v.db.Close()
}
