package storage

import (
	"errors"
	"os"
	"path/filepath"
	"strings"

	bolt "go.etcd.io/bbolt"
)

// Names of files in the data directory. They never change.
const (
	fileName          = "vault.db"
	corruptFileName   = fileName + ".damaged" // the new name of a file that cannot be read
	temporaryFileName = fileName + ".new"     // a file that is being created
)

// Open opens the file in dir, or creates it, and returns after its name is durable. A file that cannot be read is
// renamed and replaced by an empty one; HasCorruptFile then reports true. onFault is called with that error, and later
// with the error of every write that fails or takes too long; it may be called from several goroutines.
//
// If the disk fails, Open returns its error. It may be called again: files that it leaves behind do no harm.
func Open(dir string, disk Disk, onFault func(error)) (*Store, error) {
	db, err := openOrCreate(dir, disk)
	if errors.Is(err, ErrCorrupt) {
		onFault(err)
		if err := renameCorruptFile(dir, disk); err != nil {
			return nil, err
		}
		db, err = openOrCreate(dir, disk)
	}
	if err != nil {
		return nil, err
	}
	if err := disk.SyncDir(dir); err != nil {
		_ = db.Close() // no data was written yet
		return nil, err
	}
	cells, err := cellNames(db)
	if err != nil {
		_ = db.Close()
		return nil, err
	}
	return &Store{db: db, disk: disk, commits: newGroupCommitter(db, disk, onFault), knownCells: cells}, nil
}

// HasCorruptFile reports whether dir holds a file that could not be read and was renamed.
func HasCorruptFile(dir string) bool {
	_, err := os.Stat(filepath.Join(dir, corruptFileName))
	return err == nil
}

// renameCorruptFile keeps a corrupt file for the operator under another name, so that a new file can be created.
func renameCorruptFile(dir string, disk Disk) error {
	corrupt := filepath.Join(dir, corruptFileName)
	// An older corrupt file may be a link to this file; Rename would then do nothing.
	if err := removeIfExists(disk, corrupt); err != nil {
		return err
	}
	return disk.Rename(filepath.Join(dir, fileName), corrupt)
}

// openOrCreate opens the file. A new file is created under another name and then renamed, so that under its own name
// it is always complete. An empty file was left by a process that ended before it sent any message.
func openOrCreate(dir string, disk Disk) (*bolt.DB, error) {
	path := filepath.Join(dir, fileName)
	info, err := os.Stat(path)
	if err != nil && !os.IsNotExist(err) {
		return nil, err
	}
	if err != nil || info.Size() == 0 {
		if err := createFile(dir, disk); err != nil {
			return nil, err
		}
	}
	return disk.Open(path)
}

func createFile(dir string, disk Disk) error {
	temporary := filepath.Join(dir, temporaryFileName)
	if err := removeIfExists(disk, temporary); err != nil {
		return err
	}
	db, err := disk.Open(temporary)
	if err != nil {
		return err
	}
	if err := db.Close(); err != nil {
		return err
	}
	return disk.Rename(temporary, filepath.Join(dir, fileName))
}

func removeIfExists(disk Disk, path string) error {
	if err := disk.Remove(path); err != nil && !os.IsNotExist(err) {
		return err
	}
	return nil
}

// cellNames lists the cells that a file holds.
func cellNames(db *bolt.DB) (map[string]bool, error) {
	names := map[string]bool{}
	err := db.View(func(tx *bolt.Tx) error {
		return tx.ForEach(func(bucket []byte, _ *bolt.Bucket) error {
			if cell, ok := strings.CutPrefix(string(bucket), cellBucketPrefix); ok {
				names[cell] = true
			}
			return nil
		})
	})
	return names, err
}
