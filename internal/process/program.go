package process

import (
	"errors"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"comethold/internal/logging"
	"comethold/internal/process/earlysignal"
	"comethold/internal/settings"
)

// Garbage collection uses more memory to save processor time.
const (
	gcPercent          = 200
	softMemoryFraction = 0.6 // of the memory limit, from which the collector runs more often
)

// logCloseTimeout is how long the end of a process waits for the reader of its log.
const logCloseTimeout = 200 * time.Millisecond

// Program is what a process runs.
type Program struct {
	Name    string // as on the command line
	Version string // as logged
	// SetUp opens the sockets of the program and adds its members. It runs in a goroutine of its own, which is
	// abandoned if a signal ends the process meanwhile.
	SetUp func(*Process) error
}

// reportedError is an error that the log has told.
type reportedError struct{ err error }

func (e *reportedError) Error() string { return e.err.Error() }

func (e *reportedError) Unwrap() error { return e.err }

// IsReported reports whether the process's log has told an error of Run.
func IsReported(err error) bool {
	var reported *reportedError
	return errors.As(err, &reported)
}

// Run runs a program until it is stopped by a signal or fails. settings.PathEnv names the settings file.
func Run(program Program) error {
	path, err := settings.Path()
	if err != nil {
		return err
	}
	signal.Ignore(syscall.SIGPIPE)
	starting := logging.New("", program.Name)
	starting.CaptureStandardLog()
	file := newSettingsFile(path)
	loaded, err := file.awaitValid(starting, earlysignal.Terminations())
	if err != nil {
		return conclude(starting, end{phase: phaseStart, err: err})
	}
	starting.Close(logCloseTimeout, nil)
	applyMemoryLimit(loaded)
	log := logging.New(loaded.NodeName, program.Name)
	log.CaptureStandardLog()
	log.SetLevel(loaded.Log.Level)
	p := newProcess(loaded, log, file)
	p.logStart(program.Version)
	return conclude(log, p.run(program.SetUp))
}

func applyMemoryLimit(set *settings.Settings) {
	debug.SetGCPercent(gcPercent)
	if set.Limits.MemoryMb > 0 {
		debug.SetMemoryLimit(int64(float64(set.Limits.MemoryMb<<20) * softMemoryFraction))
	}
}

// end is how a process ended.
type end struct {
	signal string // that ended it; empty: none
	phase  phase
	err    error // why it failed, or nil
}

// phase is how far a process had come.
type phase string

const (
	phaseStart   phase = "start"
	phaseService phase = "service"
)

// conclude writes the last line of the log and returns the error of the process.
func conclude(log *logging.Logger, e end) error {
	var terminated *terminatedError
	if errors.As(e.err, &terminated) {
		e = end{signal: terminated.signal, phase: phaseStart}
	}
	log.Close(logCloseTimeout, func(last *logging.Logger) { logEnd(last, e) })
	if e.err == nil {
		return nil
	}
	return &reportedError{e.err}
}

func logEnd(log *logging.Logger, e end) {
	if e.err == nil {
		log.Info(logging.Stopped).Str("signal", e.signal).Str("phase", string(e.phase)).Msg("program stopped")
		return
	}
	var failure memberError
	if found := (*memberError)(nil); errors.As(e.err, &found) {
		failure = *found
	}
	log.Error(logging.Failed).
		Err(e.err).
		Str("phase", string(e.phase)).
		Str("member", failure.member).
		Str("stack", string(failure.stack)).
		Msg("program failed")
}

// terminatedError says that a signal ended a wait of the start.
type terminatedError struct{ signal string }

func (e *terminatedError) Error() string { return "terminated by " + e.signal }
