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

// fakeProgramVariable is the environment variable that makes the test binary run one of the fakePrograms.
const fakeProgramVariable = "COMETHOLD_FAKE_PROGRAM"

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
	setUp, ok := fakePrograms[os.Getenv(fakeProgramVariable)]
	if !ok {
		os.Exit(runWithBinaries(m))
	}
	if Run(Program{Name: "fake", Version: "0", SetUp: setUp}) != nil {
		os.Exit(exitFailure)
	}
}

// TestLastLineNamesFailedMember guards against a failure that the log doesn't explain: the last line must contain the
// failed member and its error, with the stack of a panic.
func TestLastLineNamesFailedMember(t *testing.T) {
	cases := map[string][]string{
		"panics":              {`"event":107`, `"member":"worker"`, "panic: broken worker", "program_test.go"},
		"fails":               {`"event":107`, `"member":"worker"`, "no more work"},
		"returns":             {`"event":107`, `"member":"worker"`, "returned before the process was stopped"},
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
				t.Errorf("exit code %d, want %d", code, exitFailure)
			}
			for _, part := range want {
				if !strings.Contains(last, part) {
					t.Errorf("the last line does not contain %s: %s", part, last)
				}
			}
		})
	}
}

// fakeSettings is the settings file of a fake program.
const fakeSettings = `nodeName = "n1"
ipAddress = "127.0.0.1"
availabilityZone = "z1"
internalPortRange = [7120, 7135]
seedNodes = ["127.0.0.1:7120"]
[timingBounds]
gracePeriodS = 0.5
`

// runFake runs a fake program in a separate process and returns its exit code and its log.
func runFake(t *testing.T, name string) (code int, log string) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.toml")
	if err := os.WriteFile(path, []byte(fakeSettings), 0o600); err != nil {
		t.Fatal(err)
	}
	command := exec.CommandContext(t.Context(), os.Args[0])
	command.Env = append(os.Environ(), fakeProgramVariable+"="+name, "COMETHOLD_SETTINGS="+path)
	var stderr strings.Builder
	command.Stderr = &stderr
	err := command.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		t.Fatal(err)
	}
	return command.ProcessState.ExitCode(), stderr.String()
}

// TestMakeDirectory checks that a directory is created with its missing parents, and that a file in the place of a
// parent is a permanent error.
func TestMakeDirectory(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "a", "b", "c")
	for range 2 {
		if err := makeDirectory(path); err != nil {
			t.Fatal("makeDirectory returned an error for a missing or existing directory, want none:", err)
		}
	}
	if info, err := os.Stat(path); err != nil || !info.IsDir() {
		t.Fatalf("Stat of the new directory returned the error %v, want a directory", err)
	}
	file := filepath.Join(dir, "file")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := makeDirectory(filepath.Join(file, "below")); err == nil || isTransient(err) {
		t.Errorf("makeDirectory below a file returned %v, want a permanent error", err)
	}
}

// TestMemoryWatch guards against a watch that does not notice memory use above the limit, or that still reports it as
// near the limit when it is far below.
func TestMemoryWatch(t *testing.T) {
	held := int64(runtimeMemory() / bytesPerMb)
	watch := memoryWatch{log: logging.Nop(), limitMb: max(1, held/2)}
	watch.check()
	if !watch.isNearLimit {
		t.Error("isNearLimit is false for memory use above the limit, want true")
	}
	watch.limitMb = 100 * (held + 1)
	watch.check()
	if watch.isNearLimit {
		t.Error("isNearLimit is true for memory use far below the limit, want false")
	}
}

// TestMissingSettingsFile checks that awaitValid fails on a file that stays missing, but not before settingsSettleTime.
func TestMissingSettingsFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.toml")
	file := newSettingsFile(path)
	started := time.Now()
	if _, err := file.awaitValid(logging.Nop(), nil); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("awaitValid of a missing file returned the error %v, want os.ErrNotExist", err)
	}
	if waited := time.Since(started); waited < settingsSettleTime {
		t.Errorf("awaitValid failed after %v, want at least %v", waited, settingsSettleTime)
	}
	if len(file.lastRead) != 0 {
		t.Errorf("lastRead is %q after a failed read, want it to be empty", file.lastRead)
	}
}

// TestTransientErrors checks which errors the start retries.
func TestTransientErrors(t *testing.T) {
	for _, err := range []error{syscall.EADDRINUSE, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOSPC} {
		if !isTransient(&os.PathError{Err: err}) {
			t.Errorf("isTransient is false for %v, want true", err)
		}
	}
	for _, err := range []error{syscall.EADDRNOTAVAIL, syscall.EACCES, syscall.ENOTDIR, syscall.EINVAL} {
		if isTransient(&os.PathError{Err: err}) {
			t.Errorf("isTransient is true for %v, want false", err)
		}
	}
}

// TestStartDoesNotWaitForOldSettings guards against a start that rereads a settings file which was not modified
// recently, and so takes longer than necessary.
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
				t.Fatal("awaitValid of valid settings returned an error, want none:", err)
			}
			if waited := time.Since(started); waited != want {
				t.Errorf("awaitValid of settings written %v ago took %v, want %v", age, waited, want)
			}
		})
	}
}
