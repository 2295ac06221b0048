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

// Addresses in the simulated network of a fleet.
const (
	controlPort     = "8729"
	operatorAddr    = "10.250.0.1"
	platformHost    = "10.200.0.1"
	platformAddress = platformHost + ":80"
	leafHost        = "10.9.0.1"
	leafAddress     = leafHost + ":80"
)

// maxSeeds is the maximum number of seeds of a machine. The seeds are the first control nodes, c1 and so on.
const maxSeeds = 3

// fleet is a complete system of control nodes and proxies on simulated time. It runs the production
// servers on a simulated network, with fakes of the platform and of the leafs.
type fleet struct {
	t             *testing.T
	dir           string
	network       *network
	machines      map[string]*machine
	aliases       map[string]*machine // names given by the command `name`
	seedNodes     []string
	started       bool // whether the command `begin` has run
	machineLosses int
	seed          int64 // part of the seed of each disk's random source

	// Applied to settings and configurations that are generated after a change of these fields.
	extraRoutes  int
	extraIndexes int
	reportUsage  bool
	estimate     bool

	history      *history
	loads        sync.WaitGroup // loads in the background
	requestCount int

	mu              sync.Mutex        // guards the fields below, and proxy and stop of each machine
	leafStates      map[string]string // the platform's list: leaf -> state
	replaceStatuses map[string]int    // HTTP status -> number of changes, since the last `want`
	acknowledged    map[uint64]string // version -> body of the acknowledged change
	successors      map[uint64]uint64 // base -> version acknowledged on top of it
	newest          uint64            // the highest acknowledged version
	tenants         map[string]*fleetTenant
	platformFault   string               // how the platform answers reports: "" (accepts), busy, lost, reset
	reports         map[uint64]string    // window -> accepted report
	acceptedAt      map[uint64]time.Time // window -> time of the first acceptance
	checkedWindow   uint64               // the last window that want-reported-in-time has checked
	fencedCalls     []fencedCall         // in order of arrival
}

