package objectcache

import (
	"sync"
	"time"
)

const (
	// latencySmoothing is the weight of a new read in a service's average.
	latencySmoothing = 0.05
	// timeoutFactor times the average is the time-out of a read.
	timeoutFactor = 6
	// initialTimeout is that time-out before the first read.
	initialTimeout = 2 * time.Second
)

// latencyTracker learns how long the reads of each service take, and how long one is worth
// waiting for before another endpoint is tried. It is safe for concurrent use.
type latencyTracker struct {
	mu       sync.Mutex         // guards the field below
	averages map[string]float64 // by service, in seconds
}

func newLatencyTracker() *latencyTracker {
	return &latencyTracker{averages: map[string]float64{}}
}

// observe takes the duration of a read.
func (t *latencyTracker) observe(service string, duration time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	average, ok := t.averages[service]
	if !ok {
		t.averages[service] = duration.Seconds()
		return
	}
	t.averages[service] = average + latencySmoothing*(duration.Seconds()-average)
}

// timeout returns how long to wait for a read of a service.
func (t *latencyTracker) timeout(service string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	average, ok := t.averages[service]
	if !ok {
		return initialTimeout
	}
	return time.Duration(timeoutFactor * average * float64(time.Second))
}

// readStatistics counts the reads of origins in some time.
type readStatistics struct {
	reads       int // that brought an object
	revalidated int // that found the cached object current
	rejected    int // that could not begin in time

	readTime       time.Duration // of all reads together
	revalidateTime time.Duration
	waitTime       time.Duration // before they began
}

// originStatistics collects readStatistics. It is safe for concurrent use.
type originStatistics struct {
	mu     sync.Mutex // guards the field below
	counts readStatistics
}

// recordWait counts the wait of a read before it began or was rejected.
func (s *originStatistics) recordWait(wait time.Duration, rejected bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.waitTime += wait
	if rejected {
		s.counts.rejected++
	}
}

// recordRead counts a read that brought an object.
func (s *originStatistics) recordRead(duration time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.reads++
	s.counts.readTime += duration
}

// recordRevalidation counts a read that found the cached object current.
func (s *originStatistics) recordRevalidation(duration time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.revalidated++
	s.counts.revalidateTime += duration
}

// take returns the counts and starts anew.
func (s *originStatistics) take() readStatistics {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := s.counts
	s.counts = readStatistics{}
	return counts
}

// empty reports whether no read was counted.
func (s readStatistics) empty() bool { return s.reads+s.revalidated+s.rejected == 0 }

// meanOf returns the mean of a sum over a count, which may be 0.
func meanOf(sum time.Duration, count int) time.Duration {
	return sum / time.Duration(max(1, count))
}
