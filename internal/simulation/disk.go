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

// FaultyDisk wraps the disk of a folder and adds faults: it rejects writes, hangs, and at a loss
// of power may revert renames and removals that were not synced.
type FaultyDisk struct {
	// Base performs the operations that are not rejected.
	Base Disk
	// Random returns a random number in [0,1).
	Random func() float64
	// SyncFailureRate is the share of syncs of the folder that fail.
	SyncFailureRate float64

	mu               sync.Mutex // guards the fields below
	fault            DiskFault
	incarnation      int // of the process that uses the disk; operations of earlier ones fail
	stepsToPowerLoss int // the step at which the power fails, counted down; 0: never
	powerLost        bool
	// unsynced has, for each name that was changed since the last sync of the folder, a
	// link to the file that had this name then, or "" if there was none.
	unsynced map[string]string
	backups  int // number of links made for unsynced
}

// DiskFault is a lasting fault of a disk.
type DiskFault uint8

// The faults of SetFault.
const (
	// NoFault is a disk that works.
	NoFault DiskFault = iota
	// DiskFull makes every write fail with ErrDiskFull.
	DiskFull
	// DiskHanging makes every operation wait until the fault or the process ends.
	DiskHanging
)

// Disk is the interface that a FaultyDisk wraps and implements; it equals storage.Disk.
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
	// ErrPowerLost is the answer to every operation after the power has failed.
	ErrPowerLost = errors.New("disk: no power")
)

// hangPollPause is the pause between two checks whether the disk still hangs.
const hangPollPause = 20 * time.Millisecond

// SetFault sets the lasting fault of the disk.
func (d *FaultyDisk) SetFault(fault DiskFault) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fault = fault
}

// LosePowerAfter makes the power fail before the n-th step from now.
func (d *FaultyDisk) LosePowerAfter(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stepsToPowerLoss = n
}

// EndProcess ends the process that uses the disk: its hanging operations fail without effect.
func (d *FaultyDisk) EndProcess() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.incarnation++
	d.stepsToPowerLoss, d.powerLost = 0, false
}

// beforeStep waits while the disk hangs, and returns the error of the operation if it must fail.
func (d *FaultyDisk) beforeStep() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	incarnation := d.incarnation
	for d.fault == DiskHanging && d.incarnation == incarnation {
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
	case d.fault == DiskFull:
		return ErrDiskFull
	}
	return nil
}

// rememberName keeps a link to the file that had a name at the last sync of the folder.
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
	_ = os.Remove(backup) // the letters repeat
	if os.Link(path, backup) != nil {
		backup = "" // no file had the name
	}
	d.unsynced[path] = backup
}

// LosePower simulates a loss of power: each name that was not synced keeps its change or is
// reverted, at random. It returns the reverted names.
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

// Open opens a bbolt file; it writes only if it creates the file.
func (d *FaultyDisk) Open(path string) (*bolt.DB, error) {
	if info, err := os.Stat(path); err != nil || info.Size() == 0 {
		d.rememberName(path)
		if err := d.beforeStep(); err != nil {
			if errors.Is(err, ErrDiskFull) { // the name may be created nevertheless
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

// SyncDir makes the names in the folder durable.
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
