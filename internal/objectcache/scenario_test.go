package objectcache

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"comethold/internal/distribution"
	"comethold/internal/logging"
	"comethold/internal/routing"
	"comethold/internal/settings"
	"comethold/internal/simulation"
)

// cacheWorld is one announcer in front of a stand-in for an origin, on simulated time.
type cacheWorld struct {
	server     *Server
	mu         sync.Mutex
	tags       map[string]string
	labels     map[string]string
	mode       string
	work       time.Duration
	reads      []time.Time
	unchanged  int
	purgeIndex uint64
	got        map[string]int
	slowest    time.Duration
	conns      []net.Conn
	wg         sync.WaitGroup
}

func newCacheWorld(t *testing.T, dir string) *cacheWorld {
	w := &cacheWorld{tags: map[string]string{}, labels: map[string]string{}, work: 50 * time.Millisecond, got: map[string]int{}}
	set := &settings.Settings{NodeName: "a1", IPAddress: "10.0.0.1", AvailabilityZone: "a", RegionName: "r", DataDirectory: dir,
		InternalPortRange: []int{7000, 7010}, SeedNodes: []string{"10.0.0.2:80"}, Bounds: settings.Bounds{StaleSlackS: 1}}
	a := New(set, logging.Nop(), func(_, _ time.Duration) func(context.Context, string, string) (net.Conn, error) { return w.dial })
	w.server = a
	return w
}

func (w *cacheWorld) dial(context.Context, string, string) (net.Conn, error) {
	ours, theirs := net.Pipe()
	w.mu.Lock()
	w.conns = append(w.conns, ours)
	w.mu.Unlock()
	go w.origin(theirs)
	return ours, nil
}

