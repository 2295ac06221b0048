package objectcache

import (
	"slices"
	"sync"
	"time"

	"comethold/internal/ratelimit"
	"comethold/internal/upstream"
)

const (
	queuePollInterval = 4 * time.Millisecond
	// minQueueLength is the number of reads of a service that may wait even if its rate is low.
	minQueueLength = 16
	// minRetryDelay and maxRetryDelay bound the delay after which rejected reads may be retried.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 1500 * time.Millisecond
	// unknownRateRetryDelay is the retry delay while the node has no share of the rate, and for
	// services without a rate.
	unknownRateRetryDelay = 3 * minRetryDelay
)

// readScheduler queues the reads of origins. A read starts when the node's share of the rate
// allows it and an endpoint can be reserved. The read with the most waiting requests starts first.
// A read that can't start in time is rejected with a retry delay: at once if the queue is too long,
// otherwise at its deadline. It is safe for concurrent use.
type readScheduler struct {
	limiter   *ratelimit.Limiter
	upstreams endpointReserver

	mu     sync.Mutex               // guards the field below
	queues map[string][]*queuedRead // by service, oldest first
}

// endpointReserver reserves endpoints. upstream.ClusterManager implements it.
type endpointReserver interface {
	// Reserve reserves an endpoint that is not in tried for one call. It returns nil if there
	// is none.
	Reserve(service string, tried []*upstream.Endpoint, nonIdempotent bool) *upstream.Endpoint
	// Release cancels a reservation.
	Release(*upstream.Endpoint)
}

// queuedRead is a read that waits to start.
type queuedRead struct {
	service  string
	rate     float64    // of the service, in requests per second; 0: no limit
	waiters  func() int // returns the number of requests that wait for the read
	tried    []*upstream.Endpoint
	deadline time.Time // latest time to start
	// permitOnly marks a call that a data plane node makes to an endpoint that it chooses.
	permitOnly bool

	// Set by admit.
	enqueuedAt time.Time
	result     chan admission
}

// admission is the decision whether a read may start.
type admission struct {
	granted    bool
	endpoint   *upstream.Endpoint // if granted: reserved, unless permitOnly
	retryAfter time.Duration      // if not granted: delay before a retry
}

func newReadScheduler(limiter *ratelimit.Limiter, upstreams endpointReserver) *readScheduler {
	return &readScheduler{limiter: limiter, upstreams: upstreams, queues: map[string][]*queuedRead{}}
}

// admit waits until the read may start or is rejected.
func (s *readScheduler) admit(r *queuedRead) admission {
	r.enqueuedAt = time.Now()
	r.result = make(chan admission, 1)
	s.mu.Lock()
	s.queues[r.service] = append(s.queues[r.service], r)
	s.dispatchLocked(r.service, r.enqueuedAt)
	if len(s.queues[r.service]) == 1 {
		go s.pollQueue(r.service) // ends when the queue is empty
	}
	s.mu.Unlock()
	return <-r.result
}

