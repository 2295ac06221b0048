package process

import (
	"fmt"
	"os"
	"time"

	"comethold/internal/logging"
	"comethold/internal/process/earlysignal"
	"comethold/internal/settings"
)

// startMargin is how much longer than the grace period a start waits for what is missing: a predecessor that is being
// stopped has released its ports and files by then.
const startMargin = 10 * time.Second

// stopMargin is how much longer than the grace period a stop may take before the process ends itself.
const stopMargin = time.Second

// defaultGracePeriod is used where the settings name none.
const defaultGracePeriod = 6 * time.Second

// Process is one running program: its settings, its log, and its members.
type Process struct {
	Settings *settings.Settings
	Log      *logging.Logger

	file      *settingsFile
	members   *members
	reload    func(*settings.Settings)
	shutdown  func()
	startedAt time.Time
	waited    time.Duration // that the start has waited for what was missing
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

// OnReload sets what is called with new settings, after SIGHUP or when the settings file has changed. Calls don't
// overlap, and the newest settings come last.
func (p *Process) OnReload(reload func(*settings.Settings)) { p.reload = reload }

// OnShutdown sets what is called when a signal ends the process, before its members are stopped. When it returns, or at
// the end of the grace period, the process ends.
func (p *Process) OnShutdown(shutdown func()) { p.shutdown = shutdown }

// Add adds a member: run is called when the process is set up and returns after stop was called. If it returns before,
// or panics, the process fails. Members are stopped one after another in the order in which they were added.
func (p *Process) Add(name string, run func() error, stop func()) { p.members.add(name, run, stop) }

func gracePeriod(set *settings.Settings) time.Duration {
	if grace := set.Bounds.GracePeriod(); grace > 0 {
		return grace
	}
	return defaultGracePeriod
}

// startPatience is how long the start waits for one thing that is missing.
func (p *Process) startPatience() time.Duration { return gracePeriod(p.Settings) + startMargin }

// run sets the program up and runs its members until a signal comes or one of them fails.
func (p *Process) run(setUp func(*Process) error) end {
	ready := make(chan error, 1)
	go func() { ready <- guard("start", func() error { return setUp(p) }) }()
	select {
	case received := <-earlysignal.Terminations():
		close(p.quit)
		return end{signal: received.String(), phase: phaseStart}
	case err := <-ready:
		if err != nil {
			return end{phase: phaseStart, err: err}
		}
	}
	p.Log.Info(logging.InService).
		Dur("waitedMs", p.waited).
		Dur("startMs", time.Since(p.startedAt)).
		Msg("program is in service")
	return p.serve()
}

// serve runs the members.
func (p *Process) serve() end {
	stopped := end{phase: phaseService}
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

// logStart logs what the process finds at its start.
func (p *Process) logStart(version string) {
	p.Log.Info(logging.Started).
		Str("zone", p.Settings.AvailabilityZone).
		Str("version", version).
		Int("pid", os.Getpid()).
		Bool("firstStart", p.Settings.FirstStart).
		Str("storage", describeDirectory(p.Settings.DataDirectory)).
		Msg("program started")
}

// describeDirectory tells what a data directory holds.
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
