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

// Command says how a process is started.
type Command struct {
	Binary   string
	Program  string             // the argument that names the program
	Settings *settings.Settings // written to SettingsFile; nil: that file stays as it is
	// SettingsFile is the path of the settings file.
	SettingsFile string
	Environment  []string  // added to this process's
	Log          io.Writer // gets the process's standard error
	// WithoutDataDirectory leaves it to the program to make its data directory.
	WithoutDataDirectory bool
}

// Process is a running program.
type Process struct {
	command *exec.Cmd
	exited  chan struct{} // closed when it has ended
}

// Start writes the settings file, makes the data directory and starts the program. It is killed when
// ctx is done.
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
		_ = command.Wait() // the state tells how it ended
	}()
	return p, nil
}

// writeFiles writes the settings file and makes the data directory.
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

// WriteSettings writes a settings file. A file that exists is replaced as a whole, so that a process
// that reads it meanwhile gets one or the other.
func WriteSettings(path string, s *settings.Settings) error {
	raw, err := toml.Marshal(s)
	if err != nil {
		return fmt.Errorf("testbed: the settings of %s: %w", s.NodeName, err)
	}
	next := filepath.Join(filepath.Dir(path), "."+filepath.Base(path)+".next")
	if err := os.WriteFile(next, raw, settingsFileMode); err != nil {
		return err
	}
	return os.Rename(next, path)
}

// PID returns the process ID.
func (p *Process) PID() int { return p.command.Process.Pid }

// Signal sends a signal. It returns os.ErrProcessDone if the process has ended.
func (p *Process) Signal(signal os.Signal) error { return p.command.Process.Signal(signal) }

// Exited is closed when the process has ended.
func (p *Process) Exited() <-chan struct{} { return p.exited }

// ExitCode returns how the process ended: -1 if by a signal, or if it runs.
func (p *Process) ExitCode() int {
	select {
	case <-p.exited:
		return p.command.ProcessState.ExitCode()
	default:
		return -1
	}
}

// EndSignal returns the signal that ended the process, or 0 if it ended otherwise or runs.
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

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	_ = p.command.Process.Kill() // fails only if it has ended
	<-p.exited
}
