package latency

import (
	"bytes"
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
)

// FileName is the name of the file in the data directory. The one before has rotatedSuffix.
const (
	FileName      = "estimates.jsonl"
	rotatedSuffix = ".1"
)

// maxFileSize is how large the file may be, in bytes, before it is rotated.
const maxFileSize = 4 << 20

// Disk changes names in a folder durably.
type Disk interface {
	Rename(from, to string) error
	// SyncDir returns once the names in a folder outlast a loss of power.
	SyncDir(dir string) error
}

// File holds views, one a line, oldest first.
type File struct {
	dir  string
	disk Disk
}

// NewFile returns the file in a data directory. It is made by the first Append.
func NewFile(dir string, disk Disk) *File { return &File{dir: dir, disk: disk} }

func (f *File) path() string { return filepath.Join(f.dir, FileName) }

// Lines returns what is written, oldest first. A line that was torn is left out.
func (f *File) Lines() []json.RawMessage {
	lines := []json.RawMessage{}
	for _, path := range []string{f.path() + rotatedSuffix, f.path()} {
		raw, err := os.ReadFile(path)
		if err != nil {
			continue
		}
		for line := range bytes.Lines(raw) {
			if json.Valid(line) {
				lines = append(lines, json.RawMessage(line))
			}
		}
	}
	return lines
}

// Append adds a view; it returns once that is durable. A line that was torn by an end of the
// process stays as it is, and the next begins anew.
func (f *File) Append(view View) error {
	size, err := f.rotate()
	if err != nil {
		return err
	}
	line, err := json.Marshal(view)
	if err != nil {
		return err
	}
	line = append(line, '\n')
	file, err := os.OpenFile(f.path(), os.O_CREATE|os.O_RDWR|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	if isTorn(file, size) {
		line = append([]byte{'\n'}, line...)
	}
	_, err = file.Write(line)
	if err = errors.Join(err, file.Sync(), file.Close()); err != nil {
		return err
	}
	// What the file holds counts only once its name is durable too.
	return f.disk.SyncDir(f.dir)
}

// rotate puts a file that is too large aside. It returns the size of the one to append to.
func (f *File) rotate() (size int64, err error) {
	info, err := os.Stat(f.path())
	if err != nil {
		return 0, nil // there is none yet, or opening it tells what is wrong
	}
	if info.Size() <= maxFileSize {
		return info.Size(), nil
	}
	return 0, f.disk.Rename(f.path(), f.path()+rotatedSuffix)
}

// isTorn reports whether a file ends within a line.
func isTorn(file *os.File, size int64) bool {
	if size == 0 {
		return false
	}
	last := []byte{'\n'}
	_, _ = file.ReadAt(last, size-1) // what can't be read is taken for whole
	return last[0] != '\n'
}
