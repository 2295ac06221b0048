package scatter

import (
	"time"

	"comethold/internal/upstream"
)

// shard is one service of a fan-out with its attempts. It is open until it has a
// response or has failed. A failed shard has no attempt under way and gets no more.
// Only the fan-out changes it.
type shard struct {
	service string
	pair    *replicaPair // the sampled responses; nil if latencies are not sampled

	// The attempts that have been added.

	first           attempt // storage for the first attempt, which avoids an allocation
	newest          *attempt
	triedEndpoints  []*upstream.Endpoint
	sentAttempts    int                // attempts that reached an endpoint or still may
	unsentAttempts  int                // attempts that could not be sent
	pendingAttempts int                // attempts that have not ended
	worstOutcome    upstream.Outcome   // of the completed attempts
	lastFailure     *upstream.Response // response of the last attempt that was rejected or failed; may be nil
	timedOut        bool               // whether an attempt timed out

	// The times of the next hedge and the next retry.

	hedgeAt time.Time // when the newest attempt counts as overdue
	retryAt time.Time // when a rejected attempt is retried; zero if no retry is scheduled

	response *upstream.Response
	failed   bool
}

// addAttempt adds an attempt at an endpoint that the caller has reserved.
func (s *shard) addAttempt(endpoint *upstream.Endpoint, now time.Time) *attempt {
	added := &s.first
	if s.newest != nil {
		added = &attempt{}
	}
	added.shard = s
	added.endpoint = endpoint
	added.startedAt = now
	s.newest = added
	s.triedEndpoints = append(s.triedEndpoints, endpoint)
	s.sentAttempts++
	s.pendingAttempts++
	return added
}

// isOpen reports whether the shard may still get a response.
func (s *shard) isOpen() bool { return s.response == nil && !s.failed }

// isIdle reports whether the shard has neither a response nor an attempt under way.
func (s *shard) isIdle() bool { return s.response == nil && s.pendingAttempts == 0 }

// mayHaveExecuted reports whether an endpoint executed or may have executed the shard's
// request, judged by the completed attempts only.
func (s *shard) mayHaveExecuted() bool { return s.worstOutcome > upstream.Rejected }
