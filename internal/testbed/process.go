package testbed

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"

	"github.com/BurntSushi/toml"

	"comethold/internal/settings"
)

const (
	settingsFileMode  = 0o600
	dataDirectoryMode = 0o755
)

// Command describes how to start a process.
type Command struct {
	Binary   string
	Program  string             // name of the program, passed as the only argument
	Settings *settings.Settings // written to SettingsFile; if nil, that file is not changed
	// SettingsFile is the path of the settings file.
	SettingsFile string
	Environment  []string  // added to the environment of the calling process
	Log          io.Writer // receives the standard error of the process
	// WithoutDataDirectory prevents Start from creating the data directory.
	WithoutDataDirectory bool
}

// Process is a running program.
type Process struct {
	command *exec.Cmd
	exited  chan struct{} // closed when the process has ended
}

// Start writes the settings file, creates the data directory and starts the program. The process is
// killed when ctx is done.
func Start(ctx context.Context, c Command) (*Process, error) {
	if err := c.writeFiles(); err != nil {
		return nil, err
	}
	command := exec.CommandContext(ctx, c.Binary, c.Program)
	command.Env = append(os.Environ(), settings.PathEnv+"="+c.SettingsFile)
	command.Env = append(command.Env, c.Environment...)
	command.Stderr = c.Log
	if err := command.Start(); err != nil {
		return nil, err
	}
	p := &Process{command: command, exited: make(chan struct{})}
	go func() {
		defer close(p.exited)
		_ = command.Wait() // ProcessState holds the result
	}()
	return p, nil
}

// writeFiles writes the settings file and creates the data directory. It does nothing without Settings.
func (c Command) writeFiles() error {
	if c.Settings == nil {
		return nil
	}
	if err := WriteSettings(c.SettingsFile, c.Settings); err != nil {
		return err
	}
	if c.Settings.DataDirectory == "" || c.WithoutDataDirectory {
		return nil
	}
	return os.MkdirAll(c.Settings.DataDirectory, dataDirectoryMode)
}

// WriteSettings writes a settings file. An existing file is replaced atomically, so that a process
// that reads it concurrently gets either the old or the new settings.
func WriteSettings(path string, s *settings.Settings) error {
	raw, err := toml.Marshal(s)
	if err != nil {
		return fmt.Errorf("testbed: encode settings of %s: %w", s.NodeName, err)
	}
	temporary := filepath.Join(filepath.Dir(path), "."+filepath.Base(path)+".next")
	if err := os.WriteFile(temporary, raw, settingsFileMode); err != nil {
		return err
	}
	return os.Rename(temporary, path)
}

// PID returns the process ID.
func (p *Process) PID() int { return p.command.Process.Pid }

// Signal sends a signal. It returns os.ErrProcessDone if the process has ended.
func (p *Process) Signal(signal os.Signal) error { return p.command.Process.Signal(signal) }

// Exited returns a channel that is closed when the process has ended.
func (p *Process) Exited() <-chan struct{} { return p.exited }

// ExitCode returns the exit code, or -1 if a signal ended the process or it is still running.
func (p *Process) ExitCode() int {
	select {
	case <-p.exited:
		return p.command.ProcessState.ExitCode()
	default:
		return -1
	}
}

// EndSignal returns the signal that ended the process, or 0 if it exited normally or is still
// running.
func (p *Process) EndSignal() syscall.Signal {
	select {
	case <-p.exited:
	default:
		return 0
	}
	status, ok := p.command.ProcessState.Sys().(syscall.WaitStatus)
	if !ok || !status.Signaled() {
		return 0
	}
	return status.Signal()
}

// Kill sends SIGKILL and waits for the end of the process.
func (p *Process) Kill() {
	_ = p.command.Process.Kill() // fails only if the process has ended
	<-p.exited
}
