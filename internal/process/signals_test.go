package process

import (
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"comethold/internal/testbed"
)

// TestHangupBeforeSettingsAreRead guards against a SIGHUP that ends a process before it has read its settings.
func TestHangupBeforeSettingsAreRead(t *testing.T) {
	for _, program := range programNames {
		t.Run(program, func(t *testing.T) {
			t.Parallel()
			n := newNode(t, program)
			release := n.serveSettingsFromPipe(t)
			i := n.startWith(t, nil)
			release(func() { i.signal(syscall.SIGHUP) })
			i.awaitAccepting(n.internalAddress())
			i.wantStop()
		})
	}
}

// TestTerminationBeforeSettingsAreRead guards against a SIGTERM that is lost during the start, or that ends the process
// with an exit code other than 0.
func TestTerminationBeforeSettingsAreRead(t *testing.T) {
	for _, program := range programNames {
		t.Run(program, func(t *testing.T) {
			t.Parallel()
			n := newNode(t, program)
			release := n.serveSettingsFromPipe(t)
			i := n.startWith(t, nil)
			release(func() { i.signal(syscall.SIGTERM) })
			i.wantExit(0)
		})
	}
}

// serveSettingsFromPipe replaces the settings file with a named pipe. The returned function waits until the program
// opens the pipe, calls during, writes the settings to the pipe, and replaces the pipe with a regular file for later
// reads.
func (n *node) serveSettingsFromPipe(t *testing.T) (release func(during func())) {
	t.Helper()
	if err := testbed.WriteSettings(n.file, n.settings); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(n.file)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.Remove(n.file); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Mkfifo(n.file, 0o600); err != nil {
		t.Fatal(err)
	}
	return func(during func()) {
		pipe, err := os.OpenFile(n.file, os.O_WRONLY, 0) // blocks until the program opens the pipe
		if err != nil {
			t.Fatal(err)
		}
		during()
		_, _ = pipe.Write(text) // fails if the program has exited
		_ = pipe.Close()
		next := n.file + ".next"
		if err := os.WriteFile(next, text, 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(next, n.file); err != nil {
			t.Fatal(err)
		}
	}
}

// TestHangupRightAfterStart guards against a signal handler that is installed late, so that a SIGHUP shortly after the
// start ends the process. No Go program can handle every such signal, so the number of processes that end is compared
// with that of a minimal program.
func TestHangupRightAfterStart(t *testing.T) {
	const (
		tries         = 48
		maxDelay      = 9600 // microseconds
		allowedFactor = 2
		tolerance     = 6 // additional ends that scheduling may cause
	)
	n := newNode(t, "data-plane")
	if err := testbed.WriteSettings(n.file, n.settings); err != nil {
		t.Fatal(err)
	}
	ended, endedMinimal := 0, 0
	for try := range tries {
		delay := time.Duration(try*maxDelay/tries) * time.Microsecond
		if hangupEnds(t, exec.CommandContext(t.Context(), minimalProgram), delay) {
			endedMinimal++
		}
		command := exec.CommandContext(t.Context(), comethold, n.program)
		command.Env = append(os.Environ(), "COMETHOLD_SETTINGS="+n.file)
		if hangupEnds(t, command, delay) {
			ended++
		}
	}
	t.Logf("SIGHUP ended %d of %d comethold processes and %d minimal programs", ended, tries, endedMinimal)
	if ended > allowedFactor*endedMinimal+tolerance {
		t.Errorf("SIGHUP ended %d of %d comethold processes and %d minimal programs, want at most %d comethold processes",
			ended, tries, endedMinimal, allowedFactor*endedMinimal+tolerance)
	}
}

// hangupEnds starts a process, sends SIGHUP after a delay, and reports whether SIGHUP ended it.
func hangupEnds(t *testing.T, command *exec.Cmd, delay time.Duration) bool {
	t.Helper()
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(delay)
	_ = command.Process.Signal(syscall.SIGHUP)
	time.Sleep(30 * time.Millisecond) // if SIGHUP ends the process, it has done so before SIGKILL
	_ = command.Process.Kill()
	_ = command.Wait()
	status, ok := command.ProcessState.Sys().(syscall.WaitStatus)
	return ok && status.Signaled() && status.Signal() == syscall.SIGHUP
}

// TestTerminationAfterManyHangups guards against a SIGTERM that is lost because earlier SIGHUPs fill the buffer of the
// signal channel while a reload blocks.
func TestTerminationAfterManyHangups(t *testing.T) {
	for _, program := range programNames {
		t.Run(program, func(t *testing.T) {
			t.Parallel()
			n := newNode(t, program)
			i := n.start(t)
			i.awaitAccepting(n.internalAddress())
			if err := os.Remove(n.file); err != nil {
				t.Fatal(err)
			}
			if err := syscall.Mkfifo(n.file, 0o600); err != nil { // a reload blocks on the pipe
				t.Fatal(err)
			}
			for range 20 {
				i.signal(syscall.SIGHUP)
				time.Sleep(20 * time.Millisecond) // pending signals of the same kind are merged
			}
			i.wantStop()
		})
	}
}

// TestNewestSettingsAfterManyHangups guards against older settings that stay in force because the last SIGHUPs were
// merged.
func TestNewestSettingsAfterManyHangups(t *testing.T) {
	n := newNode(t, "data-plane")
	i := n.start(t)
	i.awaitAccepting(n.internalAddress())
	for round := range 20 {
		n.settings.Log.Level = "debug"
		if round == 19 {
			n.settings.Log.Level = "loud" // invalid, so the log shows that it was read
		}
		n.settings.Bounds.DrainMs = int64(3000 + round)
		if err := testbed.WriteSettings(n.file, n.settings); err != nil {
			t.Fatal(err)
		}
		i.signal(syscall.SIGHUP)
	}
	i.awaitLine(`"event":105`)
	i.wantStop()
}

// realTimeSignal is a real-time signal, which has no predefined meaning.
const realTimeSignal = syscall.Signal(40)

// TestSignalsWhileStopping guards against signals that abort or delay a shutdown in progress.
func TestSignalsWhileStopping(t *testing.T) {
	n := newNode(t, "data-plane")
	i := n.start(t)
	i.awaitAccepting(n.internalAddress())
	i.signal(syscall.SIGTERM)
	i.awaitLine(`"event":102`)
	for range 5 {
		i.signal(syscall.SIGHUP)
		i.signal(syscall.SIGTERM)
		i.signal(syscall.SIGINT)
		time.Sleep(20 * time.Millisecond)
	}
	i.wantExit(0)
}

// TestSignalsInService checks the effect of each signal on a process in service.
func TestSignalsInService(t *testing.T) {
	cases := []struct {
		signal   syscall.Signal
		code     int            // exit code
		endedBy  syscall.Signal // 0: none
		survives bool
		lastLine string
	}{
		{signal: syscall.SIGTERM, lastLine: `"event":103`},
		{signal: syscall.SIGINT, lastLine: `"event":103`},
		{signal: syscall.SIGHUP, survives: true},
		{signal: syscall.SIGPIPE, survives: true},
		{signal: syscall.SIGUSR1, survives: true},
		{signal: syscall.SIGUSR2, survives: true},
		{signal: syscall.SIGALRM, survives: true},
		{signal: syscall.SIGCHLD, survives: true},
		{signal: syscall.SIGURG, survives: true},
		{signal: syscall.SIGWINCH, survives: true},
		{signal: syscall.SIGXCPU, survives: true},
		{signal: syscall.SIGXFSZ, survives: true},
		{signal: syscall.SIGVTALRM, survives: true},
		{signal: syscall.SIGPROF, survives: true},
		{signal: syscall.SIGIO, survives: true},
		{signal: syscall.SIGPWR, survives: true},
		{signal: realTimeSignal, survives: true},
		{signal: syscall.SIGILL, code: 2},
		{signal: syscall.SIGTRAP, code: 2},
		{signal: syscall.SIGBUS, code: 2},
		{signal: syscall.SIGFPE, code: 2},
		{signal: syscall.SIGSEGV, code: 2},
		{signal: syscall.SIGSYS, code: 2},
		{signal: syscall.SIGQUIT, code: 2},
		{signal: syscall.SIGABRT, code: 2},
		{signal: syscall.SIGKILL, code: -1, endedBy: syscall.SIGKILL},
	}
	for _, test := range cases {
		t.Run(test.signal.String(), func(t *testing.T) {
			t.Parallel()
			n := newNode(t, "object-cache")
			i := n.start(t)
			i.awaitAccepting(n.internalAddress())
			i.signal(test.signal)
			if test.survives {
				i.awaitAccepting(n.internalAddress())
				time.Sleep(50 * time.Millisecond)
				i.wantStop()
				return
			}
			select {
			case <-i.Exited():
			case <-time.After(maxWait):
				t.Fatalf("the process did not end within %v after the signal", maxWait)
			}
			if i.ExitCode() != test.code || i.EndSignal() != test.endedBy {
				t.Errorf("exit code %d, ended by %v, want exit code %d, ended by %v: %s",
					i.ExitCode(), i.EndSignal(), test.code, test.endedBy, i.log)
			}
			if !strings.Contains(i.lastLine(), test.lastLine) {
				t.Errorf("the last line is %s, want it to contain %s", i.lastLine(), test.lastLine)
			}
		})
	}
}

// TestSuspendedAndResumed guards against a process that ends after SIGSTOP and SIGCONT, or that ignores a SIGTERM
// sent while it is suspended.
func TestSuspendedAndResumed(t *testing.T) {
	for _, program := range programNames {
		t.Run(program, func(t *testing.T) {
			t.Parallel()
			n := newNode(t, program)
			i := n.start(t)
			i.awaitAccepting(n.internalAddress())
			for range 3 {
				i.signal(syscall.SIGSTOP)
				time.Sleep(400 * time.Millisecond)
				i.signal(syscall.SIGCONT)
				i.awaitAccepting(n.internalAddress())
			}
			i.signal(syscall.SIGSTOP)
			i.signal(syscall.SIGTERM)
			i.signal(syscall.SIGCONT)
			i.wantExit(0)
		})
	}
}

// TestLastLineNamesTheSignal guards against a log whose last line doesn't name the signal that stopped the process.
func TestLastLineNamesTheSignal(t *testing.T) {
	for _, program := range programNames {
		t.Run(program, func(t *testing.T) {
			t.Parallel()
			n := newNode(t, program)
			i := n.start(t)
			i.awaitLine(`"event":110`)
			i.wantStop()
			if last := i.lastLine(); !strings.Contains(last, `"event":103`) || !strings.Contains(last, "terminated") {
				t.Errorf("the last line is %s, want event 103 and the signal terminated", last)
			}
			first, _, _ := strings.Cut(i.log.String(), "\n")
			for _, field := range []string{`"event":101`, `"firstStart":true`, `"storage":`} {
				if !strings.Contains(first, field) {
					t.Errorf("the first line does not contain %s: %s", field, first)
				}
			}
		})
	}
}
