package scatter

import (
	"math/rand/v2"
	"time"

	"comethold/internal/upstream"
)

const (
	// hedgeBudgetReserve is the share of the retry budget that hedges leave for
	// retries after a failure.
	hedgeBudgetReserve = 0.6
	// shadowBudgetReserve is the share that attempts for comparison only leave.
	shadowBudgetReserve = 0.8

	// The bounds of the wait after a rejected attempt, before jitter.

	minRejectionBackoff = 6 * time.Millisecond
	maxRejectionBackoff = 40 * time.Millisecond
)

// reserve reserves an endpoint for one more attempt. Every attempt comes by here:
// a request that is not idempotent gets an endpoint only while no other one has
// it or may have executed it.
func (f *fanOut) reserve(s *shard) *upstream.Endpoint {
	if !f.request.Retryable(s.worstOutcome) || f.request.NonIdempotent && s.pendingAttempts > 0 {
		return nil
	}
	return f.Clusters.Reserve(s.service, s.triedEndpoints, f.request.NonIdempotent)
}

// startAttempt starts an attempt outside the retry budget, if an endpoint accepts
// it: the first one, or one in place of an attempt that was not sent.
func (f *fanOut) startAttempt(s *shard, now time.Time) bool {
	endpoint := f.reserve(s)
	if endpoint == nil {
		f.failIfExhausted(s)
		return false
	}
	f.sendAttempt(s, endpoint, now)
	return true
}

// retry starts an attempt at another endpoint, if the route's attempt limit and
// the retry budget allow it. budgetReserve is the share of the budget that must
// stay.
func (f *fanOut) retry(s *shard, budgetReserve float64, now time.Time) bool {
	if s.sentAttempts >= f.route.AttemptLimit || !f.request.Deadline.After(now) {
		return false
	}
	endpoint := f.reserve(s)
	if endpoint == nil {
		return false
	}
	if !f.RetryBudget.TryWithdraw(s.service, now, budgetReserve) {
		f.Clusters.Release(endpoint)
		return false
	}
	f.sendAttempt(s, endpoint, now)
	return true
}

func (f *fanOut) sendAttempt(s *shard, endpoint *upstream.Endpoint, now time.Time) {
	added := s.addAttempt(endpoint, now)
	s.hedgeAt = now.Add(f.hedgeDelay)
	f.scheduleBy(s.hedgeAt)
	go f.perform(added)
}

// handleOverdue deals with a shard whose newest attempt takes longer than most.
func (f *fanOut) handleOverdue(s *shard, now time.Time) {
	overdue := s.newest
	f.Clusters.ReportOverdue(overdue.endpoint, overdue.startedAt, f.hedgeDelay)
	s.hedgeAt = now.Add(f.hedgeDelay)
	if f.Clusters.Overloaded(s.service) {
		return // a second attempt would only slow down all of them
	}
	if f.retry(s, hedgeBudgetReserve, now) {
		overdue.hedge()
	}
}

// rejectionBackoff is how long to wait after an endpoint rejected an attempt: a
// full endpoint has its next slot free in a moment, and so have its peers.
func rejectionBackoff(meanLatency time.Duration) time.Duration {
	backoff := min(max(meanLatency, minRejectionBackoff), maxRejectionBackoff)
	return backoff/2 + rand.N(backoff)
}
