package process

import (
	"fmt"
	"os"
	"time"

	"comethold/internal/logging"
	"comethold/internal/process/earlysignal"
	"comethold/internal/settings"
)

// startMargin is added to the grace period to get the timeout for one resource that the start needs. A previous process
// that is being stopped has released its ports and files by then.
const startMargin = 10 * time.Second

// stopMargin is added to the grace period to get the time after which a process that has not stopped exits with an
// error.
const stopMargin = time.Second

// defaultGracePeriod applies if the settings contain no grace period.
const defaultGracePeriod = 6 * time.Second

// Process is a running program with its settings, log and members.
type Process struct {
	Settings *settings.Settings
	Log      *logging.Logger

	file      *settingsFile
	members   *members
	reload    func(*settings.Settings)
	shutdown  func()
	startedAt time.Time
	waited    time.Duration // total time that the start has waited for unavailable resources
	quit      chan struct{} // closed when a signal ends the start
}

func newProcess(set *settings.Settings, log *logging.Logger, file *settingsFile) *Process {
	return &Process{
		Settings:  set,
		Log:       log,
		file:      file,
		members:   newMembers(log, gracePeriod(set)+stopMargin),
		reload:    func(*settings.Settings) {},
		shutdown:  func() {},
		startedAt: time.Now(),
		quit:      make(chan struct{}),
	}
}

// OnReload sets the function that is called with the new settings after SIGHUP or a change of the settings file. Calls
// don't overlap, and the last call gets the newest settings.
func (p *Process) OnReload(reload func(*settings.Settings)) { p.reload = reload }

// OnShutdown sets the function that is called when a signal ends the process, before the members are stopped. The
// members are stopped when it returns. If the process has not ended within the grace period plus stopMargin, it exits
// with an error.
func (p *Process) OnShutdown(shutdown func()) { p.shutdown = shutdown }

// Add adds a member. run is called after the setup of the process and must return after stop is called. If run returns
// earlier, or panics, the process fails. Members are stopped one after another in the order in which they were added.
func (p *Process) Add(name string, run func() error, stop func()) { p.members.add(name, run, stop) }

func gracePeriod(set *settings.Settings) time.Duration {
	if grace := set.Bounds.GracePeriod(); grace > 0 {
		return grace
	}
	return defaultGracePeriod
}

// startTimeout is how long the start waits for one resource.
func (p *Process) startTimeout() time.Duration { return gracePeriod(p.Settings) + startMargin }

// run sets the program up and runs its members until a signal arrives or a member fails.
func (p *Process) run(setUp func(*Process) error) exitReason {
	ready := make(chan error, 1)
	go func() { ready <- callWithRecovery("start", func() error { return setUp(p) }) }()
	select {
	case received := <-earlysignal.Terminations():
		close(p.quit)
		return exitReason{signal: received.String(), phase: phaseStart}
	case err := <-ready:
		if err != nil {
			return exitReason{phase: phaseStart, err: err}
		}
	}
	p.Log.Info(logging.InService).
		Dur("waitedMs", p.waited).
		Dur("startMs", time.Since(p.startedAt)).
		Msg("program is in service")
	return p.serve()
}

// serve runs the members until a signal arrives or a member fails.
func (p *Process) serve() exitReason {
	stopped := exitReason{phase: phaseService}
	quit := make(chan struct{})
	awaitSignal := func() error {
		select {
		case received := <-earlysignal.Terminations():
			stopped.signal = received.String()
			p.Log.Info(logging.Stopping).Str("signal", stopped.signal).Msg("program is shutting down")
			p.members.beginStop()
			p.shutdown()
		case <-quit:
		}
		return nil
	}
	p.Add("signals", awaitSignal, func() { close(quit) })
	p.Add("settings", func() error { return p.watchSettings(earlysignal.Hangups(), quit) }, func() {})
	stopped.err = p.members.run()
	return stopped
}

// logStart logs the first line of a process: its version, zone, process ID and the state of its data directory.
func (p *Process) logStart(version string) {
	p.Log.Info(logging.Started).
		Str("zone", p.Settings.AvailabilityZone).
		Str("version", version).
		Int("pid", os.Getpid()).
		Bool("firstStart", p.Settings.FirstStart).
		Str("storage", describeDirectory(p.Settings.DataDirectory)).
		Msg("program started")
}

// describeDirectory describes the state of a data directory: "none" without a path, "missing", "unreadable", "empty",
// or the number of files.
func describeDirectory(path string) string {
	if path == "" {
		return "none"
	}
	entries, err := os.ReadDir(path)
	switch {
	case os.IsNotExist(err):
		return "missing"
	case err != nil:
		return "unreadable"
	case len(entries) == 0:
		return "empty"
	default:
		return fmt.Sprintf("%d files", len(entries))
	}
}
