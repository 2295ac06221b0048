package simulation_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
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

// adversary is a set of leafs on real sockets that end calls in every way that leafs and
// networks do, and note what they ran.
type adversary struct {
	t         *testing.T
	seed      int
	mu        sync.Mutex
	rng       *rand.Rand
	runs      map[string]int
	last      string // a request that some leaf ran
	stamp     int
	listeners []net.Listener
}

// callEndings is how a leaf ends a call; most calls go one of the first ways, after
// which the leaf is not barred, and which many others must therefore survive.
var callEndings = []string{"well", "well", "twice-late", "bye", "closing", "hints", "twice", "alien", "reset-early", "reset", "end", "cut", "stall", "silent",
	"shed", "shed-twice", "shed-early", "421", "error", "unstamped", "encoded", "unmarked", "garbage", "unrun-503", "unrun-429", "unrun-408"}

const mildEndings = 6

func (s *adversary) drawEnding() string {
	if s.draw(8) > 0 {
		return callEndings[s.draw(mildEndings)]
	}
	return callEndings[s.draw(len(callEndings))]
}

func (s *adversary) draw(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.Intn(n)
}

func (s *adversary) leaf(id, service string) distribution.Endpoint {
	door, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		s.t.Fatal(err)
	}
	s.listeners = append(s.listeners, door)
	go func() {
		for {
			c, err := door.Accept()
			if err != nil {
				return
			}
			go s.serve(c, id, strings.HasPrefix(service, "g"))
		}
	}()
	return distribution.Endpoint{ID: id, Service: service, Addr: door.Addr().String(), Zone: "a", Slots: 8}
}

// bodyOf is what a request carries and what its answer holds.
func bodyOf(id string, n int) string { return strings.Repeat(fmt.Sprintf("%-16s", id), n) }

