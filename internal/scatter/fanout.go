package scatter

import (
	"context"
	"time"

	"comethold/internal/routing"
	"comethold/internal/upstream"
)

const (
	// maxUnsentAttempts is the maximum number of attempts of a shard that are replaced
	// because they could not be sent. They don't count against the route's attempt limit.
	maxUnsentAttempts = 3
	// deliveryMargin is how long before the target latency the reply is built, so that
	// it reaches the client in time.
	deliveryMargin = 12 * time.Millisecond
	// lateCutoffFactor is the number of target latencies after which a reply that
	// missed its target is built from the shards that have answered.
	lateCutoffFactor = 3
	// idleTimerInterval is the initial value of a timer that is reset before it fires.
	idleTimerInterval = time.Hour
)

// fanOut is the state of one request. Only the goroutine that calls run may change it.
type fanOut struct {
	*Dispatcher
	clientCtx context.Context // canceled when the client disconnects
	callCtx   context.Context // of the calls; canceled to abort those under way
	route     *routing.CompiledRoute
	request   *upstream.Request
	latency   *latencyHistogram // of the route's responses

	start      time.Time
	hedgeDelay time.Duration // time after which an attempt counts as overdue
	cutoff     time.Time     // when the reply is built from the shards that have answered
	required   int           // number of shards that a successful reply needs

	shards         []shard
	results        chan *attempt // ended attempts
	ended          chan struct{} // closed when results are no longer read
	completeShards int           // number of shards that have a response
	openShards     int           // number of shards that may still get one
	nextDue        time.Time     // when to call handleDue next; not later than the earliest hedge or retry

	retryAfter      time.Duration      // longest wait that a rate limit returned
	onExecuted      func(at time.Time) // nil after it was called
	maybeExecutedAt time.Time          // when an endpoint received the request and may have executed it
}

func (d *Dispatcher) newFanOut(
	clientCtx context.Context, route *routing.CompiledRoute, request *upstream.Request, services []string, start time.Time,
) *fanOut {
	latency := d.histogram(route.Name)
	f := &fanOut{
		Dispatcher: d,
		clientCtx:  clientCtx,
		callCtx:    clientCtx,
		route:      route,
		request:    request,
		latency:    latency,
		start:      start,
		hedgeDelay: latency.hedgeDelay(route.TargetLatency),
		cutoff:     start.Add(route.TargetLatency - deliveryMargin),
		shards:     make([]shard, len(services)),
		results:    make(chan *attempt, len(services)*(route.AttemptLimit+maxUnsentAttempts)),
		ended:      make(chan struct{}),
		openShards: len(services),
	}
	if request.NonIdempotent {
		f.callCtx = context.WithoutCancel(clientCtx)
	}
	sampled := d.samplesLatency(route)
	for i, service := range services {
		f.shards[i].service = service
		if sampled {
			f.shards[i].pair = &replicaPair{}
		}
	}
	return f
}

// startAll starts the first attempt of every shard.
func (f *fanOut) startAll() {
	for i := range f.shards {
		f.startAttempt(&f.shards[i], f.start)
	}
}

// run handles results and timers until the reply can be built or the client disconnects. A
// result affects only its shard. handleDue visits all shards, so it runs only when one is due.
func (f *fanOut) run() {
	clientDone := f.clientCtx.Done()
	timer := time.NewTimer(idleTimerInterval)
	defer timer.Stop()
	var armedFor time.Time
	for {
		now := time.Now()
		if !f.nextDue.After(now) {
			f.handleDue(now)
		}
		if f.isFinished(now) || f.reachesCutoff(now) {
			return
		}
		if wakeAt := f.wakeAt(); !wakeAt.Equal(armedFor) {
			timer.Reset(max(wakeAt.Sub(now), 0))
			armedFor = wakeAt
		}
		select {
		case ended := <-f.results:
			f.handleResult(ended)
			f.handleWaitingResults()
		case <-timer.C:
			armedFor = time.Time{}
		case <-clientDone:
			if !f.awaitsUncancelableCall() {
				return
			}
			clientDone = nil
		}
	}
}

