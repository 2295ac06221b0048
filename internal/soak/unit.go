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
	// stopSlack is how long after the grace period a process that got SIGTERM may still run: the margin of its
	// own watchdog, and what a busy machine delays.
	stopSlack = 5 * time.Second
)

// unit is one process of the fleet, which is started again whenever it ends.
type unit struct {
	fleet    *Fleet
	program  string
	file     string             // path of the settings file
	settings *settings.Settings // written by the plan's goroutine only

	mu       sync.Mutex // guards the fields below
	process  *testbed.Process
	logFile  string
	starts   int
	life     life
	stopping bool // it is not started again
}

// life is what the run did to one process.
type life struct {
	killed       bool
	terminated   bool
	earlySignals map[syscall.Signal]bool // sent before the first line of the log
}

// start starts the process, unless the run is ending.
func (u *unit) start(ctx context.Context) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.stopping {
		return
	}
	u.starts++
	u.life = life{earlySignals: map[syscall.Signal]bool{}}
	u.logFile = filepath.Join(u.fleet.dir, "logs", fmt.Sprintf("%s.%d", u.settings.NodeName, u.starts))
	log, err := os.Create(u.logFile)
	if err != nil {
		u.fleet.record.broken(ruleHarness, "%v", err)
		return
	}
	defer func() { _ = log.Close() }() // the process has its own descriptor
	process, err := testbed.Start(ctx, testbed.Command{
		Binary: u.fleet.binary, Program: u.program, SettingsFile: u.file, Log: log,
	})
	if err != nil {
		u.fleet.record.broken(ruleHarness, "%v", err)
		return
	}
	u.process = process
	u.fleet.running.Go(func() { u.watch(ctx, process) })
}

// watch judges the end of a process and starts the next.
func (u *unit) watch(ctx context.Context, process *testbed.Process) {
	<-process.Exited()
	u.mu.Lock()
	ended, file, stopping := u.life, u.logFile, u.stopping
	u.mu.Unlock()
	checkEnd(u.fleet.record, endOfProcess{
		name:   filepath.Base(file),
		life:   ended,
		code:   process.ExitCode(),
		signal: process.EndSignal(),
		log:    readLog(file),
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

// signal sends a signal to the process and notes what may follow from it.
func (u *unit) signal(number syscall.Signal) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.process == nil {
		return
	}
	if strings.TrimSpace(readLog(u.logFile)) == "" {
		u.life.earlySignals[number] = true
	}
	if number == syscall.SIGKILL {
		u.life.killed = true
	}
	if number == syscall.SIGTERM && !u.life.terminated {
		u.life.terminated = true
		process, file := u.process, u.logFile
		u.fleet.running.Go(func() { u.fleet.awaitStop(process, file) })
	}
	_ = u.process.Signal(number) // it may have ended
}

// awaitStop checks that a process that got SIGTERM ends in time.
func (f *Fleet) awaitStop(process *testbed.Process, file string) {
	select {
	case <-process.Exited():
	case <-time.After(gracePeriodS*time.Second + maxSuspension + stopSlack):
		f.record.broken(ruleFault, "%s still runs after SIGTERM", filepath.Base(file))
		process.Kill()
	}
}

// changeSettings writes settings that differ from those before.
func (u *unit) changeSettings() {
	u.settings.Bounds.DrainMs ^= 1
	u.settings.FirstStart = false
	if err := testbed.WriteSettings(u.file, u.settings); err != nil {
		u.fleet.record.broken(ruleHarness, "%v", err)
	}
}

// stop ends the process for good.
func (u *unit) stop() {
	u.mu.Lock()
	u.stopping = true
	u.mu.Unlock()
	u.signal(syscall.SIGCONT)
	u.signal(syscall.SIGTERM)
}
