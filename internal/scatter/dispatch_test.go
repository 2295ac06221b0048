package scatter

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"comethold/internal/distribution"
	"comethold/internal/logging"
	"comethold/internal/retrybudget"
	"comethold/internal/routing"
	"comethold/internal/upstream"
)

// leafSet is the leafs of a test. All of them answer by one handler, which also
// gets how many requests came before.
type leafSet struct {
	clientCtx  context.Context // of the requests
	dispatcher *Dispatcher
	requests   atomic.Int64
	executed   atomic.Int64 // calls of the callback of Dispatch
}

type leafHandler func(w http.ResponseWriter, r *http.Request, earlier int64)

// stamps counts the successes: each has a server stamp of its own.
var stamps atomic.Int64

// succeed answers with a body as the protocol demands of a success.
func succeed(w http.ResponseWriter, body string) {
	w.Header().Set(upstream.HeaderServerStamp, fmt.Sprint("stamp-", stamps.Add(1)))
	_, _ = fmt.Fprint(w, body)
}

// reject answers that the request was not executed.
func reject(w http.ResponseWriter) {
	w.Header().Set(upstream.HeaderNotExecuted, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// newLeafSet starts leafs and a dispatcher to them. The leafs of a service are named
// after it: s-0 and s-1 are two of s.
func newLeafSet(tb testing.TB, handler leafHandler, ids ...string) *leafSet {
	tb.Helper()
	set := &leafSet{clientCtx: tb.Context()}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		handler(w, r, set.requests.Add(1)-1)
	}))
	tb.Cleanup(server.Close)
	listed := map[string]distribution.Endpoint{}
	for _, id := range ids {
		service, _, _ := strings.Cut(id, "-")
		listed[id] = distribution.Endpoint{
			ID: id, Service: service, Addr: server.Listener.Addr().String(), Zone: "a", Slots: 4,
		}
	}
	locality := upstream.Locality{Node: "n", Zone: "a", RegionOf: func(zone string) string { return zone }}
	clusters := upstream.NewClusterManager(locality, (&net.Dialer{}).DialContext, logging.Nop())
	clusters.SetEndpoints(listed)
	budget := retrybudget.New(retrybudget.Config{Ratio: 1000}, time.Now())
	set.dispatcher = NewDispatcher(Options{Clusters: clusters, RetryBudget: budget})
	return set
}

// dispatch dispatches one request on a route whose attempts and timeout have
// defaults.
func (s *leafSet) dispatch(route routing.Route) *Reply {
	if route.TimeoutMs == 0 {
		route.TimeoutMs = 2000
	}
	if route.RouteKind == "" {
		route.RouteKind = routing.KindSafe
	}
	if route.Service == "" && len(route.FanoutServices) == 0 {
		route.Service = "s"
	}
	route.Name = "r"
	route.Hostname = "h"
	route.PathPrefix = "/"
	table := routing.Compile(&routing.Configuration{Routes: []routing.Route{route}})
	compiled := table.Match("h", "/")
	start := time.Now()
	request := &upstream.Request{
		Method: http.MethodGet, Target: "/", Host: "h", ID: "q", Deadline: start.Add(compiled.Timeout),
	}
	return s.dispatcher.Dispatch(s.clientCtx, compiled, request, start, func(time.Time) { s.executed.Add(1) })
}

// Handlers of leafs.

func alwaysSucceed(w http.ResponseWriter, r *http.Request, _ int64) { succeed(w, "body") }

func alwaysReject(w http.ResponseWriter, _ *http.Request, _ int64) { reject(w) }

func alwaysAbort(http.ResponseWriter, *http.Request, int64) { panic(http.ErrAbortHandler) }

// neverRespond waits until the node gives the request up.
func neverRespond(_ http.ResponseWriter, r *http.Request, _ int64) { <-r.Context().Done() }

func alwaysStatus(status int) leafHandler {
	return func(w http.ResponseWriter, _ *http.Request, _ int64) { w.WriteHeader(status) }
}

// succeedAfter makes a handler that fails the first request in the given way.
func succeedAfter(first leafHandler) leafHandler {
	return func(w http.ResponseWriter, r *http.Request, earlier int64) {
		if earlier == 0 {
			first(w, r, earlier)
			return
		}
		succeed(w, "body")
	}
}

