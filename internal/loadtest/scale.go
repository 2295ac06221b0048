// Package scale runs a system of chosen size on one machine: registrars and some
// switches as the processes that they are, the other switches hollow. A hollow switch is
// all of a switch but its requests to leafs; all hollow ones share this process. It
// measures what docs/CAPACITY.md reckons with.
package loadtest

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"comethold/internal/logging"
	"comethold/internal/proxy"
	"comethold/internal/rpc"
	"comethold/internal/settings"
)

// Size of a run.
type Size struct {
	Hollow, Real, Registrars, Zones int
	Leafs, Routes, Tenants          int
	// PerNode is how many requests a second ask each hollow node's tenants' quotas.
	PerNode float64
	// Changes is how many configuration changes are measured, one after the other.
	Changes int
	// Rest is how long what is idle, and then what is loaded, is measured.
	Rest time.Duration
	// Estimates has lookups followed.
	Estimates bool
}

// Usage is what one process used while it was measured.
type Usage struct {
	CPU   float64 // share of a core
	RSSMb float64
	Peak  float64
}

// Report is what a run found.
type Report struct {
	Size        Size
	Start       time.Duration   // from the start of the hollow nodes until all can serve
	StartBytes  float64         // a node took in until then, mean
	Registrars  []Usage         // without load
	Loaded      []Usage         // with requests of tenants
	Switch      Usage           // a real one without requests
	InForce     []time.Duration // from the acknowledgement until the last hollow node
	ChangeBytes float64         // in and out of a node for each change, mean
	Drained     time.Duration   // from the platform's list to the last hollow node
	IdleBytes   float64         // a second, in and out of a node without load
	LoadBytes   float64         // the same with it
	Refused     float64         // share of the tenants' requests that got no token
	HollowMb    float64         // memory of this process for each hollow node
}

// byteMeter counts the bytes of one hollow node.
type byteMeter struct{ received, sent atomic.Int64 }

func (m *byteMeter) total() int64 { return m.received.Load() + m.sent.Load() }

type meteredConn struct {
	net.Conn
	meter *byteMeter
}

func (c meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.meter.received.Add(int64(n))
	return n, err
}

func (c meteredConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.meter.sent.Add(int64(n))
	return n, err
}

type meteredPacketConn struct {
	net.PacketConn
	meter *byteMeter
}

const datagramHeaderBytes = 28 // of IP and UDP

func (c meteredPacketConn) ReadFrom(b []byte) (int, net.Addr, error) {
	n, a, err := c.PacketConn.ReadFrom(b)
	c.meter.received.Add(int64(n + datagramHeaderBytes))
	return n, a, err
}

func (c meteredPacketConn) WriteTo(b []byte, a net.Addr) (int, error) {
	c.meter.sent.Add(int64(len(b) + datagramHeaderBytes))
	return c.PacketConn.WriteTo(b, a)
}

// Cluster is one system.
type Cluster struct {
	size        Size
	dir         string
	binary      string
	basePort    int // of the ports
	seedNodes   []string
	processes   []*exec.Cmd // registrars first, then real switches
	hollowNodes []*hollowNode
	stops       []func()
	version     uint64

	mu        sync.Mutex
	endpoints []map[string]any
}

type hollowNode struct {
	proxy *proxy.Server
	meter byteMeter
}

// New prepares a run of the binary.
func New(s Size, binary, dir string) *Cluster {
	return &Cluster{size: s, binary: binary, dir: dir, basePort: 20000 + rand.IntN(20)*500}
}

func zoneOf(i, zones int) string { return fmt.Sprintf("zone-%d", i%zones) }

func (r *Cluster) settings(name, ip, zone string, disk bool) string {
	var zones strings.Builder
	for i := range r.size.Zones {
		fmt.Fprintf(&zones, "%q = %q\n", zoneOf(i, r.size.Zones), fmt.Sprintf("region-%d", i%2))
	}
	data, control := "", ""
	if disk {
		data = fmt.Sprintf("dataDirectory = %q\n", filepath.Join(r.dir, name))
		control = fmt.Sprintf("controlPlane = \"%s:%d\"\n", ip, r.basePort+20)
	}
	return fmt.Sprintf(`nodeName = %q
ipAddress = %q
availabilityZone = %q
regionName = %q
internalPortRange = [%d,%d]
seedNodes = ["%s"]
firstStart = true
heartbeatIntervalMs = 1200
%s
[zones]
%s
[listenAddresses]
frontend = "%s:%d"
readiness = "%s:%d"
%s
[faultTolerance]
machineLosses = 2
[timingBounds]
drainMs = 4000
gracePeriodS = 6
configApplyMs = 3000
retryBudgetRatio = 0.2
retryWindowS = 10
retryBudgetSlack = 200
quotaWindowS = 5
quotaOvershoot = 0.1
quotaSlack = 20
[platformApi]
address = "127.9.0.1:%d"
ratePerS = 1000
[log]
level = "error"
[estimates]
enabled = %t
`, name, ip, zone, "region-"+zone[len(zone)-1:], r.basePort, r.basePort+15, strings.Join(r.seedNodes, `","`), data, zones.String(),
		ip, r.basePort+21, ip, r.basePort+22, control, r.basePort+23, r.size.Estimates)
}

