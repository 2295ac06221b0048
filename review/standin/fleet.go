package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// fleet runs the project's programs as processes, as the platform would: one machine for each
// loopback address, ports alike on all of them.
type fleet struct {
	root     string // of the repository
	dir      string // temporary folder
	record   *recorder
	subnet   string // "127.x.y."
	ports    ports
	machines []*machine
	control  int // the first machines have a disk and serve control
	memoryMb int
	gone     chan struct{} // closed when the fleet ends
	wait     sync.WaitGroup
}

type ports struct{ frontend, readiness, control, internal, platform, leaf int }

// machine is one front machine with its processes.
type machine struct {
	name, addr, zone string
	procs            []*process
}

// process is one role on one machine. The platform starts it again when it ends.
type process struct {
	fleet    *fleet
	machine  *machine
	role     string // key in the deploy file
	args     []string
	settings string
	mu       sync.Mutex
	cmd      *exec.Cmd
	stopped  bool // the script stopped it: it is not started again
	ownEnds  int  // ends that the script did not cause
	starts   int
}

var zones = []string{"hall-a", "hall-b", "hall-c"}

// newFleet makes a fleet of n front machines, of which the first control have a disk.
func newFleet(record *recorder, n, control, memoryMb int) (*fleet, error) {
	root, err := filepath.Abs(os.Getenv("COMETHOLD_ROOT"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "comethold-review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{
		root: root, dir: dir, record: record, control: control, memoryMb: memoryMb,
		subnet: fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), rand.IntN(250)),
		gone:   make(chan struct{}),
	}
	for i := range n {
		f.machines = append(f.machines, &machine{
			name: fmt.Sprintf("frontend-%d", i+1),
			addr: f.subnet + strconv.Itoa(i+1),
			zone: zones[i%len(zones)],
		})
	}
	base, err := f.freePorts(30)
	if err != nil {
		return nil, err
	}
	f.ports = ports{base, base + 1, base + 2, base + 3, base + 20, base + 21}
	return f, nil
}

// freePorts returns the first of some ports that are free on all machines.
func (f *fleet) freePorts(count int) (int, error) {
	for range 100 {
		base := 12000 + rand.IntN(18000)
		free := true
		for port := base; port < base+count && free; port++ {
			listener, err := net.Listen("tcp4", net.JoinHostPort(f.subnet+"1", strconv.Itoa(port)))
			if err != nil {
				free = false
				continue
			}
			_ = listener.Close()
		}
		if free {
			return base, nil
		}
	}
	return 0, fmt.Errorf("no free ports")
}

func (f *fleet) platformAddr() string {
	return net.JoinHostPort(f.subnet+"200", strconv.Itoa(f.ports.platform))
}

func (f *fleet) leafAddr(i int) string {
	return net.JoinHostPort(f.subnet+strconv.Itoa(100+i), strconv.Itoa(f.ports.leaf))
}

func (m *machine) at(port int) string { return net.JoinHostPort(m.addr, strconv.Itoa(port)) }

// settingsText is the settings file of a process, with the bounds of the small deployments.
func (f *fleet) settingsText(m *machine, role string, first bool) string {
	var seeds []string
	for _, core := range f.machines[:f.control] {
		seeds = append(seeds, strconv.Quote(core.at(f.ports.control)))
	}
	serves := `["frontend"]`
	listen := fmt.Sprintf("frontend = %q\nreadiness = %q\n", m.at(f.ports.frontend), m.at(f.ports.readiness))
	data := ""
	if role == "registrar" {
		serves = `["control"]`
		listen = fmt.Sprintf("controlPlane = %q\n", m.at(f.ports.control))
		data = fmt.Sprintf("dataDirectory = %q\n", filepath.Join(f.dir, "data", m.name, role))
	}
	var zoneLines strings.Builder
	for _, zone := range zones {
		fmt.Fprintf(&zoneLines, "%s = \"region-%s\"\n", zone, zone)
	}
	return fmt.Sprintf(`nodeName = %q
role = %q
machineClass = "frontend"
serves = %s
ipAddress = %q
availabilityZone = %q
regionName = "region-%s"
internalPortRange = [%d,%d]
seedNodes = [%s]
firstStart = %t
lossCounted = %t
%sdiscoverySource = "platform"
entryKind = "virtual_ip"
heartbeatIntervalMs = 1200
activeContracts = ["base","drain","config","cost","retry","recover","scatter"]
[zones]
%s[listenAddresses]
%s[limits]
cpuFraction = 0.72
cpuCores = 1
memoryMb = %d
fileDescriptors = 4100
networkMbps = 1000.0
diskMb = 64
[faultTolerance]
machineLosses = 1
zones = 0
regions = 0
[timingBounds]
seedLagS = 3
addressReuseS = 2
contactMs = 5000
acknowledgeMs = 6000
catchUpS = 4
drainMs = 3000
gracePeriodS = 6
lossSlackMs = 200
configApplyMs = 3000
downgradeSlackMs = 250
unsettledStretchMs = 15000
retryBudgetRatio = 0.2
retryWindowS = 10
retryBudgetSlack = 60
recoveryS = 12
[platformApi]
address = %q
ratePerS = 52.0
duties = []
maxLagMs = 800
`, m.name, role, serves, m.addr, m.zone, m.zone, f.ports.internal, f.ports.internal+12,
		strings.Join(seeds, ","), first, data != "", data, zoneLines.String(), listen, f.memoryMb,
		f.platformAddr())
}

