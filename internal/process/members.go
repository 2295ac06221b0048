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

// exitFailure is the exit code of a process whose stop took too long.
const exitFailure = 1

// errEndedEarly says that a member returned though nobody had stopped it.
var errEndedEarly = errors.New("ended by itself")

// memberError is the failure of a member.
type memberError struct {
	member string
	err    error
	stack  []byte // of a panic
}

func (e *memberError) Error() string { return fmt.Sprintf("%s: %v", e.member, e.err) }

func (e *memberError) Unwrap() error { return e.err }

// members are the goroutines of a process. When one of them ends, all are stopped.
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
		err := guard(name, runMember)
		if err == nil && !m.stopping.Load() {
			err = &memberError{member: name, err: errEndedEarly}
		}
		m.beginStop()
		return err
	}
	interrupt := func(error) {
		if err := guard(name, func() error { stop(); return nil }); err != nil {
			m.log.Error(logging.Failed).Err(err).Str("member", name).Msg("a member could not be stopped")
		}
	}
	m.group.Add(execute, interrupt)
}

// run runs the members until one ends, and then stops all. It returns why the first one ended: nil if it was stopped.
func (m *members) run() error { return m.group.Run() }

// beginStop marks the end of members as wanted, and ends the process if they haven't ended in time.
func (m *members) beginStop() {
	m.stopOnce.Do(func() {
		m.stopping.Store(true)
		time.AfterFunc(m.stopTimeout, m.endProcess)
	})
}

func (m *members) endProcess() {
	m.log.Close(logCloseTimeout, func(last *logging.Logger) {
		last.Error(logging.StopTimedOut).Dur("timeoutMs", m.stopTimeout).Msg("the stop took too long: the process ends")
	})
	os.Exit(exitFailure)
}

// guard calls a function of a member. A panic becomes an error that holds its stack.
func guard(member string, call func() error) (err error) {
	defer func() {
		if fault := recover(); fault != nil {
			err = &memberError{member: member, err: fmt.Errorf("panic: %v", fault), stack: debug.Stack()}
		}
	}()
	if err := call(); err != nil {
		return &memberError{member: member, err: err}
	}
	return nil
}
