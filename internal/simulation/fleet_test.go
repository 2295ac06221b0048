package simulation_test

import (
	"fmt"
	"maps"
	"math/rand"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"comethold/internal/controlplane"
	"comethold/internal/logging"
	"comethold/internal/proxy"
	"comethold/internal/settings"
	"comethold/internal/simulation"
	"comethold/internal/storage"
)

// Addresses of a fleet.
const (
	controlPort     = "8729"
	operatorAddr    = "10.250.0.1"
	platformHost    = "10.200.0.1"
	platformAddress = platformHost + ":80"
	leafHost        = "10.9.0.1"
	leafAddress     = leafHost + ":80"
)

// maxSeeds is how many of the first machines are the seeds of all.
const maxSeeds = 3

// fleet is a complete system of control nodes and proxies on simulated time. It runs the real
// programs on a simulated network, with a stand-in for the platform.
type fleet struct {
	t             *testing.T
	dir           string
	network       *network
	machines      map[string]*machine
	aliases       map[string]*machine // names given by the command `name`
	seedNodes     []string
	started       bool
	machineLosses int
	seed          int64 // of the disks' faults

	// Content of the settings and configurations from now on.
	extraRoutes  int
	extraIndexes int
	reportUsage  bool
	estimate     bool

	history      *history
	loads        sync.WaitGroup
	requestCount int

	mu              sync.Mutex        // guards the fields below, and proxy and stop of each machine
	leafStates      map[string]string // the platform's list: leaf -> state
	replaceStatuses map[string]int    // status -> count, of the changes since the last `want`
	acknowledged    map[uint64]string // version -> body that was acknowledged
	successors      map[uint64]uint64 // base -> version acknowledged on top of it
	newest          uint64            // the newest version that was acknowledged
	tenants         map[string]*fleetTenant
	platformFault   string            // how the platform answers reports: "" (accepts), busy, lost, reset
	reports         map[uint64]string // window -> report that was accepted
	acceptedAt      map[uint64]time.Time
	checkedWindow   uint64       // the last window that want-reported-in-time has checked
	fencedCalls     []fencedCall // in the order in which they arrived
}

// machine is a node with its programs, while they run.
type machine struct {
	name, zone, addr string
	disk             bool
	diskState        *simulation.FaultyDisk
	startedBefore    bool
	controlPlane     *controlplane.Server
	proxy            *proxy.Server
	stop             func() // nil while the machine is down
}

func newFleet(t *testing.T) *fleet {
	t.Helper()
	f := &fleet{
		t:               t,
		dir:             t.TempDir(),
		network:         newNetwork(rand.New(rand.NewSource(1)).Float64),
		machines:        map[string]*machine{},
		aliases:         map[string]*machine{},
		machineLosses:   1,
		history:         &history{},
		leafStates:      map[string]string{},
		replaceStatuses: map[string]int{},
		acknowledged:    map[uint64]string{},
		successors:      map[uint64]uint64{},
		tenants:         map[string]*fleetTenant{},
		reports:         map[uint64]string{},
		acceptedAt:      map[uint64]time.Time{},
	}
	f.serve(platformAddress, http.HandlerFunc(f.servePlatform))
	f.serve(leafAddress, http.HandlerFunc(f.serveLeaf))
	return f
}

// serve runs a server on an address of the fleet's network.
func (f *fleet) serve(address string, handler http.Handler) *http.Server {
	server := &http.Server{Handler: handler}
	listener := f.network.listen(address)
	go func() { _ = server.Serve(listener) }()
	return server
}

// settingsOf returns the settings of a machine's processes.
func (f *fleet) settingsOf(m *machine) *settings.Settings {
	set := &settings.Settings{
		NodeName:          m.name,
		IPAddress:         m.addr,
		AvailabilityZone:  m.zone,
		RegionName:        "r",
		HeartbeatMs:       1200,
		InternalPortRange: []int{7120, 7135},
		SeedNodes:         f.seedNodes,
		FirstStart:        !m.startedBefore && !f.started,
		Zones:             map[string]string{},
		Platform:          settings.Platform{Address: platformAddress, RatePerS: 50},
		Tolerance:         settings.Tolerance{MachineLosses: f.machineLosses},
		Bounds: settings.Bounds{
			DrainMs: 3000, GracePeriodS: 6, CatchUpS: 4,
			RetryBudgetRatio: 0.2, RetryWindowS: 10, RetryBudgetSlack: 20,
			QuotaWindowS: 5, QuotaOvershoot: 0.1, QuotaSlack: 20,
		},
	}
	set.Estimates.Enabled = f.estimate
	if f.reportUsage {
		set.Platform.SingletonRoles = []string{settings.UsageReportingRole, "dance"}
		set.Platform.SingletonRoleCallsPerS = 50
		set.Bounds.LeaseMs = 3000
		set.Bounds.UsageWindowS = 5
		set.Bounds.UsageDelayS = 10
	}
	if m.disk {
		set.DataDirectory = filepath.Join(f.dir, m.name)
	}
	return set
}

// bounds are the timing bounds in the settings of every machine.
func (f *fleet) bounds() settings.Bounds { return f.settingsOf(f.sortedMachines()[0]).Bounds }

// internalAddress is where a program of a machine listens for other nodes.
func (f *fleet) internalAddress(m *machine, program settings.Program) string {
	return net.JoinHostPort(m.addr, strconv.Itoa(f.settingsOf(m).PortOf(program)))
}

// diskOf returns a machine's disk; each has its own random numbers.
func (f *fleet) diskOf(m *machine) *simulation.FaultyDisk {
	if m.diskState == nil {
		random := rand.New(rand.NewSource(f.seed*100 + int64(m.name[1])))
		m.diskState = &simulation.FaultyDisk{Base: storage.LocalDisk{}, Random: random.Float64}
	}
	return m.diskState
}