func (r *Cluster) startProcess(program, name, ip, zone string, disk bool) error {
	raw := r.settings(name, ip, zone, disk)
	if disk {
		if err := os.MkdirAll(filepath.Join(r.dir, name), 0o755); err != nil {
			return err
		}
	}
	path := filepath.Join(r.dir, name+".toml")
	if err := os.WriteFile(path, []byte(raw), 0o644); err != nil {
		return err
	}
	cmd := exec.Command(r.binary, program)
	cmd.Env = append(os.Environ(), settings.Env+"="+path, "GOMAXPROCS=1")
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		return err
	}
	r.processes = append(r.processes, cmd)
	return nil
}

// servePlatform is the stand-in for the list of leafs.
func (r *Cluster) servePlatform(w http.ResponseWriter, q *http.Request) {
	const page = 50
	r.mu.Lock()
	defer r.mu.Unlock()
	at, _ := strconv.Atoi(q.URL.Query().Get("pageToken"))
	to := min(at+page, len(r.endpoints))
	var next any
	if to < len(r.endpoints) {
		next = strconv.Itoa(to)
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"instances": r.endpoints[min(at, to):to], "nextPageToken": next})
}

func (r *Cluster) listen(addr string, h http.Handler) error {
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.Serve(l) }()
	r.stops = append(r.stops, func() { _ = s.Close() })
	return nil
}

func (r *Cluster) configuration() []byte {
	services := []map[string]any{}
	var shards []string
	for i := range max(1, r.size.Leafs/6) {
		shards = append(shards, fmt.Sprintf("shard-%d", i))
		services = append(services, map[string]any{"name": shards[i], "healthPath": "/health", "connectionLimit": 2000, "protocol": "h1"})
	}
	services = append(services, map[string]any{"name": "nobody", "connectionLimit": 10})
	routes := []map[string]any{{"name": "gathered", "hostname": "h.example", "pathPrefix": "/all/", "routeKind": "safe", "timeoutMs": 1000 + r.version%7,
		"targetLatencyMs": 88, "maxAttempts": 2, "fanoutServices": shards, "resultCount": 40, "minimumShardShare": 0.5, "lookupClass": "urgent"},
		{"name": "metered", "hostname": "h.example", "pathPrefix": "/metered/", "routeKind": "safe", "timeoutMs": 500, "targetLatencyMs": 400, "maxAttempts": 1, "service": "nobody"}}
	for i := range r.size.Routes {
		routes = append(routes, map[string]any{"name": fmt.Sprint("r", i), "hostname": "h.example", "pathPrefix": fmt.Sprintf("/r%d/", i), "routeKind": "safe",
			"timeoutMs": 1000, "targetLatencyMs": 100, "maxAttempts": 2, "service": shards[i%len(shards)]})
	}
	tenants := []map[string]any{}
	for i := range r.size.Tenants {
		rate := r.tenantRate(i)
		tenants = append(tenants, map[string]any{"name": fmt.Sprint("t", i), "apiKeys": []string{fmt.Sprint("k", i)}, "ratePerS": 1.6 * rate, "burstSize": 1.6 * rate})
	}
	raw, err := json.Marshal(map[string]any{"version": r.version, "routes": routes, "services": services, "tenants": tenants, "limits": map[string]any{}})
	if err != nil {
		panic(err) // made of our own values
	}
	return raw
}

// tenantRate is the usual load of a tenant: a few of them are large.
func (r *Cluster) tenantRate(i int) float64 {
	sum := 0.0
	for k := range r.size.Tenants {
		sum += 1 / float64(k+2)
	}
	return r.size.PerNode * float64(max(1, r.size.Hollow)) / float64(i+2) / sum
}

// replaceConfiguration sends the next configuration and returns when it was acknowledged.
func (r *Cluster) replaceConfiguration(ctx context.Context) (time.Time, error) {
	base := r.version
	r.version++
	raw := r.configuration()
	for ctx.Err() == nil {
		req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.seedNodes[0]+"/Configuration.Replace", bytes.NewReader(raw))
		req.Header.Set("X-Comethold-Base-Version", strconv.FormatUint(base, 10))
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			why, _ := io.ReadAll(resp.Body)
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return time.Now(), nil
			}
			if resp.StatusCode != http.StatusServiceUnavailable {
				return time.Time{}, fmt.Errorf("the configuration got %s: %.200s", resp.Status, why)
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return time.Time{}, ctx.Err()
}

