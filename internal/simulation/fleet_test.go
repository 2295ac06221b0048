package simulation_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand"
	"net"
	"net/http"
	"net/http/httptest"
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
	"comethold/internal/controlplane/operatorapi"
	"comethold/internal/controlplane/schema"
	"comethold/internal/distribution"
	"comethold/internal/logging"
	"comethold/internal/proxy"
	"comethold/internal/rpc"
	"comethold/internal/settings"
	"comethold/internal/simulation"
	"comethold/internal/storage"
	"comethold/internal/usage"
)

// fleet is a whole system of registrars and switches on simulated time: every
// program as it is, on a network and a platform of the test's own.
type fleet struct {
	t             *testing.T
	dir           string
	network       *network
	machines      map[string]*machine
	machineLosses int
	seed          int64
	extraRoutes   int // more of them in the configurations from now on
	seedNodes     []string
	started       bool

	mu              sync.Mutex
	leafStates      map[string]string // leaf -> state
	replaceStatuses map[string]int    // of the newest orders
	acknowledged    map[uint64]string // version -> body that was acknowledged
	successors      map[uint64]uint64 // base -> version acknowledged on top of it
	newest          uint64
	history         *history
	aliases         map[string]*machine // names given to machines by what they were

	tenants      map[string]*fleetTenant
	requestCount int
	extraIndexes int

	reportUsage   bool
	estimate      bool              // lookups, for estimates
	platformFault string            // how the platform takes calls of a duty: "" well, busy, silent, reset
	reports       map[uint64]string // by window: what was taken
	accepted      map[uint64]time.Time
	loads         sync.WaitGroup
	checkedWindow uint64       // the windows up to here were looked at
	fencedCalls   []fencedCall // in the order in which they came
}

// fencedCall is a call of a duty that reached the platform.
type fencedCall struct {
	holder string
	token  uint64
	at     time.Time
}

// serveUsage is the platform's side of the reports; it checks what must hold of them. Calls
// that come while the platform is in trouble don't count.
func (f *fleet) serveUsage(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(r.Body)
	fence, err2 := strconv.ParseUint(r.Header.Get("X-Comethold-Fence-Number"), 10, 64)
	var rep struct {
		WindowNumber   uint64            `json:"windowNumber"`
		InstanceCounts map[string]uint64 `json:"instanceCounts"`
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	switch f.platformFault {
	case "busy":
		w.WriteHeader(http.StatusTooManyRequests)
		return
	case "reset":
		panic(http.ErrAbortHandler)
	}
	if err != nil || err2 != nil || json.Unmarshal(raw, &rep) != nil {
		f.t.Errorf("a report that can't be read: %s", raw)
	}
	call := fencedCall{r.Header.Get("X-Comethold-Duty-Holder"), fence, time.Now()}
	lease := time.Duration(f.settingsOf(f.sortedMachines()[0]).Bounds.LeaseMs) * time.Millisecond
	other := false
	for i := len(f.fencedCalls) - 1; i >= 0; i-- {
		o := f.fencedCalls[i]
		if o.token > fence || o.token == fence && o.holder != call.holder {
			f.t.Errorf("%s calls with %d after %s with %d", call.holder, fence, o.holder, o.token)
			break
		}
		if call.at.Sub(o.at) > lease {
			break
		}
		other = other || o.holder != call.holder
		if other && o.holder == call.holder {
			f.t.Errorf("%s, another and again %s act within %v", call.holder, call.holder, lease)
			break
		}
	}
	f.fencedCalls = append(f.fencedCalls, call)
	if old, ok := f.reports[rep.WindowNumber]; ok && old != string(raw) {
		f.t.Errorf("two reports of window %d: %s and %s", rep.WindowNumber, old, raw)
	}
	f.reports[rep.WindowNumber] = string(raw)
	if f.accepted[rep.WindowNumber].IsZero() {
		f.accepted[rep.WindowNumber] = call.at
	}
	if f.platformFault == "lost" { // taken, and nobody is told
		panic(http.ErrAbortHandler)
	}
}

type machine struct {
	name, zone, addr string
	disk             bool
	diskState        *simulation.FaultyDisk
	startedBefore    bool // it has run before
	controlPlane     *controlplane.Server
	proxy            *proxy.Server
	stop             func()
}

// fleetTenant is a tenant as the test knows it.
type fleetTenant struct {
	Name     string   `json:"name"`
	Keys     []string `json:"apiKeys"`
	Rate     float64  `json:"ratePerS"`
	Burst    float64  `json:"burstSize"`
	ranAt    []time.Time
	statuses map[int]int // statuses since the last look
	latency  time.Duration
}

const (
	controlPort  = "8729"
	operatorAddr = "10.250.0.1"
)

func newFleet(t *testing.T) *fleet {
	rng := rand.New(rand.NewSource(1))
	f := &fleet{t: t, dir: t.TempDir(), network: newNetwork(rng.Float64), machines: map[string]*machine{}, machineLosses: 1,
		leafStates: map[string]string{}, replaceStatuses: map[string]int{}, acknowledged: map[uint64]string{}, successors: map[uint64]uint64{}, history: &history{}, aliases: map[string]*machine{}, tenants: map[string]*fleetTenant{}, reports: map[uint64]string{}, accepted: map[uint64]time.Time{}}
	go func() {
		_ = (&http.Server{Handler: http.HandlerFunc(f.servePlatform)}).Serve(f.network.listen("10.200.0.1:80"))
	}()
	go func() {
		_ = (&http.Server{Handler: http.HandlerFunc(f.serveLeaf)}).Serve(f.network.listen("10.9.0.1:80"))
	}()
	return f
}

// servePlatform is the stand-in for the list of leafs.
func (f *fleet) servePlatform(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/usage" {
		f.serveUsage(w, r)
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	all := []map[string]any{}
	for _, id := range slices.Sorted(maps.Keys(f.leafStates)) {
		all = append(all, map[string]any{"instanceId": id, "service": "s", "address": "10.9.0.1:80", "availabilityZone": "a", "capacitySlots": 2, "state": f.leafStates[id]})
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"instances": all, "nextPageToken": nil})
}

// serveLeaf is the stand-in for every leaf: it notes whose requests run.
func (f *fleet) serveLeaf(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	if t := f.tenants[r.Header.Get("X-Comethold-Tenant")]; t != nil {
		t.ranAt = append(t.ranAt, time.Now())
	}
	f.mu.Unlock()
	w.Header().Set("X-Comethold-Server-Stamp", "s")
	w.Header().Set("X-Comethold-Request-Id", r.Header.Get("X-Comethold-Request-Id"))
}

