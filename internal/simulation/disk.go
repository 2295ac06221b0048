package simulation

import (
	"errors"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	bolt "go.etcd.io/bbolt"
)

// FaultyDisk is a folder's disk with faults: it rejects writes, hangs, and at a loss of power
// forgets names that were not synced. Everything else its Base does.
type FaultyDisk struct {
	// Base does for real what is not rejected.
	Base Disk
	// Random draws from 0 to 1.
	Random func() float64
	// SyncFailureRate is the share of syncs of the folder that are rejected.
	SyncFailureRate float64

	mu               sync.Mutex // guards the fields below
	full             bool
	hanging          bool
	incarnation      int // a process that was ended does nothing more
	stepsToPowerLoss int // the step at which the power fails, counted down; 0: never
	powerLost        bool
	// unsynced has, for each name that was changed since the last sync of the folder, a
	// link to what it stood for, or "" for nothing.
	unsynced map[string]string
	backups  int // links that were made
}

// Disk is what a FaultyDisk stands for, as storage.Disk.
type Disk interface {
	Open(path string) (*bolt.DB, error)
	Update(db *bolt.DB, f func(*bolt.Tx) error) error
	Rename(from, to string) error
	Remove(path string) error
	SyncDir(dir string) error
}

// Errors of a faulty disk.
var (
	// ErrDiskFull is the answer of a full disk to every write.
	ErrDiskFull = &os.PathError{Op: "write", Path: "disk", Err: syscall.ENOSPC}
	// ErrPowerLost is the answer to whatever comes after the power has failed.
	ErrPowerLost = errors.New("disk: no power")
)

// hangPollPause is how often a step looks whether the disk still hangs.
const hangPollPause = 20 * time.Millisecond

// SetFault makes the disk full, or hang, or neither.
func (d *FaultyDisk) SetFault(full, hangs bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.full, d.hanging = full, hangs
}

// LosePowerAfter has the power fail before the n-th step from now.
func (d *FaultyDisk) LosePowerAfter(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stepsToPowerLoss = n
}

// EndProcess ends the process that uses the disk: what hangs is never done.
func (d *FaultyDisk) EndProcess() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.incarnation++
	d.stepsToPowerLoss, d.powerLost = 0, false
}

// beforeStep waits until the disk does what it is asked, or says why it does not.
func (d *FaultyDisk) beforeStep() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	incarnation := d.incarnation
	for d.hanging && d.incarnation == incarnation {
		d.mu.Unlock()
		time.Sleep(hangPollPause)
		d.mu.Lock()
	}
	if d.stepsToPowerLoss > 0 {
		if d.stepsToPowerLoss--; d.stepsToPowerLoss == 0 {
			d.powerLost = true
		}
	}
	switch {
	case d.powerLost || d.incarnation != incarnation:
		return ErrPowerLost
	case d.full:
		return ErrDiskFull
	}
	return nil
}

// rememberName remembers what a name stood for at the last sync of the folder.
func (d *FaultyDisk) rememberName(path string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.unsynced == nil {
		d.unsynced = map[string]string{}
	}
	if _, ok := d.unsynced[path]; ok {
		return
	}
	d.backups++
	backup := filepath.Join(filepath.Dir(path), ".was"+string(rune('a'+d.backups%26))+filepath.Base(path))
	_ = os.Remove(backup) // of a former round of letters
	if os.Link(path, backup) != nil {
		backup = "" // there was nothing
	}
	d.unsynced[path] = backup
}

// LosePower is a loss of power: each name that was not synced is as it is, or as it was.
// It returns the names that were reverted.
func (d *FaultyDisk) LosePower() (reverted []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for path, backup := range d.unsynced {
		if d.Random() < 0.5 {
			_ = os.Remove(path)
			if backup != "" {
				_ = os.Link(backup, path)
			}
			reverted = append(reverted, filepath.Base(path))
		}
	}
	d.forgetBackups()
	return reverted
}

func (d *FaultyDisk) forgetBackups() {
	for _, backup := range d.unsynced {
		if backup != "" {
			_ = os.Remove(backup)
		}
	}
	clear(d.unsynced)
}

// Open opens a bbolt file; it writes only where it makes one.
func (d *FaultyDisk) Open(path string) (*bolt.DB, error) {
	if info, err := os.Stat(path); err != nil || info.Size() == 0 {
		d.rememberName(path)
		if err := d.beforeStep(); err != nil {
			if errors.Is(err, ErrDiskFull) { // the name may be made all the same
				_ = os.WriteFile(path, nil, 0o600)
			}
			return nil, err
		}
	}
	return d.Base.Open(path)
}

// Update writes and syncs a file.
func (d *FaultyDisk) Update(db *bolt.DB, f func(*bolt.Tx) error) error {
	if err := d.beforeStep(); err != nil {
		return err
	}
	return d.Base.Update(db, f)
}

// Rename renames a file.
func (d *FaultyDisk) Rename(from, to string) error {
	if err := d.beforeStep(); err != nil {
		return err
	}
	d.rememberName(from)
	d.rememberName(to)
	return d.Base.Rename(from, to)
}

// Remove removes a file.
func (d *FaultyDisk) Remove(path string) error {
	if err := d.beforeStep(); err != nil {
		return err
	}
	d.rememberName(path)
	return d.Base.Remove(path)
}

// SyncDir makes the names in the folder sure.
func (d *FaultyDisk) SyncDir(dir string) error {
	if err := d.beforeStep(); err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.Random() < d.SyncFailureRate {
		return ErrDiskFull
	}
	if err := d.Base.SyncDir(dir); err != nil {
		return err
	}
	d.forgetBackups()
	return nil
}
