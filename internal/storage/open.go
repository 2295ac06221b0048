package storage

import (
	"errors"
	"os"
	"path/filepath"
	"strings"

	bolt "go.etcd.io/bbolt"
)

// Names of files in the data directory. They must not change: a newer version finds existing data by them.
const (
	fileName          = "vault.db"
	corruptFileName   = fileName + ".damaged" // the name that a corrupt file is renamed to
	temporaryFileName = fileName + ".new"     // the name of a file until it is complete
)

// Open opens the database file in dir, or creates it, and returns after its name is durable. A corrupt file is renamed
// and replaced by an empty one; HasCorruptFile then reports true. onFault is called with the error that the corrupt
// file caused, and later with the error of every write that fails or takes longer than UnresponsiveAfter. It may be
// called from several goroutines.
//
// If the disk fails, Open returns its error. Open may then be called again: it handles any file that a failed call has
// left in dir.
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
		_ = db.Close() // nothing has been written that could be lost
		return nil, err
	}
	cells, err := cellNames(db)
	if err != nil {
		_ = db.Close()
		return nil, err
	}
	return &Store{db: db, disk: disk, commits: newGroupCommitter(db, disk, onFault), knownCells: cells}, nil
}

// HasCorruptFile reports whether dir holds a file that Open found to be corrupt and renamed.
func HasCorruptFile(dir string) bool {
	_, err := os.Stat(filepath.Join(dir, corruptFileName))
	return err == nil
}

// renameCorruptFile renames a corrupt file, so that it is kept for the operator and a new file can be created.
func renameCorruptFile(dir string, disk Disk) error {
	corrupt := filepath.Join(dir, corruptFileName)
	// Remove an older corrupt file first: if it is a hard link to this file, Rename does nothing.
	if err := removeIfExists(disk, corrupt); err != nil {
		return err
	}
	return disk.Rename(filepath.Join(dir, fileName), corrupt)
}

// openOrCreate opens the file. A new file is created under a temporary name and then renamed, so that a file with the
// final name is always complete. An empty file is replaced by a new one: the process that left it ended before it sent
// any message, so no state is lost.
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

// cellNames returns the set of cells that the file holds state of.
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
