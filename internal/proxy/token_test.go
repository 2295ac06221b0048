package proxy

import (
	"net"
	"slices"
	"testing"
	"time"
)

// newWaitQueue returns a queue of count waiters.
func newWaitQueue(count int) *waitQueue {
	queue := &waitQueue{}
	for range count {
		queue.waiters = append(queue.waiters, &waiter{done: make(chan admission, 1)})
	}
	return queue
}

// verdicts receives the verdicts that have been sent to the waiters, with -1 for a waiter without one.
func verdicts(waiters []*waiter) (out []int) {
	for _, w := range waiters {
		select {
		case result := <-w.done:
			out = append(out, int(result.verdict))
		default:
			out = append(out, -1)
		}
	}
	return out
}

// TestWaitQueue guards against a waiter that is answered out of order, twice or not at all, and
// against a count of requested tokens that becomes negative when late answers arrive.
func TestWaitQueue(t *testing.T) {
	queue := newWaitQueue(5)
	all := slices.Clone(queue.waiters)
	queue.requested = 3
	if queue.unrequested() != 2 || queue.isUnused() {
		t.Errorf("5 waiters with 3 tokens requested: unrequested %d, isUnused %v; want 2, false",
			queue.unrequested(), queue.isUnused())
	}
	queue.endRequest(7)
	queue.grantFirst()
	queue.remove(all[3])
	queue.remove(all[3])
	queue.reject(1, admission{verdict: tenantLimited})
	want := []int{int(granted), int(tenantLimited), -1, -1, -1}
	if got := verdicts(all); !slices.Equal(got, want) {
		t.Errorf("verdicts after a grant, a removal and a rejection are %v, want %v (-1: none)", got, want)
	}
	queue.rejectAll(unavailableQuota)
	want = []int{-1, -1, int(quotaUnavailable), -1, int(quotaUnavailable)}
	if got := verdicts(all); !slices.Equal(got, want) {
		t.Errorf("verdicts sent by rejectAll are %v, want %v (-1: none)", got, want)
	}
	if !queue.isUnused() {
		t.Error("isUnused of an empty queue returned false, want true")
	}
}

// TestWaitQueueAttempts guards against a waiter that is not rejected after its last attempt
// failed, and against failures that are counted for waiters without a requested token.
func TestWaitQueueAttempts(t *testing.T) {
	queue := newWaitQueue(2)
	all := slices.Clone(queue.waiters)
	for range maxTokenAttempts - 1 {
		if !queue.failAttempt(1) {
			t.Fatal("failAttempt before the last attempt returned false, want both waiters left")
		}
	}
	if !queue.failAttempt(1) || queue.waiters[0] != all[1] {
		t.Error("failAttempt returned false, or did not remove the first waiter after its last attempt")
	}
	if got := verdicts(all); !slices.Equal(got, []int{int(quotaUnavailable), -1}) {
		t.Errorf("verdicts after the last attempt of the first waiter are %v, want quotaUnavailable and -1 (none)", got)
	}
}

// TestTargetSelector guards against requests to a target that failed recently while another is
// available, and against no choice at all if all targets failed.
func TestTargetSelector(t *testing.T) {
	var addrs []net.Addr
	for _, ip := range []string{"10.0.0.1", "10.0.0.2", "10.0.0.3"} {
		addrs = append(addrs, &net.UDPAddr{IP: net.ParseIP(ip)})
	}
	lists := 0
	listed := addrs
	selector := &targetSelector{avoidUntil: map[string]time.Time{}, list: func() []net.Addr {
		lists++
		return listed
	}}
	now := time.Now()
	pick := func(want net.Addr) {
		t.Helper()
		if got := selector.pick(now); got != want {
			t.Errorf("pick returned %v, want %v", got, want)
		}
	}
	pick(addrs[0])
	pick(addrs[0])
	if lists != 1 {
		t.Errorf("two picks at the same time listed the targets %d times, want 1", lists)
	}
	selector.avoid(addrs[0], now)
	pick(addrs[1])
	now = now.Add(time.Millisecond)
	selector.avoid(addrs[1], now)
	selector.avoid(addrs[2], now.Add(-2*time.Millisecond))
	pick(addrs[2])
	selector.removeExpired(now.Add(avoidDuration))
	if len(selector.avoidUntil) != 1 {
		t.Errorf("%d targets are avoided after removeExpired, want 1", len(selector.avoidUntil))
	}
	listed = nil
	now = now.Add(targetsMaxAge + 1)
	pick(nil)
}
