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

// Disk is the part of the file system that this package uses. Tests replace it by one with faults.
type Disk interface {
	// Open opens a bbolt file, or creates it. An error wraps ErrCorrupt if the content of the file is damaged.
	Open(path string) (*bolt.DB, error)
	// Update runs a transaction and returns after it is synced.
	Update(db *bolt.DB, change func(*bolt.Tx) error) error
	// Rename renames a file. The new name is durable only after SyncDir.
	Rename(from, to string) error
	// Remove removes a file.
	Remove(path string) error
	// SyncDir returns once the names in a directory survive a loss of power.
	SyncDir(dir string) error
}

const (
	filePermissions = 0o600
	lockTimeout     = time.Second // for a file that another process has locked
	growthStep      = 1 << 20     // bytes by which a file grows
	minMetaPages    = 2           // every bbolt file begins with two meta pages
)

// LocalDisk is the Disk of this machine.
type LocalDisk struct{}

// Open opens a bbolt file, or creates it. An error wraps ErrCorrupt if the content of the file is damaged.
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

// classifyOpenError wraps an error in ErrCorrupt if the content of the file caused it, not the disk.
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

// verifyFile reads the complete file once. When bbolt opens a file for writing it reads pages in a goroutine of its
// own, where a panic because of a damaged or missing page could not be recovered.
func verifyFile(path string, options bolt.Options) (err error) {
	info, err := os.Stat(path)
	if os.IsNotExist(err) || err == nil && info.Size() == 0 {
		return nil
	}
	if err != nil {
		return err
	}
	// The file is mapped into memory: reading a page beyond its end is a memory fault.
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
	defer func() { _ = db.Close() }() // it was only read
	return db.View(func(tx *bolt.Tx) error {
		if tx.Size() > info.Size() {
			return fmt.Errorf("%w: truncated", ErrCorrupt)
		}
		return tx.ForEach(func(_ []byte, bucket *bolt.Bucket) error { return readBucket(bucket) })
	})
}

// readBucket reads every page of a bucket and of those within it.
func readBucket(bucket *bolt.Bucket) error {
	return bucket.ForEach(func(key, value []byte) error {
		if value == nil {
			return readBucket(bucket.Bucket(key))
		}
		return nil
	})
}

// Update runs a transaction and returns after it is synced.
func (LocalDisk) Update(db *bolt.DB, change func(*bolt.Tx) error) (err error) {
	defer func() {
		if fault := recover(); fault != nil { // bbolt panics on damaged pages
			err = fmt.Errorf("storage: %v", fault)
		}
	}()
	return db.Update(change)
}

// Rename renames a file.
func (LocalDisk) Rename(from, to string) error { return os.Rename(from, to) }

// Remove removes a file.
func (LocalDisk) Remove(path string) error { return os.Remove(path) }

// SyncDir syncs a directory.
func (LocalDisk) SyncDir(dir string) error {
	directory, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(directory.Sync(), directory.Close())
}
