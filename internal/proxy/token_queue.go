package proxy

import (
	"slices"
	"time"
)

// verdict states whether a request is within its tenant's quota.
type verdict uint8

const (
	granted          verdict = iota // the request got a token, or needs none
	tenantLimited                   // the tenant has reached its rate limit
	quotaUnavailable                // there is no decision from the control plane
)

// admission is the decision on a request under its tenant's quota.
type admission struct {
	verdict    verdict
	retryAfter time.Duration // 0 if the verdict is granted
}

// waiter is a request that waits for a token.
type waiter struct {
	done     chan admission // buffered for one
	attempts int            // number of token requests that failed
}

// waitQueue holds the requests that wait for tokens of one tenant, oldest first.
// tokenClient.mu guards it.
type waitQueue struct {
	waiters   []*waiter
	requested int // number of tokens in requests that are not yet answered
}

// unrequested returns the number of tokens that have not been requested yet.
func (q *waitQueue) unrequested() int { return len(q.waiters) - q.requested }

// isUnused reports whether there are no waiters and no open requests.
func (q *waitQueue) isUnused() bool { return len(q.waiters) == 0 && q.requested <= 0 }

// endRequest records that a request for count tokens was answered or timed out.
func (q *waitQueue) endRequest(count int) { q.requested = max(0, q.requested-count) }

func (q *waitQueue) remove(waiting *waiter) {
	if i := slices.Index(q.waiters, waiting); i >= 0 {
		q.waiters = append(q.waiters[:i], q.waiters[i+1:]...)
	}
}

// grantFirst admits the oldest waiter and removes it.
func (q *waitQueue) grantFirst() {
	q.waiters[0].done <- admission{verdict: granted}
	q.waiters = q.waiters[1:]
}

// reject rejects the oldest count waiters and removes them.
func (q *waitQueue) reject(count int, reason admission) {
	count = min(count, len(q.waiters))
	for _, rejected := range q.waiters[:count] {
		rejected.done <- reason
	}
	q.waiters = q.waiters[count:]
}

func (q *waitQueue) rejectAll(reason admission) { q.reject(len(q.waiters), reason) }

// failAttempt counts a failed attempt for the oldest count waiters, and rejects those that
// have reached maxTokenAttempts. It reports whether any waiters are left.
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