// replyCase is what the leafs of a single service do, what the client gets, how many
// requests the leafs get, and how often the request counts as executed.
type replyCase struct {
	handler  leafHandler
	route    routing.Route
	status   int
	requests int64
	executed int64
}

var replyCases = map[string]replyCase{
	"a success": {handler: alwaysSucceed, status: http.StatusOK, requests: 1, executed: 1},
	"a success after a rejection": {
		handler: succeedAfter(alwaysReject), route: routing.Route{MaxAttempts: 2, RouteKind: routing.KindUnsafe},
		status: http.StatusOK, requests: 2, executed: 1,
	},
	"rejections up to the attempt limit": {
		handler: alwaysReject, route: routing.Route{MaxAttempts: 2},
		status: http.StatusServiceUnavailable, requests: 2, executed: 0,
	},
	"a success after a server error": {
		handler: succeedAfter(alwaysStatus(http.StatusInternalServerError)), route: routing.Route{MaxAttempts: 2},
		status: http.StatusOK, requests: 2, executed: 1,
	},
	"a server error of an unsafe request": {
		handler: alwaysStatus(http.StatusInternalServerError),
		route:   routing.Route{MaxAttempts: 3, RouteKind: routing.KindUnsafe},
		status:  http.StatusInternalServerError, requests: 1, executed: 1,
	},
	"a lost response of an unsafe request": {
		handler: alwaysAbort, route: routing.Route{MaxAttempts: 3, RouteKind: routing.KindUnsafe},
		status: http.StatusBadGateway, requests: 1, executed: 1,
	},
	"an unsafe request without a response": {
		handler: neverRespond,
		route:   routing.Route{MaxAttempts: 3, RouteKind: routing.KindUnsafe, TimeoutMs: 300, TargetLatencyMs: 20},
		status:  http.StatusGatewayTimeout, requests: 1, executed: 1,
	},
	"a status that promises that nothing was executed": {
		handler: alwaysStatus(http.StatusTooManyRequests),
		status:  http.StatusBadGateway, requests: 1, executed: 1,
	},
}

// TestSingleReplies: what becomes of a request on a route with one service.
func TestSingleReplies(t *testing.T) {
	for name, c := range replyCases {
		t.Run(name, func(t *testing.T) {
			set := newLeafSet(t, c.handler, "s-0", "s-1", "s-2")
			reply := set.dispatch(c.route)
			if reply.Status != c.status {
				t.Errorf("status %d (%s), want %d", reply.Status, reply.Reason, c.status)
			}
			if set.requests.Load() != c.requests || set.executed.Load() != c.executed {
				t.Errorf("%d requests, %d executed, want %d and %d",
					set.requests.Load(), set.executed.Load(), c.requests, c.executed)
			}
			if hasRetryAfter := reply.RetryAfter > 0; hasRetryAfter != (c.status == http.StatusServiceUnavailable) {
				t.Errorf("retry after %v", reply.RetryAfter)
			}
		})
	}
}

// TestUnreachableEndpoints: attempts that no endpoint got are replaced, also those of
// an unsafe request and beyond the attempt limit, and if all fail nothing was executed.
func TestUnreachableEndpoints(t *testing.T) {
	set := newLeafSet(t, alwaysSucceed, "s-0")
	listed := map[string]distribution.Endpoint{}
	for i := range 3 {
		id := fmt.Sprint("gone-", i)
		listed[id] = distribution.Endpoint{ID: id, Service: "gone", Addr: "127.0.0.1:1", Zone: "a", Slots: 4}
	}
	set.dispatcher.Clusters.SetEndpoints(listed)
	reply := set.dispatch(routing.Route{Service: "gone", RouteKind: routing.KindUnsafe})
	if reply.Status != http.StatusServiceUnavailable || reply.RetryAfter <= 0 || set.executed.Load() != 0 {
		t.Errorf("status %d, retry after %v, %d executed", reply.Status, reply.RetryAfter, set.executed.Load())
	}
	if set.dispatcher.Clusters.Reserve("gone", nil, false) != nil {
		t.Error("not all endpoints were tried and ejected")
	}
}

