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
	unsafeHost  = "a.example" // what may not be repeated
	safeHost    = "b.example"
	scatterHost = "c.example"
)

// TestStrangeLeafs: many concurrent clients of one proxy, with leafs that end calls in all possible
// ways. Each answer belongs to its request; a request that may not be repeated runs at most
// once, and not at all if the client's answer says so.
func TestStrangeLeafs(t *testing.T) {
	for seed := range simulation.SeedCount(3) {
		a := newAdversary(t, seed)
		front := proxy.New(strangeSettings(), logging.Nop(), rpc.TCPNetwork)
		front.Apply(&distribution.Update{
			Config:    distribution.FullConfig(strangeConfiguration(t)),
			Endpoints: strangeEndpoints(a),
			Nodes:     &distribution.NodeList{LogIndex: 1, DataPlaneCount: 1},
		})
		run := &strangeRun{adversary: a, handler: front.Handler(), end: time.Now().Add(900 * time.Millisecond)}
		run.callAll()
		front.Close()
		time.Sleep(20 * time.Millisecond)
		a.close()
		run.check(t)
	}
}

func strangeSettings() *settings.Settings {
	return &settings.Settings{
		NodeName: "n1", IPAddress: "10.0.0.1", AvailabilityZone: "a", RegionName: "r",
		InternalPortRange: []int{7000, 7010}, SeedNodes: []string{"10.0.0.2:80"},
		Bounds: settings.Bounds{RetryBudgetRatio: 5, RetryWindowS: 10, RetryBudgetSlack: 20},
	}
}

// strangeServices are the services; the ones named g... are the shards of one index.
var strangeServices = []string{"s1", "g1", "g2", "g3"}

func strangeConfiguration(t *testing.T) *routing.Configuration {
	t.Helper()
	config := routing.Configuration{Version: 1, Limits: routing.Limits{MaxBodyBytes: 1 << 20}}
	for _, name := range strangeServices {
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
			route.Service = strangeServices[0]
		case safeHost:
			route.Service = strangeServices[0]
		default:
			route.FanoutServices = strangeServices[1:]
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

// strangeEndpoints starts six leafs of each service.
func strangeEndpoints(a *adversary) *distribution.EndpointList {
	const leafsPerService = 6
	list := &distribution.EndpointList{Revision: distribution.Revision{Term: 1, Sequence: 1}}
	for _, name := range strangeServices {
		for i := range leafsPerService {
			list.Endpoints = append(list.Endpoints, a.leaf(name+"-"+strconv.Itoa(i), name))
		}
	}
	return list
}

// strangeRun is the state of one run: many concurrent clients of one proxy.
type strangeRun struct {
	adversary *adversary
	handler   http.Handler
	end       time.Time
	nextID    atomic.Int64
	succeeded atomic.Int64

	mu    sync.Mutex // guards the field below
	asked []askedRequest
}

// askedRequest is a request of the test's client and its status.
type askedRequest struct {
	id     string
	isOnce bool // it may not be repeated
	code   int
}

// callAll runs twelve clients that send requests until the end.
func (s *strangeRun) callAll() {
	const callers = 12
	var calling sync.WaitGroup
	for caller := range callers {
		rng := rand.New(rand.NewSource(int64(1000*s.adversary.seed + caller)))
		calling.Go(func() {
			for time.Now().Before(s.end) {
				s.call(caller, rng)
			}
		})
	}
	calling.Wait()
}

// call sends one request with the client's route and method, and checks its answer.
func (s *strangeRun) call(caller int, rng *rand.Rand) {
	host := []string{unsafeHost, safeHost, scatterHost}[caller%3]
	id := "q" + strconv.FormatInt(s.nextID.Add(1), 10)
	records := 0
	if rng.Intn(2) == 0 {
		records = 1 << rng.Intn(15)
	}
	method := http.MethodPost
	if caller%3 > 0 {
		method = http.MethodGet
	}
	if caller%6 == 1 {
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
	if rng.Intn(10) == 0 { // the client goes away
		time.AfterFunc(time.Millisecond, cancel)
	}
	answer := httptest.NewRecorder()
	s.handler.ServeHTTP(answer, request)
	s.judge(host, id, method == http.MethodHead, answer)
	if answer.Code == http.StatusOK {
		s.succeeded.Add(1)
	}
	s.mu.Lock()
	s.asked = append(s.asked, askedRequest{id, host == unsafeHost, answer.Code})
	s.mu.Unlock()
	if answer.Code == http.StatusServiceUnavailable {
		time.Sleep(2 * time.Millisecond)
	}
}

// judge checks one answer.
func (s *strangeRun) judge(host, id string, isHead bool, w *httptest.ResponseRecorder) {
	fault := func(what string) {
		s.adversary.t.Errorf("seed %d: %s on %s got %d %s: %v %.80q",
			s.adversary.seed, id, host, w.Code, what, w.Header(), w.Body)
	}
	if got := w.Header().Get("X-Comethold-Request-Id"); got != "" && got != id {
		fault("of another request")
	}
	if w.Code/100 != 2 {
		return
	}
	if host != scatterHost {
		if !isOwnAnswer(id, isHead, w) {
			fault("that is not its own")
		}
		return
	}
	seen := map[string]bool{}
	for stamp := range strings.SplitSeq(w.Header().Get("X-Comethold-Part-Stamps"), ", ") {
		if !strings.HasPrefix(stamp, id+".") || seen[stamp] {
			fault("with the stamp " + stamp)
		}
		seen[stamp] = true
	}
	if w.Body.String() != bodyOf(id, min(4, 2*len(seen))) {
		fault("with records of others")
	}
}

// isOwnAnswer reports whether an answer of one leaf is complete and belongs to the request.
func isOwnAnswer(id string, isHead bool, w *httptest.ResponseRecorder) bool {
	if !strings.HasPrefix(w.Header().Get("X-Comethold-Server-Stamp"), id+".") {
		return false
	}
	body := bodyOf(id, 2)
	size := w.Header().Get("Content-Length")
	if isHead { // an unmarked answer to HEAD names no size
		return w.Body.Len() == 0 && (size == "" || size == strconv.Itoa(len(body)))
	}
	return w.Body.String() == body && size == strconv.Itoa(len(body))
}

// check compares the answers that clients got with the requests that leafs ran.
func (s *strangeRun) check(t *testing.T) {
	t.Helper()
	a := s.adversary
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, asked := range s.asked {
		isPromise := asked.code == http.StatusTooManyRequests || asked.code == http.StatusServiceUnavailable ||
			asked.code == http.StatusRequestTimeout || asked.code == http.StatusMisdirectedRequest
		if runs := a.runs[asked.id]; asked.isOnce && (runs > 1 || isPromise && runs > 0) {
			t.Errorf("seed %d: %s was answered %d and ran %d times", a.seed, asked.id, asked.code, runs)
		}
	}
	t.Logf("seed %d: %d requests, %d well", a.seed, len(s.asked), s.succeeded.Load())
	if s.succeeded.Load() == 0 {
		t.Errorf("seed %d: nothing went well", a.seed)
	}
}
