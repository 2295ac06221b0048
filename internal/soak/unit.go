package soak

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"comethold/internal/settings"
	"comethold/internal/testbed"
)

const (
	restartDelay = 200 * time.Millisecond
	// exitMargin is how long a process may run beyond the grace period after SIGTERM. It covers the margin of the
	// process's stop watchdog, and delays on a busy machine.
	exitMargin = 5 * time.Second
)

// unit is one supervised process of the fleet. It is restarted whenever it exits, until the run ends.
type unit struct {
	fleet        *Fleet
	program      string
	settingsFile string             // path of the settings file
	settings     *settings.Settings // written only by the goroutine that executes the plan

	mu            sync.Mutex // guards the fields below
	process       *testbed.Process
	logFile       string
	starts        int
	signalHistory signalHistory
	stopping      bool // if set, the process is not restarted
}

// signalHistory holds the signals sent to one process that decide which exits checkExit allows.
type signalHistory struct {
	killed       bool
	terminated   bool
	earlySignals map[syscall.Signal]bool // sent before the process logged its first line
}

// start starts the process, unless the unit is stopping.
func (u *unit) start(ctx context.Context) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.stopping {
		return
	}
	u.starts++
	u.signalHistory = signalHistory{earlySignals: map[syscall.Signal]bool{}}
	u.logFile = filepath.Join(u.fleet.dir, "logs", fmt.Sprintf("%s.%d", u.settings.NodeName, u.starts))
	log, err := os.Create(u.logFile)
	if err != nil {
		u.fleet.recorder.addViolation(ruleHarness, "%v", err)
		return
	}
	defer func() { _ = log.Close() }() // the process holds a duplicate of the descriptor
	process, err := testbed.Start(ctx, testbed.Command{
		Binary: u.fleet.binary, Program: u.program, SettingsFile: u.settingsFile, Log: log,
	})
	if err != nil {
		u.fleet.recorder.addViolation(ruleHarness, "%v", err)
		return
	}
	u.process = process
	u.fleet.running.Go(func() { u.watch(ctx, process) })
}

// watch waits for the exit of a process, checks it, and restarts the unit after restartDelay.
func (u *unit) watch(ctx context.Context, process *testbed.Process) {
	<-process.Exited()
	u.mu.Lock()
	history, file, stopping := u.signalHistory, u.logFile, u.stopping
	u.mu.Unlock()
	checkExit(u.fleet.recorder, processExit{
		name:    filepath.Base(file),
		history: history,
		code:    process.ExitCode(),
		signal:  process.EndSignal(),
		log:     readLog(file),
	})
	if stopping {
		return
	}
	select {
	case <-time.After(restartDelay):
		u.start(ctx)
	case <-ctx.Done():
	}
}

func readLog(file string) string {
	raw, err := os.ReadFile(file)
	if err != nil {
		return ""
	}
	return string(raw)
}

// signal sends a signal to the process and records it, so that checkExit knows which exits are allowed. For the first
// SIGTERM it also starts awaitExit.
func (u *unit) signal(number syscall.Signal) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.process == nil {
		return
	}
	if strings.TrimSpace(readLog(u.logFile)) == "" {
		u.signalHistory.earlySignals[number] = true
	}
	if number == syscall.SIGKILL {
		u.signalHistory.killed = true
	}
	if number == syscall.SIGTERM && !u.signalHistory.terminated {
		u.signalHistory.terminated = true
		process, file := u.process, u.logFile
		u.fleet.running.Go(func() { u.fleet.awaitExit(process, file) })
	}
	_ = u.process.Signal(number) // fails if the process has exited
}

// awaitExit checks rule Fault: a process exits in time after SIGTERM. It kills a process that does not.
func (f *Fleet) awaitExit(process *testbed.Process, file string) {
	select {
	case <-process.Exited():
	case <-time.After(gracePeriodS*time.Second + maxSuspension + exitMargin):
		f.recorder.addViolation(ruleFault, "%s did not exit in time after SIGTERM", filepath.Base(file))
		process.Kill()
	}
}

// changeSettings changes a setting and rewrites the settings file.
func (u *unit) changeSettings() {
	u.settings.Bounds.DrainMs ^= 1
	u.settings.FirstStart = false
	if err := testbed.WriteSettings(u.settingsFile, u.settings); err != nil {
		u.fleet.recorder.addViolation(ruleHarness, "%v", err)
	}
}

// stop terminates the process, resuming it if it is suspended, and prevents restarts. It does not wait for the exit.
func (u *unit) stop() {
	u.mu.Lock()
	u.stopping = true
	u.mu.Unlock()
	u.signal(syscall.SIGCONT)
	u.signal(syscall.SIGTERM)
}
