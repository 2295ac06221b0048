package process

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"comethold/internal/logging"
)

// startRetryInterval is the time between two attempts to get what the start needs.
const startRetryInterval = 50 * time.Millisecond

const dataDirectoryMode = 0o755

// errStartStopped ends the waits of a start that a signal has ended.
var errStartStopped = errors.New("process: stopped during its start")

// startWait is a wait of the start for one resource. It logs the first failure and the end of the wait.
type startWait struct {
	log       *logging.Logger
	resource  string
	patience  time.Duration
	startedAt time.Time
	reported  bool
}

func (w *startWait) exhausted() bool { return time.Since(w.startedAt) >= w.patience }

func (w *startWait) report(err error) {
	if w.reported {
		return
	}
	w.reported = true
	w.log.Warn(logging.StartDelayed).
		Err(err).
		Str("resource", w.resource).
		Dur("patienceMs", w.patience).
		Msg("the start waits for something that is missing")
}

// end logs that the resource is there, if that wasn't so at first, and returns how long it took.
func (w *startWait) end() time.Duration {
	if !w.reported {
		return 0
	}
	waited := time.Since(w.startedAt)
	w.log.Info(logging.StartResumed).
		Str("resource", w.resource).
		Dur("waitedMs", waited).
		Msg("the start goes on")
	return waited
}

// await calls attempt until it succeeds, fails for good, or the patience of the start is exhausted. It returns the last
// error.
func (p *Process) await(resource string, attempt func() error) error {
	wait := startWait{log: p.Log, resource: resource, patience: p.startPatience(), startedAt: time.Now()}
	for {
		err := attempt()
		if err == nil {
			p.waited += wait.end()
			return nil
		}
		if !isPassing(err) {
			return err
		}
		if wait.exhausted() {
			return fmt.Errorf("after %v: %w", wait.patience, err)
		}
		wait.report(err)
		select {
		case <-p.quit:
			return errStartStopped
		case <-time.After(startRetryInterval):
		}
	}
}

// passingErrors are errors of the system that may be gone a moment later.
var passingErrors = []error{
	syscall.EADDRINUSE, // a predecessor, or another connection's local port
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EAGAIN, syscall.EINTR,
	syscall.ENOSPC, syscall.EROFS, syscall.EIO, syscall.ENOENT, syscall.ESTALE, syscall.EDQUOT,
}

func isPassing(err error) bool {
	for _, passing := range passingErrors {
		if errors.Is(err, passing) {
			return true
		}
	}
	return false
}

// MakeDataDirectory makes the data directory where it is missing, and waits while that fails. The names of the
// directories that it makes survive a loss of power.
func (p *Process) MakeDataDirectory() error {
	path := p.Settings.DataDirectory
	if path == "" {
		return nil
	}
	if err := p.await(path, func() error { return makeDirectory(path) }); err != nil {
		return fmt.Errorf("data directory: %w", err)
	}
	return nil
}

// makeDirectory makes a directory and those above it, and syncs the directory that holds each new name.
func makeDirectory(path string) error {
	if _, err := os.Stat(path); !os.IsNotExist(err) {
		return err
	}
	parent := filepath.Dir(path)
	if parent != path {
		if err := makeDirectory(parent); err != nil {
			return err
		}
	}
	if err := os.Mkdir(path, dataDirectoryMode); err != nil && !os.IsExist(err) {
		return err
	}
	return syncDirectory(parent)
}

func syncDirectory(path string) error {
	directory, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(directory.Sync(), directory.Close())
}
