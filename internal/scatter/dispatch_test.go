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

// leafSet is a set of leafs with a dispatcher. All leafs share one listener and one
// handler, which also receives the number of earlier requests.
type leafSet struct {
	clientCtx  context.Context // context of the requests; canceled when the client disconnects
	dispatcher *Dispatcher
	requests   atomic.Int64
	executed   atomic.Int64 // number of calls of onExecuted
}

type leafHandler func(w http.ResponseWriter, r *http.Request, earlier int64)

// stamps counts the successes, so that each gets a unique server stamp.
var stamps atomic.Int64

// succeed answers with status 200, a body and the server stamp that a success must have.
func succeed(w http.ResponseWriter, body string) {
	w.Header().Set(upstream.HeaderServerStamp, fmt.Sprint("stamp-", stamps.Add(1)))
	_, _ = fmt.Fprint(w, body)
}

// reject answers that the request was not executed.
func reject(w http.ResponseWriter) {
	w.Header().Set(upstream.HeaderNotExecuted, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// newLeafSet starts leafs with the given ids and a dispatcher for them. The part of an id
// before the hyphen is the service: s-0 and s-1 are two leafs of the service s.
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

// dispatch dispatches one request on the route. Fields of the route that are not set get
// defaults: a timeout of 2 s, a safe request and the service s.
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

// neverRespond blocks until the node aborts the request.
func neverRespond(_ http.ResponseWriter, r *http.Request, _ int64) { <-r.Context().Done() }

func alwaysStatus(status int) leafHandler {
	return func(w http.ResponseWriter, _ *http.Request, _ int64) { w.WriteHeader(status) }
}

// succeedAfter returns a handler that passes the first request to first and answers all others with success.
func succeedAfter(first leafHandler) leafHandler {
	return func(w http.ResponseWriter, r *http.Request, earlier int64) {
		if earlier == 0 {
			first(w, r, earlier)
			return
		}
		succeed(w, "body")
	}
}

// replyCase is a case of TestSingleReplies: the handler of the leafs, the route, and the
// expected status, number of requests at the leafs and number of calls of onExecuted.
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
	"a status that implies that the request was not executed": {
		handler: alwaysStatus(http.StatusTooManyRequests),
		status:  http.StatusBadGateway, requests: 1, executed: 1,
	},
}

// TestSingleReplies guards against a wrong reply, too many or too few attempts, and a wrong count of executions for a
// request on a route with one service.
func TestSingleReplies(t *testing.T) {
	for name, c := range replyCases {
		t.Run(name, func(t *testing.T) {
			set := newLeafSet(t, c.handler, "s-0", "s-1", "s-2")
			reply := set.dispatch(c.route)
			if reply.Status != c.status {
				t.Errorf("Dispatch returned status %d (%s), want %d", reply.Status, reply.Reason, c.status)
			}
			if set.requests.Load() != c.requests || set.executed.Load() != c.executed {
				t.Errorf("leafs got %d requests, onExecuted was called %d times, want %d and %d",
					set.requests.Load(), set.executed.Load(), c.requests, c.executed)
			}
			if hasRetryAfter := reply.RetryAfter > 0; hasRetryAfter != (c.status == http.StatusServiceUnavailable) {
				t.Errorf("RetryAfter is %v, want more than 0 for status 503 and 0 for other statuses", reply.RetryAfter)
			}
		})
	}
}

// TestUnreachableEndpoints: attempts that did not reach an endpoint are replaced, even for
// an unsafe request and beyond the attempt limit. If all of them fail, the request does not
// count as executed.
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
		t.Errorf("Dispatch returned status %d, RetryAfter %v with %d calls of onExecuted, want 503, more than 0 and no call",
			reply.Status, reply.RetryAfter, set.executed.Load())
	}
	if set.dispatcher.Clusters.Reserve("gone", nil, false) != nil {
		t.Error("Reserve returned an endpoint, want none because all were tried and ejected")
	}
}

// TestHedging: an overdue safe request is hedged at a second endpoint, whose response
// becomes the reply. An unsafe request is not hedged, since it could be executed twice.
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
			t.Errorf("%s: Dispatch returned status %d, body %q with %d calls of onExecuted, want body %q and 1 call",
				kind, reply.Status, reply.Body, set.executed.Load(), want)
		}
	}
}