// pollQueue dispatches a service's queue every queuePollInterval until it is empty.
func (s *readScheduler) pollQueue(service string) {
	for {
		time.Sleep(queuePollInterval)
		s.mu.Lock()
		s.dispatchLocked(service, time.Now())
		if len(s.queues[service]) == 0 {
			delete(s.queues, service)
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
	}
}

// dispatchLocked starts the reads that may start now, and rejects those that can't start in time.
func (s *readScheduler) dispatchLocked(service string, now time.Time) {
	queue := s.startLocked(s.queues[service], now)
	queue = s.rejectOverdueLocked(queue, now)
	s.queues[service] = s.rejectExcessLocked(queue, now)
}

// startLocked starts reads while the rate and the endpoints allow it, and returns the reads
// that still wait.
func (s *readScheduler) startLocked(queue []*queuedRead, now time.Time) []*queuedRead {
	for len(queue) > 0 {
		next := highestPriority(queue)
		endpoint, ok := s.reserve(queue[next])
		if !ok {
			break
		}
		if ok, _ := s.limiter.Take(queue[next].service, queue[next].rate, now); !ok {
			if endpoint != nil {
				s.upstreams.Release(endpoint)
			}
			break
		}
		queue[next].result <- admission{granted: true, endpoint: endpoint}
		queue = without(queue, next)
	}
	return queue
}

// reserve reserves an endpoint for a read, if possible one that it has not tried. A read with
// permitOnly needs no endpoint.
func (s *readScheduler) reserve(r *queuedRead) (endpoint *upstream.Endpoint, ok bool) {
	if r.permitOnly {
		return nil, true
	}
	const nonIdempotent = false // a read may be executed twice
	endpoint = s.upstreams.Reserve(r.service, r.tried, nonIdempotent)
	if endpoint == nil && len(r.tried) > 0 {
		endpoint = s.upstreams.Reserve(r.service, nil, nonIdempotent)
	}
	return endpoint, endpoint != nil
}

// rejectOverdueLocked rejects the reads whose deadline has passed, and returns the others.
func (s *readScheduler) rejectOverdueLocked(queue []*queuedRead, now time.Time) []*queuedRead {
	var remaining []*queuedRead
	for _, r := range queue {
		if now.After(r.deadline) {
			s.rejectLocked(r, len(queue), now)
		} else {
			remaining = append(remaining, r)
		}
	}
	return remaining
}

// rejectExcessLocked rejects the reads with the lowest priority while the queue is longer than
// maxLength, without waiting for their deadlines. It returns the others.
func (s *readScheduler) rejectExcessLocked(queue []*queuedRead, now time.Time) []*queuedRead {
	for len(queue) > s.maxLength(queue, now) {
		last := lowestPriority(queue)
		s.rejectLocked(queue[last], len(queue), now)
		queue = without(queue, last)
	}
	return queue
}

// maxLength returns how many reads of a queue may wait: the number that the rate allows to start
// within the maximum wait of the newest read, but at least minQueueLength.
func (s *readScheduler) maxLength(queue []*queuedRead, now time.Time) int {
	if len(queue) == 0 {
		return minQueueLength
	}
	newest := queue[len(queue)-1]
	if newest.rate <= 0 {
		return minQueueLength
	}
	wait := newest.deadline.Sub(newest.enqueuedAt).Seconds()
	return max(minQueueLength, int(s.limiter.RatePerSecond(newest.rate, now)*wait))
}

// rejectLocked rejects a read from a queue of the given length.
func (s *readScheduler) rejectLocked(r *queuedRead, queueLength int, now time.Time) {
	r.result <- admission{retryAfter: s.retryDelay(r.rate, queueLength, now)}
}

// retryDelay returns the time in which a queue of the given length drains at the allowed rate,
// limited to minRetryDelay and maxRetryDelay.
func (s *readScheduler) retryDelay(rate float64, queueLength int, now time.Time) time.Duration {
	allowed := s.limiter.RatePerSecond(rate, now)
	if rate <= 0 || allowed <= 0 {
		return unknownRateRetryDelay
	}
	delay := time.Duration(float64(queueLength) / allowed * float64(time.Second))
	return min(maxRetryDelay, max(minRetryDelay, delay))
}

// hasPriorityOver reports whether a read starts before another. The read with more waiting requests
// starts first. If the numbers are equal, the newer read does, as its requests have more time left.
func (r *queuedRead) hasPriorityOver(other *queuedRead) bool {
	if a, b := r.waiters(), other.waiters(); a != b {
		return a > b
	}
	return r.enqueuedAt.After(other.enqueuedAt)
}

// highestPriority returns the position of the read that has priority over all others.
func highestPriority(queue []*queuedRead) int {
	first := 0
	for i := range queue {
		if queue[i].hasPriorityOver(queue[first]) {
			first = i
		}
	}
	return first
}

// lowestPriority returns the position of the read that all others have priority over.
func lowestPriority(queue []*queuedRead) int {
	last := 0
	for i := range queue {
		if queue[last].hasPriorityOver(queue[i]) {
			last = i
		}
	}
	return last
}

// without returns a new queue without the read at a position.
func without(queue []*queuedRead, position int) []*queuedRead {
	return slices.Concat(queue[:position], queue[position+1:])
}
