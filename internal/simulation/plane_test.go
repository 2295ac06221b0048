package simulation_test

import (
	"bytes"
	"context"
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"comethold/internal/distribution"
	"comethold/internal/logging"
	"comethold/internal/proxy"
	"comethold/internal/routing"
	"comethold/internal/settings"
	"comethold/internal/simulation"
)

// dataPlane is the World of the scenarios in testdata/plane: one proxy with simulated leafs, on simulated time.
type dataPlane struct {
	t        *testing.T
	proxy    *proxy.Server
	settings *settings.Settings
	clients  clients
	running  sync.WaitGroup // requests in progress
	quit     chan struct{}  // closed at the end, to release leafs that do not answer
	// sameRecords makes all leafs hold the same records.
	sameRecords bool
	// Content of the next update.
	routes  []routing.Route
	tenants []routing.Tenant
	ejected map[string]distribution.EjectionMark

	mu            sync.Mutex // guards the fields below, and those of the leafs
	leafs         map[string]*leaf
	version       uint64
	sequence      uint64
	logIndex      uint64
	nextID        int
	statuses      map[string]int // counts of answers by status, since the last want
	latency       time.Duration  // the greatest latency of a request since the last want-within
	lastAnswer    *httptest.ResponseRecorder
	runsByRequest map[string]int
	tenantsSeen   map[string][]string // the tenants in the requests that a leaf ran, in order, by leaf ID
	conns         []net.Conn
}

func newDataPlane(t *testing.T) *dataPlane {
	t.Helper()
	p := &dataPlane{
		t:             t,
		quit:          make(chan struct{}),
		ejected:       map[string]distribution.EjectionMark{},
		leafs:         map[string]*leaf{},
		statuses:      map[string]int{},
		runsByRequest: map[string]int{},
		tenantsSeen:   map[string][]string{},
		settings: &settings.Settings{
			NodeName:          "n1",
			IPAddress:         proxyHost,
			AvailabilityZone:  "a",
			RegionName:        "r",
			InternalPortRange: []int{7000, 7010},
			SeedNodes:         []string{"10.0.0.2:80"},
			Bounds:            settings.Bounds{RetryBudgetRatio: 0.2, RetryWindowS: 10, RetryBudgetSlack: 20},
		},
	}
	p.newProxy()
	return p
}

// newProxy replaces the proxy with a new one with the current settings.
func (p *dataPlane) newProxy() {
	dialLeafs := func(_, _ time.Duration) func(context.Context, string, string) (net.Conn, error) { return p.dial }
	p.proxy = proxy.New(p.settings, logging.Nop(), dialLeafs)
}

// shutDown closes the proxy and the connections of clients and leafs.
func (p *dataPlane) shutDown() {
	p.leafs = map[string]*leaf{}
	p.routes = nil
	p.publish()
	close(p.quit)
	p.proxy.Close()
	if p.clients.network != nil {
		p.clients.network.closeHost(proxyHost)
	}
	time.Sleep(time.Minute)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.conns {
		_ = conn.Close()
	}
}

// publish sends the proxy an update with everything that the scenario has set so far.
func (p *dataPlane) publish() {
	p.mu.Lock()
	p.sequence++
	p.logIndex++
	p.version++
	list := &distribution.EndpointList{Revision: distribution.Revision{Term: 1, Sequence: p.sequence}}
	for _, l := range p.leafs {
		list.Endpoints = append(list.Endpoints, l.Endpoint)
	}
	marks := distribution.EjectionMarks{IndexName: "i1", LogIndex: p.logIndex, Ejected: maps.Clone(p.ejected)}
	update := &distribution.Update{
		Config:        distribution.FullConfig(p.configuration()),
		Endpoints:     list,
		EjectionMarks: []distribution.EjectionMarks{marks},
		Nodes:         &distribution.NodeList{LogIndex: p.logIndex, DataPlaneCount: 4},
	}
	p.mu.Unlock()
	p.proxy.Apply(update)
}

// configuration returns the configuration that the scenario has set so far, parsed like one from
// an operator. The caller must hold p.mu.
func (p *dataPlane) configuration() *routing.Configuration {
	names := map[string]bool{}
	for _, l := range p.leafs {
		names[l.Service] = true
	}
	config := routing.Configuration{
		Version: p.version,
		Routes:  p.routes,
		Tenants: p.tenants,
		Limits:  routing.Limits{MaxBodyBytes: 64, IdleTimeoutMs: p.clients.idleTimeoutMs},
	}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		config.Services = append(config.Services, routing.Service{
			Name: name, HealthPath: "/health", ConnectionLimit: 40,
		})
	}
	raw, err := json.Marshal(config)
	if err != nil {
		panic(err) // the types of a configuration always marshal
	}
	decoded, _ := routing.Decode(raw)
	return decoded
}

// newRequestID returns the next request ID.
func (p *dataPlane) newRequestID() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.nextID++
	return "q" + strconv.Itoa(p.nextID)
}

