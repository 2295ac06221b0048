package simulation_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sort"
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

// leaf is a stand-in for a server: it answers by its mode.
type leaf struct {
	distribution.Endpoint
	workTime time.Duration
	mode     string
	modeUses int // so many answers by the mode, then well; 0: always
	runs     int
	calls    int
}

// plane is one switch among stand-ins for leafs, on simulated time.
type plane struct {
	t     *testing.T
	proxy *proxy.Server

	mu            sync.Mutex
	leafs         map[string]*leaf
	routes        []map[string]any
	tenants       []map[string]any
	tenantsSeen   map[string][]string // the tenants that a leaf was told, in order
	version       uint64
	sequence      uint64
	ejected       map[string]distribution.EjectionMark
	logIndex      uint64
	statuses      map[string]int
	last          *httptest.ResponseRecorder
	runsByRequest map[string]int
	nextID        int
	latency       time.Duration
	wg            sync.WaitGroup
	conns         []net.Conn
	quit          chan struct{}
	sameRecords   bool // all leafs hold the same records
	settings      *settings.Settings
	clients       clients
}

func newPlane(t *testing.T) *plane {
	p := &plane{t: t, leafs: map[string]*leaf{}, ejected: map[string]distribution.EjectionMark{}, statuses: map[string]int{}, runsByRequest: map[string]int{}, tenantsSeen: map[string][]string{}, quit: make(chan struct{})}
	set := &settings.Settings{NodeName: "n1", IPAddress: "10.0.0.1", AvailabilityZone: "a", RegionName: "r",
		InternalPortRange: []int{7000, 7010}, SeedNodes: []string{"10.0.0.2:80"},
		Bounds: settings.Bounds{RetryBudgetRatio: 0.2, RetryWindowS: 10, RetryBudgetSlack: 20}}
	p.settings = set
	p.proxy = proxy.New(set, logging.Nop(), func(_, _ time.Duration) func(context.Context, string, string) (net.Conn, error) { return p.dial })
	return p
}

func (p *plane) dial(_ context.Context, _, addr string) (net.Conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.leafs {
		if l.Addr == addr {
			if l.mode == "down" {
				return nil, errors.New("refused")
			}
			ours, theirs := net.Pipe()
			p.conns = append(p.conns, ours)
			go p.serve(l, theirs)
			return ours, nil
		}
	}
	return nil, errors.New("no such address")
}

