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
	// shadowBudgetReserve is the share that shadow attempts, which only compare
	// replicas, leave for retries and hedges.
	shadowBudgetReserve = 0.8
	// noBudgetReserve lets retries after a failure use the whole retry budget.
	noBudgetReserve = 0.0

	// The bounds of the backoff after a rejected attempt, before jitter.

	minRejectionBackoff = 6 * time.Millisecond
	maxRejectionBackoff = 40 * time.Millisecond
)

// reserve reserves an endpoint for one more attempt, or returns nil. All attempts
// reserve here, which keeps an invariant: a request that is not idempotent gets an
// endpoint only if no other endpoint has the request or may have executed it. A client that
// has left gets no more attempts.
func (f *fanOut) reserve(s *shard) *upstream.Endpoint {
	if f.clientCtx.Err() != nil {
		return nil
	}
	if !f.request.Retryable(s.worstOutcome) || f.request.NonIdempotent && s.pendingAttempts > 0 {
		return nil
	}
	return f.Clusters.Reserve(s.service, s.triedEndpoints, f.request.NonIdempotent)
}

// startAttempt starts an attempt that does not count against the retry budget: the
// first one, or a replacement for one that was not sent. It reports whether an
// endpoint accepted it.
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
// the retry budget allow it, and reports whether it did. budgetReserve is the share
// of the budget that must remain after it.
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

// handleOverdue reports and hedges the newest attempt of a shard, which is overdue.
func (f *fanOut) handleOverdue(s *shard, now time.Time) {
	overdue := s.newest
	f.Clusters.ReportOverdue(overdue.endpoint, overdue.startedAt, f.hedgeDelay)
	s.hedgeAt = now.Add(f.hedgeDelay)
	if f.Clusters.Overloaded(s.service) {
		return // a second attempt would only slow down all of them
	}
	if f.retry(s, hedgeBudgetReserve, now) {
		overdue.markHedged()
	}
}

// rejectionBackoff returns how long to wait after an endpoint rejected an attempt:
// about one mean latency, after which it or another endpoint has a free slot.
func rejectionBackoff(meanLatency time.Duration) time.Duration {
	backoff := min(max(meanLatency, minRejectionBackoff), maxRejectionBackoff)
	return backoff/2 + rand.N(backoff)
}