// TestRateLimit: a request that exceeds the rate limit of its service reaches no leaf, and
// the RetryAfter of its reply is the wait that the rate limit returned.
func TestRateLimit(t *testing.T) {
	set := newLeafSet(t, alwaysSucceed, "s-0")
	allowed := false
	set.dispatcher.AwaitRateLimit = func(context.Context, string, time.Time) (bool, time.Duration) {
		return allowed, 7 * time.Second
	}
	reply := set.dispatch(routing.Route{})
	if reply.Status != http.StatusServiceUnavailable || reply.RetryAfter != 7*time.Second {
		t.Errorf("Dispatch returned status %d, RetryAfter %v, want 503 and 7s", reply.Status, reply.RetryAfter)
	}
	if set.requests.Load() != 0 || set.executed.Load() != 0 {
		t.Errorf("leafs got %d requests, onExecuted was called %d times, want 0 and 0",
			set.requests.Load(), set.executed.Load())
	}
	allowed = true
	for range 10 { // cancelled attempts must have released their reservations
		if reply := set.dispatch(routing.Route{}); reply.Status != http.StatusOK {
			t.Fatalf("Dispatch within the rate limit returned status %d (%s), want 200", reply.Status, reply.Reason)
		}
	}
}

// fanOutRoute returns a route that fans out to the services s0, s1 and so on.
func fanOutRoute(services int, share float64) routing.Route {
	route := routing.Route{MinimumShardShare: share, ResultCount: 100, MaxAttempts: 1}
	for i := range services {
		route.FanoutServices = append(route.FanoutServices, fmt.Sprint("s", i))
	}
	return route
}

// fanOutIDs returns the ids of one leaf for each service of a fan-out.
func fanOutIDs(services int) (ids []string) {
	for i := range services {
		ids = append(ids, fmt.Sprintf("s%d-0", i))
	}
	return ids
}

// TestFanOut: if enough shards answer, their responses are merged and the reply states the
// number of missing shards. Otherwise the request fails.
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
			t.Errorf("case %+v: Dispatch returned status %d, %q missing parts; want the values of the case",
				c, reply.Status, reply.Header.Get(HeaderMissingParts))
		}
		if reply.Status != http.StatusOK {
			continue
		}
		records := 4 - int(c.failures)
		stamps := strings.Split(reply.Header.Get(HeaderPartStamps), ", ")
		if len(reply.Body) != records*recordSize || len(stamps) != records {
			t.Errorf("case %+v: got %d bytes and stamps %v, want one record and one stamp for each answer",
				c, len(reply.Body), stamps)
		}
	}
	set := newLeafSet(t, failing(0), fanOutIDs(3)...)
	reply := set.dispatch(fanOutRoute(4, 1))
	if reply.Status != http.StatusServiceUnavailable || set.requests.Load() != 0 {
		t.Errorf("with a shard without leafs: status %d, leafs got %d requests, want 503 and 0",
			reply.Status, set.requests.Load())
	}
}

// TestFanOutCutoff: once enough shards have answered, the reply is built in time for the
// target latency and does not wait for late shards.
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
		t.Errorf("Dispatch returned status %d, %q missing parts, want 200 and 1",
			reply.Status, reply.Header.Get(HeaderMissingParts))
	}
	if took < 80*time.Millisecond || took > time.Second {
		t.Errorf("the reply took %v with a target latency of 100ms, want 80ms to 1s", took)
	}
}

// TestAdmitRequest: the lowest admit rate among the required shards decides. Shards that are not required must not
// cause rejections.
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
			t.Errorf("admitRequest(%v, %d) = %v, want %v", c.rates, c.required, got, c.want)
		}
	}
}

// TestRetainRoutes: only routes of the table keep their latency histogram. Otherwise the histograms of removed routes
// would accumulate.
func TestRetainRoutes(t *testing.T) {
	d := NewDispatcher(Options{})
	kept := d.histogram("kept")
	gone := d.histogram("gone")
	d.RetainRoutes(routing.Compile(&routing.Configuration{Routes: []routing.Route{{Name: "kept"}}}))
	if d.histogram("kept") != kept || d.histogram("gone") == gone {
		t.Error("RetainRoutes must keep the histogram of route kept and drop that of route gone")
	}
}

