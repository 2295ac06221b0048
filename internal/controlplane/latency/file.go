package latency

import (
	"bytes"
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
)

// ExportFileName is the name of the file in the data directory. The name of the rotated file ends in
// rotatedSuffix.
const (
	ExportFileName = "estimates.jsonl"
	rotatedSuffix  = ".1"
)

// maxFileSize is the size in bytes above which the file is rotated.
const maxFileSize = 4 << 20

// Disk renames files durably.
type Disk interface {
	Rename(from, to string) error
	// SyncDir returns once the entries of a directory are durable.
	SyncDir(dir string) error
}

// ExportFile is a file of views in JSON, one per line, oldest first.
type ExportFile struct {
	dir  string
	disk Disk
}

// NewExportFile returns the ExportFile in a data directory. The first Append creates the file.
func NewExportFile(dir string, disk Disk) *ExportFile { return &ExportFile{dir: dir, disk: disk} }

func (f *ExportFile) path() string { return filepath.Join(f.dir, ExportFileName) }

// Lines returns the stored views, oldest first. It skips lines that are torn or otherwise not JSON,
// and files that can't be read.
func (f *ExportFile) Lines() []json.RawMessage {
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

// Append adds a view and returns once it is durable. If a crash left a torn line at the end of the
// file, Append writes the view on a new line after it.
func (f *ExportFile) Append(view View) error {
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
	// The content can be found after a crash only if the directory entry is durable too.
	return f.disk.SyncDir(f.dir)
}

// rotate renames the file if it is larger than maxFileSize; it replaces the previously rotated file.
// It returns the size of the file to append to.
func (f *ExportFile) rotate() (size int64, err error) {
	info, err := os.Stat(f.path())
	if err != nil {
		return 0, nil // the file doesn't exist yet, or opening it returns the error
	}
	if info.Size() <= maxFileSize {
		return info.Size(), nil
	}
	return 0, f.disk.Rename(f.path(), f.path()+rotatedSuffix)
}

// isTorn reports whether a file of the given size ends within a line.
func isTorn(file *os.File, size int64) bool {
	if size == 0 {
		return false
	}
	last := []byte{'\n'}
	_, _ = file.ReadAt(last, size-1) // if the read fails, the line counts as complete
	return last[0] != '\n'
}
