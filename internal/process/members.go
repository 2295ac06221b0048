package process

import (
	"errors"
	"fmt"
	"os"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"comethold/internal/logging"

	"github.com/oklog/run"
)

// exitFailure is the exit code of a process that did not stop in time.
const exitFailure = 1

// errReturnedEarly means that a member returned although the process was not being stopped.
var errReturnedEarly = errors.New("returned before the process was stopped")

// memberError is the failure of a member, of the setup or of a reload.
type memberError struct {
	member string
	err    error
	stack  []byte // of a panic, or nil
}

func (e *memberError) Error() string { return fmt.Sprintf("%s: %v", e.member, e.err) }

func (e *memberError) Unwrap() error { return e.err }

// members is the set of long-running functions of a process. When one of them returns, all are stopped.
type members struct {
	group       run.Group
	log         *logging.Logger
	stopTimeout time.Duration
	stopping    atomic.Bool
	stopOnce    sync.Once
}

func newMembers(log *logging.Logger, stopTimeout time.Duration) *members {
	return &members{log: log, stopTimeout: stopTimeout}
}

func (m *members) add(name string, runMember func() error, stop func()) {
	execute := func() error {
		err := callWithRecovery(name, runMember)
		if err == nil && !m.stopping.Load() {
			err = &memberError{member: name, err: errReturnedEarly}
		}
		m.beginStop()
		return err
	}
	interrupt := func(error) {
		if err := callWithRecovery(name, func() error { stop(); return nil }); err != nil {
			m.log.Error(logging.Failed).Err(err).Str("member", name).Msg("stop function of a member panicked")
		}
	}
	m.group.Add(execute, interrupt)
}

// run runs the members until one returns, then stops all of them. It returns the error of the first member that
// returned, which is nil if the process was being stopped.
func (m *members) run() error { return m.group.Run() }

// beginStop records that the process is being stopped, so that members may return without an error, and starts the
// timer that forces the exit after stopTimeout.
func (m *members) beginStop() {
	m.stopOnce.Do(func() {
		m.stopping.Store(true)
		time.AfterFunc(m.stopTimeout, m.forceExit)
	})
}

func (m *members) forceExit() {
	m.log.Close(logCloseTimeout, func(last *logging.Logger) {
		last.Error(logging.StopTimedOut).Dur("timeoutMs", m.stopTimeout).Msg("members did not stop in time; exiting")
	})
	os.Exit(exitFailure)
}

// callWithRecovery calls a function of a member and wraps its error in a memberError. It converts a panic into a
// memberError with the stack.
func callWithRecovery(member string, call func() error) (err error) {
	defer func() {
		if recovered := recover(); recovered != nil {
			err = &memberError{member: member, err: fmt.Errorf("panic: %v", recovered), stack: debug.Stack()}
		}
	}()
	if err := call(); err != nil {
		return &memberError{member: member, err: err}
	}
	return nil
}
