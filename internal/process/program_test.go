package process

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"comethold/internal/logging"
)

// fakeProgram is the variable that makes the test binary run one of the fakePrograms.
const fakeProgram = "COMETHOLD_FAKE_PROGRAM"

var fakePrograms = map[string]func(*Process) error{
	"panics": func(p *Process) error {
		p.Add("worker", func() error { panic("broken worker") }, func() {})
		return nil
	},
	"fails": func(p *Process) error {
		p.Add("worker", func() error { return errors.New("no more work") }, func() {})
		return nil
	},
	"returns": func(p *Process) error {
		p.Add("worker", func() error { return nil }, func() {})
		return nil
	},
	"panics at the start": func(*Process) error { panic("broken start") },
	"never stops": func(p *Process) error {
		p.Add("worker", func() error { select {} }, func() {})
		p.Add("failing", func() error { return errors.New("stop all") }, func() {})
		return nil
	},
	"stop panics": func(p *Process) error {
		quit := make(chan struct{})
		p.Add("worker", func() error { <-quit; return nil }, func() { close(quit); panic("broken stop") })
		p.Add("failing", func() error { return errors.New("stop all") }, func() {})
		return nil
	},
}

func TestMain(m *testing.M) {
	setUp, ok := fakePrograms[os.Getenv(fakeProgram)]
	if !ok {
		os.Exit(runWithBinaries(m))
	}
	if Run(Program{Name: "fake", Version: "0", SetUp: setUp}) != nil {
		os.Exit(exitFailure)
	}
}

// TestEndIsTold: the last line of the log says which member failed and how, a panic with its stack.
func TestEndIsTold(t *testing.T) {
	cases := map[string][]string{
		"panics":              {`"event":107`, `"member":"worker"`, "panic: broken worker", "program_test.go"},
		"fails":               {`"event":107`, `"member":"worker"`, "no more work"},
		"returns":             {`"event":107`, `"member":"worker"`, "ended by itself"},
		"panics at the start": {`"event":107`, `"member":"start"`, "panic: broken start", "program_test.go"},
		"never stops":         {`"event":116`},
		"stop panics":         {`"event":107`, `"member":"failing"`, "stop all"},
	}
	for name, want := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			code, log := runFake(t, name)
			lines := strings.Split(strings.TrimSpace(log), "\n")
			last := lines[len(lines)-1]
			if code != exitFailure {
				t.Errorf("exit code %d", code)
			}
			for _, part := range want {
				if !strings.Contains(last, part) {
					t.Errorf("the last line lacks %s: %s", part, last)
				}
			}
		})
	}
}

// fakeSettings are settings of a fake program.
const fakeSettings = `nodeName = "n1"
ipAddress = "127.0.0.1"
availabilityZone = "z1"
internalPortRange = [7120, 7135]
seedNodes = ["127.0.0.1:7120"]
[timingBounds]
gracePeriodS = 0.5
`

// runFake runs a fake program as a process, and returns its exit code and its log.
func runFake(t *testing.T, name string) (code int, log string) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.toml")
	if err := os.WriteFile(path, []byte(fakeSettings), 0o600); err != nil {
		t.Fatal(err)
	}
	command := exec.CommandContext(t.Context(), os.Args[0])
	command.Env = append(os.Environ(), fakeProgram+"="+name, "COMETHOLD_SETTINGS="+path)
	var stderr strings.Builder
	command.Stderr = &stderr
	err := command.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		t.Fatal(err)
	}
	return command.ProcessState.ExitCode(), stderr.String()
}

// TestMakeDirectory: a directory is made with those above it; a file in its place is an error that does not pass.
func TestMakeDirectory(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "a", "b", "c")
	for range 2 {
		if err := makeDirectory(path); err != nil {
			t.Fatal(err)
		}
	}
	if info, err := os.Stat(path); err != nil || !info.IsDir() {
		t.Fatalf("not made: %v", err)
	}
	file := filepath.Join(dir, "file")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := makeDirectory(filepath.Join(file, "below")); err == nil || isPassing(err) {
		t.Errorf("below a file: %v", err)
	}
}

// TestMemoryWatch: memory near its limit is logged once, not at each check.
func TestMemoryWatch(t *testing.T) {
	held := int64(heldMemory() / bytesPerMb)
	watch := memoryWatch{log: logging.Nop(), limitMb: max(1, held/2)}
	watch.check()
	if !watch.isNear {
		t.Error("memory over its limit is not near it")
	}
	watch.limitMb = 100 * (held + 1)
	watch.check()
	if watch.isNear {
		t.Error("memory far below its limit is near it")
	}
}

// TestSettledFile: a file that is invalid and stays so is rejected, one that becomes valid in time is read.
func TestSettledFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.toml")
	file := newSettingsFile(path)
	started := time.Now()
	if _, err := file.awaitValid(logging.Nop(), nil); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("a missing file: %v", err)
	}
	if waited := time.Since(started); waited < settingsSettleTime {
		t.Errorf("rejected after %v", waited)
	}
	if len(file.last) != 0 {
		t.Errorf("the content is %q", file.last)
	}
}

// TestPassingErrors holds which errors the start waits out.
func TestPassingErrors(t *testing.T) {
	for _, passing := range []error{syscall.EADDRINUSE, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOSPC} {
		if !isPassing(&os.PathError{Err: passing}) {
			t.Errorf("%v does not pass", passing)
		}
	}
	for _, lasting := range []error{syscall.EADDRNOTAVAIL, syscall.EACCES, syscall.ENOTDIR, syscall.EINVAL} {
		if isPassing(&os.PathError{Err: lasting}) {
			t.Errorf("%v passes", lasting)
		}
	}
}

// TestStartDoesNotWaitForOldSettings guards against starts that are later than they need be.
func TestStartDoesNotWaitForOldSettings(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.toml")
	if err := os.WriteFile(path, []byte(fakeSettings), 0o600); err != nil {
		t.Fatal(err)
	}
	for age, want := range map[time.Duration]time.Duration{time.Minute: 0, 0: settingsReadInterval} {
		synctest.Test(t, func(t *testing.T) {
			started := time.Now()
			if err := os.Chtimes(path, started.Add(-age), started.Add(-age)); err != nil {
				t.Fatal(err)
			}
			if _, err := newSettingsFile(path).awaitValid(logging.Nop(), nil); err != nil {
				t.Fatal(err)
			}
			if waited := time.Since(started); waited != want {
				t.Errorf("settings written %v ago were awaited for %v, want %v", age, waited, want)
			}
		})
	}
}
