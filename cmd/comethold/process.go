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

	"comethold/internal/logging"
	"comethold/internal/settings"

	"github.com/oklog/run"
)

// Garbage collection uses more memory to save processor time.
const (
	gcPercent          = 200
	softMemoryFraction = 0.6 // of the memory limit, from which the collector runs more often
)

// Limits of the HTTP servers for operators, the platform and other nodes.
const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = time.Minute
	maxHeaderBytes    = 64 << 10
	shutdownTimeout   = 300 * time.Millisecond
)

// settingsPollInterval is the time between two checks of the settings file for changes.
const settingsPollInterval = 2 * time.Second

// logCloseTimeout is how long the end of a process waits for the reader of its log.
const logCloseTimeout = 200 * time.Millisecond

// signalBacklog is how many signals are kept while one is handled.
const signalBacklog = 4

// process is one running program: its settings, its log, and its goroutines. When one of
// them ends, all are stopped.
type process struct {
	settings     *settings.Settings
	settingsPath string
	log          *logging.Logger
	group        run.Group
}

// runProgram loads the settings that settings.Env names and runs a program until it
// ends. setUp adds the program's goroutines to the process.
func runProgram(name string, setUp func(*process) error) error {
	path, err := settings.Path()
	if err != nil {
		return err
	}
	loaded, err := settings.Load(path)
	if err != nil {
		return err
	}
	debug.SetGCPercent(gcPercent)
	if loaded.Limits.MemoryMb > 0 {
		debug.SetMemoryLimit(int64(float64(loaded.Limits.MemoryMb<<20) * softMemoryFraction))
	}
	log := logging.New(loaded.NodeName, name)
	defer log.Close(logCloseTimeout, nil)
	log.CaptureStandardLog()
	log.SetLevel(loaded.Log.Level)
	log.Info(logging.Started).Str("zone", loaded.AvailabilityZone).Str("version", version).Msg("program started")
	p := &process{settings: loaded, settingsPath: path, log: log}
	err = setUp(p)
	if err == nil {
		err = p.group.Run()
	}
	if err != nil {
		log.Error(logging.Failed).Err(err).Msg("program failed")
		return err
	}
	log.Info(logging.Stopped).Msg("program stopped")
	return nil
}

// listen opens a TCP socket.
func (p *process) listen(address string) (net.Listener, error) {
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp4", address)
	if err != nil {
		return nil, fmt.Errorf("cannot listen: %w", err)
	}
	return listener, nil
}

// listenPacket opens a UDP socket.
func (p *process) listenPacket(address string) (net.PacketConn, error) {
	var config net.ListenConfig
	conn, err := config.ListenPacket(context.Background(), "udp4", address)
	if err != nil {
		return nil, fmt.Errorf("cannot listen: %w", err)
	}
	return conn, nil
}

// addServer adds an HTTP server for operators, the platform or other nodes.
func (p *process) addServer(address string, handler http.Handler) error {
	listener, err := p.listen(address)
	if err != nil {
		return err
	}
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	serve := func() error {
		err := server.Serve(listener)
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return err
	}
	stop := func(error) {
		ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		if server.Shutdown(ctx) != nil {
			_ = server.Close()
		}
	}
	p.group.Add(serve, stop)
	return nil
}

// addSignalHandling adds the handling of signals and of changes of the settings file.
// SIGHUP and a changed file call reload with the new settings. SIGTERM and SIGINT call
// shutdown; when it returns, the process ends.
func (p *process) addSignalHandling(reload func(*settings.Settings), shutdown func()) {
	signals := make(chan os.Signal, signalBacklog)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	quit := make(chan struct{})
	reloader := newSettingsReloader(p, reload)
	handle := func() error {
		ticker := time.NewTicker(settingsPollInterval)
		defer ticker.Stop()
		for {
			select {
			case received := <-signals:
				if received == syscall.SIGHUP {
					reloader.reload(causeSignal)
					continue
				}
				p.log.Info(logging.Stopping).Stringer("signal", received).Msg("program is shutting down")
				shutdown()
				return nil
			case <-ticker.C:
				reloader.reload(causeChange)
			case <-quit:
				return nil
			}
		}
	}
	p.group.Add(handle, func(error) { close(quit) })
}

// Causes of a reload, as logged.
const (
	causeSignal = "signal"
	causeChange = "change"
)

// settingsReloader reloads the settings file if it has changed.
type settingsReloader struct {
	path  string
	last  []byte // the content that was read last
	log   *logging.Logger
	apply func(*settings.Settings)
}

func newSettingsReloader(p *process, apply func(*settings.Settings)) *settingsReloader {
	last, _ := os.ReadFile(p.settingsPath) // if that fails, the next reload applies any content
	return &settingsReloader{path: p.settingsPath, last: last, log: p.log, apply: apply}
}

// reload applies a changed file. An invalid one is logged, and the old settings stay.
func (r *settingsReloader) reload(cause string) {
	raw, err := os.ReadFile(r.path)
	if err != nil && cause == causeChange {
		return // the file may be in the middle of a replacement; the next poll reads it
	}
	if err == nil && bytes.Equal(raw, r.last) {
		return
	}
	r.last = raw
	loaded, err := settings.Parse(raw)
	if err != nil {
		r.log.Error(logging.SettingsRejected).Err(err).Str("cause", cause).
			Msg("settings rejected; the old ones stay")
		return
	}
	r.apply(loaded)
	r.log.SetLevel(loaded.Log.Level)
	r.log.Info(logging.SettingsReloaded).Str("cause", cause).Msg("settings reloaded")
}