// commandOf returns the command of a role in the deploy file.
func (f *fleet) commandOf(role string) ([]string, error) {
	raw, err := os.ReadFile(filepath.Join(f.root, "deploy", "system.toml"))
	if err != nil {
		return nil, err
	}
	inRole := false
	for line := range strings.Lines(string(raw)) {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[") {
			inRole = line == "[roles."+role+"]"
		}
		if value, ok := strings.CutPrefix(line, "run = "); ok && inRole {
			return strings.Fields(strings.Trim(value, `"`)), nil
		}
	}
	return nil, fmt.Errorf("the deploy file has no role %s", role)
}

// start starts all processes, and sends the first configuration until it is taken.
func (f *fleet) start(configuration map[string]any) error {
	for i, m := range f.machines {
		roles := []string{"switch"}
		if i < f.control {
			roles = append(roles, "registrar")
		}
		for _, role := range roles {
			args, err := f.commandOf(role)
			if err != nil {
				return err
			}
			p := &process{fleet: f, machine: m, role: role, args: args}
			p.settings = filepath.Join(f.dir, m.name+"-"+role+".toml")
			_ = os.MkdirAll(filepath.Join(f.dir, "data", m.name, role), 0o700)
			if err := os.WriteFile(p.settings, []byte(f.settingsText(m, role, true)), 0o600); err != nil {
				return err
			}
			m.procs = append(m.procs, p)
		}
	}
	for _, m := range f.machines {
		for _, p := range m.procs {
			if err := p.start(); err != nil {
				return err
			}
		}
	}
	time.Sleep(time.Second)
	for _, m := range f.machines { // later starts are not the first
		for _, p := range m.procs {
			if err := os.WriteFile(p.settings, []byte(f.settingsText(m, p.role, false)), 0o600); err != nil {
				return err
			}
		}
	}
	if err := f.replaceAt(f.machines[:f.control], configuration, 0, 20*time.Second); err != nil {
		return err
	}
	return f.awaitReady(20 * time.Second)
}

// replaceAt sends a configuration to control nodes until it is acknowledged.
func (f *fleet) replaceAt(control []*machine, configuration map[string]any, base int, limit time.Duration) error {
	raw, err := json.Marshal(configuration)
	if err != nil {
		return err
	}
	client := &http.Client{Timeout: time.Second}
	last := ""
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		core := control[rand.IntN(len(control))]
		request, _ := http.NewRequest(http.MethodPost, "http://"+core.at(f.ports.control)+"/Configuration.Replace", bytes.NewReader(raw))
		request.Header.Set("X-Comethold-Base-Version", strconv.Itoa(base))
		response, err := client.Do(request)
		if err != nil {
			last = err.Error()
			continue
		}
		text, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			f.record.line("operator: version %v acknowledged by %s", configuration["version"], core.name)
			return nil
		}
		last = response.Status + " " + string(text)
	}
	return fmt.Errorf("version %v was not acknowledged: %s", configuration["version"], last)
}

// awaitReady waits until every front machine says that it is ready.
func (f *fleet) awaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, m := range f.machines {
			if response, err := client.Get("http://" + m.at(f.ports.readiness) + "/readiness"); err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(f.machines) {
			f.record.line("platform: %d front machines are ready", ready)
			return nil
		}
	}
	return fmt.Errorf("the machines did not become ready")
}

func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fleet.hasEnded() {
		return errEnded
	}
	log, err := os.OpenFile(p.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(filepath.Join(p.fleet.root, p.args[0]), p.args[1:]...)
	cmd.Dir = p.fleet.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + p.fleet.dir, "COMETHOLD_SETTINGS=" + p.settings}
	cmd.Stdout = log
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		return err
	}
	p.cmd = cmd
	p.starts++
	p.stopped = false
	p.fleet.wait.Go(func() { p.watch(cmd, log) })
	return nil
}

// watch waits for the end of a process, and starts it again after a short delay.
func (p *process) watch(cmd *exec.Cmd, log *os.File) {
	watching := make(chan struct{})
	go p.limitMemory(cmd.Process, watching)
	err := cmd.Wait()
	close(watching)
	_ = log.Close()
	p.mu.Lock()
	stopped := p.stopped
	if !stopped {
		p.ownEnds++
	}
	p.mu.Unlock()
	select {
	case <-p.fleet.gone:
		return
	default:
	}
	p.fleet.record.line("platform: %s on %s ended (%v), by the script: %t", p.role, p.machine.name, err, stopped)
	if stopped {
		return
	}
	select {
	case <-p.fleet.gone:
	case <-time.After(500 * time.Millisecond):
		if err := p.start(); err != nil {
			p.fleet.record.line("platform: %s on %s: %v", p.role, p.machine.name, err)
		}
	}
}

// limitMemory kills a process that takes more memory than memoryMb.
func (p *process) limitMemory(running *os.Process, ended <-chan struct{}) {
	path := fmt.Sprintf("/proc/%d/statm", running.Pid)
	page := os.Getpagesize()
	for {
		select {
		case <-ended:
			return
		case <-time.After(20 * time.Millisecond):
		}
		raw, err := os.ReadFile(path)
		fields := strings.Fields(string(raw))
		if err != nil || len(fields) < 3 {
			continue
		}
		resident, _ := strconv.Atoi(fields[1])
		shared, _ := strconv.Atoi(fields[2])
		if megabytes := (resident - shared) * page >> 20; megabytes > p.fleet.memoryMb {
			p.fleet.record.line("platform: %s on %s takes %d MB of %d MB: killed", p.role, p.machine.name, megabytes, p.fleet.memoryMb)
			_ = running.Kill()
			return
		}
	}
}

// stop ends all processes and removes the temporary folder.
func (f *fleet) stop() {
	close(f.gone)
	for _, m := range f.machines {
		for _, p := range m.procs {
			p.mu.Lock()
			p.stopped = true
			if p.cmd != nil {
				_ = p.cmd.Process.Kill()
			}
			p.mu.Unlock()
		}
	}
	f.wait.Wait()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	}
}
