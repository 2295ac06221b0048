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

// startRetryInterval is the time between two attempts to get a resource that the start needs.
const startRetryInterval = 50 * time.Millisecond

const dataDirectoryMode = 0o755

// errStartInterrupted is returned by await after a signal has ended the start.
var errStartInterrupted = errors.New("process: a signal interrupted the start")

// startWait tracks the wait for one resource that the start needs. It logs the first failure, and the time waited once
// the resource is available.
type startWait struct {
	log       *logging.Logger
	resource  string
	timeout   time.Duration
	startedAt time.Time
	reported  bool
}

func (w *startWait) expired() bool { return time.Since(w.startedAt) >= w.timeout }

func (w *startWait) report(err error) {
	if w.reported {
		return
	}
	w.reported = true
	w.log.Warn(logging.StartDelayed).
		Err(err).
		Str("resource", w.resource).
		Dur("patienceMs", w.timeout).
		Msg("start is delayed: resource is not available yet; retrying")
}

// finish returns the time waited and logs it. It returns 0 and logs nothing if report was not called.
func (w *startWait) finish() time.Duration {
	if !w.reported {
		return 0
	}
	waited := time.Since(w.startedAt)
	w.log.Info(logging.StartResumed).
		Str("resource", w.resource).
		Dur("waitedMs", waited).
		Msg("resource is available; start continues")
	return waited
}

// await calls attempt until it succeeds, fails with a permanent error, or startTimeout has passed. It returns the last
// error, or errStartInterrupted if a signal ends the start.
func (p *Process) await(resource string, attempt func() error) error {
	wait := startWait{log: p.Log, resource: resource, timeout: p.startTimeout(), startedAt: time.Now()}
	for {
		err := attempt()
		if err == nil {
			p.waited += wait.finish()
			return nil
		}
		if !isTransient(err) {
			return err
		}
		if wait.expired() {
			return fmt.Errorf("still failing after %v: %w", wait.timeout, err)
		}
		wait.report(err)
		select {
		case <-p.quit:
			return errStartInterrupted
		case <-time.After(startRetryInterval):
		}
	}
}

// transientErrors are system errors that may disappear when the call is repeated.
var transientErrors = []error{
	syscall.EADDRINUSE, // port in use by a previous process, or as the local port of a connection
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EAGAIN, syscall.EINTR,
	syscall.ENOSPC, syscall.EROFS, syscall.EIO, syscall.ENOENT, syscall.ESTALE, syscall.EDQUOT,
}

func isTransient(err error) bool {
	for _, transient := range transientErrors {
		if errors.Is(err, transient) {
			return true
		}
	}
	return false
}

// MakeDataDirectory creates the data directory if it is missing. It retries transient errors up to startTimeout. The
// entries of the directories that it creates are synced, so that they survive a loss of power.
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

// makeDirectory creates a directory and its missing parents, and syncs the parent of each directory that it creates.
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
