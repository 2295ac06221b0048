package scatter

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"comethold/internal/latencyestimate"
	"comethold/internal/retrybudget"
	"comethold/internal/routing"
	"comethold/internal/upstream"
)

// Options holds the dependencies and settings of a Dispatcher.
type Options struct {
	Clusters    *upstream.ClusterManager
	RetryBudget *retrybudget.Budget

	// AwaitRateLimit, if set, waits until the rate limit of a service allows a call. If the
	// limit does not allow it before the deadline, or ctx is done first, it returns false
	// and the time after which the client may retry.
	AwaitRateLimit func(ctx context.Context, service string, deadline time.Time) (ok bool, retryAfter time.Duration)

	// Latencies, if set, receives the latencies of calls on routes that have a
	// lookup class. ShadowShare is the share of these lookups, from 0 to 1, that are also
	// sent to a second replica to compare the two responses.
	Latencies   *latencyestimate.Collector
	ShadowShare float64

	// OnPanic, if set, is called with the value of a panic in an attempt. It must be safe for concurrent use.
	OnPanic func(cause any)
}

// Dispatcher forwards requests to endpoints. It is safe for concurrent use.
type Dispatcher struct {
	Options

	mu         sync.Mutex                   // guards the field below
	histograms map[string]*latencyHistogram // by route name
}

// NewDispatcher returns a dispatcher without latency histograms.
func NewDispatcher(options Options) *Dispatcher {
	return &Dispatcher{Options: options, histograms: map[string]*latencyHistogram{}}
}

// RetainRoutes drops the latency histograms of routes that are not in the table.
func (d *Dispatcher) RetainRoutes(table *routing.RouteTable) {
	live := map[string]bool{}
	table.ForEachRoute(func(route *routing.CompiledRoute) { live[route.Name] = true })
	d.mu.Lock()
	defer d.mu.Unlock()
	for name := range d.histograms {
		if !live[name] {
			delete(d.histograms, name)
		}
	}
}

func (d *Dispatcher) histogram(route string) *latencyHistogram {
	d.mu.Lock()
	defer d.mu.Unlock()
	histogram := d.histograms[route]
	if histogram == nil {
		histogram = &latencyHistogram{}
		d.histograms[route] = histogram
	}
	return histogram
}

// Dispatch forwards a request that arrived at start to the endpoints of its route
// and returns the reply. If an endpoint executed the request or may have executed it,
// Dispatch calls onExecuted, if not nil, once with the time at which that endpoint
// received the request.
//
// The caller cancels ctx when the client disconnects. It must not cancel ctx after Dispatch
// has returned, because calls may still be under way. Once ctx is canceled, no further call is
// made. Calls under way are aborted if the request is idempotent. Otherwise they run to
// completion, because it is unknown whether an aborted request was executed.
func (d *Dispatcher) Dispatch(
	ctx context.Context,
	route *routing.CompiledRoute, request *upstream.Request, start time.Time, onExecuted func(at time.Time),
) *Reply {
	isFanOut := route.IsFanOut()
	services := route.FanoutServices
	required := route.RequiredShards
	if !isFanOut {
		services = []string{route.PickService(rand.Float64())}
		required = 1
	}
	for _, service := range services {
		d.RetryBudget.Deposit(service, start)
	}
	available, admitRates := d.Clusters.Availability(services)
	if isFanOut && available < required {
		return retryLaterReply("too few shards have a leaf")
	}
	if !admitRequest(admitRates, required) {
		return retryLaterReply("the leafs are full")
	}
	request.NonIdempotent = !route.Idempotent()
	request.FanOut = isFanOut
	f := d.newFanOut(ctx, route, request, services, start)
	f.required = required
	f.onExecuted = onExecuted
	f.startAll()
	f.run()
	close(f.ended)
	f.markPossiblyExecuted()
	if isFanOut {
		return f.mergedReply()
	}
	return f.singleReply()
}

// admitRequest decides at random whether a request is admitted. When endpoints reject
// calls, requests beyond their capacity would occupy slots and still fail, so a share of
// the requests is rejected before any call is made. The share of admitted requests is
// the required-th highest admit rate: the lowest one among the shards that a successful
// reply needs. admitRequest sorts admitRates.
func admitRequest(admitRates []float64, required int) bool {
	slices.Sort(admitRates)
	share := admitRates[len(admitRates)-required]
	return share >= 1 || rand.Float64() < share
}