// request sends one request to the proxy and checks the rules that hold for every answer.
func (p *dataPlane) request(host, path, method, body string, options map[string]string) {
	id := p.newRequestID()
	r := httptest.NewRequestWithContext(context.Background(), method, path, strings.NewReader(body))
	r.Host = host
	r.RequestURI = path
	if options["noid"] == "" {
		r.Header.Set("X-Comethold-Request-Id", id)
	}
	r.Header.Set("X-Comethold-Deadline-Remaining", "1000")
	if deadline := options["deadline"]; deadline != "" {
		r.Header.Set("X-Comethold-Deadline-Remaining", deadline)
	}
	if key, ok := options["key"]; ok {
		r.Header.Set("Authorization", strings.ReplaceAll(key, "_", " "))
	}
	if claimed := options["claims"]; claimed != "" {
		r.Header.Set("X-Comethold-Tenant", claimed)
	}
	w := httptest.NewRecorder()
	start := time.Now()
	p.proxy.Handler().ServeHTTP(w, r)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.latency = max(p.latency, time.Since(start))
	p.statuses[strconv.Itoa(w.Code)]++
	p.lastAnswer = w
	p.checkAnswer(id, method, w)
}

// checkAnswer checks that an answer belongs to the request, and that its status and headers agree with what the
// leafs ran. The caller must hold p.mu.
func (p *dataPlane) checkAnswer(id, method string, w *httptest.ResponseRecorder) {
	isRejection := w.Code == http.StatusTooManyRequests || w.Code == http.StatusServiceUnavailable
	if isRejection && p.runsByRequest[id] > 0 && method == http.MethodPost {
		p.t.Errorf("POST request %s got status %d, which means that it did not run, but it ran", id, w.Code)
	}
	if isRejection && w.Header().Get("Retry-After") == "" {
		p.t.Errorf("request %s got status %d without Retry-After, want the header", id, w.Code)
	}
	if method == http.MethodPost && p.runsByRequest[id] > 1 {
		p.t.Errorf("POST request %s ran %d times, want at most 1", id, p.runsByRequest[id])
	}
	if w.Code != http.StatusOK {
		return
	}
	stamps := w.Header().Get("X-Comethold-Server-Stamp") + w.Header().Get("X-Comethold-Part-Stamps")
	for stamp := range strings.SplitSeq(stamps, ", ") {
		if !strings.HasSuffix(stamp, "."+id) {
			p.t.Errorf("request %s got an answer with the stamp %s of another request, want only its own", id, stamp)
		}
	}
	if bytes.Contains(w.Body.Bytes(), []byte("alien")) {
		p.t.Errorf("request %s got bytes that belong to no request, want only its own records", id)
	}
}

// dataPlaneCommands are the commands of the scenarios in testdata/plane; docs/testing.md explains them.
var dataPlaneCommands = simulation.CommandTable[*dataPlane]{
	"leaf":               (*dataPlane).addLeaf,
	"set":                (*dataPlane).setLeaf,
	"route":              (*dataPlane).addRoute,
	"tenant":             (*dataPlane).setTenant,
	"eject":              (*dataPlane).eject,
	"reinstate":          (*dataPlane).reinstate,
	"update":             (*dataPlane).update,
	"run":                (*dataPlane).runFor,
	"request":            (*dataPlane).sendRequests,
	"request-at-once":    (*dataPlane).sendRequestsAtOnce,
	"accept-connections": (*dataPlane).serveClients,
	"idle-timeout":       (*dataPlane).setIdleTimeout,
	"open-connection":    (*dataPlane).openConnection,
	"send":               (*dataPlane).send,
	"send-async":         (*dataPlane).sendAsync,
	"send-slowly":        (*dataPlane).sendSlowly,
	"leave":              (*dataPlane).closeConnection,
	"want-working":       (*dataPlane).wantWorking,
	"shutdown":           (*dataPlane).shutDownCommand,
	"estimates":          (*dataPlane).enableEstimates,

	"want":          (*dataPlane).wantStatuses,
	"want-header":   (*dataPlane).wantHeader,
	"want-within":   (*dataPlane).wantWithin,
	"want-runs":     (*dataPlane).wantRuns,
	"want-tenants":  (*dataPlane).wantTenants,
	"want-estimate": (*dataPlane).wantEstimate,
	"want-slow":     (*dataPlane).wantSlowLookup,
	"want-parts":    (*dataPlane).wantDifferences,
}

// Do runs a command.
func (p *dataPlane) Do(c simulation.Command) error { return dataPlaneCommands.Do(p, c) }

// TestPlane runs the scenarios in testdata/plane; the head of each file states the expected result.
func TestPlane(t *testing.T) {
	simulation.RunScenarios(t, "testdata/plane", synctest.Test, func(t *testing.T) simulation.World {
		t.Helper()
		p := newDataPlane(t)
		t.Cleanup(p.shutDown)
		return p
	})
}