// TestHedging: a safe request that takes longer than most is sent to a second
// endpoint, whose response counts; an unsafe one is not.
func TestHedging(t *testing.T) {
	slowFirst := func(w http.ResponseWriter, r *http.Request, earlier int64) {
		if earlier == 0 {
			time.Sleep(600 * time.Millisecond)
		}
		succeed(w, fmt.Sprint("body-", earlier))
	}
	for kind, want := range map[string]string{routing.KindSafe: "body-1", routing.KindUnsafe: "body-0"} {
		set := newLeafSet(t, slowFirst, "s-0", "s-1")
		reply := set.dispatch(routing.Route{MaxAttempts: 2, RouteKind: kind, TargetLatencyMs: 60})
		if string(reply.Body) != want || set.executed.Load() != 1 {
			t.Errorf("%s: %d %q, %d executed", kind, reply.Status, reply.Body, set.executed.Load())
		}
	}
}

// TestRateLimit: a request whose service's rate is spent reaches no leaf, and its
// client comes back when the rate allows more.
func TestRateLimit(t *testing.T) {
	set := newLeafSet(t, alwaysSucceed, "s-0")
	allowed := false
	set.dispatcher.AwaitRateLimit = func(context.Context, string, time.Time) (bool, time.Duration) {
		return allowed, 7 * time.Second
	}
	reply := set.dispatch(routing.Route{})
	if reply.Status != http.StatusServiceUnavailable || reply.RetryAfter != 7*time.Second {
		t.Errorf("status %d, retry after %v", reply.Status, reply.RetryAfter)
	}
	if set.requests.Load() != 0 || set.executed.Load() != 0 {
		t.Errorf("%d requests, %d executed", set.requests.Load(), set.executed.Load())
	}
	allowed = true
	for range 10 { // the reservations of cancelled attempts are free again
		if reply := set.dispatch(routing.Route{}); reply.Status != http.StatusOK {
			t.Fatalf("status %d (%s)", reply.Status, reply.Reason)
		}
	}
}

// fanOutRoute is a route over the services s0, s1 and so on.
func fanOutRoute(services int, share float64) routing.Route {
	route := routing.Route{MinimumShardShare: share, ResultCount: 100, MaxAttempts: 1}
	for i := range services {
		route.FanoutServices = append(route.FanoutServices, fmt.Sprint("s", i))
	}
	return route
}

// fanOutIDs are the ids of a leaf for each service of a fan-out.
func fanOutIDs(services int) (ids []string) {
	for i := range services {
		ids = append(ids, fmt.Sprintf("s%d-0", i))
	}
	return ids
}

// TestFanOut: the responses of the shards are merged, and the reply names those that
// are missing, if enough answered.
func TestFanOut(t *testing.T) {
	failing := func(failures int64) leafHandler {
		return func(w http.ResponseWriter, r *http.Request, earlier int64) {
			if earlier < failures {
				w.WriteHeader(http.StatusInternalServerError)
				return
			}
			succeed(w, strings.Repeat(r.Header.Get(upstream.HeaderExpectedInstance)[:2], recordSize/2))
		}
	}
	for _, c := range []struct {
		failures int64
		share    float64
		status   int
		missing  string
	}{
		{0, 1, http.StatusOK, "0"},
		{1, 0.75, http.StatusOK, "1"},
		{1, 1, http.StatusBadGateway, ""},
		{4, 0.5, http.StatusBadGateway, ""},
	} {
		set := newLeafSet(t, failing(c.failures), fanOutIDs(4)...)
		reply := set.dispatch(fanOutRoute(4, c.share))
		if reply.Status != c.status || reply.Header.Get(HeaderMissingParts) != c.missing {
			t.Errorf("%+v: status %d, %s missing", c, reply.Status, reply.Header.Get(HeaderMissingParts))
		}
		if reply.Status != http.StatusOK {
			continue
		}
		records := 4 - int(c.failures)
		stamps := strings.Split(reply.Header.Get(HeaderPartStamps), ", ")
		if len(reply.Body) != records*recordSize || len(stamps) != records {
			t.Errorf("%+v: %d bytes, stamps %v", c, len(reply.Body), stamps)
		}
	}
	set := newLeafSet(t, failing(0), fanOutIDs(3)...)
	reply := set.dispatch(fanOutRoute(4, 1))
	if reply.Status != http.StatusServiceUnavailable || set.requests.Load() != 0 {
		t.Errorf("with a shard without leafs: status %d, %d requests", reply.Status, set.requests.Load())
	}
}