// BenchmarkDispatch measures a request to one service and a fan-out to 64 services, with
// leafs on local sockets.
func BenchmarkDispatch(b *testing.B) {
	answer := func(w http.ResponseWriter, r *http.Request, _ int64) { succeed(w, strings.Repeat("x", recordSize)) }
	for name, route := range map[string]routing.Route{"Single": {Service: "s0"}, "FanOut64": fanOutRoute(64, 1)} {
		b.Run(name, func(b *testing.B) {
			set := newLeafSet(b, answer, fanOutIDs(64)...)
			b.ReportAllocs()
			for b.Loop() {
				if reply := set.dispatch(route); reply.Status != http.StatusOK {
					b.Fatal("Dispatch returned a status other than 200:", reply.Status, reply.Reason)
				}
			}
		})
	}
}

// waitFor waits until a condition holds and fails the test after ten seconds.
func waitFor(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("condition not met within ten seconds: %s", what)
		}
	}
}

// TestClientDisconnectCancelsCalls: when the client disconnects, the calls under way are aborted and no attempt is
// started. Otherwise leafs would spend capacity on replies that are discarded.
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
			waitFor(t, "every shard's leaf processes a request", func() bool { return working.Load() == shards })
			disconnect()
			if reply := <-ended; reply.Status/100 == 2 || impliesNotExecuted(reply.Status) {
				t.Errorf("Dispatch returned status %d, want a failure for which impliesNotExecuted returns false", reply.Status)
			}
			waitFor(t, "the calls of all leafs are aborted", func() bool { return working.Load() == 0 })
			if n := set.requests.Load(); n != shards {
				t.Errorf("leafs got %d requests, want %d", n, shards)
			}
		})
	}
}

// TestClientDisconnectKeepsUnsafeCall: the call of an unsafe request runs to completion after the client disconnects,
// because it would be unknown whether an aborted one was executed. It is not retried.
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
					t.Error("the call was aborted, want it to run to completion")
				}
			}, "s-0", "s-1")
			clientCtx, disconnect := context.WithCancel(t.Context())
			set.clientCtx = clientCtx
			ended := make(chan *Reply)
			go func() {
				ended <- set.dispatch(routing.Route{RouteKind: routing.KindUnsafe, MaxAttempts: 3, TimeoutMs: 20000})
			}()
			waitFor(t, "a leaf processes the request", func() bool { return set.requests.Load() == 1 })
			disconnect()
			time.Sleep(20 * time.Millisecond)
			close(unblock)
			if reply := <-ended; name == "success" && reply.Status != http.StatusOK {
				t.Errorf("Dispatch returned status %d, want 200", reply.Status)
			}
			if n := set.requests.Load(); n != 1 {
				t.Errorf("leafs got %d requests, want 1", n)
			}
		})
	}
}

// TestClientDisconnectDuringRateLimitWait: a request is not sent if its client disconnects while it waits for the rate
// limit of its service, or has disconnected before.
func TestClientDisconnectDuringRateLimitWait(t *testing.T) {
	set := newLeafSet(t, alwaysSucceed, "s-0")
	clientCtx, disconnect := context.WithCancel(t.Context())
	set.clientCtx = clientCtx
	waiting := make(chan struct{})
	set.dispatcher.AwaitRateLimit = func(ctx context.Context, _ string, _ time.Time) (bool, time.Duration) {
		close(waiting)
		<-ctx.Done()
		return true, 0 // the call is allowed after the client has disconnected
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
		t.Errorf("Dispatch for a connected client returned status %d, leafs got %d requests in all, want 200 and 1",
			reply.Status, set.requests.Load())
	}
}

// TestHedgedAttemptOutlastsReply: an attempt whose hedge answers first is not aborted when the reply is returned.
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
		t.Fatalf("Dispatch returned status %d, leafs got %d requests, want 200 and 2", reply.Status, set.requests.Load())
	}
	close(unblock)
	waitFor(t, "the first attempt completes at its leaf", completed.Load)
}
