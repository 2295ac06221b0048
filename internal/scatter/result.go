package scatter

import (
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"comethold/internal/upstream"
)

// handleResult updates the shard of an ended attempt, and retries or replaces the attempt if it failed.
func (f *fanOut) handleResult(ended *attempt) {
	s := ended.shard
	s.pendingAttempts--
	now := time.Now()
	if ended.currentState() == attemptCancelled {
		s.sentAttempts--
		f.retryAfter = max(f.retryAfter, ended.retryAfter)
		f.failIfExhausted(s)
		return
	}
	outcome := upstream.OutcomeOf(ended.response, ended.err)
	s.worstOutcome = max(s.worstOutcome, outcome)
	if outcome == upstream.Executed && ended.response.IsSuccess() {
		f.handleSuccess(ended, now)
		return
	}
	var replaced bool
	switch outcome {
	case upstream.NotSent:
		replaced = f.handleNotSent(s, now)
	case upstream.Rejected:
		replaced = f.handleRejection(ended, now)
	default:
		replaced = f.handleFailure(ended, outcome, now)
	}
	if !replaced {
		f.failIfExhausted(s)
	}
}

func (f *fanOut) handleSuccess(ended *attempt, now time.Time) {
	s := ended.shard
	f.markExecuted(now.Add(-ended.duration))
	isFirst := s.response == nil
	f.complete(s, ended.response)
	f.latency.record(ended.duration)
	if isFirst && s.pair != nil && len(s.triedEndpoints) == 1 &&
		rand.Float64() < f.ShadowShare && !f.Clusters.Overloaded(s.service) {
		f.retry(s, shadowBudgetReserve, now)
	}
}

// handleNotSent replaces an attempt that was not sent, if possible. It reports whether a replacement was started.
func (f *fanOut) handleNotSent(s *shard, now time.Time) bool {
	s.sentAttempts--
	s.unsentAttempts++
	if !s.isIdle() || s.unsentAttempts > maxUnsentAttempts || !f.request.Deadline.After(now) {
		return false
	}
	return f.startAttempt(s, now)
}

// handleRejection retries an attempt that its endpoint rejected: immediately if the request
// was misdirected, otherwise after a backoff. It reports whether a retry was started or
// scheduled.
func (f *fanOut) handleRejection(ended *attempt, now time.Time) bool {
	s := ended.shard
	s.lastFailure = ended.response
	if !s.isIdle() {
		return false
	}
	if ended.response.Status == http.StatusMisdirectedRequest {
		return f.retry(s, noBudgetReserve, now)
	}
	if s.sentAttempts >= f.route.AttemptLimit {
		return false
	}
	s.retryAt = now.Add(rejectionBackoff(f.Clusters.MeanLatency(s.service)))
	f.scheduleBy(s.retryAt)
	return true
}

// handleFailure retries an attempt that its endpoint answered with a failure or that got no
// complete response, if possible. It reports whether a retry was started.
func (f *fanOut) handleFailure(ended *attempt, outcome upstream.Outcome, now time.Time) bool {
	s := ended.shard
	s.lastFailure = ended.response
	sentAt := now.Add(-ended.duration)
	if outcome == upstream.Executed {
		f.markExecuted(sentAt)
	} else if f.maybeExecutedAt.IsZero() {
		f.maybeExecutedAt = sentAt
	}
	s.timedOut = s.timedOut || errors.Is(ended.err, upstream.ErrTimeout)
	return s.isIdle() && f.retry(s, noBudgetReserve, now)
}

// markExecuted calls onExecuted on the first call only. at is when the endpoint received the request.
func (f *fanOut) markExecuted(at time.Time) {
	if f.onExecuted != nil {
		f.onExecuted(at)
		f.onExecuted = nil
	}
}

// markPossiblyExecuted counts a request as executed if an endpoint received it but did not
// report whether it was executed, because most such endpoints have already begun to execute it.
func (f *fanOut) markPossiblyExecuted() {
	for i := range f.shards {
		if s := &f.shards[i]; s.pendingAttempts > 0 && f.maybeExecutedAt.IsZero() {
			f.maybeExecutedAt = s.newest.startedAt
		}
	}
	if !f.maybeExecutedAt.IsZero() {
		f.markExecuted(f.maybeExecutedAt)
	}
}