// generateLoad sends so many requests of a tenant a second to these machines in turn.
func (f *fleet) generateLoad(at []*machine, t *fleetTenant, perS float64, span time.Duration) {
	gap := time.Duration(float64(time.Second) / perS)
	var wg sync.WaitGroup
	i := 0
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(gap) {
		m := at[i%len(at)]
		i++
		f.mu.Lock()
		sw := m.proxy
		f.mu.Unlock()
		if sw == nil {
			continue
		}
		h := sw.Handler()
		f.requestCount++
		r := httptest.NewRequest(http.MethodGet, "/a", nil)
		r.Host, r.RequestURI = "h.example", "/a"
		r.Header.Set("X-Comethold-Request-Id", fmt.Sprint("q", f.requestCount))
		r.Header.Set("X-Comethold-Deadline-Remaining", "1000")
		r.Header.Set("Authorization", "Token "+t.Keys[0])
		wg.Go(func() {
			w := httptest.NewRecorder()
			from := time.Now()
			h.ServeHTTP(w, r)
			f.mu.Lock()
			defer f.mu.Unlock()
			t.statuses[w.Code]++
			if w.Code == http.StatusOK {
				t.latency = max(t.latency, time.Since(from))
			}
			if (w.Code == 429 || w.Code == 503) && w.Header().Get("Retry-After") == "" {
				f.t.Errorf("%d without word of when to come back", w.Code)
			}
		})
	}
	wg.Wait()
}

// checkWindows looks at the windows in which requests of a tenant ran and that have fallen due.
func (f *fleet) checkWindows(t *fleetTenant, off float64, missed int) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	b := f.settingsOf(f.sortedMachines()[0]).Bounds
	ran := map[uint64]float64{}
	for _, at := range t.ranAt {
		ran[usage.WindowAt(at, b.UsageWindow())]++
	}
	var wrong []string
	last := f.checkedWindow
	for _, w := range slices.Sorted(maps.Keys(ran)) {
		due := usage.WindowEnd(w, b.UsageWindow()).Add(b.UsageReportDelay())
		if w <= f.checkedWindow || time.Now().Before(due) {
			continue
		}
		last = w
		var rep struct {
			InstanceCounts map[string]float64 `json:"instanceCounts"`
		}
		_ = json.Unmarshal([]byte(f.reports[w]), &rep)
		if n := rep.InstanceCounts[t.Name]; f.accepted[w].IsZero() || f.accepted[w].After(due) {
			wrong = append(wrong, fmt.Sprintf("%d came %v late", w, f.accepted[w].Sub(due)))
		} else if d := (n - ran[w]) / ran[w] * 100; d > off || d < -off {
			wrong = append(wrong, fmt.Sprintf("%d names %v of %v", w, n, ran[w]))
		}
	}
	f.checkedWindow = last
	if len(wrong) > missed {
		return errors.New(strings.Join(wrong, "; "))
	}
	return nil
}

// waitForWindows checks the rule of quotas, for the limit as it is in force.
func (f *fleet) waitForWindows(t *fleetTenant, since time.Time) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	b := f.settingsOf(f.sortedMachines()[0]).Bounds
	most := (t.Rate*b.QuotaWindowS+t.Burst)*(1+b.QuotaOvershoot) + b.QuotaSlack
	for i, from := range t.ranAt {
		n := 0
		for _, at := range t.ranAt[i:] {
			if at.Sub(from) <= time.Duration(b.QuotaWindowS*float64(time.Second)) {
				n++
			}
		}
		if float64(n) > most && from.After(since) {
			return fmt.Errorf("%d of %s ran in a window, %v are allowed", n, t.Name, most)
		}
	}
	return nil
}

func (f *fleet) settingsOf(m *machine) *settings.Settings {
	set := &settings.Settings{NodeName: m.name, IPAddress: m.addr, AvailabilityZone: m.zone, RegionName: "r", HeartbeatMs: 1200,
		InternalPortRange: []int{7120, 7135}, SeedNodes: f.seedNodes, FirstStart: !m.startedBefore,
		Zones: map[string]string{}, Platform: settings.Platform{Address: "10.200.0.1:80", RatePerS: 50},
		Tolerance: settings.Tolerance{MachineLosses: f.machineLosses},
		Bounds: settings.Bounds{DrainMs: 3000, GracePeriodS: 6, RetryBudgetRatio: 0.2, RetryWindowS: 10, RetryBudgetSlack: 20,
			QuotaWindowS: 5, QuotaOvershoot: 0.1, QuotaSlack: 20}}
	set.Estimates.Enabled = f.estimate
	if f.reportUsage {
		set.Platform.Duties, set.Platform.DutiesPerS = []string{settings.UsageReportingDuty, "dance"}, 50
		set.Bounds.LeaseMs, set.Bounds.UsageWindowS, set.Bounds.UsageDelayS = 3000, 5, 10
	}
	if f.started {
		set.FirstStart = false
	}
	if m.disk {
		set.DataDirectory = filepath.Join(f.dir, m.name)
	}
	return set
}

// diskOf is a machine's disk, with luck of its own.
func (f *fleet) diskOf(m *machine) *simulation.FaultyDisk {
	if m.diskState == nil {
		m.diskState = &simulation.FaultyDisk{Base: storage.LocalDisk{}, Random: rand.New(rand.NewSource(f.seed*100 + int64(m.name[1]))).Float64}
	}
	return m.diskState
}

