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

// Garbage collection is set to use more memory and less processor time.
const (
	gcPercent          = 200
	softMemoryFraction = 0.6 // of the memory limit; above it the collector runs more often
)

// logCloseTimeout is how long the process waits at its end until the queued log lines are written.
const logCloseTimeout = 200 * time.Millisecond

// Program describes a program that Run can run.
type Program struct {
	Name    string // as on the command line
	Version string // as logged
	// SetUp opens the sockets of the program and adds its members. It runs in a separate goroutine. If a signal ends
	// the process before SetUp returns, the process doesn't wait for that goroutine.
	SetUp func(*Process) error
}

// reportedError wraps an error that has been logged.
type reportedError struct{ err error }

func (e *reportedError) Error() string { return e.err.Error() }

func (e *reportedError) Unwrap() error { return e.err }

// IsReported reports whether an error that Run returned is already in the log of the process.
func IsReported(err error) bool {
	var reported *reportedError
	return errors.As(err, &reported)
}

// Run runs a program until a signal stops it or it fails. It reads the settings file that the environment variable
// settings.PathEnv names.
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
		return reportExit(starting, exitReason{phase: phaseStart, err: err})
	}
	starting.Close(logCloseTimeout, nil)
	applyMemoryLimit(loaded)
	log := logging.New(loaded.NodeName, program.Name)
	log.CaptureStandardLog()
	log.SetLevel(loaded.Log.Level)
	p := newProcess(loaded, log, file)
	p.logStart(program.Version)
	return reportExit(log, p.run(program.SetUp))
}

func applyMemoryLimit(set *settings.Settings) {
	debug.SetGCPercent(gcPercent)
	if set.Limits.MemoryMb > 0 {
		debug.SetMemoryLimit(int64(float64(set.Limits.MemoryMb<<20) * softMemoryFraction))
	}
}

// exitReason states why and in which phase a process ended.
type exitReason struct {
	signal string // the signal that ended the process, or empty
	phase  phase
	err    error // the failure, or nil
}

// phase is the phase of the lifecycle in which a process ended.
type phase string

const (
	phaseStart   phase = "start"
	phaseService phase = "service"
)

// reportExit writes the last line of the log, closes the log, and returns the error of the process.
func reportExit(log *logging.Logger, e exitReason) error {
	var terminated *terminatedError
	if errors.As(e.err, &terminated) {
		e = exitReason{signal: terminated.signal, phase: phaseStart}
	}
	log.Close(logCloseTimeout, func(last *logging.Logger) { logExit(last, e) })
	if e.err == nil {
		return nil
	}
	return &reportedError{e.err}
}

func logExit(log *logging.Logger, e exitReason) {
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

// terminatedError means that a signal arrived while the start waited for valid settings.
type terminatedError struct{ signal string }

func (e *terminatedError) Error() string { return "terminated by " + e.signal }
