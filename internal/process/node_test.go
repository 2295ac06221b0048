package process

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"comethold/internal/settings"
	"comethold/internal/testbed"
)

// binaryVariable names a binary of comethold that is tested in place of the one built from this tree.
const binaryVariable = "COMETHOLD_TEST_BINARY"

// Ports of a node of these tests, on an address of its own.
const (
	frontendPort  = 8726
	readinessPort = 8723
	controlPort   = 8729
	internalPort  = 7120
)

// patience is how long these tests wait for what a busy machine may delay.
const patience = 30 * time.Second

var (
	comethold    string // path of the program's binary
	leastProgram string // path of the least program's binary
	programNames = []string{"data-plane", "control-plane", "object-cache"}
)

// runWithBinaries builds the binaries and runs the tests.
func runWithBinaries(m *testing.M) int {
	dir, err := os.MkdirTemp("", "process-test-")
	if err != nil {
		fmt.Println(err)
		return exitFailure
	}
	defer func() { _ = os.RemoveAll(dir) }()
	leastProgram = filepath.Join(dir, "leastprogram")
	comethold = os.Getenv(binaryVariable)
	if comethold == "" {
		comethold = filepath.Join(dir, "comethold")
		if err := build(comethold, "../../cmd/comethold"); err != nil {
			fmt.Println(err)
			return exitFailure
		}
	}
	if err := build(leastProgram, "./testdata/leastprogram"); err != nil {
		fmt.Println(err)
		return exitFailure
	}
	return m.Run()
}

func build(binary, source string) error {
	arguments := []string{"build", "-ldflags=-linkmode=external", "-o", binary, source}
	command := exec.CommandContext(context.Background(), "go", arguments...)
	if output, err := command.CombinedOutput(); err != nil {
		return fmt.Errorf("go build %s: %w: %s", source, err, output)
	}
	return nil
}

// node is one machine with one program.
type node struct {
	program  string
	settings *settings.Settings
	file     string
	dir      string
}

func newNode(t *testing.T, program string) *node {
	t.Helper()
	dir := t.TempDir()
	ip := fmt.Sprintf("127.%d.%d.%d", 100+rand.IntN(100), rand.IntN(256), 1+rand.IntN(250))
	at := func(port int) string { return net.JoinHostPort(ip, fmt.Sprint(port)) }
	n := &node{
		program: program,
		dir:     dir,
		file:    filepath.Join(dir, "settings.toml"),
		settings: &settings.Settings{
			NodeName:          "n1",
			IPAddress:         ip,
			AvailabilityZone:  "z1",
			InternalPortRange: []int{internalPort, internalPort + 15},
			SeedNodes:         []string{at(controlPort)},
			FirstStart:        true,
			Bounds:            settings.Bounds{GracePeriodS: 2, CatchUpS: 4, DrainMs: 3000, RetryBudgetRatio: 0.2},
		},
	}
	if program != "data-plane" {
		n.settings.DataDirectory = filepath.Join(dir, "data")
	}
	if program == "control-plane" {
		n.settings.Listen.ControlPlane = at(controlPort)
	}
	if program == "data-plane" {
		n.settings.Listen.Frontend, n.settings.Listen.Readiness = at(frontendPort), at(readinessPort)
	}
	return n
}

// internalAddress is the address of the program's internal API.
func (n *node) internalAddress() string {
	offset := map[string]settings.Program{
		"control-plane": settings.ControlPlane, "data-plane": settings.DataPlane, "object-cache": settings.ObjectCache,
	}[n.program]
	return net.JoinHostPort(n.settings.IPAddress, fmt.Sprint(n.settings.PortOf(offset)))
}

// instance is a process of a node, with the log that it has written.
type instance struct {
	*testbed.Process
	t   *testing.T
	log *safeBuffer
}

// start starts the node's program with its settings.
func (n *node) start(t *testing.T) *instance {
	t.Helper()
	if err := testbed.WriteSettings(n.file, n.settings); err != nil {
		t.Fatal(err)
	}
	return n.startWith(t, nil)
}

// startWith starts the node's program with the settings file as it is. A nil log keeps what the process writes.
func (n *node) startWith(t *testing.T, log io.Writer) *instance {
	t.Helper()
	kept := &safeBuffer{}
	if log == nil {
		log = kept
	}
	started, err := testbed.Start(t.Context(), testbed.Command{
		Binary:       comethold,
		Program:      n.program,
		SettingsFile: n.file,
		Log:          log,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(started.Kill)
	return &instance{Process: started, t: t, log: kept}
}

// awaitLine waits until the log has a line with the text.
func (i *instance) awaitLine(text string) {
	i.t.Helper()
	for deadline := time.Now().Add(patience); !strings.Contains(i.log.String(), text); time.Sleep(5 * time.Millisecond) {
		if i.hasEnded() {
			i.t.Fatalf("ended by %d %v before %s: %s", i.ExitCode(), i.EndSignal(), text, i.log)
		}
		if time.Now().After(deadline) {
			i.t.Fatalf("no line with %s: %s", text, i.log)
		}
	}
}

// awaitAccepting waits until the address takes connections.
func (i *instance) awaitAccepting(address string) {
	i.t.Helper()
	for deadline := time.Now().Add(patience); ; time.Sleep(5 * time.Millisecond) {
		conn, err := (&net.Dialer{}).DialContext(i.t.Context(), "tcp4", address)
		if err == nil {
			_ = conn.Close()
			return
		}
		if i.hasEnded() || time.Now().After(deadline) {
			i.t.Fatalf("%s takes no connections: %v; exit code %d, signal %v: %s",
				address, err, i.ExitCode(), i.EndSignal(), i.log)
		}
	}
}

func (i *instance) hasEnded() bool {
	select {
	case <-i.Exited():
		return true
	default:
		return false
	}
}

func (i *instance) signal(signal os.Signal) {
	i.t.Helper()
	if err := i.Signal(signal); err != nil {
		i.t.Fatalf("%v: %v; exit code %d, ended by %v: %s", signal, err, i.ExitCode(), i.EndSignal(), i.log)
	}
}

// wantEnd waits for the end of the process and checks its exit code.
func (i *instance) wantEnd(code int) {
	i.t.Helper()
	select {
	case <-i.Exited():
	case <-time.After(patience):
		i.t.Fatalf("it runs on: %s", i.log)
	}
	if i.ExitCode() != code || i.EndSignal() != 0 {
		i.t.Fatalf("exit code %d, ended by %v, want exit code %d: %s", i.ExitCode(), i.EndSignal(), code, i.log)
	}
}

// wantStop sends SIGTERM and waits until the process has ended with 0.
func (i *instance) wantStop() {
	i.t.Helper()
	i.signal(syscall.SIGTERM)
	i.wantEnd(0)
}

// lastLine is the last line of the log.
func (i *instance) lastLine() string {
	lines := strings.Split(strings.TrimSpace(i.log.String()), "\n")
	return lines[len(lines)-1]
}

// safeBuffer is a buffer that a process writes while a test reads.
type safeBuffer struct {
	mu   sync.Mutex // guards the field below
	text strings.Builder
}

func (b *safeBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *safeBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}
