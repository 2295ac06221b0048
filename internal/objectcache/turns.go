package objectcache

import (
	"sync"
	"time"

	"comethold/internal/ratelimit"
	"comethold/internal/upstream"
)

// readScheduler lets the reads of origins begin one by one: when the node's ration and
// a leaf have room, the read that most requests wait for goes first. A read
// that can't have its turn in time is refused at once, with when to come back.
type readScheduler struct {
	limiter         *ratelimit.Limiter
	reserveUpstream func(service string, tried []*upstream.Endpoint, once bool) *upstream.Endpoint
	releaseUpstream func(*upstream.Endpoint)

	mu     sync.Mutex
	queues map[string][]*queuedRead
}

type queuedRead struct {
	service    string
	rate       float64
	waiters    func() int // requests that wait for the read
	tried      []*upstream.Endpoint
	enqueuedAt time.Time
	deadline   time.Time
	result     chan admission
	permitOnly bool // the call is a switch's, which finds the leaf itself
}

type admission struct {
	upstream   *upstream.Endpoint
	retryAfter time.Duration // with no trunk: when to come back
}

const (
	queuePollInterval = 4 * time.Millisecond
	minQueueLength    = 16
	minRetryDelay     = 100 * time.Millisecond
	maxRetryDelay     = 1500 * time.Millisecond
)

func newReadScheduler(r *ratelimit.Limiter, seize func(string, []*upstream.Endpoint, bool) *upstream.Endpoint, undo func(*upstream.Endpoint)) *readScheduler {
	return &readScheduler{limiter: r, reserveUpstream: seize, releaseUpstream: undo, queues: map[string][]*queuedRead{}}
}

// admit returns a reserved leaf when the ticket's turn comes.
func (q *readScheduler) admit(k *queuedRead) (*upstream.Endpoint, time.Duration) {
	k.enqueuedAt, k.result = time.Now(), make(chan admission, 1)
	q.mu.Lock()
	q.queues[k.service] = append(q.queues[k.service], k)
	q.dispatchLocked(k.service, k.enqueuedAt)
	if len(q.queues[k.service]) == 1 {
		go q.pollQueue(k.service)
	}
	q.mu.Unlock()
	r := <-k.result
	return r.upstream, r.retryAfter
}

// pollQueue serves a service's queue until it is empty.
func (q *readScheduler) pollQueue(service string) {
	for {
		time.Sleep(queuePollInterval)
		q.mu.Lock()
		q.dispatchLocked(service, time.Now())
		if len(q.queues[service]) == 0 {
			delete(q.queues, service)
			q.mu.Unlock()
			return
		}
		q.mu.Unlock()
	}
}

// goesBefore says which of two tickets goes first: more demand, then the younger,
// whose clients still have the most time.
func goesBefore(a, b *queuedRead) bool {
	if x, y := a.waiters(), b.waiters(); x != y {
		return x > y
	}
	return a.enqueuedAt.After(b.enqueuedAt)
}

// reserve takes a leaf for a ticket; an errand needs none.
func (q *readScheduler) reserve(k *queuedRead) *upstream.Endpoint {
	if k.permitOnly {
		return &upstream.Endpoint{}
	}
	t := q.reserveUpstream(k.service, k.tried, false)
	if t == nil && len(k.tried) > 0 {
		t = q.reserveUpstream(k.service, nil, false)
	}
	return t
}

// dispatchLocked gives out all turns that there are now, and refuses what has no hope.
func (q *readScheduler) dispatchLocked(service string, now time.Time) {
	list := q.queues[service]
	for len(list) > 0 {
		best := 0
		for i := range list {
			if goesBefore(list[i], list[best]) {
				best = i
			}
		}
		k := list[best]
		t := q.reserve(k)
		if t == nil {
			break
		}
		if ok, _ := q.limiter.Take(service, k.rate, now); !ok {
			if !k.permitOnly {
				q.releaseUpstream(t)
			}
			break
		}
		list = append(list[:best:best], list[best+1:]...)
		k.result <- admission{upstream: t}
	}
	kept := list[:0:0]
	for _, k := range list {
		if now.After(k.deadline) {
			k.result <- admission{retryAfter: q.retryDelay(k, len(list), now)}
		} else {
			kept = append(kept, k)
		}
	}
	list = kept
	// More than can begin within the patience of the newest: the last in line
	// are told now rather than then.
	for len(list) > 0 {
		k := list[len(list)-1]
		room := minQueueLength
		if k.rate > 0 {
			room = max(room, int(q.limiter.RatePerSecond(k.rate, now)*k.deadline.Sub(k.enqueuedAt).Seconds()))
		}
		if len(list) <= room {
			break
		}
		last := 0
		for i := range list {
			if goesBefore(list[last], list[i]) {
				last = i
			}
		}
		list[last].result <- admission{retryAfter: q.retryDelay(list[last], len(list), now)}
		list = append(list[:last:last], list[last+1:]...)
	}
	q.queues[service] = list
}

func (q *readScheduler) retryDelay(k *queuedRead, queued int, now time.Time) time.Duration {
	per := q.limiter.RatePerSecond(k.rate, now)
	if k.rate <= 0 || per <= 0 {
		return 3 * minRetryDelay
	}
	return min(maxRetryDelay, max(minRetryDelay, time.Duration(float64(queued)/per*float64(time.Second))))
}
