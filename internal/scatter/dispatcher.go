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

// Options are what a Dispatcher works with.
type Options struct {
	Clusters    *upstream.ClusterManager
	RetryBudget *retrybudget.Budget

	// AwaitRateLimit, if set, waits until a call may be made to a service whose rate is
	// limited. If it may not be made before the deadline, or ctx is done before, it
	// returns false and the time after which the client may retry.
	AwaitRateLimit func(ctx context.Context, service string, deadline time.Time) (ok bool, retryAfter time.Duration)

	// Latencies, if set, gets the latencies of requests on routes that have a
	// lookup class. ShadowShare is the share of them that is sent to a second
	// replica too, for comparison only.
	Latencies   *latencyestimate.Collector
	ShadowShare float64

	// OnPanic, if set, is called with the value of a panic in an attempt. It may be called from several goroutines.
	OnPanic func(cause any)
}

// Dispatcher carries requests to endpoints. It is safe for concurrent use.
type Dispatcher struct {
	Options

	mu         sync.Mutex                   // guards the field below
	histograms map[string]*latencyHistogram // by route name
}

// NewDispatcher makes a dispatcher.
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

// Dispatch carries a request that arrived at start to the endpoints of its route
// and returns the reply. onExecuted, if given, is called once if an endpoint
// executed the request or may have, with the time at which that endpoint got it.
//
// ctx is canceled when the client has left, and must not be canceled after Dispatch has
// returned: calls that are still under way then go on. Once it is canceled no further call
// is made. Calls under way are given up if the request is idempotent; otherwise they go on to
// their end, since a request that is broken off may have been executed or not.
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

// admitRequest decides whether a request is started. When endpoints reject calls,
// requests beyond their capacity would use slots and fail nevertheless. A share of
// the requests is therefore rejected before any call. The share follows the
// least admit rate among the required shards with the highest rates. It sorts admitRates.
func admitRequest(admitRates []float64, required int) bool {
	slices.Sort(admitRates)
	share := admitRates[len(admitRates)-required]
	return share >= 1 || rand.Float64() < share
}