// start runs the programs of a machine.
func (f *fleet) start(m *machine) {
	set := f.settingsOf(m)
	view := f.network.networkFor(m.addr)
	var servers []*http.Server
	if m.disk {
		if err := os.MkdirAll(set.DataDirectory, 0o755); err != nil {
			f.t.Fatal(err)
		}
		f.diskOf(m)
		control := controlplane.New(set, logging.Nop(), view, m.diskState)
		m.controlPlane = control
		internal := f.internalAddress(m, settings.ControlPlane)
		go func() { _ = control.Run() }()
		go func() { _ = control.ServeDatagrams(f.network.listenPacket(internal)) }()
		servers = append(servers,
			f.serve(net.JoinHostPort(m.addr, controlPort), control.OperatorHandler()),
			f.serve(internal, control.InternalHandler()))
	}
	front := proxy.New(set, logging.Nop(), view)
	internal := f.internalAddress(m, settings.DataPlane)
	f.mu.Lock()
	m.proxy = front
	m.startedBefore = true
	f.mu.Unlock()
	go func() { _ = front.RunUpdates() }()
	go func() { _ = front.ReportUsage() }()
	go func() { _ = front.CollectLatencies() }()
	go func() { _ = front.RunHeartbeats(f.network.listenPacket(internal)) }()
	servers = append(servers, f.serve(internal, front.InternalHandler()))
	m.stop = func() { f.stop(m, front, servers) }
}

// stop ends the programs of a machine.
func (f *fleet) stop(m *machine, front *proxy.Server, servers []*http.Server) {
	f.network.closeHost(m.addr)
	front.Close()
	if m.controlPlane != nil {
		m.diskState.EndProcess()
		m.controlPlane.Stop()
	}
	for _, server := range servers {
		_ = server.Close()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	m.controlPlane = nil
	m.proxy = nil
	m.stop = nil
}

// shutDown stops all machines.
func (f *fleet) shutDown() {
	var ending sync.WaitGroup
	for _, m := range f.machines {
		if m.diskState != nil {
			m.diskState.SetFault(simulation.NoFault)
		}
		if m.stop != nil {
			ending.Go(m.stop)
		}
	}
	ending.Wait()
	f.network.closeHost("")
	f.network.closeHost(platformHost)
	f.network.closeHost(leafHost)
	time.Sleep(time.Minute)
}

// addMachine adds a machine that is not started yet.
func (f *fleet) addMachine(m *machine) *machine {
	f.machines[m.name] = m
	return m
}

func (f *fleet) sortedMachines() []*machine {
	var all []*machine
	for _, name := range slices.Sorted(maps.Keys(f.machines)) {
		all = append(all, f.machines[name])
	}
	return all
}

// controlNodes are the machines whose control plane runs.
func (f *fleet) controlNodes() []*machine {
	return slices.DeleteFunc(f.sortedMachines(), func(m *machine) bool { return m.controlPlane == nil })
}

// machinesNamed returns machines by one name, several names separated by commas, `all`, or `core`
// for the running control nodes.
func (f *fleet) machinesNamed(names string) []*machine {
	switch names {
	case "all":
		return f.sortedMachines()
	case "core":
		return f.controlNodes()
	}
	var named []*machine
	for name := range strings.SplitSeq(names, ",") {
		m := f.machines[name]
		if m == nil {
			m = f.aliases[name]
		}
		if m == nil {
			f.t.Fatalf("no machine %q", name)
		}
		named = append(named, m)
	}
	return named
}

// machineNamed returns the first of machinesNamed.
func (f *fleet) machineNamed(names string) *machine { return f.machinesNamed(names)[0] }

// until waits until a condition holds or the time is over.
func (f *fleet) until(limit time.Duration, what string, holds func() bool) error {
	for end := time.Now().Add(limit); !holds(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("not within %v: %s", limit, what)
		}
	}
	return nil
}

// untilNil waits until a check returns nil or the time is over; it returns the last error.
func (f *fleet) untilNil(limit time.Duration, what string, check func() error) error {
	var last error
	err := f.until(limit, what, func() bool {
		last = check()
		return last == nil
	})
	if err != nil {
		return fmt.Errorf("%w: %w", err, last)
	}
	return nil
}

// versionAt is the version that is in force on a machine, 0 for none.
func (f *fleet) versionAt(m *machine) uint64 {
	if m.proxy == nil || m.proxy.RouteTable() == nil {
		return 0
	}
	return m.proxy.RouteTable().Version
}

func TestFleet(t *testing.T) { playFleet(t, "testdata/fleet") }

// TestCatchUpOverSlowLink guards against polls of a proxy that starve the replica beside it on a slow
// link; see docs/incidents/38-polls-that-fill-a-slow-link.md.
func TestCatchUpOverSlowLink(t *testing.T) { playFleet(t, "testdata/fleet-slow-link") }

// playFleet plays a folder; after each run its history of orders and reads is checked.
func playFleet(t *testing.T, dir string) {
	t.Helper()
	var mu sync.Mutex
	fleets := map[string]*fleet{}
	inSimulatedTime := func(t *testing.T, run func(*testing.T)) {
		t.Helper()
		defer func() {
			mu.Lock()
			f := fleets[t.Name()]
			mu.Unlock()
			if f == nil {
				return
			}
			if err := f.history.check(); err != nil {
				t.Error(err)
			}
		}()
		synctest.Test(t, run)
	}
	simulation.RunScenarios(t, dir, inSimulatedTime, func(t *testing.T) simulation.World {
		t.Helper()
		f := newFleet(t)
		mu.Lock()
		fleets[t.Name()] = f
		mu.Unlock()
		t.Cleanup(f.shutDown)
		return f
	})
}
