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

// TestHangupBeforeSettingsAreRead guards against a SIGHUP that ends a process during its start.
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

// TestTerminationBeforeSettingsAreRead guards against a SIGTERM that is lost, or that kills, during the start.
func TestTerminationBeforeSettingsAreRead(t *testing.T) {
	for _, program := range programNames {
		t.Run(program, func(t *testing.T) {
			t.Parallel()
			n := newNode(t, program)
			release := n.serveSettingsFromPipe(t)
			i := n.startWith(t, nil)
			release(func() { i.signal(syscall.SIGTERM) })
			i.wantEnd(0)
		})
	}
}

// serveSettingsFromPipe makes the settings file a named pipe. The function that it returns waits until the program
// opens the file, calls during, and then serves the settings to this and later reads.
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
		pipe, err := os.OpenFile(n.file, os.O_WRONLY, 0) // waits for the reader
		if err != nil {
			t.Fatal(err)
		}
		during()
		_, _ = pipe.Write(text) // fails if the program has ended
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

// TestEarlyHangups guards against handlers that stand much later than in a least program of the language.
func TestEarlyHangups(t *testing.T) {
	const (
		tries       = 48
		maxDelay    = 9600 // microseconds
		leastFactor = 2
		chance      = 6 // ends that the scheduling of a few tries may add
	)
	n := newNode(t, "data-plane")
	if err := testbed.WriteSettings(n.file, n.settings); err != nil {
		t.Fatal(err)
	}
	ended, endedLeast := 0, 0
	for try := range tries {
		delay := time.Duration(try*maxDelay/tries) * time.Microsecond
		if hangupEnds(t, exec.CommandContext(t.Context(), leastProgram), delay) {
			endedLeast++
		}
		command := exec.CommandContext(t.Context(), comethold, n.program)
		command.Env = append(os.Environ(), "COMETHOLD_SETTINGS="+n.file)
		if hangupEnds(t, command, delay) {
			ended++
		}
	}
	t.Logf("SIGHUP ended %d of %d, of the least program %d", ended, tries, endedLeast)
	if ended > leastFactor*endedLeast+chance {
		t.Errorf("SIGHUP ended %d of %d processes, of the least program %d", ended, tries, endedLeast)
	}
}

// hangupEnds starts a process, sends SIGHUP after a delay, and reports whether that ended it.
func hangupEnds(t *testing.T, command *exec.Cmd, delay time.Duration) bool {
	t.Helper()
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(delay)
	_ = command.Process.Signal(syscall.SIGHUP)
	time.Sleep(30 * time.Millisecond) // it is ended by the time that SIGKILL comes, or not by SIGHUP
	_ = command.Process.Kill()
	_ = command.Wait()
	status, ok := command.ProcessState.Sys().(syscall.WaitStatus)
	return ok && status.Signaled() && status.Signal() == syscall.SIGHUP
}

// TestTerminationAfterManyHangups guards against a SIGTERM that finds the queue of signals full.
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
			if err := syscall.Mkfifo(n.file, 0o600); err != nil { // a reload waits for it
				t.Fatal(err)
			}
			for range 20 {
				i.signal(syscall.SIGHUP)
				time.Sleep(20 * time.Millisecond) // signals of one kind that are pending are one
			}
			i.wantStop()
		})
	}
}

// TestNewestSettingsAfterManyHangups guards against merged signals that leave older settings in force.
func TestNewestSettingsAfterManyHangups(t *testing.T) {
	n := newNode(t, "data-plane")
	i := n.start(t)
	i.awaitAccepting(n.internalAddress())
	for round := range 20 {
		n.settings.Log.Level = "debug"
		if round == 19 {
			n.settings.Log.Level = "loud" // invalid: its rejection shows that it was read
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

// realTimeSignal is one of the signals that have no meaning of their own.
const realTimeSignal = syscall.Signal(40)

// TestSignalsWhileStopping guards against signals that end, or hold up, a stop that is under way.
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
	i.wantEnd(0)
}

// TestSignalsInService holds what each signal does to a process in service.
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
			case <-time.After(patience):
				t.Fatal("it runs on")
			}
			if i.ExitCode() != test.code || i.EndSignal() != test.endedBy {
				t.Errorf("exit code %d, ended by %v: %s", i.ExitCode(), i.EndSignal(), i.log)
			}
			if !strings.Contains(i.lastLine(), test.lastLine) {
				t.Errorf("the last line is %s", i.lastLine())
			}
		})
	}
}

// TestSuspended guards against a process that ends, or can't be stopped, after it was suspended.
func TestSuspended(t *testing.T) {
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
			i.wantEnd(0)
		})
	}
}

// TestLastLineNamesTheSignal guards against an end that the log doesn't explain.
func TestLastLineNamesTheSignal(t *testing.T) {
	for _, program := range programNames {
		t.Run(program, func(t *testing.T) {
			t.Parallel()
			n := newNode(t, program)
			i := n.start(t)
			i.awaitLine(`"event":110`)
			i.wantStop()
			if last := i.lastLine(); !strings.Contains(last, `"event":103`) || !strings.Contains(last, "terminated") {
				t.Errorf("the last line is %s", last)
			}
			first, _, _ := strings.Cut(i.log.String(), "\n")
			for _, field := range []string{`"event":101`, `"firstStart":true`, `"storage":`} {
				if !strings.Contains(first, field) {
					t.Errorf("the first line lacks %s: %s", field, first)
				}
			}
		})
	}
}