// start runs the programs of a machine.
func (f *fleet) start(m *machine) {
	set := f.settingsOf(m)
	n := f.network.netOf(m.addr)
	var servers []*http.Server
	serve := func(addr string, h http.Handler) {
		s := &http.Server{Handler: h}
		servers = append(servers, s)
		l := f.network.listen(addr)
		go func() { _ = s.Serve(l) }()
	}
	inner := func(p settings.Program) string { return net.JoinHostPort(m.addr, strconv.Itoa(set.PortOf(p))) }
	if m.disk {
		if err := os.MkdirAll(set.DataDirectory, 0o755); err != nil {
			f.t.Fatal(err)
		}
		f.diskOf(m)
		reg := controlplane.New(set, logging.Nop(), n, m.diskState)
		m.controlPlane = reg
		go func() { _ = reg.Run() }()
		go func() { _ = reg.ServeDatagrams(f.network.listenPacket(inner(settings.ControlPlane))) }()
		serve(net.JoinHostPort(m.addr, controlPort), reg.OperatorHandler())
		serve(inner(settings.ControlPlane), reg.InternalHandler())
	}
	sw := proxy.New(set, logging.Nop(), n)
	f.mu.Lock()
	m.proxy, m.startedBefore = sw, true
	f.mu.Unlock()
	go func() { _ = sw.RunUpdates() }()
	go func() { _ = sw.ReportUsage() }()
	go func() { _ = sw.CollectLatencies() }()
	go func() { _ = sw.RunHeartbeats(f.network.listenPacket(inner(settings.DataPlane))) }()
	serve(inner(settings.DataPlane), sw.InternalHandler())
	m.stop = func() {
		f.network.closeListener(m.addr, "")
		sw.Close()
		if m.controlPlane != nil {
			m.diskState.EndProcess()
			m.controlPlane.Stop()
		}
		for _, s := range servers {
			_ = s.Close()
		}
		f.mu.Lock()
		m.controlPlane, m.proxy, m.stop = nil, nil, nil
		f.mu.Unlock()
	}
}

func (f *fleet) sortedMachines() []*machine {
	var out []*machine
	for _, name := range slices.Sorted(maps.Keys(f.machines)) {
		out = append(out, f.machines[name])
	}
	return out
}

// machinesNamed names machines: one, several by commas, all, or core: registrars that run.
func (f *fleet) machinesNamed(names string) []*machine {
	if names == "all" {
		return f.sortedMachines()
	}
	if names == "core" {
		return slices.DeleteFunc(f.sortedMachines(), func(m *machine) bool { return m.controlPlane == nil })
	}
	var out []*machine
	for _, n := range strings.Split(names, ",") {
		m := f.machines[n]
		if m == nil {
			m = f.aliases[n]
		}
		if m == nil {
			f.t.Fatalf("no machine %q", n)
		}
		out = append(out, m)
	}
	return out
}

func (f *fleet) configurationBody(version uint64, mark string) string {
	tenants := ""
	if len(f.tenants) > 0 {
		raw, _ := json.Marshal(slices.Collect(maps.Values(f.tenants)))
		tenants = `"tenants":` + string(raw) + `,`
	}
	more, services := &strings.Builder{}, &strings.Builder{}
	for i := range f.extraRoutes { // they differ, so that they don't compress to nothing
		rng := rand.New(rand.NewSource(int64(i)))
		if i == int(version)%f.extraRoutes {
			rng.Seed(int64(version * 1000))
		}
		long := make([]byte, 400)
		_, _ = rng.Read(long)
		fmt.Fprintf(more, `{"name":"m%d","hostname":"h.example","pathPrefix":"/m%d/%x/","routeKind":"safe","timeoutMs":1000,"service":"s","maxAttempts":2,"lookupClass":"urgent"},`, i, i, long)
	}
	for i := range f.extraIndexes {
		fmt.Fprintf(more, `{"name":"x%d","hostname":"h.example","pathPrefix":"/x%d/","routeKind":"safe","timeoutMs":1000,"service":"x%d","maxAttempts":2},`, i, i, i)
		fmt.Fprintf(services, `,{"name":"x%d","connectionLimit":40}`, i)
	}
	return fmt.Sprintf(`{"version":%d,"routes":[%s{"name":"r%s","hostname":"h.example","pathPrefix":"/","routeKind":"safe","timeoutMs":1000,"service":"s","maxAttempts":2,"lookupClass":"urgent"}],"services":[{"name":"s","connectionLimit":40}%s],%s"limits":{}}`, version, more, mark, services, tenants)
}

// replaceAt sends a configuration to a machine, again and again on 503 if patient.
func (f *fleet) replaceAt(m *machine, version, base uint64, mark string, patience time.Duration) int {
	return f.replaceUntilAnswered(m, base, version, f.configurationBody(version, mark), patience)
}