// Close ends all that was started.
func (r *Cluster) Close() {
	for _, n := range r.hollowNodes {
		n.proxy.Close()
	}
	for _, f := range r.stops {
		f()
	}
	for _, p := range r.processes {
		_ = p.Process.Kill()
		_ = p.Wait()
	}
}

// Measure plays the run.
func (r *Cluster) Measure(ctx context.Context) (*Report, error) {
	s := r.size
	rep := &Report{Size: s}
	for i := range s.Leafs {
		r.endpoints = append(r.endpoints, map[string]any{"instanceId": fmt.Sprintf("i-%08x", i*2654435761%(1<<32)), "service": fmt.Sprintf("shard-%d", i%max(1, s.Leafs/6)),
			"address": fmt.Sprintf("127.8.%d.%d:%d", i/250, i%250+1, r.basePort+24), "availabilityZone": zoneOf(i/7, s.Zones), "version": "v1", "capacitySlots": 2, "state": "ready", "warmupLeftMs": 0})
	}
	if err := r.listen(fmt.Sprintf("127.9.0.1:%d", r.basePort+23), http.HandlerFunc(r.servePlatform)); err != nil {
		return nil, err
	}
	for i := range min(3, s.Registrars) {
		r.seedNodes = append(r.seedNodes, fmt.Sprintf("127.1.0.%d:%d", i+1, r.basePort+20))
	}
	for i := range s.Registrars {
		if err := r.startProcess("control-plane", fmt.Sprint("control-", i), fmt.Sprintf("127.1.0.%d", i+1), zoneOf(i, s.Zones), true); err != nil {
			return nil, err
		}
	}
	for i := range s.Real {
		if err := r.startProcess("data-plane", fmt.Sprint("real-", i), fmt.Sprintf("127.2.0.%d", i+1), zoneOf(i, s.Zones), false); err != nil {
			return nil, err
		}
	}
	if _, err := r.replaceConfiguration(ctx); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second) // seats, shares and the list settle
	before := memoryUsage(os.Getpid()).RSSMb
	began := time.Now()
	if err := r.startHollowNodes(); err != nil {
		return nil, err
	}
	if err := r.waitForAll(ctx, func(n *hollowNode) bool { return n.proxy.Ready() && len(n.proxy.Endpoints()) == s.Leafs }); err != nil {
		return nil, err
	}
	rep.Start = time.Since(began)
	rep.StartBytes = r.transferredBytes() / float64(len(r.hollowNodes))
	time.Sleep(s.Rest / 2)
	rep.HollowMb = (memoryUsage(os.Getpid()).RSSMb - before) / float64(len(r.hollowNodes))
	rep.Registrars, rep.IdleBytes = r.measureUsage(s.Rest)
	if s.Real > 0 {
		rep.Switch = rep.Registrars[s.Registrars]
		rep.Registrars = rep.Registrars[:s.Registrars]
	}
	from := r.transferredBytes()
	for range s.Changes {
		at, err := r.replaceConfiguration(ctx)
		if err != nil {
			return nil, err
		}
		if err := r.waitForAll(ctx, func(n *hollowNode) bool {
			return n.proxy.RouteTable() != nil && n.proxy.RouteTable().Version == r.version
		}); err != nil {
			return nil, err
		}
		rep.InForce = append(rep.InForce, time.Since(at))
		time.Sleep(300 * time.Millisecond)
	}
	if s.Changes > 0 {
		rep.ChangeBytes = (r.transferredBytes() - from) / float64(len(r.hollowNodes)*s.Changes)
	}
	r.mu.Lock()
	r.endpoints[0]["state"] = "draining"
	id := r.endpoints[0]["instanceId"]
	r.mu.Unlock()
	at := time.Now()
	if err := r.waitForAll(ctx, func(n *hollowNode) bool {
		for _, l := range n.proxy.Endpoints() {
			if l.ID == id {
				return l.Draining
			}
		}
		return false
	}); err != nil {
		return nil, err
	}
	rep.Drained = time.Since(at)
	if s.PerNode > 0 && s.Tenants > 0 {
		load, cancel := context.WithCancel(ctx)
		var asked, refused atomic.Int64
		for _, n := range r.hollowNodes {
			go r.generateTenantLoad(load, n, &asked, &refused)
		}
		time.Sleep(s.Rest / 2)
		asked.Store(0)
		refused.Store(0)
		rep.Loaded, rep.LoadBytes = r.measureUsage(s.Rest)
		rep.Loaded = rep.Loaded[:s.Registrars]
		rep.Refused = float64(refused.Load()) / float64(max(1, asked.Load()))
		cancel()
	}
	return rep, nil
}