// serve is a leaf's side of one connection.
func (p *plane) serve(l *leaf, c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	var rested time.Time
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		long := !rested.IsZero() && time.Since(rested) > 300*time.Millisecond
		_, _ = io.Copy(io.Discard, r.Body)
		p.mu.Lock()
		mode := l.mode
		if l.calls++; l.modeUses > 0 && l.calls > l.modeUses {
			mode = "ok"
		}
		id := r.Header.Get("X-Comethold-Request-Id")
		health := r.URL.Path == "/health"
		forgot := mode == "forget" && long
		if runs := mode != "shed" && !forgot && mode != "421"; runs && !health {
			l.runs++
			p.runsByRequest[id]++
			p.tenantsSeen[l.ID] = append(p.tenantsSeen[l.ID], strings.Join(r.Header["X-Comethold-Tenant"], "+"))
			if len(p.tenants) > 0 && strings.Contains(fmt.Sprint(r.Header), "key") {
				p.t.Errorf("%s is shown a key: %v", l.ID, r.Header)
			}
		}
		work := l.workTime
		p.mu.Unlock()
		say := func(status, header, body string) {
			fmt.Fprintf(c, "HTTP/1.1 %s\r\nX-Comethold-Instance-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, l.ID, header, len(body), body)
		}
		stamp := "X-Comethold-Server-Stamp: " + l.ID + "." + id + "\r\n"
		body := strings.Repeat(fmt.Sprintf("%-16s", l.ID)[:16], 2)
		if p.sameRecords {
			body = fmt.Sprintf("%016d%016d%016d", 3, 1, 2)
		}
		switch {
		case forgot: // an idle connection that the leaf no longer knows
			return
		case mode == "mute":
			<-p.quit
			return
		case mode == "shed":
			say("503 Service Unavailable", "X-Comethold-Not-Executed: 1\r\n", "")
			continue
		case mode == "421":
			say("421 Misdirected Request", "", "")
			continue
		case health && mode == "ill":
			say("503 Service Unavailable", "", "")
			continue
		case health && mode != "lie":
			say("200 OK", "", "")
			continue
		}
		time.Sleep(work)
		switch mode {
		case "empty":
			say("200 OK", stamp, "")
		case "double":
			say("200 OK", stamp, body+body[:16])
		case "stale":
			say("200 OK", stamp, body[16:])
		case "error", "lie":
			say("500 Internal Server Error", stamp, "")
		case "cut":
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", stamp, len(body)+9, body)
			return
		case "reset":
			return
		case "stall":
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", stamp, len(body), body[:9])
			<-p.quit
			return
		case "hints":
			fmt.Fprint(c, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n")
			say("200 OK", stamp, body)
		case "alien":
			say("200 OK", stamp+"X-Comethold-Request-Id: another\r\n", body)
		case "twice": // the second arrives when the next request is out
			stamp += "X-Comethold-Request-Id: " + id + "\r\n"
			say("200 OK", stamp, body)
			go say("200 OK", stamp, body)
		case "closing":
			say("200 OK", stamp+"Connection: close\r\n", body)
			return
		case "bye": // it ends when the next request is being written
			say("200 OK", stamp, body)
			_, _ = in.Peek(1)
			return
		case "extra":
			say("200 OK", stamp, body)
			say("200 OK", "X-Comethold-Server-Stamp: alien\r\n", "alien")
		default:
			say("200 OK", stamp, body)
		}
		rested = time.Now()
	}
}

// publish feeds the switch what the scenario has set so far.
func (p *plane) publish() {
	p.mu.Lock()
	p.sequence++
	p.logIndex++
	l := &distribution.EndpointList{Revision: distribution.Revision{Term: 1, Sequence: p.sequence}}
	names := map[string]bool{}
	for _, one := range p.leafs {
		l.Endpoints = append(l.Endpoints, one.Endpoint)
		names[one.Service] = true
	}
	var services []map[string]any
	for n := range names {
		services = append(services, map[string]any{"name": n, "healthPath": "/health", "connectionLimit": 40})
	}
	sort.Slice(services, func(i, j int) bool { return services[i]["name"].(string) < services[j]["name"].(string) })
	marks := map[string]distribution.EjectionMark{}
	for k, v := range p.ejected {
		marks[k] = v
	}
	p.version++
	raw, _ := json.Marshal(map[string]any{"version": p.version, "routes": p.routes, "services": services, "tenants": p.tenants, "limits": map[string]any{"maxBodyBytes": 64, "idleTimeoutMs": p.clients.idle}})
	cfg, _ := routing.Decode(raw)
	n := &distribution.Update{Config: distribution.FullConfig(cfg), Endpoints: l,
		EjectionMarks: []distribution.EjectionMarks{{IndexName: "i1", LogIndex: p.logIndex, Ejected: marks}},
		Nodes:         &distribution.NodeList{LogIndex: p.logIndex, DataPlaneCount: 4}}
	p.mu.Unlock()
	p.proxy.Apply(n)
}

func (p *plane) request(host, path, method, body string, opts map[string]string) {
	p.mu.Lock()
	p.nextID++
	id := "q" + strconv.Itoa(p.nextID)
	p.mu.Unlock()
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Host, r.RequestURI = host, path
	if opts["noid"] == "" {
		r.Header.Set("X-Comethold-Request-Id", id)
	}
	r.Header.Set("X-Comethold-Deadline-Remaining", "1000")
	if v := opts["deadline"]; v != "" {
		r.Header.Set("X-Comethold-Deadline-Remaining", v)
	}
	if v, ok := opts["key"]; ok {
		r.Header.Set("Authorization", strings.ReplaceAll(v, "_", " "))
	}
	if v := opts["claims"]; v != "" {
		r.Header.Set("X-Comethold-Tenant", v)
	}
	w := httptest.NewRecorder()
	start := time.Now()
	p.proxy.Handler().ServeHTTP(w, r)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.latency = max(p.latency, time.Since(start))
	p.statuses[strconv.Itoa(w.Code)]++
	p.last = w
	promise := w.Code == 429 || w.Code == 503
	if promise && p.runsByRequest[id] > 0 && method == "POST" {
		p.t.Errorf("%s was answered %d and has run", id, w.Code)
	}
	if promise && w.Header().Get("Retry-After") == "" {
		p.t.Errorf("%s was answered %d without word of when to come back", id, w.Code)
	}
	if method == "POST" && p.runsByRequest[id] > 1 {
		p.t.Errorf("%s ran %d times", id, p.runsByRequest[id])
	}
	if stamps := w.Header().Get("X-Comethold-Server-Stamp") + w.Header().Get("X-Comethold-Part-Stamps"); w.Code == 200 {
		for _, stamp := range strings.Split(stamps, ", ") {
			if !strings.HasSuffix(stamp, "."+id) {
				p.t.Errorf("%s got an answer with the stamp %s", id, stamp)
			}
		}
	}
	if w.Code == 200 && bytes.Contains(w.Body.Bytes(), []byte("alien")) {
		p.t.Errorf("%s got bytes that belong to no request", id)
	}
}

func (p *plane) Do(c simulation.Command) error {
	switch c.Verb {
	case "leaf": // leaf ID SERVICE [zone= work= slots= mode= times= cold=]
		l := &leaf{Endpoint: distribution.Endpoint{ID: c.Word(0), Service: c.Word(1), Addr: c.Word(0) + ":80", Zone: "a", Slots: int(c.Number("slots", 4)), WarmingUp: c.Options["cold"] != ""},
			workTime: time.Duration(c.Number("work", 10) * float64(time.Millisecond)), mode: c.Options["mode"], modeUses: int(c.Number("times", 0))}
		if z := c.Options["zone"]; z != "" {
			l.Zone = z
		}
		p.leafs[l.ID] = l
	case "set": // set ID [mode= times= work= draining=]
		p.mu.Lock()
		l := p.leafs[c.Word(0)]
		l.mode, l.calls, l.modeUses = c.Options["mode"], 0, int(c.Number("times", float64(l.modeUses)))
		l.workTime = time.Duration(c.Number("work", float64(l.workTime.Milliseconds())) * float64(time.Millisecond))
		l.Draining = c.Options["draining"] != ""
		p.mu.Unlock()
	case "route": // route HOST PREFIX KIND SERVICE,... [gather= target= tries= least=]
		r := map[string]any{"name": fmt.Sprint("r", len(p.routes)), "hostname": c.Word(0), "pathPrefix": c.Word(1), "routeKind": c.Word(2),
			"timeoutMs": c.Number("timeout", 5000), "targetLatencyMs": c.Number("target", 200), "maxAttempts": c.Number("tries", 2)}
		if n := c.Options["gather"]; n != "" {
			r["fanoutServices"], r["resultCount"] = strings.Split(c.Word(3), ","), c.Number("gather", 1)
			r["minimumShardShare"] = c.Number("least", 1)
			if class := c.Options["class"]; class != "" {
				r["lookupClass"] = class
			}
		} else {
			r["service"] = c.Word(3)
		}
		if c.Options["public"] != "" {
			r["public"] = true
		}
		p.routes = append(p.routes, r)
	case "estimates": // estimates SHADOW: from the start, lookups are followed; leafs hold the same records
		p.sameRecords = true
		p.settings.Estimates.Enabled = true
		p.settings.Estimates.ShadowShare, _ = strconv.ParseFloat(c.Word(0), 64)
		p.proxy = proxy.New(p.settings, logging.Nop(), func(_, _ time.Duration) func(context.Context, string, string) (net.Conn, error) { return p.dial })
		go func() { _ = p.proxy.CollectLatencies() }()
	case "want-estimate": // want-estimate LEAF CLASS MS: within a fifth, 0 for unknown; the newest slow lookup names it too
		v := p.proxy.LatencyEstimates(distribution.EstimatesRequest{Class: c.Word(1)})
		for _, k := range v.Sketches {
			if k.Key.Endpoint == c.Word(0) && k.Key.Load == 0 {
				e := k.Sketch.Estimate()
				if want := c.Milliseconds(2); want == 0 && e.Known() || want > 0 && (!e.Known() || e.Median < want*4/5 || e.Median > want*6/5) {
					return fmt.Errorf("%+v", e)
				}
				return nil
			}
		}
		return errors.New("nothing is known of it")
	case "want-slow": // want-slow LEAF OTHER real=MS: a slow lookup there, with an estimate for the other and what that really took
		for _, s := range p.proxy.LatencyEstimates(distribution.EstimatesRequest{}).SlowLookups {
			for _, o := range s.Replicas {
				if s.Key.Endpoint == c.Word(0) && o.Endpoint == c.Word(1) && o.Estimate.Known() && o.Estimate.Covers(o.Actual) {
					return nil
				}
			}
		}
		return fmt.Errorf("none: %+v", p.proxy.LatencyEstimates(distribution.EstimatesRequest{}).SlowLookups)
	case "want-parts": // want-parts "LEAF KIND"...: exactly these differ
		got := p.proxy.LatencyEstimates(distribution.EstimatesRequest{}).Counters.Differences
		for i := 0; i+1 < len(c.Words); i += 2 {
			k := c.Words[i] + " " + c.Words[i+1]
			if got[k] == 0 {
				return fmt.Errorf("no %s: %v", k, got)
			}
			delete(got, k)
		}
		if len(got) > 0 {
			return fmt.Errorf("and %v", got)
		}
	case "tenant": // tenant NAME KEY,... : or its keys from now on; no keys: it is gone
		p.tenants = slices.DeleteFunc(p.tenants, func(t map[string]any) bool { return t["name"] == c.Word(0) })
		if c.Word(1) != "" {
			p.tenants = append(p.tenants, map[string]any{"name": c.Word(0), "apiKeys": strings.Split(c.Word(1), ",")})
		}
	case "want-tenants": // want-tenants LEAF NAME,... : what it was told since the last such line; - for none
		p.mu.Lock()
		got := strings.Join(p.tenantsSeen[c.Word(0)], ",")
		p.tenantsSeen[c.Word(0)] = nil
		p.mu.Unlock()
		if got != strings.ReplaceAll(c.Word(1), "-", "") {
			return fmt.Errorf("it was told %q", got)
		}
	case "mark":
		p.ejected[c.Word(0)] = distribution.EjectionMark{Reason: distribution.ReasonUnresponsive}
	case "unmark":
		delete(p.ejected, c.Word(0))
	case "feed":
		p.publish()
	case "run":
		time.Sleep(c.Milliseconds(0))
	case "ask": // ask HOST PATH [n= post= body= gap= deadline= noid= key=Token_K claims=]: one after the other
		method := "GET"
		if c.Options["post"] != "" {
			method = "POST"
		}
		for range int(c.Number("n", 1)) {
			p.request(c.Word(0), c.Word(1), method, c.Options["body"], c.Options)
			time.Sleep(time.Duration(c.Number("gap", 0) * float64(time.Millisecond)))
		}
	case "crowd": // crowd HOST PATH n=: all at once
		for range int(c.Number("n", 1)) {
			p.wg.Go(func() { p.request(c.Word(0), c.Word(1), "GET", "", c.Options) })
		}
		p.wg.Wait()
	case "want": // want STATUS=COUNT or STATUS>=... ; clears the counts
		got := fmt.Sprint(p.statuses)
		for k, v := range c.Options {
			least, found := strings.CutSuffix(k, ">")
			n, _ := strconv.Atoi(v)
			if have := p.statuses[least]; found && have < n || !found && have != n {
				return fmt.Errorf("got %s", got)
			}
		}
		p.statuses = map[string]int{}
	case "want-header":
		for k, v := range c.Options {
			if got := p.last.Header().Get(k); got != v {
				return fmt.Errorf("%s is %q", k, got)
			}
		}
	case "want-within": // want-within MS: no request since the last such line took longer
		if p.latency > c.Milliseconds(0) {
			return fmt.Errorf("one took %v", p.latency)
		}
		p.latency = 0
	case "want-runs": // want-runs ID [least= most=]; clears the count
		time.Sleep(time.Millisecond) // a leaf may have yet to take in what it was sent before the answer ended
		l := p.leafs[c.Word(0)]
		p.mu.Lock()
		n := l.runs
		l.runs = 0
		p.mu.Unlock()
		if float64(n) < c.Number("least", 0) || float64(n) > c.Number("most", 1e9) {
			return fmt.Errorf("it ran %d", n)
		}
	default:
		return p.doFront(c)
	}
	return nil
}

func TestPlane(t *testing.T) {
	simulation.Play(t, "testdata/plane", func(t *testing.T, run func(*testing.T)) { synctest.Test(t, run) }, func(t *testing.T) simulation.World {
		p := newPlane(t)
		t.Cleanup(func() {
			p.leafs = map[string]*leaf{}
			p.routes = nil
			p.publish()
			close(p.quit)
			p.proxy.Close()
			if p.clients.mesh != nil {
				p.clients.mesh.closeListener("10.0.0.1", "")
			}
			time.Sleep(time.Minute)
			p.mu.Lock()
			defer p.mu.Unlock()
			for _, c := range p.conns {
				_ = c.Close()
			}
		})
		return p
	})
}
