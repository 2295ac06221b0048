package proxy

import (
	"net"
	"slices"
	"testing"
	"time"
)

// waiting makes a queue of count waiters.
func waiting(count int) *waitQueue {
	queue := &waitQueue{}
	for range count {
		queue.waiters = append(queue.waiters, &waiter{done: make(chan admission, 1)})
	}
	return queue
}

// verdicts are what waiters learnt so far; -1 for those that still wait.
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

// TestWaitQueue: the oldest waiters are answered first, each once.
func TestWaitQueue(t *testing.T) {
	queue := waiting(5)
	all := slices.Clone(queue.waiters)
	queue.requested = 3
	if queue.unrequested() != 2 || queue.isUnused() {
		t.Errorf("%d are unrequested", queue.unrequested())
	}
	queue.answered(7)
	queue.grantFirst()
	queue.remove(all[3])
	queue.remove(all[3])
	queue.reject(1, admission{verdict: tenantLimited})
	want := []int{int(granted), int(tenantLimited), -1, -1, -1}
	if got := verdicts(all); !slices.Equal(got, want) {
		t.Errorf("verdicts %v, want %v", got, want)
	}
	queue.rejectAll(unavailableQuota)
	want = []int{-1, -1, int(quotaUnavailable), -1, int(quotaUnavailable)}
	if got := verdicts(all); !slices.Equal(got, want) {
		t.Errorf("verdicts %v, want %v", got, want)
	}
	if !queue.isUnused() {
		t.Error("an empty queue is in use")
	}
}

// TestWaitQueueAttempts: a waiter is rejected after its last attempt failed, and those
// that no token was requested for have not had one.
func TestWaitQueueAttempts(t *testing.T) {
	queue := waiting(2)
	all := slices.Clone(queue.waiters)
	for range maxTokenAttempts - 1 {
		if !queue.failAttempt(1) {
			t.Fatal("nobody waits before the last attempt")
		}
	}
	if !queue.failAttempt(1) || queue.waiters[0] != all[1] {
		t.Error("the second waiter does not wait any more")
	}
	if got := verdicts(all); !slices.Equal(got, []int{int(quotaUnavailable), -1}) {
		t.Errorf("verdicts %v", got)
	}
}

// TestTargetSelector: the first target that is not avoided, and if all are, the one
// that is avoided for the shortest time.
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
			t.Errorf("picked %v, want %v", got, want)
		}
	}
	pick(addrs[0])
	pick(addrs[0])
	if lists != 1 {
		t.Errorf("listed %d times at once", lists)
	}
	selector.avoid(addrs[0], now)
	pick(addrs[1])
	now = now.Add(time.Millisecond)
	selector.avoid(addrs[1], now)
	selector.avoid(addrs[2], now.Add(-2*time.Millisecond))
	pick(addrs[2])
	selector.removeExpired(now.Add(avoidDuration))
	if len(selector.avoidUntil) != 1 {
		t.Errorf("%d are avoided", len(selector.avoidUntil))
	}
	listed = nil
	now = now.Add(targetsMaxAge + 1)
	pick(nil)
}