// generateTenantLoad sends a hollow node requests of tenants, on a route that no leaf serves.
func (r *Cluster) generateTenantLoad(ctx context.Context, n *hollowNode, asked, refused *atomic.Int64) {
	weights := make([]float64, r.size.Tenants)
	sum := 0.0
	for i := range weights {
		sum += 1 / float64(i+2)
		weights[i] = sum
	}
	for ctx.Err() == nil {
		time.Sleep(time.Duration(rand.ExpFloat64() / r.size.PerNode * float64(time.Second)))
		who, _ := slices.BinarySearch(weights, rand.Float64()*sum)
		go func() {
			req, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://h.example/metered/a", nil)
			req.RequestURI = "/metered/a"
			req.Header.Set("X-Comethold-Request-Id", strconv.FormatUint(rand.Uint64(), 36))
			req.Header.Set("Authorization", fmt.Sprint("Token k", min(who, r.size.Tenants-1)))
			w := &responseRecorder{}
			n.proxy.Handler().ServeHTTP(w, req)
			asked.Add(1)
			if !strings.Contains(w.body.String(), "leaf") { // which it would have asked next
				refused.Add(1)
			}
		}()
	}
}

type responseRecorder struct {
	header http.Header
	body   bytes.Buffer
}

func (a *responseRecorder) Header() http.Header {
	if a.header == nil {
		a.header = http.Header{}
	}
	return a.header
}
func (a *responseRecorder) WriteHeader(int)             {}
func (a *responseRecorder) Write(b []byte) (int, error) { return a.body.Write(b) }

func (r *Cluster) startHollowNodes() error {
	for i := range r.size.Hollow {
		ip := fmt.Sprintf("127.3.%d.%d", i/250, i%250+1)
		set, err := settings.Parse([]byte(r.settings(fmt.Sprint("hollow-", i), ip, zoneOf(i, r.size.Zones), false)))
		if err != nil {
			return err
		}
		n := &hollowNode{}
		n.proxy = proxy.New(set, logging.Nop(), func(limit, silent time.Duration) func(context.Context, string, string) (net.Conn, error) {
			dial := rpc.TCPNetwork(limit, silent)
			return func(ctx context.Context, network, addr string) (net.Conn, error) {
				c, err := dial(ctx, network, addr)
				if err != nil {
					return nil, err
				}
				return meteredConn{c, &n.meter}, nil
			}
		})
		udp, err := net.ListenPacket("udp4", n.proxy.InternalAddress())
		if err != nil {
			return err
		}
		if err := r.listen(n.proxy.InternalAddress(), n.proxy.InternalHandler()); err != nil {
			return err
		}
		go func() { _ = n.proxy.RunUpdates() }()
		go func() { _ = n.proxy.RunHeartbeats(meteredPacketConn{udp, &n.meter}) }()
		r.hollowNodes = append(r.hollowNodes, n)
	}
	return nil
}

func (r *Cluster) waitForAll(ctx context.Context, ok func(*hollowNode) bool) error {
	for _, n := range r.hollowNodes {
		for !ok(n) {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(5 * time.Millisecond):
			}
		}
	}
	return nil
}

func (r *Cluster) transferredBytes() (sum float64) {
	for _, n := range r.hollowNodes {
		sum += float64(n.meter.total())
	}
	return sum
}

// measureUsage measures the processes for a while, and the bytes a second of a hollow node.
func (r *Cluster) measureUsage(span time.Duration) (out []Usage, perS float64) {
	from, began := r.transferredBytes(), time.Now()
	ticks := make([]float64, len(r.processes))
	for i, p := range r.processes {
		ticks[i] = processorSeconds(p.Process.Pid)
	}
	time.Sleep(span)
	took := time.Since(began).Seconds()
	for i, p := range r.processes {
		u := memoryUsage(p.Process.Pid)
		u.CPU = (processorSeconds(p.Process.Pid) - ticks[i]) / took
		out = append(out, u)
	}
	return out, (r.transferredBytes() - from) / took / float64(max(1, len(r.hollowNodes)))
}

const ticksPerSecond = 100

// processorSeconds is the processor time of a process, in seconds.
func processorSeconds(pid int) float64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	f := strings.Fields(string(raw[bytes.LastIndexByte(raw, ')')+1:]))
	u, _ := strconv.ParseFloat(f[11], 64)
	s, _ := strconv.ParseFloat(f[12], 64)
	return (u + s) / ticksPerSecond
}

func memoryUsage(pid int) (u Usage) {
	raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(raw)) {
		f := strings.Fields(line)
		if len(f) < 2 {
			continue
		}
		kb, _ := strconv.ParseFloat(f[1], 64)
		switch f[0] {
		case "VmRSS:":
			u.RSSMb = kb / 1024
		case "VmHWM:":
			u.Peak = kb / 1024
		}
	}
	return u
}
