package scenario

import (
	"errors"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	bolt "go.etcd.io/bbolt"
)

// Disk is a folder's disk in trouble: it refuses, hangs, and at a loss of power forgets
// names that were not synced. What it does for real it has Under do.
type Disk struct {
	Under interface {
		Open(path string) (*bolt.DB, error)
		Update(db *bolt.DB, f func(*bolt.Tx) error) error
		Rename(from, to string) error
		Remove(path string) error
		SyncDir(dir string) error
	}
	Luck func() float64
	// SyncFails is the share of syncs of the folder that are refused.
	SyncFails float64

	mu      sync.Mutex
	full    bool
	hangs   bool
	life    int // a process that was ended does nothing more
	stopAt  int // the step at which the power fails, counted down; 0: never
	unsure  map[string]string
	kept    int
	dropped bool
}

// Errors of a disk in trouble.
var (
	ErrFull  = &os.PathError{Op: "write", Path: "disk", Err: syscall.ENOSPC}
	ErrPower = errors.New("disk: no power")
)

// Set makes the disk full, or hang, or neither.
func (d *Disk) Set(full, hangs bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.full, d.hangs = full, hangs
}

// StopAt has the power fail before the n-th step from now.
func (d *Disk) StopAt(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopAt = n
}

// End ends the process that uses the disk: what hangs is never done.
func (d *Disk) End() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.life++
	d.stopAt, d.dropped = 0, false
}

// step waits until the disk does what it is asked, or says why it does not.
func (d *Disk) step() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	life := d.life
	for d.hangs && d.life == life {
		d.mu.Unlock()
		time.Sleep(20 * time.Millisecond)
		d.mu.Lock()
	}
	if d.stopAt > 0 {
		if d.stopAt--; d.stopAt == 0 {
			d.dropped = true
		}
	}
	switch {
	case d.dropped || d.life != life:
		return ErrPower
	case d.full:
		return ErrFull
	}
	return nil
}

// touch remembers what a name stood for at the last sync of the folder.
func (d *Disk) touch(path string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.unsure == nil {
		d.unsure = map[string]string{}
	}
	if _, ok := d.unsure[path]; ok {
		return
	}
	d.kept++
	side := filepath.Join(filepath.Dir(path), ".was"+string(rune('a'+d.kept%26))+filepath.Base(path))
	_ = os.Remove(side)
	if os.Link(path, side) != nil {
		side = ""
	}
	d.unsure[path] = side
}

// Lose is a loss of power: each name that was not synced is as it is, or as it was.
// It returns the names that went back.
func (d *Disk) Lose() (back []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for path, side := range d.unsure {
		if d.Luck() < 0.5 {
			_ = os.Remove(path)
			if side != "" {
				_ = os.Link(side, path)
			}
			back = append(back, filepath.Base(path))
		}
	}
	d.settle()
	return back
}

func (d *Disk) settle() {
	for _, side := range d.unsure {
		if side != "" {
			_ = os.Remove(side)
		}
	}
	clear(d.unsure)
}

// Open opens a bbolt file; it writes only where it makes one.
func (d *Disk) Open(path string) (*bolt.DB, error) {
	if info, err := os.Stat(path); err != nil || info.Size() == 0 {
		d.touch(path)
		if err := d.step(); err != nil {
			if errors.Is(err, ErrFull) { // the name may be made all the same
				_ = os.WriteFile(path, nil, 0o600)
			}
			return nil, err
		}
	}
	return d.Under.Open(path)
}

// Update writes and syncs a file.
func (d *Disk) Update(db *bolt.DB, f func(*bolt.Tx) error) error {
	if err := d.step(); err != nil {
		return err
	}
	return d.Under.Update(db, f)
}

// Rename renames a file.
func (d *Disk) Rename(from, to string) error {
	if err := d.step(); err != nil {
		return err
	}
	d.touch(from)
	d.touch(to)
	return d.Under.Rename(from, to)
}

// Remove removes a file.
func (d *Disk) Remove(path string) error {
	if err := d.step(); err != nil {
		return err
	}
	d.touch(path)
	return d.Under.Remove(path)
}

// SyncDir makes the names in the folder sure.
func (d *Disk) SyncDir(dir string) error {
	if err := d.step(); err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.Luck() < d.SyncFails {
		return ErrFull
	}
	if err := d.Under.SyncDir(dir); err != nil {
		return err
	}
	d.settle()
	return nil
}