func (s *adversary) serve(c net.Conn, leaf string, part bool) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if r.URL.Path == "/health" {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Comethold-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", leaf)
			continue
		}
		id := r.Header.Get("X-Comethold-Request-Id")
		way := s.drawEnding()
		if way == "shed-early" {
			fmt.Fprint(c, "HTTP/1.1 503 Full\r\nX-Comethold-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
			return
		}
		if way != "reset-early" {
			raw, err := io.ReadAll(r.Body)
			if err != nil {
				return
			}
			if n, _ := strconv.Atoi(r.URL.Query().Get("n")); string(raw) != bodyOf(id, n) || r.URL.Path != "/"+id {
				s.t.Errorf("seed %d: %s has another body or path", s.seed, id)
			}
		}
		s.mu.Lock()
		other := s.last
		if !strings.HasPrefix(way, "shed") && way != "421" {
			s.runs[id]++
			s.last = id
		}
		s.stamp++
		stamp := fmt.Sprintf("%s.%s.%d", id, leaf, s.stamp)
		s.mu.Unlock()
		time.Sleep(time.Duration(s.draw(1500)) * time.Microsecond)
		make := func(status, name, header string) string {
			body, size := bodyOf(name, 2), 32
			if r.Method == http.MethodHead {
				body = ""
			}
			if !part { // parts name no request
				header += "X-Comethold-Request-Id: " + name + "\r\n"
			}
			return fmt.Sprintf("HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, header, size, body)
		}
		stamped := "X-Comethold-Server-Stamp: " + stamp + "\r\n"
		well := make("200 OK", id, stamped)
		const shed = "HTTP/1.1 503 Full\r\nX-Comethold-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
		again := ""
		switch way {
		case "hints":
			fmt.Fprint(c, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"+well)
		case "bye": // it ends while the next request may be on its way
			fmt.Fprint(c, well)
			time.Sleep(time.Duration(s.draw(800)) * time.Microsecond)
			return
		case "closing":
			fmt.Fprint(c, make("200 OK", id, stamped+"Connection: close\r\n"))
			return
		case "twice":
			fmt.Fprint(c, well+well)
		case "twice-late":
			again = well
			fmt.Fprint(c, well)
		case "alien":
			if part || other == "" {
				other = id
			}
			fmt.Fprint(c, make("200 OK", other, stamped))
		case "reset-early", "reset":
			_ = c.(*net.TCPConn).SetLinger(0)
			return
		case "end":
			return
		case "cut":
			fmt.Fprint(c, well[:1+s.draw(len(well)-1)])
			return
		case "stall":
			fmt.Fprint(c, well[:1+s.draw(len(well)-1)])
			_, _ = in.ReadByte()
			return
		case "silent":
			_, _ = in.ReadByte()
			return
		case "shed":
			fmt.Fprint(c, shed)
		case "shed-twice":
			again = shed
			fmt.Fprint(c, shed)
		case "421":
			fmt.Fprint(c, "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")
		case "error":
			fmt.Fprint(c, make("500 Failed", id, stamped))
		case "unstamped":
			fmt.Fprint(c, make("200 OK", id, ""))
		case "encoded":
			fmt.Fprint(c, make("200 OK", id, stamped+"Content-Encoding: gzip\r\n"))
		case "unmarked":
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s\r\n%s", stamped, bodyOf(id, 1))
			return
		case "garbage":
			fmt.Fprint(c, "ZZZZ\r\n\r\n")
		case "unrun-503", "unrun-429", "unrun-408": // as if it had not run, but it has
			fmt.Fprint(c, make(way[6:]+" No", id, stamped))
		default:
			fmt.Fprint(c, well)
		}
		if again != "" {
			time.Sleep(time.Duration(s.draw(1200)) * time.Microsecond)
			fmt.Fprint(c, again)
		}
	}
}

// asked is a request of the test's client.
type asked struct {
	id   string
	once bool
	code int
}

// judge looks at one answer.
func (s *adversary) judge(host, id string, head bool, w *httptest.ResponseRecorder) {
	fault := func(what string) {
		s.t.Errorf("seed %d: %s on %s got %d %s: %v %.80q", s.seed, id, host, w.Code, what, w.Header(), w.Body)
	}
	if got := w.Header().Get("X-Comethold-Request-Id"); got != "" && got != id {
		fault("of another request")
	}
	if w.Code/100 != 2 {
		return
	}
	if host != "c.example" {
		size := w.Header().Get("Content-Length") // an unmarked answer to HEAD names none
		if head && (w.Body.Len() > 0 || size != "" && size != "32") || !head && (w.Body.String() != bodyOf(id, 2) || size != "32") || !strings.HasPrefix(w.Header().Get("X-Comethold-Server-Stamp"), id+".") {
			fault("that is not its own")
		}
		return
	}
	seen := map[string]bool{}
	for _, stamp := range strings.Split(w.Header().Get("X-Comethold-Part-Stamps"), ", ") {
		if !strings.HasPrefix(stamp, id+".") || seen[stamp] {
			fault("with the stamp " + stamp)
		}
		seen[stamp] = true
	}
	if w.Body.String() != bodyOf(id, min(4, 2*len(seen))) {
		fault("with records of others")
	}
}

// TestStrangeLeafs: many callers at once of one switch, among leafs that end calls in
// every way. Each answer is its request's own; what may not be repeated runs once at the
// most, and not at all where the client is told so.
func TestStrangeLeafs(t *testing.T) {
	for seed := range simulation.SeedCount(3) {
		s := &adversary{t: t, seed: seed, rng: rand.New(rand.NewSource(int64(seed))), runs: map[string]int{}}
		list := &distribution.EndpointList{Revision: distribution.Revision{Term: 1, Sequence: 1}}
		services := []map[string]any{}
		for _, name := range []string{"s1", "g1", "g2", "g3"} {
			services = append(services, map[string]any{"name": name, "healthPath": "/health", "connectionLimit": 40})
			for i := range 6 {
				list.Endpoints = append(list.Endpoints, s.leaf(name+"-"+strconv.Itoa(i), name))
			}
		}
		route := func(host, kind, key string, value any) map[string]any {
			return map[string]any{"name": host, "hostname": host, "pathPrefix": "/", "routeKind": kind, "timeoutMs": 5000, "targetLatencyMs": 20,
				"maxAttempts": 3, key: value, "resultCount": 4, "minimumShardShare": 0.5}
		}
		raw, _ := json.Marshal(map[string]any{"version": 1, "services": services, "limits": map[string]any{"maxBodyBytes": 1 << 20},
			"routes": []any{route("a.example", "unsafe", "service", "s1"), route("b.example", "safe", "service", "s1"),
				route("c.example", "safe", "fanoutServices", []string{"g1", "g2", "g3"})}})
		cfg, err := routing.Decode(raw)
		if err != nil {
			t.Fatal(err)
		}
		sw := proxy.New(&settings.Settings{NodeName: "n1", IPAddress: "10.0.0.1", AvailabilityZone: "a", RegionName: "r",
			InternalPortRange: []int{7000, 7010}, SeedNodes: []string{"10.0.0.2:80"},
			Bounds: settings.Bounds{RetryBudgetRatio: 5, RetryWindowS: 10, RetryBudgetSlack: 20}}, logging.Nop(), rpc.TCPNetwork)
		sw.Apply(&distribution.Update{Config: distribution.FullConfig(cfg), Endpoints: list, Nodes: &distribution.NodeList{LogIndex: 1, DataPlaneCount: 1}})
		var next, well atomic.Int64
		var all []asked
		var wg sync.WaitGroup
		end := time.Now().Add(900 * time.Millisecond)
		for k := range 12 {
			rng := rand.New(rand.NewSource(int64(1000*seed + k)))
			wg.Go(func() {
				for time.Now().Before(end) {
					host := []string{"a.example", "b.example", "c.example"}[k%3]
					id := "q" + strconv.FormatInt(next.Add(1), 10)
					n := 0
					if rng.Intn(2) == 0 {
						n = 1 << rng.Intn(15)
					}
					method := "POST"
					if k%3 > 0 {
						method = "GET"
					}
					if k%6 == 1 {
						method, n = "HEAD", 0
					}
					ctx, cancel := context.WithCancel(context.Background())
					r := httptest.NewRequestWithContext(ctx, method, fmt.Sprintf("/%s?n=%d", id, n), strings.NewReader(bodyOf(id, n)))
					r.Host = host
					r.Header.Set("X-Comethold-Request-Id", id)
					r.Header.Set("X-Comethold-Deadline-Remaining", strconv.Itoa(20+rng.Intn(60)))
					if rng.Intn(10) == 0 { // the client goes away
						time.AfterFunc(time.Millisecond, cancel)
					}
					w := httptest.NewRecorder()
					sw.Handler().ServeHTTP(w, r)
					cancel()
					s.judge(host, id, method == "HEAD", w)
					if w.Code == http.StatusOK {
						well.Add(1)
					}
					s.mu.Lock()
					all = append(all, asked{id, host == "a.example", w.Code})
					s.mu.Unlock()
					if w.Code == http.StatusServiceUnavailable {
						time.Sleep(2 * time.Millisecond)
					}
				}
			})
		}
		wg.Wait()
		sw.Close()
		time.Sleep(20 * time.Millisecond)
		for _, d := range s.listeners {
			_ = d.Close()
		}
		s.mu.Lock()
		for _, a := range all {
			promised := a.code == 429 || a.code == 503 || a.code == 408 || a.code == 421
			if a.once && (s.runs[a.id] > 1 || promised && s.runs[a.id] > 0) {
				t.Errorf("seed %d: %s was answered %d and ran %d times", seed, a.id, a.code, s.runs[a.id])
			}
		}
		t.Logf("seed %d: %d requests, %d well", seed, len(all), well.Load())
		s.mu.Unlock()
		if well.Load() == 0 {
			t.Errorf("seed %d: nothing went well", seed)
		}
	}
}
