package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"comethold/internal/controlplane"
	"comethold/internal/logging"
	"comethold/internal/objectcache"
	"comethold/internal/proxy"
	"comethold/internal/rpc"
	"comethold/internal/settings"
	"comethold/internal/storage"

	"github.com/oklog/run"
)

// Garbage collection: more memory for less processor time, within a bound.
const (
	gcPercent            = 200
	softMemoryFraction   = 0.6 // of the limit, at which collection turns eager
	settingsPollInterval = 2 * time.Second
)

// runProgram loads the settings and runs a program until it ends.
func runProgram(program func(*settings.Settings, string, *logging.Logger) error) error {
	path, err := settings.Path()
	if err != nil {
		return err
	}
	set, err := settings.Load(path)
	if err != nil {
		return err
	}
	debug.SetGCPercent(gcPercent)
	if set.Limits.MemoryMb > 0 {
		debug.SetMemoryLimit(int64(float64(set.Limits.MemoryMb<<20) * softMemoryFraction))
	}
	log := logging.New(set.NodeName, os.Args[1])
	log.SetLevel(set.Log.Level)
	log.Info(logging.Started).Str("zone", set.AvailabilityZone).Str("version", version).Msg("started")
	err = program(set, path, log)
	if err != nil {
		log.Error(logging.Failed).Err(err).Msg("failed")
		return err
	}
	log.Info(logging.Stopped).Msg("stopped")
	return nil
}

// addServer adds an HTTP server on an address of our own.
func addServer(g *run.Group, addr string, h http.Handler) error {
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		return fmt.Errorf("cannot listen: %w", err)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second, IdleTimeout: time.Minute, MaxHeaderBytes: 64 << 10}
	g.Add(func() error {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	}, func(error) {
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		defer cancel()
		if s.Shutdown(ctx) != nil {
			_ = s.Close()
		}
	})
	return nil
}

// addSignalHandling adds the handling of signals and of changes of the settings file.
// leave is called on SIGTERM and returns when the program may end.
func addSignalHandling(g *run.Group, path string, log *logging.Logger, reload func(*settings.Settings), leave func()) {
	sig := make(chan os.Signal, 4)
	signal.Notify(sig, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	quit := make(chan struct{})
	last, _ := os.ReadFile(path)
	again := func(why string) {
		raw, err := os.ReadFile(path)
		if err != nil || bytes.Equal(raw, last) {
			if err == nil || why == "change" {
				return
			}
		}
		last = raw
		set, err := settings.Parse(raw)
		if err != nil {
			log.Error(logging.SettingsRejected).Err(err).Str("why", why).Msg("the new settings are refused; the old ones stay")
			return
		}
		reload(set)
		log.SetLevel(set.Log.Level)
		log.Info(logging.SettingsReloaded).Str("why", why).Msg("settings reloaded")
	}
	g.Add(func() error {
		t := time.NewTicker(settingsPollInterval)
		defer t.Stop()
		for {
			select {
			case s := <-sig:
				if s == syscall.SIGHUP {
					again("signal")
					continue
				}
				log.Info(logging.Stopping).Stringer("signal", s).Msg("stopping")
				leave()
				return nil
			case <-t.C:
				again("change")
			case <-quit:
				return nil
			}
		}
	}, func(error) { close(quit) })
}

func runControlPlane(set *settings.Settings, path string, log *logging.Logger) error {
	if set.Listen.ControlPlane == "" || set.DataDirectory == "" {
		return errors.New("settings: a registrar needs listenAddresses.controlPlane and dataDirectory")
	}
	r := controlplane.New(set, log, rpc.TCPNetwork, storage.LocalDisk{})
	var g run.Group
	g.Add(r.Run, func(error) { r.Stop() })
	udp, err := net.ListenPacket("udp4", controlplane.InternalAddress(set))
	if err != nil {
		return fmt.Errorf("cannot listen: %w", err)
	}
	g.Add(func() error { return r.ServeDatagrams(udp) }, func(error) { r.Stop() })
	if err := addServer(&g, set.Listen.ControlPlane, r.OperatorHandler()); err != nil {
		return err
	}
	if err := addServer(&g, controlplane.InternalAddress(set), r.InternalHandler()); err != nil {
		return err
	}
	addSignalHandling(&g, path, log, r.Reload, func() {})
	return g.Run()
}

func runObjectCache(set *settings.Settings, path string, log *logging.Logger) error {
	a := objectcache.New(set, log, rpc.TCPNetwork)
	var g run.Group
	udp, err := net.ListenPacket("udp4", a.InternalAddress())
	if err != nil {
		return fmt.Errorf("cannot listen: %w", err)
	}
	leave := func(error) { a.Shutdown() }
	g.Add(a.RunUpdates, leave)
	g.Add(a.RunShareRenewal, leave)
	g.Add(a.RunStatistics, leave)
	g.Add(func() error { return a.RunHeartbeats(udp) }, leave)
	if err := addServer(&g, a.InternalAddress(), a.InternalHandler()); err != nil {
		return err
	}
	addSignalHandling(&g, path, log, a.Reload, func() {})
	return g.Run()
}

func runDataPlane(set *settings.Settings, path string, log *logging.Logger) error {
	if set.Listen.Frontend == "" || set.Listen.Readiness == "" {
		return errors.New("settings: a switch needs listenAddresses.frontend and listenAddresses.readiness")
	}
	s := proxy.New(set, log, rpc.TCPNetwork)
	var g run.Group
	front, err := net.Listen("tcp4", set.Listen.Frontend)
	if err != nil {
		return fmt.Errorf("cannot listen: %w", err)
	}
	udp, err := net.ListenPacket("udp4", s.InternalAddress())
	if err != nil {
		return fmt.Errorf("cannot listen: %w", err)
	}
	leave := func(error) { s.Shutdown() }
	g.Add(func() error { return s.Serve(front) }, leave)
	g.Add(s.RunUpdates, leave)
	g.Add(s.RunMaintenance, leave)
	g.Add(s.ReportUsage, leave)
	g.Add(s.CollectLatencies, leave)
	g.Add(func() error { return s.RunHeartbeats(udp) }, leave)
	if err := addServer(&g, set.Listen.Readiness, s.Readiness()); err != nil {
		return err
	}
	if err := addServer(&g, s.InternalAddress(), s.InternalHandler()); err != nil {
		return err
	}
	addSignalHandling(&g, path, log, s.Reload, s.Shutdown)
	return g.Run()
}