// TestFanOutCutoff: with enough responses the reply is made in time for the target
// latency, without the shards that are late.
func TestFanOutCutoff(t *testing.T) {
	set := newLeafSet(t, func(w http.ResponseWriter, r *http.Request, earlier int64) {
		if earlier == 0 {
			neverRespond(w, r, earlier)
			return
		}
		succeed(w, "")
	}, fanOutIDs(4)...)
	route := fanOutRoute(4, 0.75)
	route.TargetLatencyMs = 100
	start := time.Now()
	reply := set.dispatch(route)
	took := time.Since(start)
	if reply.Status != http.StatusOK || reply.Header.Get(HeaderMissingParts) != "1" {
		t.Errorf("status %d, %s missing", reply.Status, reply.Header.Get(HeaderMissingParts))
	}
	if took < 80*time.Millisecond || took > time.Second {
		t.Errorf("the reply took %v with a target of 100ms", took)
	}
}

// TestAdmitRequest: what the least of the needed services has the capacity for decides.
func TestAdmitRequest(t *testing.T) {
	for _, c := range []struct {
		rates    []float64
		required int
		want     bool
	}{
		{[]float64{1}, 1, true},
		{[]float64{0}, 1, false},
		{[]float64{0, 1, 1}, 2, true},
		{[]float64{0, 1, 1}, 3, false},
	} {
		if got := admitRequest(c.rates, c.required); got != c.want {
			t.Errorf("%v, %d required: %v", c.rates, c.required, got)
		}
	}
}

// TestRetainRoutes: only routes of the table keep what was learnt.
func TestRetainRoutes(t *testing.T) {
	d := NewDispatcher(Options{})
	kept := d.histogram("kept")
	gone := d.histogram("gone")
	d.RetainRoutes(routing.Compile(&routing.Configuration{Routes: []routing.Route{{Name: "kept"}}}))
	if d.histogram("kept") != kept || d.histogram("gone") == gone {
		t.Error("the wrong routes were forgotten")
	}
}

// BenchmarkDispatch measures a request to one service, and a fan-out to 64, with leafs
// on local sockets.
func BenchmarkDispatch(b *testing.B) {
	answer := func(w http.ResponseWriter, r *http.Request, _ int64) { succeed(w, strings.Repeat("x", recordSize)) }
	for name, route := range map[string]routing.Route{"Single": {Service: "s0"}, "FanOut64": fanOutRoute(64, 1)} {
		b.Run(name, func(b *testing.B) {
			set := newLeafSet(b, answer, fanOutIDs(64)...)
			b.ReportAllocs()
			for b.Loop() {
				if reply := set.dispatch(route); reply.Status != http.StatusOK {
					b.Fatal(reply.Status, reply.Reason)
				}
			}
		})
	}
}

// waitFor waits until a condition holds, for ten seconds at most.
func waitFor(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within ten seconds: %s", what)
		}
	}
}

// TestClientDisconnectCancelsCalls guards against leafs that work on for a client that has left, and against
// further attempts for it.
func TestClientDisconnectCancelsCalls(t *testing.T) {
	for name, route := range map[string]routing.Route{
		"single":  {Service: "s0", MaxAttempts: 3},
		"fan-out": fanOutRoute(3, 1),
	} {
		t.Run(name, func(t *testing.T) {
			var working atomic.Int64
			set := newLeafSet(t, func(_ http.ResponseWriter, r *http.Request, _ int64) {
				working.Add(1)
				<-r.Context().Done()
				working.Add(-1)
			}, fanOutIDs(3)...)
			clientCtx, disconnect := context.WithCancel(t.Context())
			set.clientCtx = clientCtx
			ended := make(chan *Reply)
			route.TimeoutMs = 20000
			go func() { ended <- set.dispatch(route) }()
			shards := int64(max(1, len(route.FanoutServices)))
			waitFor(t, "the leafs work", func() bool { return working.Load() == shards })
			disconnect()
			if reply := <-ended; reply.Status/100 == 2 || impliesNotExecuted(reply.Status) {
				t.Errorf("status %d", reply.Status)
			}
			waitFor(t, "no leaf works", func() bool { return working.Load() == 0 })
			if n := set.requests.Load(); n != shards {
				t.Errorf("%d requests, not %d", n, shards)
			}
		})
	}
}

