package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"comethold/internal/testbed"
)

const leafs = 3

// Fleet is the set of processes of a run, with the simulated platform and leafs.
type Fleet struct {
	plan     Plan
	binary   string
	dir      string
	subnet   string // "127.x.y."
	recorder *recorder
	units    []*unit
	platform testbed.Platform
	servers  testbed.Servers
	running  sync.WaitGroup // goroutines of units and of delayed parts of events
}

func newFleet(plan Plan, binary, dir string) *Fleet {
	return &Fleet{
		plan:     plan,
		binary:   binary,
		dir:      dir,
		subnet:   fmt.Sprintf("127.%d.%d.", 10+rand.IntN(90), rand.IntN(256)),
		recorder: newRecorder(),
	}
}

// start starts the simulated platform and leafs, then all processes.
func (f *Fleet) start(ctx context.Context) error {
	if err := os.MkdirAll(filepath.Join(f.dir, "logs"), 0o755); err != nil {
		return err
	}
	if err := f.servers.Listen(ctx, hostPort(f.hostIP(platformHost), platformPort), &f.platform); err != nil {
		return err
	}
	for i := range leafs {
		id := fmt.Sprint("leaf-", i)
		address := hostPort(f.hostIP(firstLeafHost+i), leafPort)
		if err := f.servers.Listen(ctx, address, &leaf{id: id, recorder: f.recorder}); err != nil {
			return err
		}
		f.platform.Add(testbed.Instance{
			ID: id, Service: serviceName, Address: address, AvailabilityZone: zoneName(i), Version: "v1",
			CapacitySlots: 8, State: testbed.Ready,
		})
	}
	for number := range f.plan.Size.units() {
		u, err := f.newUnit(number)
		if err != nil {
			return err
		}
		f.units = append(f.units, u)
		u.start(ctx)
	}
	return nil
}

func (f *Fleet) newUnit(number int) (*unit, error) {
	program := controlPlane
	if number >= f.plan.Size.ControlNodes {
		program = dataPlane
	}
	if number >= f.plan.Size.ControlNodes+f.plan.Size.Proxies {
		program = objectCache
	}
	u := &unit{fleet: f, program: program, settings: f.unitSettings(number, program)}
	u.settingsFile = filepath.Join(f.dir, u.settings.NodeName+".toml")
	return u, testbed.WriteSettings(u.settingsFile, u.settings)
}

// stop terminates all processes with SIGTERM, waits for their exit, and then stops the simulated platform and leafs.
func (f *Fleet) stop() {
	for _, u := range f.units {
		u.stop()
	}
	for _, u := range f.units {
		u.mu.Lock()
		process := u.process
		u.mu.Unlock()
		if process != nil {
			<-process.Exited() // awaitExit kills it after a timeout
		}
	}
	f.servers.Close()
	f.running.Wait()
}

func (f *Fleet) randomControlNode() string {
	return hostPort(f.hostIP(1+rand.IntN(f.plan.Size.ControlNodes)), controlPort)
}

func (f *Fleet) randomProxy() string {
	return hostPort(f.hostIP(1+f.plan.Size.ControlNodes+rand.IntN(f.plan.Size.Proxies)), frontendPort)
}

// execute performs an event. It returns before the delayed parts of the event have run.
func (f *Fleet) execute(ctx context.Context, e Event) {
	u := f.units[e.Unit]
	switch e.Action {
	case Reload:
		u.sendReloads(e)
	case Terminate:
		u.signal(syscall.SIGTERM)
	case Kill:
		u.signal(syscall.SIGKILL)
	case KillAtStart:
		u.signal(syscall.SIGKILL)
		f.runAfter(ctx, restartDelay+e.Interval, func() { u.signal(syscall.SIGKILL) })
	case SignalsAtStart:
		u.signal(syscall.SIGKILL)
		f.runAfter(ctx, restartDelay+e.Interval, func() { u.signal(syscall.SIGHUP) })
		f.runAfter(ctx, restartDelay+2*e.Interval, func() { u.signal(syscall.SIGTERM) })
	case Suspend:
		u.signal(syscall.SIGSTOP)
		f.runAfter(ctx, e.Duration, func() { u.signal(syscall.SIGCONT) })
	case ReloadThenTerminate:
		u.sendReloads(e)
		u.signal(syscall.SIGTERM)
	case TerminateSuspended:
		u.signal(syscall.SIGSTOP)
		u.signal(syscall.SIGTERM)
		f.runAfter(ctx, e.Duration, func() { u.signal(syscall.SIGCONT) })
	case HoldPort:
		u.signal(syscall.SIGKILL)
		f.holdPort(ctx, u, e.Duration)
	case KillControlNodes:
		for _, control := range f.units[:f.plan.Size.ControlNodes] {
			control.signal(syscall.SIGKILL)
		}
	}
}

// sendReloads sends a series of SIGHUP, each with changed settings.
func (u *unit) sendReloads(e Event) {
	for range e.Count {
		u.changeSettings()
		u.signal(syscall.SIGHUP)
		time.Sleep(e.Interval)
	}
}

// runAfter runs a part of an event in the background after a delay. The end of the disruptions does not
// cancel it; if ctx is done, the part runs at once.
func (f *Fleet) runAfter(ctx context.Context, delay time.Duration, part func()) {
	f.running.Go(func() {
		select {
		case <-time.After(delay):
		case <-ctx.Done():
		}
		part()
	})
}

// holdPort occupies the internal port of a process that was killed, so that the restarted process finds the port in
// use, and releases it after span. It does nothing if the port is not free.
func (f *Fleet) holdPort(ctx context.Context, u *unit, span time.Duration) {
	offset := map[string]int{controlPlane: 0, dataPlane: 1, objectCache: 2}[u.program]
	time.Sleep(restartDelay / 4) // after the exit of the process, before its restart
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp4", hostPort(u.settings.IPAddress, internalPort+offset))
	if err != nil {
		return
	}
	f.runAfter(ctx, span, func() { _ = listener.Close() })
}

// summary returns a line that summarizes the run so far.
func (f *Fleet) summary() string {
	f.recorder.mu.Lock()
	defer f.recorder.mu.Unlock()
	served := 0
	for _, q := range f.recorder.requests {
		if q.status == http.StatusOK {
			served++
		}
	}
	starts := 0
	var names []string
	for _, u := range f.units {
		u.mu.Lock()
		starts += u.starts
		u.mu.Unlock()
	}
	for _, b := range f.recorder.violations {
		names = append(names, string(b.Rule))
	}
	return fmt.Sprintf("%v: %d events, %d starts, %d of %d requests served, violated rules: [%s]",
		time.Since(f.recorder.startedAt).Round(time.Second), f.recorder.events, starts, served,
		len(f.recorder.requests), strings.Join(names, " "))
}
