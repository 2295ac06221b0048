package objectcache

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"comethold/internal/ratelimit"
	"comethold/internal/upstream"
)

// testReserver reserves endpoints while it has free slots.
type testReserver struct {
	mu    sync.Mutex // guards the field below
	slots int
}

func (r *testReserver) Reserve(string, []*upstream.Endpoint, bool) *upstream.Endpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.slots == 0 {
		return nil
	}
	r.slots--
	return &upstream.Endpoint{}
}

func (r *testReserver) Release(*upstream.Endpoint) { r.add(1) }

// add frees slots.
func (r *testReserver) add(slots int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.slots += slots
}

// testRead is a read that a test queues in a scheduler.
type testRead struct {
	name    string
	waiters int
	wait    time.Duration
}

// startReads queues reads 1 ms apart. When a read is granted or rejected, its name is sent to the
// channel of that result.
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

// received returns the names that are in a channel.
func received(names chan string) []string {
	synctest.Wait()
	var all []string
	for len(names) > 0 {
		all = append(all, <-names)
	}
	return all
}

// TestReadWithMostWaitersStartsFirst guards against reads that start in the order of their arrival:
// the read with the most waiting requests starts first, then the newer one. A read that can't start
// in time is rejected at its deadline.
func TestReadWithMostWaitersStartsFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reserver := &testReserver{}
		s := newReadScheduler(ratelimit.New(), reserver)
		granted, rejected := make(chan string, 8), make(chan string, 8)
		startReads(s, []testRead{
			{"older", 1, time.Second},
			{"newer", 1, time.Second},
			{"many waiters", 30, time.Second},
			{"short wait", 1, 50 * time.Millisecond},
		}, granted, rejected)
		time.Sleep(100 * time.Millisecond)
		if got := received(rejected); len(got) != 1 || got[0] != "short wait" {
			t.Errorf("after 100 ms the reads %v were rejected, want only \"short wait\"", got)
		}
		for _, want := range []string{"many waiters", "newer", "older"} {
			reserver.add(1)
			time.Sleep(2 * queuePollInterval)
			if got := received(granted); len(got) != 1 || got[0] != want {
				t.Errorf("after one more slot was freed the reads %v started, want only %s", got, want)
			}
		}
	})
}

// TestReadsBeyondQueueLengthAreRejected guards against a queue that grows beyond the number of reads
// that can start in time: the excess reads are rejected before their deadlines.
func TestReadsBeyondQueueLengthAreRejected(t *testing.T) {
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
			t.Errorf("%d reads were rejected before a slot was free, want 5", got)
		}
		reserver.add(len(reads))
		time.Sleep(2 * queuePollInterval)
		if got := len(received(granted)); got != minQueueLength {
			t.Errorf("%d reads started after all slots were freed, want %d", got, minQueueLength)
		}
	})
}

// TestPermitNeedsShareButNoEndpoint guards against permits that exceed the rate or reserve an
// endpoint: a call of a data plane node needs a share of the rate, but no slot of an
// endpoint that this node reserves.
func TestPermitNeedsShareButNoEndpoint(t *testing.T) {
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
			t.Errorf("a permit without a share of the rate gave %+v, want a rejection with unknownRateRetryDelay", got)
		}
		limiter.Renew(ratelimit.FullShare, time.Now().Add(time.Hour))
		if got := permit(); !got.granted || got.endpoint != nil {
			t.Errorf("a permit with the full share gave %+v, want a grant without an endpoint", got)
		}
	})
}