// awaitsUncancelableCall reports whether a call is under way that must complete after the client disconnects.
func (f *fanOut) awaitsUncancelableCall() bool {
	return f.request.NonIdempotent && f.shards[0].pendingAttempts > 0
}

// handleWaitingResults handles the results that are already in the channel, without blocking.
func (f *fanOut) handleWaitingResults() {
	for {
		select {
		case ended := <-f.results:
			f.handleResult(ended)
		default:
			return
		}
	}
}

// isFinished reports whether no shard can still get a response, too few shards can get one
// for a successful reply, or the request's deadline has passed.
func (f *fanOut) isFinished(now time.Time) bool {
	return f.openShards == 0 ||
		f.completeShards+f.openShards < f.required ||
		!f.request.Deadline.After(now)
}

// awaitsCutoff reports whether enough shards have answered for a successful reply, so
// that the fan-out waits for the other shards only until its cutoff.
func (f *fanOut) awaitsCutoff() bool {
	return f.request.FanOut && f.completeShards >= f.required && f.route.TargetLatency > 0
}

// reachesCutoff reports whether to build the reply now from the shards that have answered,
// because an incomplete reply within the target latency is better than a complete one after
// it. If the target latency is already missed, reachesCutoff postpones the cutoff to
// lateCutoffFactor target latencies after the start.
func (f *fanOut) reachesCutoff(now time.Time) bool {
	if !f.awaitsCutoff() || f.cutoff.After(now) {
		return false
	}
	lateCutoff := f.start.Add(lateCutoffFactor * f.route.TargetLatency)
	if now.Sub(f.cutoff) < deliveryMargin || !lateCutoff.After(now) {
		return true
	}
	f.cutoff = lateCutoff
	return false
}

// wakeAt returns when the fan-out must act next if no result arrives earlier.
func (f *fanOut) wakeAt() time.Time {
	wakeAt := f.request.Deadline
	if !f.nextDue.IsZero() && f.nextDue.Before(wakeAt) {
		wakeAt = f.nextDue
	}
	if f.awaitsCutoff() && f.cutoff.Before(wakeAt) {
		wakeAt = f.cutoff
	}
	return wakeAt
}

// scheduleBy makes run call handleDue at the given time or earlier.
func (f *fanOut) scheduleBy(at time.Time) {
	if f.nextDue.IsZero() || at.Before(f.nextDue) {
		f.nextDue = at
	}
}

// handleDue starts the retries and hedges that are due and updates nextDue.
func (f *fanOut) handleDue(now time.Time) {
	f.nextDue = time.Time{}
	for i := range f.shards {
		if s := &f.shards[i]; s.isOpen() {
			f.handleDueShard(s, now)
		}
	}
}

func (f *fanOut) handleDueShard(s *shard, now time.Time) {
	if !s.retryAt.IsZero() && !s.retryAt.After(now) {
		s.retryAt = time.Time{}
		if !f.retry(s, noBudgetReserve, now) {
			f.failIfExhausted(s)
			return
		}
	}
	if s.pendingAttempts == 0 {
		f.scheduleBy(s.retryAt)
		return
	}
	if !s.hedgeAt.After(now) {
		f.handleOverdue(s, now)
	}
	f.scheduleBy(s.hedgeAt)
}

// complete sets the response of a shard unless it already has one.
func (f *fanOut) complete(s *shard, response *upstream.Response) {
	if s.response != nil {
		return
	}
	s.response = response
	f.completeShards++
	if !s.failed {
		f.openShards--
	}
}

// failIfExhausted marks an open shard as failed if none of its attempts is under way.
func (f *fanOut) failIfExhausted(s *shard) {
	if s.isIdle() && !s.failed {
		s.failed = true
		f.openShards--
	}
}
