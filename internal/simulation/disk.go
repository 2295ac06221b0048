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

// FaultyDisk wraps the disk of a folder and injects faults: it rejects writes, hangs, and loses
// power. A loss of power may revert creations, renames and removals of files that were not synced.
type FaultyDisk struct {
	// Base performs the operations that do not fail.
	Base Disk
	// Random returns a random number in [0,1).
	Random func() float64
	// SyncFailureRate is the share of SyncDir calls that fail, in [0,1].
	SyncFailureRate float64

	mu                    sync.Mutex // guards the fields below
	fault                 DiskFault
	incarnation           int // number of ended processes; an operation that hangs when its process ends fails
	operationsToPowerLoss int // operations up to and including the first that fails; 0: none fails
	powerLost             bool
	// unsynced maps the path of each file that was created, renamed or removed since the last sync of the
	// folder to a hard link to the file that had this path then, or to "" if there was none.
	unsynced map[string]string
	backups  int // number of hard links made for unsynced, for their names
}

// DiskFault is a fault of a disk that lasts until it is changed.
type DiskFault uint8

// The faults that SetFault accepts.
const (
	// NoFault makes all operations work.
	NoFault DiskFault = iota
	// DiskFull makes every operation that writes fail with ErrDiskFull.
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

// Errors of a FaultyDisk.
var (
	// ErrDiskFull is the error of every write to a full disk, and of the syncs that SyncFailureRate makes fail.
	ErrDiskFull = &os.PathError{Op: "write", Path: "disk", Err: syscall.ENOSPC}
	// ErrPowerLost is the error of every operation after a loss of power, and of an operation that hung when its
	// process ended.
	ErrPowerLost = errors.New("disk: power lost")
)

// hangPollInterval is the interval at which a hanging operation checks whether the disk still hangs.
const hangPollInterval = 20 * time.Millisecond

// SetFault sets the lasting fault of the disk.
func (d *FaultyDisk) SetFault(fault DiskFault) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fault = fault
}

// LosePowerAfter makes the power fail before the n-th operation from now; 0 cancels a loss that has not happened.
func (d *FaultyDisk) LosePowerAfter(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.operationsToPowerLoss = n
}

// EndProcess simulates the end of the process that uses the disk: its hanging operations fail without effect.
// Power is restored, or a pending loss of power is cancelled.
func (d *FaultyDisk) EndProcess() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.incarnation++
	d.operationsToPowerLoss, d.powerLost = 0, false
}

// beforeOperation waits while the disk hangs, and returns the error of the operation if it must fail.
func (d *FaultyDisk) beforeOperation() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	incarnation := d.incarnation
	for d.fault == DiskHanging && d.incarnation == incarnation {
		d.mu.Unlock()
		time.Sleep(hangPollInterval)
		d.mu.Lock()
	}
	if d.operationsToPowerLoss > 0 {
		if d.operationsToPowerLoss--; d.operationsToPowerLoss == 0 {
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

// backUpSyncedFile keeps a hard link to the file that had this path at the last sync of the folder.
func (d *FaultyDisk) backUpSyncedFile(path string) {
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
	_ = os.Remove(backup) // an earlier link may have the same letter
	if os.Link(path, backup) != nil {
		backup = "" // there was no file with this path
	}
	d.unsynced[path] = backup
}

// LosePower simulates the effect of a loss of power on the folder: each creation, rename or removal that was not
// synced is kept or reverted, at random. It returns the base names of the reverted paths.
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
	d.removeBackups()
	return reverted
}

func (d *FaultyDisk) removeBackups() {
	for _, backup := range d.unsynced {
		if backup != "" {
			_ = os.Remove(backup)
		}
	}
	clear(d.unsynced)
}

// Open opens a bbolt file. It writes, and so is subject to faults, only if the file does not exist or is empty.
func (d *FaultyDisk) Open(path string) (*bolt.DB, error) {
	if info, err := os.Stat(path); err != nil || info.Size() == 0 {
		d.backUpSyncedFile(path)
		if err := d.beforeOperation(); err != nil {
			if errors.Is(err, ErrDiskFull) { // a full disk may still create an empty file
				_ = os.WriteFile(path, nil, 0o600)
			}
			return nil, err
		}
	}
	return d.Base.Open(path)
}

// Update runs a transaction that writes and syncs a file.
func (d *FaultyDisk) Update(db *bolt.DB, f func(*bolt.Tx) error) error {
	if err := d.beforeOperation(); err != nil {
		return err
	}
	return d.Base.Update(db, f)
}

// Rename renames a file.
func (d *FaultyDisk) Rename(from, to string) error {
	if err := d.beforeOperation(); err != nil {
		return err
	}
	d.backUpSyncedFile(from)
	d.backUpSyncedFile(to)
	return d.Base.Rename(from, to)
}

// Remove removes a file.
func (d *FaultyDisk) Remove(path string) error {
	if err := d.beforeOperation(); err != nil {
		return err
	}
	d.backUpSyncedFile(path)
	return d.Base.Remove(path)
}

// SyncDir makes creations, renames and removals in the folder durable.
func (d *FaultyDisk) SyncDir(dir string) error {
	if err := d.beforeOperation(); err != nil {
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
	d.removeBackups()
	return nil
}