// machine is a simulated node. controlPlane, proxy and stop are set while it runs.
type machine struct {
	name, zone, addr string
	hasDisk          bool
	faultyDisk       *simulation.FaultyDisk
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

// serve starts an HTTP server on an address of the simulated network.
func (f *fleet) serve(address string, handler http.Handler) *http.Server {
	server := &http.Server{Handler: handler}
	listener := f.network.listen(address)
	go func() { _ = server.Serve(listener) }()
	return server
}

// settingsOf returns the settings with which the servers of a machine start.
func (f *fleet) settingsOf(m *machine) *settings.Settings {
	result := &settings.Settings{
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
	result.Estimates.Enabled = f.estimate
	if f.reportUsage {
		result.Platform.SingletonRoles = []string{settings.UsageReportingRole, "dance"}
		result.Platform.SingletonRoleCallsPerS = 50
		result.Bounds.LeaseMs = 3000
		result.Bounds.UsageWindowS = 5
		result.Bounds.UsageDelayS = 10
	}
	if m.hasDisk {
		result.DataDirectory = filepath.Join(f.dir, m.name)
	}
	return result
}

// bounds returns the timing bounds, which are the same on every machine.
func (f *fleet) bounds() settings.Bounds { return f.settingsOf(f.sortedMachines()[0]).Bounds }

// internalAddress returns the address on which a program of a machine serves other nodes.
func (f *fleet) internalAddress(m *machine, program settings.Program) string {
	return net.JoinHostPort(m.addr, strconv.Itoa(f.settingsOf(m).PortOf(program)))
}

// diskOf returns a machine's disk; each disk has its own random source.
func (f *fleet) diskOf(m *machine) *simulation.FaultyDisk {
	if m.faultyDisk == nil {
		random := rand.New(rand.NewSource(f.seed*100 + int64(m.name[1])))
		m.faultyDisk = &simulation.FaultyDisk{Base: storage.LocalDisk{}, Random: random.Float64}
	}
	return m.faultyDisk
}

// start starts the servers of a machine.
func (f *fleet) start(m *machine) {
	nodeSettings := f.settingsOf(m)
	hostNetwork := f.network.networkFor(m.addr)
	var servers []*http.Server
	if m.hasDisk {
		if err := os.MkdirAll(nodeSettings.DataDirectory, 0o755); err != nil {
			f.t.Fatal(err)
		}
		f.diskOf(m)
		control := controlplane.New(nodeSettings, logging.Nop(), hostNetwork, m.faultyDisk)
		m.controlPlane = control
		internal := f.internalAddress(m, settings.ControlPlane)
		go func() { _ = control.Run() }()
		go func() { _ = control.ServeDatagrams(f.network.listenPacket(internal)) }()
		servers = append(servers,
			f.serve(net.JoinHostPort(m.addr, controlPort), control.OperatorHandler()),
			f.serve(internal, control.InternalHandler()))
	}
	proxyServer := proxy.New(nodeSettings, logging.Nop(), hostNetwork)
	internal := f.internalAddress(m, settings.DataPlane)
	f.mu.Lock()
	m.proxy = proxyServer
	m.startedBefore = true
	f.mu.Unlock()
	go func() { _ = proxyServer.RunUpdates() }()
	go func() { _ = proxyServer.ReportUsage() }()
	go func() { _ = proxyServer.CollectLatencies() }()
	go func() { _ = proxyServer.RunHeartbeats(f.network.listenPacket(internal)) }()
	servers = append(servers, f.serve(internal, proxyServer.InternalHandler()))
	m.stop = func() { f.stop(m, proxyServer, servers) }
}

// stop stops the servers of a machine.
func (f *fleet) stop(m *machine, proxyServer *proxy.Server, servers []*http.Server) {
	f.network.closeHost(m.addr)
	proxyServer.Close()
	if m.controlPlane != nil {
		m.faultyDisk.EndProcess()
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

// shutDown clears all disk faults and stops all machines.
func (f *fleet) shutDown() {
	var stopping sync.WaitGroup
	for _, m := range f.machines {
		if m.faultyDisk != nil {
			m.faultyDisk.SetFault(simulation.NoFault)
		}
		if m.stop != nil {
			stopping.Go(m.stop)
		}
	}
	stopping.Wait()
	f.network.closeHost("")
	f.network.closeHost(platformHost)
	f.network.closeHost(leafHost)
	time.Sleep(time.Minute)
}

// addMachine registers a machine without starting it.
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

// controlNodes returns the machines whose control plane runs.
func (f *fleet) controlNodes() []*machine {
	return slices.DeleteFunc(f.sortedMachines(), func(m *machine) bool { return m.controlPlane == nil })
}

// machinesNamed returns the machines for a comma-separated list of names or aliases, for `all`, or
// for `core`: the running control nodes.
func (f *fleet) machinesNamed(names string) []*machine {
	switch names {
	case "all":
		return f.sortedMachines()
	case "core":
		return f.controlNodes()
	}
	var found []*machine
	for name := range strings.SplitSeq(names, ",") {
		m := f.machines[name]
		if m == nil {
			m = f.aliases[name]
		}
		if m == nil {
			f.t.Fatalf("no machine has the name or alias %q", name)
		}
		found = append(found, m)
	}
	return found
}

// machineNamed returns the first of the machines that machinesNamed returns.
func (f *fleet) machineNamed(names string) *machine { return f.machinesNamed(names)[0] }

// waitUntil polls a condition every 50 ms and returns an error if it does not hold within the limit.
func (f *fleet) waitUntil(limit time.Duration, description string, condition func() bool) error {
	for end := time.Now().Add(limit); !condition(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("condition not met within %v: %s", limit, description)
		}
	}
	return nil
}

// waitUntilNil polls a check until it returns nil. At the limit it returns an error that wraps the last error
// of the check.
func (f *fleet) waitUntilNil(limit time.Duration, description string, check func() error) error {
	var last error
	err := f.waitUntil(limit, description, func() bool {
		last = check()
		return last == nil
	})
	if err != nil {
		return fmt.Errorf("%w: %w", err, last)
	}
	return nil
}

// versionAt returns the configuration version in force on a machine's proxy, 0 if there is none.
func (f *fleet) versionAt(m *machine) uint64 {
	if m.proxy == nil || m.proxy.RouteTable() == nil {
		return 0
	}
	return m.proxy.RouteTable().Version
}

// TestFleet runs the scenarios in testdata/fleet; the head of each file states the expected result.
func TestFleet(t *testing.T) { runFleetScenarios(t, "testdata/fleet") }

// TestCatchUpOverSlowLink guards against a proxy whose polls use up the bandwidth of a slow link, so that
// the replica on the same machine cannot catch up; see docs/incidents/38-polls-that-fill-a-slow-link.md.
func TestCatchUpOverSlowLink(t *testing.T) { runFleetScenarios(t, "testdata/fleet-slow-link") }

// runFleetScenarios runs the scenarios of a folder. After each, it checks that the recorded history of
// configuration changes and reads is linearizable.
func runFleetScenarios(t *testing.T, dir string) {
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
