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

// Fleet is the processes and the stand-ins of a run.
type Fleet struct {
	plan     Plan
	binary   string
	dir      string
	subnet   string // "127.x.y."
	record   *record
	units    []*unit
	platform testbed.Platform
	servers  testbed.Servers
	running  sync.WaitGroup // goroutines of units and events
}

func newFleet(plan Plan, binary, dir string) *Fleet {
	return &Fleet{
		plan:   plan,
		binary: binary,
		dir:    dir,
		subnet: fmt.Sprintf("127.%d.%d.", 10+rand.IntN(90), rand.IntN(256)),
		record: newRecord(),
	}
}

// start starts the stand-ins and the processes.
func (f *Fleet) start(ctx context.Context) error {
	if err := os.MkdirAll(filepath.Join(f.dir, "logs"), 0o755); err != nil {
		return err
	}
	if err := f.servers.Listen(ctx, at(f.host(platformHost), platformPort), &f.platform); err != nil {
		return err
	}
	for i := range leafs {
		id := fmt.Sprint("leaf-", i)
		address := at(f.host(firstLeafHost+i), leafPort)
		if err := f.servers.Listen(ctx, address, &leaf{id: id, record: f.record}); err != nil {
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
	u.file = filepath.Join(f.dir, u.settings.NodeName+".toml")
	return u, testbed.WriteSettings(u.file, u.settings)
}

// stop ends all processes by SIGTERM, then the stand-ins, and waits for them.
func (f *Fleet) stop() {
	for _, u := range f.units {
		u.stop()
	}
	for _, u := range f.units {
		u.mu.Lock()
		process := u.process
		u.mu.Unlock()
		if process != nil {
			<-process.Exited() // awaitStop kills it in the end
		}
	}
	f.servers.Close()
	f.running.Wait()
}

func (f *Fleet) randomControlNode() string {
	return at(f.host(1+rand.IntN(f.plan.Size.ControlNodes)), controlPort)
}

func (f *Fleet) randomProxy() string {
	return at(f.host(1+f.plan.Size.ControlNodes+rand.IntN(f.plan.Size.Proxies)), frontendPort)
}

// play does what an event says.
func (f *Fleet) play(ctx context.Context, e Event) {
	u := f.units[e.Unit]
	switch e.Action {
	case Reload:
		u.hangups(e)
	case Terminate:
		u.signal(syscall.SIGTERM)
	case Kill:
		u.signal(syscall.SIGKILL)
	case KillAtStart:
		u.signal(syscall.SIGKILL)
		f.later(ctx, restartDelay+e.Interval, func() { u.signal(syscall.SIGKILL) })
	case SignalsAtStart:
		u.signal(syscall.SIGKILL)
		f.later(ctx, restartDelay+e.Interval, func() { u.signal(syscall.SIGHUP) })
		f.later(ctx, restartDelay+2*e.Interval, func() { u.signal(syscall.SIGTERM) })
	case Suspend:
		u.signal(syscall.SIGSTOP)
		f.later(ctx, e.Duration, func() { u.signal(syscall.SIGCONT) })
	case ReloadThenTerminate:
		u.hangups(e)
		u.signal(syscall.SIGTERM)
	case TerminateSuspended:
		u.signal(syscall.SIGSTOP)
		u.signal(syscall.SIGTERM)
		f.later(ctx, e.Duration, func() { u.signal(syscall.SIGCONT) })
	case HoldPort:
		u.signal(syscall.SIGKILL)
		f.holdPort(ctx, u, e.Duration)
	case KillControlNodes:
		for _, control := range f.units[:f.plan.Size.ControlNodes] {
			control.signal(syscall.SIGKILL)
		}
	}
}

// hangups sends a series of SIGHUP, each with changed settings.
func (u *unit) hangups(e Event) {
	for range e.Count {
		u.changeSettings()
		u.signal(syscall.SIGHUP)
		time.Sleep(e.Interval)
	}
}

// later runs a part of an event after a while, also when the disruptions have ended.
func (f *Fleet) later(ctx context.Context, delay time.Duration, part func()) {
	f.running.Go(func() {
		select {
		case <-time.After(delay):
		case <-ctx.Done():
		}
		part()
	})
}

// holdPort takes the internal port of a process that was killed, if it is free by then, and releases it after a while.
func (f *Fleet) holdPort(ctx context.Context, u *unit, span time.Duration) {
	offset := map[string]int{controlPlane: 0, dataPlane: 1, objectCache: 2}[u.program]
	time.Sleep(restartDelay / 4) // the process is gone by then, and the next is not started yet
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp4", at(u.settings.IPAddress, internalPort+offset))
	if err != nil {
		return
	}
	f.later(ctx, span, func() { _ = listener.Close() })
}

// describe is a line on what has been seen so far.
func (f *Fleet) describe() string {
	f.record.mu.Lock()
	defer f.record.mu.Unlock()
	served := 0
	for _, q := range f.record.requests {
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
	for _, b := range f.record.breaks {
		names = append(names, string(b.Rule))
	}
	return fmt.Sprintf("%v: %d events, %d starts, %d of %d requests served, broken: [%s]",
		time.Since(f.record.startedAt).Round(time.Second), f.record.events, starts, served,
		len(f.record.requests), strings.Join(names, " "))
}
