package simulation_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"comethold/internal/distribution"
	"comethold/internal/logging"
	"comethold/internal/proxy"
	"comethold/internal/routing"
	"comethold/internal/rpc"
	"comethold/internal/settings"
	"comethold/internal/simulation"
)

// Hosts of the routes.
const (
	unsafeHost  = "a.example" // its requests must not be repeated
	safeHost    = "b.example"
	scatterHost = "c.example"
)

// TestFaultyLeafs guards against answers that reach the wrong client and against requests that run twice. Many
// concurrent clients use one proxy whose leafs end calls with random callEndings. Each answer must belong to its
// request. A request that must not be repeated must run at most once, and must not run at all if its client gets
// a status that means that it has not run.
func TestFaultyLeafs(t *testing.T) {
	for seed := range simulation.SeedCount(3) {
		a := newAdversary(t, seed)
		server := proxy.New(adversarySettings(), logging.Nop(), rpc.TCPNetwork)
		server.Apply(&distribution.Update{
			Config:    distribution.FullConfig(adversaryConfiguration(t)),
			Endpoints: adversaryEndpoints(a),
			Nodes:     &distribution.NodeList{LogIndex: 1, DataPlaneCount: 1},
		})
		run := &adversaryRun{adversary: a, handler: server.Handler(), end: time.Now().Add(900 * time.Millisecond)}
		run.runClients()
		server.Close()
		time.Sleep(20 * time.Millisecond)
		a.close()
		run.check(t)
	}
}

func adversarySettings() *settings.Settings {
	return &settings.Settings{
		NodeName: "n1", IPAddress: "10.0.0.1", AvailabilityZone: "a", RegionName: "r",
		InternalPortRange: []int{7000, 7010}, SeedNodes: []string{"10.0.0.2:80"},
		Bounds: settings.Bounds{RetryBudgetRatio: 5, RetryWindowS: 10, RetryBudgetSlack: 20},
	}
}

// adversaryServices are the services; those whose names begin with "g" are the shards of one index.
var adversaryServices = []string{"s1", "g1", "g2", "g3"}

func adversaryConfiguration(t *testing.T) *routing.Configuration {
	t.Helper()
	config := routing.Configuration{Version: 1, Limits: routing.Limits{MaxBodyBytes: 1 << 20}}
	for _, name := range adversaryServices {
		service := routing.Service{Name: name, HealthPath: "/health", ConnectionLimit: 40}
		config.Services = append(config.Services, service)
	}
	for _, host := range []string{unsafeHost, safeHost, scatterHost} {
		route := routing.Route{
			Name: host, Hostname: host, PathPrefix: "/", RouteKind: routing.KindSafe, TimeoutMs: 5000,
			TargetLatencyMs: 20, MaxAttempts: 3, ResultCount: 4, MinimumShardShare: 0.5,
		}
		switch host {
		case unsafeHost:
			route.RouteKind = routing.KindUnsafe
			route.Service = adversaryServices[0]
		case safeHost:
			route.Service = adversaryServices[0]
		default:
			route.FanoutServices = adversaryServices[1:]
		}
		config.Routes = append(config.Routes, route)
	}
	raw, err := json.Marshal(config)
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := routing.Decode(raw)
	if err != nil {
		t.Fatal(err)
	}
	return decoded
}

// adversaryEndpoints starts six leafs of each service.
func adversaryEndpoints(a *adversary) *distribution.EndpointList {
	const leafsPerService = 6
	list := &distribution.EndpointList{Revision: distribution.Revision{Term: 1, Sequence: 1}}
	for _, name := range adversaryServices {
		for i := range leafsPerService {
			list.Endpoints = append(list.Endpoints, a.startLeaf(name+"-"+strconv.Itoa(i), name))
		}
	}
	return list
}

// adversaryRun is the state of one run: many concurrent clients of one proxy.
type adversaryRun struct {
	adversary *adversary
	handler   http.Handler
	end       time.Time
	nextID    atomic.Int64
	succeeded atomic.Int64

	mu       sync.Mutex // guards the field below
	requests []sentRequest
}

// sentRequest is a request of a client and the status that the client got.
type sentRequest struct {
	id       string
	isUnsafe bool // it must not be repeated
	code     int
}

// runClients runs twelve concurrent clients that send requests until the end time.
func (s *adversaryRun) runClients() {
	const clients = 12
	var running sync.WaitGroup
	for client := range clients {
		rng := rand.New(rand.NewSource(int64(1000*s.adversary.seed + client)))
		running.Go(func() {
			for time.Now().Before(s.end) {
				s.sendRequest(client, rng)
			}
		})
	}
	running.Wait()
}

