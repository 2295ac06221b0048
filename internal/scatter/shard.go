package scatter

import (
	"time"

	"comethold/internal/upstream"
)

// shard is one service of a fan-out and the attempts for it. It is open until it has
// a response or has failed; a failed shard has no attempt under way and gets none.
// Only the fan-out changes it.
type shard struct {
	service string
	pair    *replicaPair // of sampled responses; nil where they are not sampled

	// The attempts so far.

	first           attempt // storage of the first attempt; saves an allocation
	newest          *attempt
	triedEndpoints  []*upstream.Endpoint
	sentAttempts    int                // that reached an endpoint, or still may
	unsentAttempts  int                // that could not be sent
	pendingAttempts int                // that have not ended
	worstOutcome    upstream.Outcome   // of the attempts that completed
	lastFailure     *upstream.Response // of the newest completed attempt without success
	timedOut        bool               // an attempt timed out

	// The next steps.

	hedgeAt time.Time // when the newest attempt counts as overdue
	retryAt time.Time // when a rejected attempt is retried; zero if none is

	response *upstream.Response
	failed   bool
}

// addAttempt adds an attempt at a reserved endpoint.
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

// isIdle reports whether the shard lacks a response and no attempt is under way.
func (s *shard) isIdle() bool { return s.response == nil && s.pendingAttempts == 0 }

// mayHaveExecuted reports whether an endpoint executed the shard's request or may
// have, as far as attempts completed.
func (s *shard) mayHaveExecuted() bool { return s.worstOutcome > upstream.Rejected }
