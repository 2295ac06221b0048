package proxy

import (
	"slices"
	"time"
)

// verdict is whether a request may pass its tenant's quota.
type verdict uint8

const (
	granted          verdict = iota // it has a token, or needs none
	tenantLimited                   // the tenant is at its limit
	quotaUnavailable                // the control plane could not be asked
)

// admission is the decision whether a request may pass its tenant's quota.
type admission struct {
	verdict    verdict
	retryAfter time.Duration // unless granted
}

// waiter is a request that waits for a token.
type waiter struct {
	done     chan admission // buffered for one
	attempts int            // token requests that failed
}

// waitQueue holds the requests that wait for tokens of one tenant, oldest first. It
// is guarded by tokenClient.mu.
type waitQueue struct {
	waiters   []*waiter
	requested int // tokens requested for the waiters, without an answer yet
}

// unrequested returns how many tokens are still to be requested.
func (q *waitQueue) unrequested() int { return len(q.waiters) - q.requested }

// isUnused reports whether there are no waiters and no open requests.
func (q *waitQueue) isUnused() bool { return len(q.waiters) == 0 && q.requested <= 0 }

// answered records that a request for count tokens ended, with a grant or a time-out.
func (q *waitQueue) answered(count int) { q.requested = max(0, q.requested-count) }

func (q *waitQueue) remove(leaving *waiter) {
	if i := slices.Index(q.waiters, leaving); i >= 0 {
		q.waiters = append(q.waiters[:i], q.waiters[i+1:]...)
	}
}

// grantFirst gives the oldest waiter a token.
func (q *waitQueue) grantFirst() {
	q.waiters[0].done <- admission{verdict: granted}
	q.waiters = q.waiters[1:]
}

// reject rejects the oldest count waiters.
func (q *waitQueue) reject(count int, reason admission) {
	count = min(count, len(q.waiters))
	for _, rejected := range q.waiters[:count] {
		rejected.done <- reason
	}
	q.waiters = q.waiters[count:]
}

func (q *waitQueue) rejectAll(reason admission) { q.reject(len(q.waiters), reason) }

// failAttempt counts a failed attempt for the oldest count waiters, and rejects the ones
// that reached maxTokenAttempts. It reports whether any waiters are left.
func (q *waitQueue) failAttempt(count int) bool {
	kept := q.waiters[:0]
	for i, waiting := range q.waiters {
		if i < count {
			waiting.attempts++
			if waiting.attempts >= maxTokenAttempts {
				waiting.done <- unavailableQuota
				continue
			}
		}
		kept = append(kept, waiting)
	}
	q.waiters = kept
	return len(kept) > 0
}
