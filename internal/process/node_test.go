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

// binaryVariable is the environment variable with the path of a comethold binary to test instead of one built from this
// source tree.
const binaryVariable = "COMETHOLD_TEST_BINARY"

// Ports of a node in these tests. They are the same for all nodes, since each node has a separate IP address.
const (
	frontendPort  = 8726
	readinessPort = 8723
	controlPort   = 8729
	internalPort  = 7120
)

// maxWait is how long these tests wait for an event, with a margin for a busy machine.
const maxWait = 30 * time.Second

var (
	comethold      string // path of the comethold binary
	minimalProgram string // path of the leastprogram binary
	programNames   = []string{"data-plane", "control-plane", "object-cache"}
)

// runWithBinaries builds the binaries and runs the tests.
func runWithBinaries(m *testing.M) int {
	dir, err := os.MkdirTemp("", "process-test-")
	if err != nil {
		fmt.Println(err)
		return exitFailure
	}
	defer func() { _ = os.RemoveAll(dir) }()
	minimalProgram = filepath.Join(dir, "leastprogram")
	comethold = os.Getenv(binaryVariable)
	if comethold == "" {
		comethold = filepath.Join(dir, "comethold")
		if err := build(comethold, "../../cmd/comethold"); err != nil {
			fmt.Println(err)
			return exitFailure
		}
	}
	if err := build(minimalProgram, "./testdata/leastprogram"); err != nil {
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

// node is a machine that runs one program.
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

// internalAddress returns the address of the program's internal API.
func (n *node) internalAddress() string {
	offset := map[string]settings.Program{
		"control-plane": settings.ControlPlane, "data-plane": settings.DataPlane, "object-cache": settings.ObjectCache,
	}[n.program]
	return net.JoinHostPort(n.settings.IPAddress, fmt.Sprint(n.settings.PortOf(offset)))
}

// instance is a process of a node with its log.
type instance struct {
	*testbed.Process
	t   *testing.T
	log *lockedBuffer
}

// start writes the settings of the node to its file and starts the program.
func (n *node) start(t *testing.T) *instance {
	t.Helper()
	if err := testbed.WriteSettings(n.file, n.settings); err != nil {
		t.Fatal(err)
	}
	return n.startWith(t, nil)
}

// startWith starts the node's program without writing the settings file. Standard error goes to log, or to the log of
// the instance if log is nil.
func (n *node) startWith(t *testing.T, log io.Writer) *instance {
	t.Helper()
	kept := &lockedBuffer{}
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

// awaitLine waits until the log contains the text. It fails the test if the process ends before.
func (i *instance) awaitLine(text string) {
	i.t.Helper()
	for deadline := time.Now().Add(maxWait); !strings.Contains(i.log.String(), text); time.Sleep(5 * time.Millisecond) {
		if i.hasExited() {
			i.t.Fatalf("the process ended with exit code %d, signal %v before it logged %s: %s",
				i.ExitCode(), i.EndSignal(), text, i.log)
		}
		if time.Now().After(deadline) {
			i.t.Fatalf("no line with %s within %v: %s", text, maxWait, i.log)
		}
	}
}

// awaitAccepting waits until the address accepts connections. It fails the test if the process ends before.
func (i *instance) awaitAccepting(address string) {
	i.t.Helper()
	for deadline := time.Now().Add(maxWait); ; time.Sleep(5 * time.Millisecond) {
		conn, err := (&net.Dialer{}).DialContext(i.t.Context(), "tcp4", address)
		if err == nil {
			_ = conn.Close()
			return
		}
		if i.hasExited() || time.Now().After(deadline) {
			i.t.Fatalf("%s accepts no connections: %v; exit code %d, signal %v: %s",
				address, err, i.ExitCode(), i.EndSignal(), i.log)
		}
	}
}

func (i *instance) hasExited() bool {
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
		i.t.Fatalf("sending the signal %v failed: %v; exit code %d, ended by %v: %s",
			signal, err, i.ExitCode(), i.EndSignal(), i.log)
	}
}

// wantExit waits for the end of the process and checks that it exited with the code.
func (i *instance) wantExit(code int) {
	i.t.Helper()
	select {
	case <-i.Exited():
	case <-time.After(maxWait):
		i.t.Fatalf("the process has not ended within %v: %s", maxWait, i.log)
	}
	if i.ExitCode() != code || i.EndSignal() != 0 {
		i.t.Fatalf("exit code %d, ended by %v, want exit code %d: %s", i.ExitCode(), i.EndSignal(), code, i.log)
	}
}

// wantStop sends SIGTERM and checks that the process exits with 0.
func (i *instance) wantStop() {
	i.t.Helper()
	i.signal(syscall.SIGTERM)
	i.wantExit(0)
}

// lastLine returns the last line of the log.
func (i *instance) lastLine() string {
	lines := strings.Split(strings.TrimSpace(i.log.String()), "\n")
	return lines[len(lines)-1]
}

// lockedBuffer is a buffer that a process writes while a test reads.
type lockedBuffer struct {
	mu   sync.Mutex // guards the field below
	text strings.Builder
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}
