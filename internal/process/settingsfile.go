package process

import (
	"bytes"
	"os"
	"time"

	"comethold/internal/logging"
	"comethold/internal/settings"
)

// Timing of reading the settings file, which may be rewritten in place.
const (
	settingsReadInterval = 20 * time.Millisecond // between two reads that must be the same
	settingsSettleTime   = time.Second           // for which an invalid file must stay as it is to be rejected
	settingsTimeout      = 10 * time.Second      // for a file that keeps changing
	settingsPollInterval = 2 * time.Second       // between two checks for changes
)

// maxUnstableReads is how often a reload reads a file that keeps changing.
const maxUnstableReads = 50

// Causes of a reload, as logged.
const (
	causeSignal = "signal"
	causeChange = "change"
)

// settingsFile reads the settings file of a process. A file counts as complete when it was not modified lately, or when
// two reads in a row find the same.
type settingsFile struct {
	path string
	last []byte // the content that was read last
}

func newSettingsFile(path string) *settingsFile { return &settingsFile{path: path} }

// awaitValid reads the file at the start. An invalid or missing file may be in the middle of a replacement, so it is
// read again until it has not changed for settingsSettleTime.
func (f *settingsFile) awaitValid(log *logging.Logger, terminations <-chan os.Signal) (*settings.Settings, error) {
	wait := startWait{log: log, resource: f.path, patience: settingsTimeout, startedAt: time.Now()}
	previous, unchangedSince := []byte(nil), time.Now()
	for first := true; ; first = false {
		raw, err := os.ReadFile(f.path)
		changed := first || !bytes.Equal(raw, previous)
		if changed {
			previous, unchangedSince = raw, time.Now()
		}
		loaded, err := parseRead(raw, err)
		if err == nil && (!changed || f.isSettled()) {
			f.last = raw
			wait.end()
			return loaded, nil
		}
		if err != nil && (time.Since(unchangedSince) >= settingsSettleTime || wait.exhausted()) {
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

// isSettled reports whether the file was modified longer than settingsSettleTime ago. A time of modification far in the
// future says as much: the clock was set.
func (f *settingsFile) isSettled() bool {
	info, err := os.Stat(f.path)
	return err == nil && time.Since(info.ModTime()).Abs() >= settingsSettleTime
}

// parseRead parses what was read of a settings file.
func parseRead(raw []byte, err error) (*settings.Settings, error) {
	if err != nil {
		return nil, &settingsReadError{err}
	}
	return settings.Parse(raw)
}

// settingsReadError says that the settings file can't be read.
type settingsReadError struct{ err error }

func (e *settingsReadError) Error() string { return "settings: " + e.err.Error() }

func (e *settingsReadError) Unwrap() error { return e.err }

// read reads the file until two reads in a row find the same.
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

// unchanged reports whether the file has the content that was read last.
func (f *settingsFile) unchanged() bool {
	raw, err := os.ReadFile(f.path)
	return err == nil && bytes.Equal(raw, f.last)
}

// watchSettings applies new settings after each SIGHUP, and when the file has changed, until quit is closed.
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

// startReload reloads the settings in a goroutine that the stop doesn't wait for, since reading a file may hang. The
// channel gets its outcome.
func (p *Process) startReload(cause string) <-chan error {
	outcome := make(chan error, 1)
	go func() {
		outcome <- guard("settings", func() error { p.reloadSettings(cause); return nil })
	}()
	return outcome
}

// reloadSettings applies a changed file. An invalid one is logged, and the old settings stay.
func (p *Process) reloadSettings(cause string) {
	if p.file.unchanged() {
		return
	}
	raw, err := p.file.read()
	if err != nil && cause == causeChange {
		return // the file may be in the middle of a replacement; the next poll reads it
	}
	if err == nil && bytes.Equal(raw, p.file.last) {
		return
	}
	p.file.last = raw
	loaded, err := parseRead(raw, err)
	if err != nil {
		p.Log.Error(logging.SettingsRejected).Err(err).Str("cause", cause).
			Msg("settings rejected; the old ones stay")
		return
	}
	p.reload(loaded)
	p.Log.SetLevel(loaded.Log.Level)
	p.Log.Info(logging.SettingsReloaded).Str("cause", cause).Msg("settings reloaded")
}