func (f *fleet) replaceUntilAnswered(m *machine, base, version uint64, raw string, patience time.Duration) int {
	status := 0
	for end := time.Now().Add(patience); ; time.Sleep(150 * time.Millisecond) {
		status = f.post(m, "/Configuration.Replace", base, raw)
		if status != 0 && status != http.StatusServiceUnavailable || time.Now().After(end) {
			break
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.replaceStatuses[strconv.Itoa(status)]++
	if status == http.StatusOK {
		if old, ok := f.successors[base]; ok && old != version {
			f.t.Errorf("%d and %d were both acknowledged on top of %d", old, version, base)
		}
		f.successors[base], f.acknowledged[version] = version, raw
		f.newest = max(f.newest, version)
	}
	return status
}

// call makes one request as the operator, from an address of its own.
func (f *fleet) call(m *machine, method, path string, base uint64, raw string) (status int, answer string) {
	if path == "/Configuration.Replace" || path == "/Configuration.Read" {
		from := f.history.tick()
		defer func() {
			c := operatorCall{read: path == "/Configuration.Read", base: base, body: raw}
			f.history.record(from, c, operatorAnswer{status, answer})
		}()
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	t := &http.Transport{DialContext: f.network.netOf(operatorAddr)(time.Second, time.Second), DisableKeepAlives: true}
	r, _ := http.NewRequestWithContext(ctx, method, "http://"+net.JoinHostPort(m.addr, controlPort)+path, strings.NewReader(raw))
	r.Header.Set("X-Comethold-Base-Version", strconv.FormatUint(base, 10))
	resp, err := t.RoundTrip(r)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	return resp.StatusCode, string(b)
}

// sendGarbage sends what can't be understood; each of it is to be turned away.
func (f *fleet) sendGarbage(m *machine) error {
	doors := []string{}
	if m.controlPlane != nil {
		for _, path := range []string{"/cells", "/propose", "/confirm", "/claim", "/move", "/list", "/feed", "/ration", "/notices"} {
			doors = append(doors, net.JoinHostPort(m.addr, strconv.Itoa(f.settingsOf(m).PortOf(settings.ControlPlane)))+path)
		}
		for _, path := range []string{"/Configuration.Replace", "/Configuration.Amend", "/purge", "/Notices.Redrive"} {
			doors = append(doors, net.JoinHostPort(m.addr, controlPort)+path)
		}
	}
	doors = append(doors, net.JoinHostPort(m.addr, strconv.Itoa(f.settingsOf(m).PortOf(settings.DataPlane)))+"/feed")
	nested := "\x00" + strings.Repeat("\x81", 5000)
	for _, door := range doors {
		for _, raw := range []string{"", "\x00", "\x01", "\x01\xff\xff\xff", "\x00\xa1\x01", "\x00\xbb\xff\xff\xff\xff\xff\xff\xff\xff", "\x00\x9b\x7f\xff\xff\xff\xff\xff\xff\xff",
			nested, "\x00\xf6\xf6", strings.Repeat("[", 5000), "{\"version\":1e999}"} {
			t := &http.Transport{DialContext: f.network.netOf(operatorAddr)(time.Second, time.Second), DisableKeepAlives: true}
			r, _ := http.NewRequest(http.MethodPost, "http://"+door, strings.NewReader(raw))
			r.Header.Set("X-Comethold-Base-Version", "0")
			resp, err := t.RoundTrip(r)
			if err != nil {
				return fmt.Errorf("%s: %.20q: %w", door, raw, err)
			}
			_ = resp.Body.Close()
			if resp.StatusCode/100 != 4 {
				return fmt.Errorf("%s: %.20q: %d", door, raw, resp.StatusCode)
			}
		}
	}
	return nil
}

func (f *fleet) post(m *machine, path string, base uint64, raw string) int {
	status, _ := f.call(m, http.MethodPost, path, base, raw)
	return status
}

// until waits for something to come true.
func (f *fleet) until(limit time.Duration, what string, ok func() bool) error {
	for end := time.Now().Add(limit); !ok(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("not within %v: %s", limit, what)
		}
	}
	return nil
}

// leaseHolder is the machine that holds a duty, as any registrar that runs tells.
func (f *fleet) leaseHolder(duty string) (*machine, error) {
	for _, m := range f.sortedMachines() {
		var v operatorapi.LeasesView
		if m.controlPlane == nil {
			continue
		}
		_, raw := f.call(m, http.MethodGet, "/Duties.Read", 0, "")
		_ = json.Unmarshal([]byte(raw), &v)
		for _, d := range v.Leases {
			addr, _, _ := strings.Cut(d.Holder, "~")
			for _, h := range f.machines {
				if d.Role == duty && h.addr == addr && h.controlPlane != nil {
					return h, nil
				}
			}
		}
	}
	return nil, fmt.Errorf("nobody holds %s", duty)
}

// checkReplicas says what a cell lacks to bear the losses that it must bear.
func (f *fleet) checkReplicas(lost int) error {
	live := map[string]map[string]controlplane.CellView{}
	last := map[string]uint64{}
	for _, m := range f.sortedMachines() {
		if m.controlPlane == nil {
			continue
		}
		live[m.addr] = m.controlPlane.Cells()
		for name, c := range live[m.addr] {
			last[name] = max(last[name], c.Applied)
		}
	}
	if n := len(last); n < 2+f.extraIndexes {
		return fmt.Errorf("%d cells", n)
	}
	for addr, cells := range live {
		for name := range last {
			c := cells[name]
			if len(c.Voters) != 2*f.machineLosses+1 || !c.Settled || c.Applied+3 < last[name] {
				return fmt.Errorf("at %s: %s has %d seats, settled %v, applied %d of %d%s", addr, name, len(c.Voters), c.Settled, c.Applied, last[name], replicaViews(live, name))
			}
			away := 0
			for _, s := range c.Voters {
				if live[s.Addr] == nil && away < lost {
					away++
				} else if !live[s.Addr][name].Voter {
					return fmt.Errorf("at %s: %s has a seat %s that doesn't vote%s", addr, name, s.ID, replicaViews(live, name))
				}
			}
		}
	}
	return nil
}

// replicaViews tells how a cell stands at each registrar.
func replicaViews(live map[string]map[string]controlplane.CellView, name string) (out string) {
	for _, addr := range slices.Sorted(maps.Keys(live)) {
		c := live[addr][name]
		out += fmt.Sprintf("\n  %s: %v, leader %q, voter %v, applied %d, settled %v, seats %v", addr, c.Role, c.Leader, c.Voter, c.Applied, c.Settled, c.Voters)
	}
	return out
}

func (f *fleet) versionAt(m *machine) uint64 {
	if m.proxy == nil || m.proxy.RouteTable() == nil {
		return 0
	}
	return m.proxy.RouteTable().Version
}

func (f *fleet) Do(c simulation.Command) error {
	uintOf := func(i int) uint64 { n, _ := strconv.ParseUint(c.Word(i), 10, 64); return n }
	switch c.Verb {
	case "losses":
		f.machineLosses = int(uintOf(0))
	case "core", "switches": // core ZONE...: a machine with a disk in each; switches ZONE N
		if c.Verb == "core" {
			for i, z := range c.Words {
				m := &machine{name: "c" + strconv.Itoa(i+1), zone: z, addr: fmt.Sprintf("10.1.0.%d", i+1), disk: true}
				f.machines[m.name] = m
				if i < 3 {
					f.seedNodes = append(f.seedNodes, net.JoinHostPort(m.addr, controlPort))
				}
			}
			break
		}
		for range int(uintOf(1)) {
			n := len(f.machines) + 1
			m := &machine{name: fmt.Sprintf("s%d", n), zone: c.Word(0), addr: fmt.Sprintf("10.2.0.%d", n)}
			f.machines[m.name] = m
			if f.started {
				f.start(m)
			}
		}
	case "begin":
		for _, m := range f.sortedMachines() {
			if m.stop == nil { // start may have come before
				f.start(m)
			}
		}
		f.started = true
	case "run":
		time.Sleep(c.Milliseconds(0))
	case "kill": // kill NAMES|all
		var wg sync.WaitGroup
		for _, m := range f.machinesNamed(c.Word(0)) {
			if m.stop != nil {
				f.network.killMachine(m.addr)
				wg.Go(m.stop)
			}
		}
		wg.Wait()
	case "start":
		for _, m := range f.machinesNamed(c.Word(0)) {
			if m.stop == nil {
				f.start(m)
			}
		}
	case "wipe": // of machines that are down
		for _, m := range f.machinesNamed(c.Word(0)) {
			if err := os.RemoveAll(filepath.Join(f.dir, m.name)); err != nil {
				return err
			}
		}
	case "wipe-dead": // of all machines that are down
		for _, m := range f.sortedMachines() {
			if m.disk && m.stop == nil {
				if err := f.Do(simulation.Command{Verb: "wipe", Words: []string{m.name}}); err != nil {
					return err
				}
			}
		}
	case "roll": // roll NAMES gap=: each is ended and started again in turn
		for _, m := range f.machinesNamed(c.Word(0)) {
			m.stop()
			time.Sleep(time.Duration(c.Number("gap", 300)) * time.Millisecond)
			f.start(m)
		}
	case "cut", "mute", "deaf": // NAMES: they and the other machines are cut from each other; others don't hear them; they don't hear others
		f.cutOff(f.machinesNamed(c.Word(0)), c.Verb != "deaf", c.Verb != "mute")
	case "silence": // silence NAMES: nobody hears them, nor they anybody, until join
		f.network.mu.Lock()
		for _, a := range f.machinesNamed(c.Word(0)) {
			for _, b := range f.machines {
				f.network.blocked[[2]string{a.addr, b.addr}] = a != b
				f.network.blocked[[2]string{b.addr, a.addr}] = a != b
			}
		}
		f.network.mu.Unlock()
	case "no-platform": // no-platform DUTY: whoever holds it is cut off from the platform alone, until join
		m, err := f.leaseHolder(c.Word(0))
		if err != nil {
			return err
		}
		f.network.mu.Lock()
		f.network.blocked[[2]string{m.addr, "10.200.0.1"}] = true
		f.network.blocked[[2]string{"10.200.0.1", m.addr}] = true
		f.network.mu.Unlock()
	case "join": // join [after=MS]
		if ms := c.Number("after", 0); ms > 0 {
			time.AfterFunc(time.Duration(ms)*time.Millisecond, f.heal)
			break
		}
		f.heal()
	case "lossy":
		f.network.mu.Lock()
		f.network.lossRate, _ = strconv.ParseFloat(c.Word(0), 64)
		f.network.mu.Unlock()
	case "slow": // slow NAMES KBPS: the links of these machines take so many kilobits a second each way; 0: no bound
		f.network.mu.Lock()
		for _, m := range f.machinesNamed(c.Word(0)) {
			f.network.bytesPerSecond[m.addr] = float64(uintOf(1)) * 1000 / 8
		}
		f.network.mu.Unlock()
	case "disk": // disk NAMES ok|full|hangs
		for _, m := range f.machinesNamed(c.Word(0)) {
			f.diskOf(m).SetFault(c.Word(1) == "full", c.Word(1) == "hangs")
		}
	case "power": // power NAMES: they lose power, and names that were not synced may be lost
		var wg sync.WaitGroup
		for _, m := range f.machinesNamed(c.Word(0)) {
			f.network.killMachine(m.addr)
			wg.Go(func() {
				if m.stop != nil {
					m.stop()
				}
				if m.diskState != nil {
					m.diskState.LosePower()
				}
			})
		}
		wg.Wait()
	case "tear": // tear NAMES garbage|half|short|nothing|gone: what is left of the cells' file on machines that are down
		for _, m := range f.machinesNamed(c.Word(0)) {
			path := filepath.Join(f.dir, m.name, "vault.db")
			raw, err := os.ReadFile(path)
			if err != nil {
				return err
			}
			switch c.Word(1) {
			case "garbage":
				clear(raw)
			case "half":
				raw = raw[:len(raw)/2]
			case "short":
				raw = raw[:5000]
			case "nothing":
				raw = nil
			}
			if err = os.WriteFile(path, raw, 0o600); c.Word(1) == "gone" {
				err = os.Remove(path)
			}
			if err != nil {
				return err
			}
		}
	case "routes": // routes N: so many more in the configurations from now on
		f.extraRoutes = int(uintOf(0))
	case "changes": // changes FROM N AT [gap= within=]: so many, one on the other; each is acknowledged
		for i := range uintOf(1) {
			v := uintOf(0) + i
			if st := f.replaceAt(f.machinesNamed(c.Word(2))[0], v, f.newest, "", time.Duration(c.Number("within", 8000))*time.Millisecond); st != http.StatusOK {
				return fmt.Errorf("version %d: %d", v, st)
			}
			time.Sleep(time.Duration(c.Number("gap", 50)) * time.Millisecond)
		}
		f.replaceStatuses = map[string]int{}
	case "want-applied": // want-applied VERSION NAMES WITHIN: decided by these registrars themselves
		last := ""
		err := f.until(c.Milliseconds(2), "the version at "+c.Word(1), func() bool {
			for _, m := range f.machinesNamed(c.Word(1)) {
				_, raw := f.call(m, http.MethodGet, "/Notices.Read", 0, "")
				var v operatorapi.OutboxView
				last = fmt.Sprintf("%.200s", raw)
				if json.Unmarshal([]byte(raw), &v) != nil || v.AppliedVersions["configuration"] < uintOf(0) {
					return false
				}
			}
			return true
		})
		if err != nil {
			return errors.Join(err, errors.New(last))
		}
	case "want-state": // want-state KILOBYTES NAME rows=: the state of the exchange cell on the disk of a machine that is down is no larger, nor its outbox, nor the log beside it longer than it may be
		size, rows, what, err := storedState(filepath.Join(f.dir, c.Word(1)))
		if err == nil && (size > int(uintOf(0))<<10 || rows > int(c.Number("rows", 1e6))) {
			err = fmt.Errorf("%d bytes: %s", size, what)
		}
		return err
	case "list", "drain", "unlist": // ID...
		f.mu.Lock()
		for _, id := range c.Words {
			switch c.Verb {
			case "list":
				f.leafStates[id] = "ready"
			case "drain":
				f.leafStates[id] = "draining"
			default:
				delete(f.leafStates, id)
			}
		}
		f.mu.Unlock()
	case "many": // many PREFIX N: so many leafs are listed
		f.mu.Lock()
		for i := range int(uintOf(1)) {
			f.leafStates[c.Word(0)+strconv.Itoa(i)] = "ready"
		}
		f.mu.Unlock()
	case "bad", "well": // bad NAMES PREFIX N: these switches find so many leafs bad, or well
		for _, m := range f.machinesNamed(c.Word(0)) {
			for i := range int(uintOf(2)) {
				m.proxy.Upstreams.OnHealthChange(distribution.HealthReport{EndpointID: c.Word(1) + strconv.Itoa(i), Service: "s", Healthy: c.Verb == "well"})
			}
		}
	case "want-marks": // want-marks N WITHIN: so many leafs are marked on every switch
		return f.until(c.Milliseconds(1), c.Word(0)+" marks on every switch", func() bool {
			for _, m := range f.machines {
				if m.proxy != nil && uint64(len(m.proxy.Ejected())) != uintOf(0) {
					return false
				}
			}
			return true
		})
	case "garble": // garble NAMES: bytes that are no message, to every door of a machine
		for _, m := range f.machinesNamed(c.Word(0)) {
			if err := f.sendGarbage(m); err != nil {
				return err
			}
		}
	case "replace": // replace VERSION BASE AT [mark= within=]
		f.replaceAt(f.machinesNamed(c.Word(2))[0], uintOf(0), uintOf(1), c.Options["mark"], time.Duration(c.Number("within", 0))*time.Millisecond)
	case "race": // race BASE V1@AT V2@AT/MARK ... [within=]: all at once
		var wg sync.WaitGroup
		for _, w := range c.Words[1:] {
			v, at, _ := strings.Cut(w, "@")
			n, _ := strconv.ParseUint(v, 10, 64)
			at, mark, _ := strings.Cut(at, "/")
			wg.Go(func() {
				f.replaceAt(f.machinesNamed(at)[0], n, uintOf(0), mark, time.Duration(c.Number("within", 0))*time.Millisecond)
			})
		}
		wg.Wait()
	case "want": // want STATUS=N ...: what the orders since the last such line got
		for k, v := range c.Options {
			n, _ := strconv.Atoi(v)
			if f.replaceStatuses[k] != n {
				return fmt.Errorf("got %v", f.replaceStatuses)
			}
		}
		f.replaceStatuses = map[string]int{}
	case "estimates": // lookups are followed
		f.estimate = true
	case "want-estimates": // want-estimates NODES SAMPLES AT: so many switches answer, and know of so many lookups at least
		_, raw := f.call(f.machinesNamed(c.Word(2))[0], http.MethodGet, "/Estimates.Read?class=urgent", 0, "")
		var v controlplane.EstimatesView
		if err := json.Unmarshal([]byte(raw), &v); err != nil {
			return err
		}
		n := uint64(0)
		for _, k := range v.Replicas {
			n += k.Estimate.Samples
		}
		if v.Nodes != int(uintOf(0)) || n < uintOf(1) {
			return fmt.Errorf("%d nodes, %d samples: %.300s", v.Nodes, n, raw)
		}
	case "want-saved": // want-saved LINES AT: so many exports are on that disk at least
		_, raw := f.call(f.machinesNamed(c.Word(1))[0], http.MethodGet, "/Estimates.Saved", 0, "")
		var lines []controlplane.EstimatesView
		if err := json.Unmarshal([]byte(raw), &lines); err != nil {
			return err
		}
		if len(lines) < int(uintOf(0)) {
			return fmt.Errorf("%d lines", len(lines))
		}
	case "duties": // usage is to be reported
		f.reportUsage = true
	case "platform": // platform ok|busy|reset|lost: how it takes reports from now on
		f.mu.Lock()
		f.platformFault = strings.TrimPrefix(c.Word(0), "ok")
		f.mu.Unlock()
	case "kill-holder", "cut-holder": // of the reports; cut-holder platform: from the platform alone
		f.mu.Lock()
		var m *machine
		if n := len(f.fencedCalls); n > 0 {
			m = f.machines[f.fencedCalls[n-1].holder]
		}
		f.mu.Unlock()
		if m == nil || m.stop == nil {
			return errors.New("nobody has called yet")
		}
		switch {
		case c.Verb == "kill-holder":
			f.network.killMachine(m.addr)
			m.stop()
		case c.Word(0) == "platform":
			f.network.mu.Lock()
			f.network.blocked[[2]string{m.addr, "10.200.0.1"}] = true
			f.network.blocked[[2]string{"10.200.0.1", m.addr}] = true
			f.network.mu.Unlock()
		default:
			f.network.mu.Lock()
			for _, b := range f.machines {
				if b != m && b.disk {
					f.network.blocked[[2]string{m.addr, b.addr}] = true
					f.network.blocked[[2]string{b.addr, m.addr}] = true
				}
			}
			f.network.mu.Unlock()
		}
	case "kill-duty", "cut-duty": // kill-duty NAME...: the machines that hold these duties
		var names []string
		for _, duty := range c.Words {
			m, err := f.leaseHolder(duty)
			if err != nil {
				return err
			}
			if !slices.Contains(names, m.name) {
				names = append(names, m.name)
			}
		}
		return f.Do(simulation.Command{Verb: strings.TrimSuffix(c.Verb, "-duty"), Words: []string{strings.Join(names, ",")}})
	case "seeds": // seeds NAMES TOLD: the seeds of the settings from now on; the machines TOLD are told at once
		f.seedNodes = nil
		for _, m := range f.machinesNamed(c.Word(0)) {
			f.seedNodes = append(f.seedNodes, net.JoinHostPort(m.addr, controlPort))
		}
		for _, m := range f.machinesNamed(c.Word(1)) {
			m.proxy.Reload(f.settingsOf(m))
			if m.controlPlane != nil {
				m.controlPlane.Reload(f.settingsOf(m))
			}
		}
	case "reset": // reset NAMES: all their connections end at once
		for _, m := range f.machinesNamed(c.Word(0)) {
			f.network.resetConnections(m.addr)
		}
	case "indexes": // indexes N: from now on configurations have so many routes more, each with an index of its own
		f.extraIndexes = int(uintOf(0))
	case "want-whole": // want-whole WITHIN [lost=]: every cell has all its seats, at machines that run and have caught up, but for so many seats
		var last error
		err := f.until(c.Milliseconds(0), "all cells are whole", func() bool {
			last = f.checkReplicas(int(c.Number("lost", 0)))
			return last == nil
		})
		if err != nil {
			return errors.Join(err, last)
		}
	case "want-reports": // want-reports N WITHIN: so many windows in a row up to now were reported, the last that is due among them
		return f.until(c.Milliseconds(1), c.Word(0)+" windows in a row", func() bool {
			f.mu.Lock()
			defer f.mu.Unlock()
			due := uint64(time.Now().Add(-15*time.Second).UnixNano() / int64(5*time.Second))
			for i := range uintOf(0) {
				if _, ok := f.reports[due-i]; !ok {
					return false
				}
			}
			return true
		})
	case "load-on": // load-on NAMES TENANT PERSECOND MS: while the lines that follow are played, until load-end
		perS, _ := strconv.ParseFloat(c.Word(2), 64)
		f.loads.Go(func() { f.generateLoad(f.machinesNamed(c.Word(0)), f.tenants[c.Word(1)], perS, c.Milliseconds(3)) })
	case "window": // window MS: lets time pass until so long after the beginning of a window of usage
		length := f.settingsOf(f.sortedMachines()[0]).Bounds.UsageWindow()
		at := time.Now().Truncate(length).Add(c.Milliseconds(0))
		if at.Before(time.Now()) {
			at = at.Add(length)
		}
		time.Sleep(time.Until(at))
	case "load-end":
		f.loads.Wait()
	case "want-timely": // want-timely TENANT off= [missed=]: each window since the last such line was reported before it fell due, and names what ran in it, to so many percent
		return f.checkWindows(f.tenants[c.Word(0)], c.Number("off", 0), int(c.Number("missed", 0)))
	case "want-usage": // want-usage TENANT off=: all reports together name the requests that ran, to so many percent
		f.mu.Lock()
		defer f.mu.Unlock()
		sum := 0.0
		for _, raw := range f.reports {
			var rep struct {
				InstanceCounts map[string]float64 `json:"instanceCounts"`
			}
			_ = json.Unmarshal([]byte(raw), &rep)
			sum += rep.InstanceCounts[c.Word(0)]
		}
		ran := float64(len(f.tenants[c.Word(0)].ranAt))
		if ran == 0 || (sum-ran)/ran*100 > c.Number("off", 0) || (ran-sum)/ran*100 > c.Number("off", 0) {
			return fmt.Errorf("reported were %v of %v", sum, ran)
		}
	case "want-backlog": // want-backlog N WITHIN: rows not published, and every registrar has decided the newest version
		last := ""
		err := f.until(c.Milliseconds(1), "the outbox", func() bool {
			for _, m := range f.sortedMachines() {
				if m.controlPlane == nil {
					continue
				}
				_, raw := f.call(m, http.MethodGet, "/Notices.Read", 0, "")
				var v operatorapi.OutboxView
				last = m.name + ": " + raw
				if json.Unmarshal([]byte(raw), &v) != nil || v.Backlog != int(uintOf(0)) || v.AppliedVersions["configuration"] != f.newest {
					return false
				}
			}
			return true
		})
		if err != nil {
			return errors.Join(err, errors.New(last))
		}
	case "want-quarantine": // want-quarantine N REDRIVES WITHIN: so many cases and redrives on every registrar
		return f.until(c.Milliseconds(2), "the quarantine", func() bool {
			for _, m := range f.sortedMachines() {
				var v operatorapi.OutboxView
				if m.controlPlane == nil {
					continue
				}
				_, raw := f.call(m, http.MethodGet, "/Notices.Read", 0, "")
				if json.Unmarshal([]byte(raw), &v) != nil || len(v.Quarantine) != int(uintOf(0)) || len(v.Redrives) != int(uintOf(1)) {
					return false
				}
			}
			return true
		})
	case "redrive": // redrive EVENT ACTION AT: every case whose event id begins so
		m := f.machinesNamed(c.Word(2))[0]
		_, raw := f.call(m, http.MethodGet, "/Notices.Read", 0, "")
		var v operatorapi.OutboxView
		if err := json.Unmarshal([]byte(raw), &v); err != nil {
			return err
		}
		ids := []string{c.Word(0)}
		for _, q := range v.Quarantine {
			if strings.HasPrefix(q.EventID, c.Word(0)) {
				ids = append(ids, q.EventID)
			}
		}
		status := f.post(m, "/Notices.Redrive", 0, fmt.Sprintf(`{"eventId":%q,"operator":"op","correlationId":"case-1","action":%q}`, ids[len(ids)-1], c.Word(1)))
		f.mu.Lock()
		defer f.mu.Unlock()
		f.replaceStatuses[strconv.Itoa(status)]++
	case "tenant": // tenant NAME RATE BURST [key=]: in the configurations from now on
		t := f.tenants[c.Word(0)]
		if t == nil {
			t = &fleetTenant{Name: c.Word(0), Keys: []string{"key-" + c.Word(0)}, statuses: map[int]int{}}
			f.tenants[t.Name] = t
		}
		t.Rate, _ = strconv.ParseFloat(c.Word(1), 64)
		t.Burst, _ = strconv.ParseFloat(c.Word(2), 64)
		if k := c.Options["key"]; k != "" {
			t.Keys = []string{k}
		}
	case "load": // load NAMES TENANT PERSECOND MS
		perS, _ := strconv.ParseFloat(c.Word(2), 64)
		since := time.Now()
		f.generateLoad(f.machinesNamed(c.Word(0)), f.tenants[c.Word(1)], perS, c.Milliseconds(3))
		return f.waitForWindows(f.tenants[c.Word(1)], since.Add(-time.Second))
	case "want-served": // want-served TENANT least= most= [within=]: of its requests since the last such line, in percent
		f.mu.Lock()
		defer f.mu.Unlock()
		t := f.tenants[c.Word(0)]
		all := 0
		for _, n := range t.statuses {
			all += n
		}
		share, got, slow := 100*float64(t.statuses[http.StatusOK])/float64(all), fmt.Sprint(t.statuses), t.latency
		t.statuses, t.latency = map[int]int{}, 0
		if share < c.Number("least", 0) || share > c.Number("most", 100) {
			return fmt.Errorf("%.0f%%, %s", share, got)
		}
		if most := time.Duration(c.Number("within", 1e6)) * time.Millisecond; slow > most {
			return fmt.Errorf("one took %v", slow)
		}
	case "want-config": // want-config VERSION WITHIN: in force on every switch that runs
		return f.until(c.Milliseconds(1), "the version on every switch", func() bool {
			for _, m := range f.machines {
				if m.proxy != nil && f.versionAt(m) != uintOf(0) {
					return false
				}
			}
			return true
		})
	case "want-list": // want-list WITHIN [at=]: every switch, or these, has the platform's list
		at := f.sortedMachines()
		if names := c.Options["at"]; names != "" {
			at = f.machinesNamed(names)
		}
		var last string
		err := f.until(c.Milliseconds(0), "the list on every switch", func() bool {
			f.mu.Lock()
			want := maps.Clone(f.leafStates)
			f.mu.Unlock()
			for _, m := range at {
				if m.proxy == nil {
					continue
				}
				have := map[string]string{}
				for _, l := range m.proxy.Endpoints() {
					have[l.ID] = map[bool]string{true: "draining", false: "ready"}[l.Draining]
				}
				if !maps.Equal(have, want) {
					last = fmt.Sprint(m.name, " has ", have, ", listed are ", want)
					return false
				}
			}
			return true
		})
		if err != nil {
			return errors.Join(err, errors.New(last))
		}
	case "want-read": // want-read WITHIN: what was acknowledged last is read back
		var got string
		return f.until(c.Milliseconds(0), "the newest acknowledged configuration is read back", func() bool {
			for _, m := range f.machines {
				if m.controlPlane == nil {
					continue
				}
				status, raw := f.call(m, http.MethodGet, "/Configuration.Read", 0, "")
				if status == http.StatusOK {
					got = raw
					break
				}
			}
			return got == f.acknowledged[f.newest]
		})
	default:
		return f.doOperator(c)
	}
	return nil
}

// maxLogEntries is what a log may hold beside the state, by the cell's own bound and a pipeline.
const maxLogEntries = 2*64 + 3

// storedState says how much state a disk holds of the exchange cell, and of what.
func storedState(dir string) (size, rows int, what string, err error) {
	v, err := storage.Open(dir, storage.LocalDisk{}, func(error) {})
	if err != nil {
		return 0, 0, "", err
	}
	defer v.Close()
	s, _, err := v.LoadReplica(schema.MetaCell)
	if err != nil || s.Snapshot == nil {
		return 0, 0, "", errors.Join(err, errors.New("no snapshot"))
	}
	raw, err := rpc.Marshal(s.Snapshot)
	if err == nil && len(s.Entries) > maxLogEntries {
		err = fmt.Errorf("%d entries of the log", len(s.Entries))
	}
	by, keys := map[string]int{}, map[string]int{}
	for k, val := range s.Snapshot.State {
		kind, _, _ := strings.Cut(k, "/")
		by[kind] += len(k) + len(val.Bytes)
		keys[kind]++
	}
	return len(raw), keys["outbox"], fmt.Sprintf("%d packed, %d entries, keys %v, bytes %v", len(rpc.EncodeBody(raw)), len(s.Entries), keys, by), err
}

// cutOff cuts machines from the others with a disk, in one direction or both.
func (f *fleet) cutOff(apart []*machine, out, in bool) {
	f.network.mu.Lock()
	defer f.network.mu.Unlock()
	for _, a := range apart {
		for _, b := range f.machines {
			if slices.Contains(apart, b) || !b.disk {
				continue
			}
			f.network.blocked[[2]string{a.addr, b.addr}] = f.network.blocked[[2]string{a.addr, b.addr}] || out
			f.network.blocked[[2]string{b.addr, a.addr}] = f.network.blocked[[2]string{b.addr, a.addr}] || in
		}
	}
}

func (f *fleet) heal() {
	f.network.mu.Lock()
	defer f.network.mu.Unlock()
	f.network.blocked = map[[2]string]bool{}
}

func TestFleet(t *testing.T) { playFleet(t, "testdata/fleet") }

// playFleet plays a folder; after each run its history of orders and reads is checked.
func playFleet(t *testing.T, dir string) {
	var mu sync.Mutex
	fleets := map[string]*fleet{}
	simulation.Play(t, dir, func(t *testing.T, run func(*testing.T)) {
		defer func() {
			mu.Lock()
			f := fleets[t.Name()]
			mu.Unlock()
			if f != nil {
				if err := f.history.check(); err != nil {
					t.Error(err)
				}
			}
		}()
		synctest.Test(t, run)
	}, func(t *testing.T) simulation.World {
		f := newFleet(t)
		mu.Lock()
		fleets[t.Name()] = f
		mu.Unlock()
		t.Cleanup(f.shutDown)
		return f
	})
}

// TestDisks draws troubles of disks, links and power, one machine at a time or all power at
// once, while changes go on; what was acknowledged is there in the end, and everybody has
// it. COMETHOLD_SEEDS says how many draws.
func TestDisks(t *testing.T) {
	for seed := range simulation.SeedCount(1) {
		t.Run(strconv.Itoa(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t)
				f.seed = int64(seed)
				t.Cleanup(f.shutDown)
				rng := rand.New(rand.NewSource(int64(seed)))
				do := func(line string, args ...any) {
					c, _ := simulation.Parse(fmt.Sprintf(line, args...))
					if err := f.Do(c); err != nil {
						t.Errorf("%s: %v", c.Line, err)
					}
				}
				do("core a b c")
				do("list l1")
				do("routes 5")
				do("begin")
				version := 1
				for range 3 {
					bad, n := rng.Intn(3), 1+rng.Intn(90)
					well, name := 1+(bad+1)%3, fmt.Sprintf("c%d", bad+1)
					gap := 5 + rng.Intn(20)
					var wg sync.WaitGroup
					wg.Go(func() { do("changes %d %d c%d gap=%d within=30000", version, n, well, gap) })
					for range 1 + rng.Intn(3) {
						do("run %d", rng.Intn(900))
						switch rng.Intn(7) {
						case 0:
							do("kill %s", name)
						case 1:
							do("power %s", name)
						case 2:
							do("disk %s full", name)
						case 3:
							do("disk %s hangs", name)
						case 4:
							do("slow %s %d", name, 50+rng.Intn(1000))
						case 5:
							do("power all")
							do("start all")
						case 6:
							do("start %s", name)
						}
					}
					wg.Wait()
					version += n
					do("disk all ok")
					do("start all")
					do("run %d", rng.Intn(2000))
					do("slow all 0")
				}
				do("want-read 9000")
				do("want-applied %d all 9000", version-1)
			})
		})
	}
}

// shutDown ends all of a fleet.
func (f *fleet) shutDown() {
	var wg sync.WaitGroup
	for _, m := range f.machines {
		if m.diskState != nil {
			m.diskState.SetFault(false, false)
		}
		if m.stop != nil {
			wg.Go(m.stop)
		}
	}
	wg.Wait()
	f.network.closeListener("", "")
	f.network.closeListener("10.200.0.1", "")
	f.network.closeListener("10.9.0.1", "")
	time.Sleep(time.Minute)
}
