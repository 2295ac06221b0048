package scatter

import (
	"fmt"
	"sync/atomic"
	"time"

	"comethold/internal/upstream"
)

// attemptState is the state of an attempt:
//
//	queued ──► sent ───────────► completed
//	   │         └──► hedged ──►
//	   └──► cancelled
type attemptState int32

const (
	attemptQueued    attemptState = iota // an endpoint is reserved; the attempt waits for the service's rate limit
	attemptSent                          // the call is under way
	attemptHedged                        // the call is under way and overdue, and a hedge was sent
	attemptCompleted                     // ended, with a response or an error
	attemptCancelled                     // not sent: rate limit, client disconnect or panic before the call
)

// attempt is one call to an endpoint with the request of a shard.
type attempt struct {
	shard     *shard
	endpoint  *upstream.Endpoint
	startedAt time.Time
	state     atomic.Int32 // an attemptState

	// The result. The attempt's goroutine sets it before it sends the attempt to the
	// fan-out, and it does not change afterwards.

	response   *upstream.Response
	err        error
	duration   time.Duration // of the call
	retryAfter time.Duration // if cancelled by the rate limit: time until it allows another call
}

func (a *attempt) currentState() attemptState { return attemptState(a.state.Load()) }

func (a *attempt) setState(state attemptState) { a.state.Store(int32(state)) }

// markHedged records that a hedge was sent because this attempt is overdue. It changes nothing
// if the attempt is still queued or has ended.
func (a *attempt) markHedged() {
	a.state.CompareAndSwap(int32(attemptSent), int32(attemptHedged))
}

// perform makes the call of an attempt and sends the attempt to the fan-out. It runs
// in a separate goroutine, which may outlast the fan-out but ends by the request's
// deadline.
func (f *fanOut) perform(a *attempt) {
	defer f.recoverPanic(a)
	if !f.awaitRateLimit(a) {
		f.Clusters.Release(a.endpoint)
		a.setState(attemptCancelled)
		f.deliver(a)
		return
	}
	a.setState(attemptSent)
	sentAt := time.Now()
	pair := a.shard.pair
	contended := pair != nil && f.Clusters.Contended(a.endpoint)
	a.response, a.err = f.Clusters.Call(f.callCtx, a.endpoint, f.request)
	a.duration = time.Since(sentAt)
	a.setState(attemptCompleted)
	f.deliver(a)
	if pair != nil {
		f.recordSample(a, contended)
	}
}

// recoverPanic ends an attempt that panicked. An attempt that panicked before its call counts as cancelled. One that
// panicked during its call fails with ErrResponseLost, because the endpoint may have executed the request. recoverPanic
// must be the deferred function itself, because recover works only if the deferred function calls it directly.
func (f *fanOut) recoverPanic(a *attempt) {
	cause := recover()
	if cause == nil {
		return
	}
	if f.OnPanic != nil {
		f.OnPanic(cause)
	}
	switch a.currentState() {
	case attemptQueued:
		f.Clusters.Release(a.endpoint)
		a.setState(attemptCancelled)
	case attemptSent, attemptHedged:
		a.response = nil
		a.err = fmt.Errorf("%w: panic: %v", upstream.ErrResponseLost, cause)
		a.setState(attemptCompleted)
	case attemptCompleted, attemptCancelled:
		return // already delivered
	}
	f.deliver(a)
}

// awaitRateLimit waits until the service's rate limit allows the call of an attempt. It returns
// false if the call must not be made, because the limit does not allow it before the request's
// deadline or the client has disconnected.
func (f *fanOut) awaitRateLimit(a *attempt) bool {
	if f.AwaitRateLimit == nil {
		return true
	}
	ok, retryAfter := f.AwaitRateLimit(f.clientCtx, a.endpoint.Info().Service, f.request.Deadline)
	if !ok {
		a.retryAfter = retryAfter
	}
	return ok && f.clientCtx.Err() == nil
}

// deliver sends an ended attempt to the fan-out. It drops the attempt if the fan-out has ended.
func (f *fanOut) deliver(a *attempt) {
	select {
	case f.results <- a:
	case <-f.ended:
	}
}
