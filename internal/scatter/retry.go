package scatter

import (
	"math/rand/v2"
	"time"

	"comethold/internal/upstream"
)

const (
	// hedgeBudgetReserve is the share of the retry budget that hedges leave to
	// retries after a failure.
	hedgeBudgetReserve = 0.6
	// shadowBudgetReserve is the share of the retry budget that shadow attempts leave to
	// retries and hedges. Shadow attempts serve only to compare replicas.
	shadowBudgetReserve = 0.8
	// noBudgetReserve lets retries after a failure use the whole retry budget.
	noBudgetReserve = 0.0

	// The bounds, before jitter, of the backoff after a rejected attempt.

	minRejectionBackoff = 6 * time.Millisecond
	maxRejectionBackoff = 40 * time.Millisecond
)

// reserve reserves an endpoint for one more attempt. It returns nil if there is none, or if
// the client has disconnected. All attempts must reserve their endpoint here, which maintains
// an invariant: a request that is not idempotent gets an endpoint only if no other endpoint is
// processing it or may have executed it.
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
// first one, or a replacement for one that was not sent. It returns false if no
// endpoint could be reserved.
func (f *fanOut) startAttempt(s *shard, now time.Time) bool {
	endpoint := f.reserve(s)
	if endpoint == nil {
		f.failIfExhausted(s)
		return false
	}
	f.sendAttempt(s, endpoint, now)
	return true
}

// retry starts an attempt at another endpoint if the route's attempt limit, the request's
// deadline and the retry budget allow it, and reports whether it did. budgetReserve is the
// share of the budget, from 0 to 1, that must remain afterwards.
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

// handleOverdue reports the newest attempt of a shard as overdue to the cluster manager and hedges it.
func (f *fanOut) handleOverdue(s *shard, now time.Time) {
	overdue := s.newest
	f.Clusters.ReportOverdue(overdue.endpoint, overdue.startedAt, f.hedgeDelay)
	s.hedgeAt = now.Add(f.hedgeDelay)
	if f.Clusters.Overloaded(s.service) {
		return // extra load would only slow down all attempts
	}
	if f.retry(s, hedgeBudgetReserve, now) {
		overdue.markHedged()
	}
}

// rejectionBackoff returns the time to wait after an endpoint rejected an attempt. It is
// about one mean latency, after which this or another endpoint is likely to have a free slot.
func rejectionBackoff(meanLatency time.Duration) time.Duration {
	backoff := min(max(meanLatency, minRejectionBackoff), maxRejectionBackoff)
	return backoff/2 + rand.N(backoff)
}
