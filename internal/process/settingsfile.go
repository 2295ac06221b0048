package process

import (
	"bytes"
	"os"
	"time"

	"comethold/internal/logging"
	"comethold/internal/settings"
)

// Timing of reads of the settings file, which may be rewritten in place.
const (
	settingsReadInterval = 20 * time.Millisecond // between two reads that are compared
	settingsSettleTime   = time.Second           // an invalid file is rejected if it stays unchanged for this time
	settingsTimeout      = 10 * time.Second      // for an invalid file that keeps changing
	settingsPollInterval = 2 * time.Second       // between two checks for changes
)

// maxUnstableReads is how many times a reload rereads a file that keeps changing.
const maxUnstableReads = 50

// Causes of a reload, as logged.
const (
	causeSignal = "signal"
	causeChange = "change"
)

// settingsFile reads the settings file of a process. A file counts as complete if it was not modified within
// settingsSettleTime, or if two consecutive reads return the same content.
type settingsFile struct {
	path     string
	lastRead []byte // content of the last read that was parsed
}

func newSettingsFile(path string) *settingsFile { return &settingsFile{path: path} }

// awaitValid reads the file at the start of the process. An invalid or missing file may be in the middle of a
// replacement, so awaitValid rereads it, and returns the error when the file has not changed for settingsSettleTime or
// is still invalid after settingsTimeout. It returns a terminatedError if a signal arrives.
func (f *settingsFile) awaitValid(log *logging.Logger, terminations <-chan os.Signal) (*settings.Settings, error) {
	wait := startWait{log: log, resource: f.path, timeout: settingsTimeout, startedAt: time.Now()}
	previous, unchangedSince := []byte(nil), time.Now()
	for first := true; ; first = false {
		raw, err := os.ReadFile(f.path)
		changed := first || !bytes.Equal(raw, previous)
		if changed {
			previous, unchangedSince = raw, time.Now()
		}
		loaded, err := parseRead(raw, err)
		if err == nil && (!changed || f.isSettled()) {
			f.lastRead = raw
			wait.finish()
			return loaded, nil
		}
		if err != nil && (time.Since(unchangedSince) >= settingsSettleTime || wait.expired()) {
			return nil, err
		}
		if err != nil {
			wait.report(err)
		}
		select {
		case received := <-terminations:
			return nil, &terminatedError{signal: received.String()}
		case <-time.After(settingsReadInterval):
		}
	}
}

// isSettled reports whether the last modification of the file is at least settingsSettleTime away from now. A
// modification time that lies that far in the future also counts, since it means that the clock was changed.
func (f *settingsFile) isSettled() bool {
	info, err := os.Stat(f.path)
	return err == nil && time.Since(info.ModTime()).Abs() >= settingsSettleTime
}

// parseRead parses the result of reading a settings file; err is the error of the read.
func parseRead(raw []byte, err error) (*settings.Settings, error) {
	if err != nil {
		return nil, &settingsReadError{err}
	}
	return settings.Parse(raw)
}

// settingsReadError means that the settings file can't be read.
type settingsReadError struct{ err error }

func (e *settingsReadError) Error() string { return "settings: " + e.err.Error() }

func (e *settingsReadError) Unwrap() error { return e.err }

// read reads the file until two consecutive reads return the same content, with at most maxUnstableReads repetitions.
func (f *settingsFile) read() (raw []byte, err error) {
	raw, err = os.ReadFile(f.path)
	for range maxUnstableReads {
		previous := raw
		time.Sleep(settingsReadInterval)
		raw, err = os.ReadFile(f.path)
		if bytes.Equal(raw, previous) {
			break
		}
	}
	return raw, err
}

// unchanged reports whether the file still has the content lastRead.
func (f *settingsFile) unchanged() bool {
	raw, err := os.ReadFile(f.path)
	return err == nil && bytes.Equal(raw, f.lastRead)
}

// watchSettings applies new settings after each SIGHUP and after each change of the file, until quit is closed. It also
// checks the memory use at each poll.
func (p *Process) watchSettings(hangups <-chan os.Signal, quit <-chan struct{}) error {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	memory := memoryWatch{log: p.Log, limitMb: p.Settings.Limits.MemoryMb}
	for {
		cause := causeChange
		select {
		case <-hangups:
			cause = causeSignal
		case <-ticker.C:
			memory.check()
		case <-quit:
			return nil
		}
		select {
		case err := <-p.startReload(cause):
			if err != nil {
				return err
			}
		case <-quit:
			return nil
		}
	}
}

// startReload reloads the settings in a separate goroutine and sends its error, or nil, to the returned channel. The
// shutdown doesn't wait for this goroutine, since reading a file may hang.
func (p *Process) startReload(cause string) <-chan error {
	outcome := make(chan error, 1)
	go func() {
		outcome <- callWithRecovery("settings", func() error { p.reloadSettings(cause); return nil })
	}()
	return outcome
}

// reloadSettings applies a changed file. It logs an invalid file and keeps the previous settings.
func (p *Process) reloadSettings(cause string) {
	if p.file.unchanged() {
		return
	}
	raw, err := p.file.read()
	if err != nil && cause == causeChange {
		return // the file may be in the middle of a replacement; the next poll reads it
	}
	if err == nil && bytes.Equal(raw, p.file.lastRead) {
		return
	}
	p.file.lastRead = raw
	loaded, err := parseRead(raw, err)
	if err != nil {
		p.Log.Error(logging.SettingsRejected).Err(err).Str("cause", cause).
			Msg("settings rejected; the previous settings stay in force")
		return
	}
	p.reload(loaded)
	p.Log.SetLevel(loaded.Log.Level)
	p.Log.Info(logging.SettingsReloaded).Str("cause", cause).Msg("settings reloaded")
}
