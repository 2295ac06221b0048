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
	attemptQueued    attemptState = iota // has an endpoint reserved and waits for the service's rate limit
	attemptSent                          // the call is under way
	attemptHedged                        // the call is under way and overdue; a hedge was sent
	attemptCompleted                     // ended, with a response or an error
	attemptCancelled                     // not sent: the rate limit allowed no call in time, or the client has left
)

// attempt is one call of a shard's request to one endpoint.
type attempt struct {
	shard     *shard
	endpoint  *upstream.Endpoint
	startedAt time.Time
	state     atomic.Int32 // an attemptState

	// The result. The attempt's goroutine sets it before it sends the attempt to the
	// fan-out. It does not change after that.

	response   *upstream.Response
	err        error
	duration   time.Duration // of the call
	retryAfter time.Duration // if cancelled: when the rate limit allows more
}

func (a *attempt) currentState() attemptState { return attemptState(a.state.Load()) }

func (a *attempt) setState(state attemptState) { a.state.Store(int32(state)) }

// markHedged records that a second attempt was sent because this one is overdue. An attempt
// that is still queued or has ended keeps its state.
func (a *attempt) markHedged() {
	a.state.CompareAndSwap(int32(attemptSent), int32(attemptHedged))
}

// perform makes the call of an attempt and sends the attempt to the fan-out. It
// runs in a goroutine of its own, which ends by the request's deadline, and may
// outlast the fan-out.
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

// recoverPanic ends an attempt that panicked: before its call as one that was cancelled, during it as one whose
// response was lost. It must be deferred directly: recover works only there.
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
		return // it was delivered
	}
	f.deliver(a)
}

// awaitRateLimit waits until the service's rate limit allows the call of an attempt. It reports
// false if the call must not be made: the limit allows none in time, or the client has left.
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

// deliver sends an attempt that ended to the fan-out, unless that has ended too.
func (f *fanOut) deliver(a *attempt) {
	select {
	case f.results <- a:
	case <-f.ended:
	}
}