func (w *cacheWorld) origin(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		w.mu.Lock()
		w.reads = append(w.reads, time.Now())
		tag, label, mode, work := w.tags[r.URL.Path], w.labels[r.URL.Path], w.mode, w.work
		if tag != "" && r.Header.Get("If-None-Match") == tag {
			w.unchanged++
		}
		w.mu.Unlock()
		if mode == "shed" {
			fmt.Fprint(c, "HTTP/1.1 503 Service Unavailable\r\nX-Comethold-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		time.Sleep(work) // the version is that of the moment the work began
		head := fmt.Sprintf("X-Comethold-Server-Stamp: s\r\nETag: %s\r\nX-Comethold-Object-Labels: %s\r\n", tag, label)
		if id := r.Header.Get("X-Comethold-Request-Id"); id != "" {
			head += "X-Comethold-Request-Id: " + id + "\r\n"
		}
		switch {
		case mode == "error":
			fmt.Fprint(c, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
		case mode == "cut":
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Length: 99\r\n\r\n%s", head, tag)
			return
		case tag == "":
			fmt.Fprint(c, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
		case r.Header.Get("If-None-Match") == tag:
			fmt.Fprintf(c, "HTTP/1.1 304 Not Modified\r\n%s\r\n", head)
		default:
			whole := fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", head, len(tag), tag)
			fmt.Fprint(c, whole)
			if mode == "twice" { // the second arrives when the next read is out
				go fmt.Fprint(c, whole)
			}
		}
	}
}

func (w *cacheWorld) get(path string, wait time.Duration) {
	start := time.Now()
	r := w.server.serveObject(&objectCall{Host: "h.example", Target: path, PurgeIndex: w.purgeIndex, WaitMs: wait.Milliseconds()})
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slowest = max(w.slowest, time.Since(start))
	if r.Disconnected {
		w.got["apart"]++
	} else if r.Status != 0 {
		w.got[fmt.Sprint(r.Status)]++
	} else {
		w.got[string(r.Body)]++
	}
}

func (w *cacheWorld) Do(c simulation.Command) error {
	switch c.Verb {
	case "origin": // origin [ttl= rate= work= mode=]
		w.work = time.Duration(c.Number("work", 50) * float64(time.Millisecond))
		raw, _ := json.Marshal(map[string]any{"version": 1, "routes": []any{map[string]any{"name": "r", "hostname": "h.example", "pathPrefix": "/",
			"routeKind": "cacheable", "timeoutMs": 3000, "service": "s", "maxAttempts": 2, "cacheTtlS": c.Number("ttl", 10)}},
			"services": []any{map[string]any{"name": "s", "connectionLimit": 100, "ratePerS": c.Number("rate", 0)}}})
		cfg, _ := routing.Decode(raw)
		w.server.Apply(&distribution.Update{Config: distribution.FullConfig(cfg),
			Endpoints: &distribution.EndpointList{Revision: distribution.Revision{Term: 1, Sequence: 1}, Endpoints: []distribution.Endpoint{{ID: "l1", Service: "s", Addr: "x", Zone: "a", Slots: 8}, {ID: "l2", Service: "s", Addr: "y", Zone: "a", Slots: 8}}}})
		w.server.limiter.Renew(1000, time.Now().Add(time.Hour))
	case "mode":
		w.mu.Lock()
		w.mode = c.Word(0)
		w.mu.Unlock()
	case "touch": // somebody in touch tells that there is no news
		w.server.Apply(&distribution.Update{})
	case "share": // share PERMILLE MS
		w.server.limiter.Renew(int(c.Milliseconds(0)/time.Millisecond), time.Now().Add(c.Milliseconds(1)))
	case "object": // object PATH TAG [label=]
		w.mu.Lock()
		w.tags[c.Word(0)], w.labels[c.Word(0)] = c.Word(1), c.Options["label"]
		w.mu.Unlock()
	case "purge", "purge-label", "forgotten":
		w.purgeIndex++
		rs := &distribution.PurgeUpdate{LogIndex: w.purgeIndex, Reset: c.Verb == "forgotten"}
		if c.Verb == "purge" {
			rs.Purges = []distribution.Purge{{LogIndex: w.purgeIndex, Host: "h.example", Path: c.Word(0)}}
		} else if c.Verb == "purge-label" {
			rs.Purges = []distribution.Purge{{LogIndex: w.purgeIndex, Label: c.Word(0)}}
		}
		w.server.Apply(&distribution.Update{Purges: rs})
	case "get": // get PATH [n= wait=]
		for range int(c.Number("n", 1)) {
			w.get(c.Word(0), time.Duration(c.Number("wait", 3000))*time.Millisecond)
		}
	case "crowd": // crowd PATH,... [n= wait=]: all at once; later: without waiting for the answers
		for range int(c.Number("n", 1)) {
			for _, p := range strings.Split(c.Word(0), ",") {
				w.wg.Go(func() { w.get(p, time.Duration(c.Number("wait", 3000))*time.Millisecond) })
			}
		}
		if c.Options["later"] == "" {
			w.wg.Wait()
		} else {
			synctest.Wait()
		}
	case "errands": // errands N [wait=]: calls of switches, all at once; those granted count as reads
		for range int(c.Milliseconds(0) / time.Millisecond) {
			w.wg.Go(func() {
				l := w.server.permit(&permitRequest{Service: "s", WaitMs: int64(c.Number("wait", 3000))})
				w.mu.Lock()
				defer w.mu.Unlock()
				if l.Granted {
					w.reads = append(w.reads, time.Now())
				} else {
					w.got["sent away"]++
				}
			})
		}
	case "spread": // spread N: gets of so many different objects, all at once
		for i := range int(c.Milliseconds(0) / time.Millisecond) {
			p := fmt.Sprintf("/many/%d", i)
			w.mu.Lock()
			w.tags[p] = "many"
			w.mu.Unlock()
			w.wg.Go(func() { w.get(p, 3*time.Second) })
		}
		w.wg.Wait()
	case "run": // run MS [untold=]: the feed has word each second, unless untold
		for left := c.Milliseconds(0); left > 0; left -= time.Second {
			time.Sleep(min(left, time.Second))
			if c.Options["untold"] == "" {
				w.server.Apply(&distribution.Update{})
			}
		}
	case "want": // want BODY-OR-STATUS=N ...; clears the counts
		w.wg.Wait()
		w.mu.Lock()
		defer w.mu.Unlock()
		for k, v := range c.Options {
			if fmt.Sprint(w.got[k]) != v {
				return fmt.Errorf("got %v", w.got)
			}
		}
		w.got = map[string]int{}
	case "want-reads": // want-reads N [same=]: reads of the origin since the last such line
		w.mu.Lock()
		defer w.mu.Unlock()
		if fmt.Sprint(len(w.reads)) != c.Word(0) || c.Options["same"] != "" && fmt.Sprint(w.unchanged) != c.Options["same"] {
			return fmt.Errorf("%d reads, %d of them of the same", len(w.reads), w.unchanged)
		}
		w.reads, w.unchanged = nil, 0
	case "want-rate": // want-rate N MS: no more than N reads began within any such span
		for i := range w.reads {
			n := 0
			for _, at := range w.reads[i:] {
				if at.Sub(w.reads[i]) <= c.Milliseconds(1) {
					n++
				}
			}
			if float64(n) > float64(c.Milliseconds(0)/time.Millisecond) {
				return fmt.Errorf("%d reads", n)
			}
		}
	case "want-within":
		if w.slowest > c.Milliseconds(0) {
			return fmt.Errorf("one took %v", w.slowest)
		}
		w.slowest = 0
	default:
		return errors.New("unknown command")
	}
	return nil
}

func TestObjectCacheScenarios(t *testing.T) {
	simulation.Play(t, "testdata", func(t *testing.T, run func(*testing.T)) { synctest.Test(t, run) }, func(t *testing.T) simulation.World {
		w := newCacheWorld(t, "")
		t.Cleanup(func() {
			w.server.Apply(&distribution.Update{Endpoints: &distribution.EndpointList{Revision: distribution.Revision{Term: 9, Sequence: 9}}})
			time.Sleep(time.Minute)
			for _, c := range w.conns {
				_ = c.Close()
			}
		})
		return w
	})
}