// TestClientDisconnectKeepsUnsafeCall: a request that must not be executed twice goes on to its end, without
// a further attempt.
func TestClientDisconnectKeepsUnsafeCall(t *testing.T) {
	for name, answer := range map[string]func(http.ResponseWriter){
		"success":   func(w http.ResponseWriter) { succeed(w, "body") },
		"rejection": reject,
	} {
		t.Run(name, func(t *testing.T) {
			unblock := make(chan struct{})
			set := newLeafSet(t, func(w http.ResponseWriter, r *http.Request, _ int64) {
				select {
				case <-unblock:
					answer(w)
				case <-r.Context().Done():
					t.Error("the request was broken off")
				}
			}, "s-0", "s-1")
			clientCtx, disconnect := context.WithCancel(t.Context())
			set.clientCtx = clientCtx
			ended := make(chan *Reply)
			go func() {
				ended <- set.dispatch(routing.Route{RouteKind: routing.KindUnsafe, MaxAttempts: 3, TimeoutMs: 20000})
			}()
			waitFor(t, "a leaf works", func() bool { return set.requests.Load() == 1 })
			disconnect()
			time.Sleep(20 * time.Millisecond)
			close(unblock)
			if reply := <-ended; name == "success" && reply.Status != http.StatusOK {
				t.Errorf("status %d", reply.Status)
			}
			if n := set.requests.Load(); n != 1 {
				t.Errorf("%d requests", n)
			}
		})
	}
}

// TestClientDisconnectDuringRateLimitWait: a request that waits for its service's rate is not sent once its client
// has left, nor is one whose client has left before.
func TestClientDisconnectDuringRateLimitWait(t *testing.T) {
	set := newLeafSet(t, alwaysSucceed, "s-0")
	clientCtx, disconnect := context.WithCancel(t.Context())
	set.clientCtx = clientCtx
	waiting := make(chan struct{})
	set.dispatcher.AwaitRateLimit = func(ctx context.Context, _ string, _ time.Time) (bool, time.Duration) {
		close(waiting)
		<-ctx.Done()
		return true, 0 // allowed, but too late
	}
	ended := make(chan *Reply)
	go func() { ended <- set.dispatch(routing.Route{}) }()
	<-waiting
	disconnect()
	<-ended
	set.dispatcher.AwaitRateLimit = nil
	set.dispatch(routing.Route{})
	set.clientCtx = t.Context()
	if reply := set.dispatch(routing.Route{}); reply.Status != http.StatusOK || set.requests.Load() != 1 {
		t.Errorf("status %d, %d requests", reply.Status, set.requests.Load())
	}
}

// TestHedgedAttemptOutlastsReply: an attempt that is overtaken by its hedge is not broken off.
func TestHedgedAttemptOutlastsReply(t *testing.T) {
	unblock := make(chan struct{})
	var completed atomic.Bool
	set := newLeafSet(t, func(w http.ResponseWriter, r *http.Request, earlier int64) {
		if earlier == 0 {
			select {
			case <-unblock:
				completed.Store(true)
			case <-r.Context().Done():
			}
		}
		succeed(w, "body")
	}, "s-0", "s-1")
	reply := set.dispatch(routing.Route{MaxAttempts: 2, TargetLatencyMs: 50})
	if reply.Status != http.StatusOK || set.requests.Load() != 2 {
		t.Fatalf("status %d, %d requests", reply.Status, set.requests.Load())
	}
	close(unblock)
	waitFor(t, "the first attempt ends", completed.Load)
}