// sendRequest sends one request with the route and method of a client, and checks its answer.
func (s *adversaryRun) sendRequest(client int, rng *rand.Rand) {
	host := []string{unsafeHost, safeHost, scatterHost}[client%3]
	id := "q" + strconv.FormatInt(s.nextID.Add(1), 10)
	records := 0
	if rng.Intn(2) == 0 {
		records = 1 << rng.Intn(15)
	}
	method := http.MethodPost
	if client%3 > 0 {
		method = http.MethodGet
	}
	if client%6 == 1 {
		method = http.MethodHead
		records = 0
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	body := strings.NewReader(bodyOf(id, records))
	request := httptest.NewRequestWithContext(ctx, method, fmt.Sprintf("/%s?n=%d", id, records), body)
	request.Host = host
	request.Header.Set("X-Comethold-Request-Id", id)
	request.Header.Set("X-Comethold-Deadline-Remaining", strconv.Itoa(20+rng.Intn(60)))
	if rng.Intn(10) == 0 { // the client closes the connection early
		time.AfterFunc(time.Millisecond, cancel)
	}
	answer := httptest.NewRecorder()
	s.handler.ServeHTTP(answer, request)
	s.checkAnswer(host, id, method == http.MethodHead, answer)
	if answer.Code == http.StatusOK {
		s.succeeded.Add(1)
	}
	s.mu.Lock()
	s.requests = append(s.requests, sentRequest{id, host == unsafeHost, answer.Code})
	s.mu.Unlock()
	if answer.Code == http.StatusServiceUnavailable {
		time.Sleep(2 * time.Millisecond)
	}
}

// checkAnswer checks that an answer is complete and belongs to its request.
func (s *adversaryRun) checkAnswer(host, id string, isHead bool, w *httptest.ResponseRecorder) {
	fail := func(problem string) {
		s.adversary.t.Errorf("seed %d: request %s to %s got status %d: %s; headers %v, body %.80q",
			s.adversary.seed, id, host, w.Code, problem, w.Header(), w.Body)
	}
	if got := w.Header().Get("X-Comethold-Request-Id"); got != "" && got != id {
		fail("X-Comethold-Request-Id is that of another request")
	}
	if w.Code/100 != 2 {
		return
	}
	if host != scatterHost {
		if !isOwnAnswer(id, isHead, w) {
			fail("the answer is incomplete or belongs to another request")
		}
		return
	}
	seen := map[string]bool{}
	for stamp := range strings.SplitSeq(w.Header().Get("X-Comethold-Part-Stamps"), ", ") {
		if !strings.HasPrefix(stamp, id+".") || seen[stamp] {
			fail("part stamp repeated or of another request: " + stamp)
		}
		seen[stamp] = true
	}
	if w.Body.String() != bodyOf(id, min(4, 2*len(seen))) {
		fail("records are missing or belong to another request")
	}
}

// isOwnAnswer reports whether an answer of one leaf is complete and belongs to the request.
func isOwnAnswer(id string, isHead bool, w *httptest.ResponseRecorder) bool {
	if !strings.HasPrefix(w.Header().Get("X-Comethold-Server-Stamp"), id+".") {
		return false
	}
	body := bodyOf(id, 2)
	size := w.Header().Get("Content-Length")
	if isHead { // the "unmarked" ending has no Content-Length
		return w.Body.Len() == 0 && (size == "" || size == strconv.Itoa(len(body)))
	}
	return w.Body.String() == body && size == strconv.Itoa(len(body))
}

// check compares the statuses that clients got with the requests that leafs ran.
func (s *adversaryRun) check(t *testing.T) {
	t.Helper()
	a := s.adversary
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, sent := range s.requests {
		meansNotRun := sent.code == http.StatusTooManyRequests || sent.code == http.StatusServiceUnavailable ||
			sent.code == http.StatusRequestTimeout || sent.code == http.StatusMisdirectedRequest
		if runs := a.runs[sent.id]; sent.isUnsafe && (runs > 1 || meansNotRun && runs > 0) {
			t.Errorf("seed %d: unsafe request %s got status %d and ran %d times, want at most 1, or 0 if rejected",
				a.seed, sent.id, sent.code, runs)
		}
	}
	t.Logf("seed %d: %d requests, %d with status 200", a.seed, len(s.requests), s.succeeded.Load())
	if s.succeeded.Load() == 0 {
		t.Errorf("seed %d: no request got status 200, want at least one", a.seed)
	}
}
