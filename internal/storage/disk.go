package storage

import (
	"errors"
	"fmt"
	"os"
	"runtime/debug"
	"time"

	bolt "go.etcd.io/bbolt"
	berrors "go.etcd.io/bbolt/errors"
)

// Disk is the set of file system operations that this package uses. Tests implement it to inject faults.
type Disk interface {
	// Open opens a bbolt file, or creates it. The error wraps ErrCorrupt if the content of the file is damaged.
	Open(path string) (*bolt.DB, error)
	// Update runs change in a read-write transaction and returns after the transaction is synced.
	Update(db *bolt.DB, change func(*bolt.Tx) error) error
	// Rename renames a file. The new name is durable only after SyncDir.
	Rename(from, to string) error
	// Remove removes a file.
	Remove(path string) error
	// SyncDir makes the names in a directory durable, so that they survive a loss of power.
	SyncDir(dir string) error
}

const (
	filePermissions = 0o600
	lockTimeout     = time.Second // how long Open waits for a file that another process has locked
	growthStep      = 1 << 20     // bytes by which bbolt extends a file
	minMetaPages    = 2           // every bbolt file begins with two meta pages
)

// LocalDisk implements Disk with the file system of the machine.
type LocalDisk struct{}

// Open implements Disk. It reads an existing file completely, and reports damage as ErrCorrupt.
func (LocalDisk) Open(path string) (*bolt.DB, error) {
	options := bolt.Options{Timeout: lockTimeout, NoFreelistSync: true, FreelistType: bolt.FreelistMapType}
	if err := verifyFile(path, options); err != nil {
		return nil, classifyOpenError(path, err)
	}
	db, err := bolt.Open(path, filePermissions, &options)
	if err != nil {
		return nil, classifyOpenError(path, err)
	}
	db.AllocSize = growthStep
	return db, nil
}

// classifyOpenError wraps an error in ErrCorrupt if the cause is the content of the file: bbolt rejects its meta pages,
// or the file is too short to hold them. It returns errors of the disk unchanged.
func classifyOpenError(path string, err error) error {
	for _, fault := range []error{berrors.ErrInvalid, berrors.ErrVersionMismatch, berrors.ErrChecksum} {
		if errors.Is(err, fault) {
			return corruptError(err)
		}
	}
	info, statErr := os.Stat(path)
	if statErr == nil && info.Size() > 0 && info.Size() < int64(minMetaPages*os.Getpagesize()) {
		return corruptError(err)
	}
	return err
}

// verifyFile reads the complete file once and returns an error if it is damaged. This must precede the opening for
// writing, where bbolt reads pages in a separate goroutine: its panic on a damaged or missing page can't be recovered.
func verifyFile(path string, options bolt.Options) (err error) {
	info, err := os.Stat(path)
	if os.IsNotExist(err) || err == nil && info.Size() == 0 {
		return nil
	}
	if err != nil {
		return err
	}
	// bbolt maps the file into memory, so reading a page beyond the end of the file is a memory fault. Turn it into a
	// panic that can be recovered.
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if fault := recover(); fault != nil {
			err = corruptError(fault)
		}
	}()
	options.ReadOnly = true
	db, err := bolt.Open(path, filePermissions, &options)
	if err != nil {
		return err
	}
	defer func() { _ = db.Close() }() // the file was opened read-only
	return db.View(func(tx *bolt.Tx) error {
		if tx.Size() > info.Size() {
			return fmt.Errorf("%w: truncated", ErrCorrupt)
		}
		return tx.ForEach(func(_ []byte, bucket *bolt.Bucket) error { return readBucket(bucket) })
	})
}

// readBucket reads every page of a bucket and of its nested buckets.
func readBucket(bucket *bolt.Bucket) error {
	return bucket.ForEach(func(key, value []byte) error {
		if value == nil {
			return readBucket(bucket.Bucket(key))
		}
		return nil
	})
}

// Update implements Disk. It returns a panic in the transaction as an error.
func (LocalDisk) Update(db *bolt.DB, change func(*bolt.Tx) error) (err error) {
	defer func() {
		if fault := recover(); fault != nil { // bbolt panics on damaged pages
			err = fmt.Errorf("storage: panic in transaction: %v", fault)
		}
	}()
	return db.Update(change)
}

// Rename implements Disk.
func (LocalDisk) Rename(from, to string) error { return os.Rename(from, to) }

// Remove implements Disk.
func (LocalDisk) Remove(path string) error { return os.Remove(path) }

// SyncDir implements Disk.
func (LocalDisk) SyncDir(dir string) error {
	directory, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(directory.Sync(), directory.Close())
}
