package objectcache

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"comethold/internal/ratelimit"
	"comethold/internal/upstream"
)

// testReserver reserves places while there are some.
type testReserver struct {
	mu     sync.Mutex // guards the field below
	places int
}

func (r *testReserver) Reserve(string, []*upstream.Endpoint, bool) *upstream.Endpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.places == 0 {
		return nil
	}
	r.places--
	return &upstream.Endpoint{}
}

func (r *testReserver) Release(*upstream.Endpoint) { r.add(1) }

// add makes places free.
func (r *testReserver) add(places int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.places += places
}

// testRead is a read that waits in a scheduler.
type testRead struct {
	name    string
	waiters int
	wait    time.Duration
}

// startReads starts reads one after the other, and sends each name when it ends: to granted or
// to rejected.
func startReads(s *readScheduler, reads []testRead, granted, rejected chan<- string) {
	for _, r := range reads {
		go func() {
			result := s.admit(&queuedRead{
				service:  "s",
				waiters:  func() int { return r.waiters },
				deadline: time.Now().Add(r.wait),
			})
			if result.granted {
				granted <- r.name
			} else {
				rejected <- r.name
			}
		}()
		synctest.Wait()
		time.Sleep(time.Millisecond)
	}
}

// received returns what is in a channel.
func received(names chan string) []string {
	synctest.Wait()
	var all []string
	for len(names) > 0 {
		all = append(all, <-names)
	}
	return all
}

// TestReadSchedulerOrder: the read that most requests wait for begins first, then the newer
// one, and a read that can't begin in time is rejected at its deadline.
func TestReadSchedulerOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reserver := &testReserver{}
		s := newReadScheduler(ratelimit.New(), reserver)
		granted, rejected := make(chan string, 8), make(chan string, 8)
		startReads(s, []testRead{
			{"older", 1, time.Second},
			{"newer", 1, time.Second},
			{"wanted by many", 30, time.Second},
			{"impatient", 1, 50 * time.Millisecond},
		}, granted, rejected)
		time.Sleep(100 * time.Millisecond)
		if got := received(rejected); len(got) != 1 || got[0] != "impatient" {
			t.Errorf("rejected at the deadline: %v", got)
		}
		for _, want := range []string{"wanted by many", "newer", "older"} {
			reserver.add(1)
			time.Sleep(2 * queuePollInterval)
			if got := received(granted); len(got) != 1 || got[0] != want {
				t.Errorf("began with one more place: %v, want %s", got, want)
			}
		}
	})
}

// TestReadSchedulerQueueLength: reads beyond the queue's length are rejected at once, with
// when to come back.
func TestReadSchedulerQueueLength(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reserver := &testReserver{}
		s := newReadScheduler(ratelimit.New(), reserver)
		granted, rejected := make(chan string, 64), make(chan string, 64)
		reads := make([]testRead, minQueueLength+5)
		for i := range reads {
			reads[i] = testRead{name: "r", waiters: 1, wait: time.Second}
		}
		startReads(s, reads, granted, rejected)
		if got := len(received(rejected)); got != 5 {
			t.Errorf("%d reads were rejected at once, want 5", got)
		}
		reserver.add(len(reads))
		time.Sleep(2 * queuePollInterval)
		if got := len(received(granted)); got != minQueueLength {
			t.Errorf("%d reads began, want %d", got, minQueueLength)
		}
	})
}

// TestReadSchedulerPermit: a call of a data plane node needs no place at an endpoint, but a
// share of the rate.
func TestReadSchedulerPermit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limiter := ratelimit.New()
		s := newReadScheduler(limiter, &testReserver{})
		permit := func() admission {
			return s.admit(&queuedRead{
				service:    "s",
				rate:       100,
				permitOnly: true,
				waiters:    func() int { return 1 },
				deadline:   time.Now().Add(50 * time.Millisecond),
			})
		}
		if got := permit(); got.granted || got.retryAfter != unknownRateRetryDelay {
			t.Errorf("without a share: %+v", got)
		}
		limiter.Renew(ratelimit.FullShare, time.Now().Add(time.Hour))
		if got := permit(); !got.granted || got.endpoint != nil {
			t.Errorf("with the full share: %+v", got)
		}
	})
}
