package objectcache

import (
	"sync"
	"time"
)

const (
	// latencySmoothing is the weight of a new read in a service's moving average.
	latencySmoothing = 0.05
	// timeoutFactor is the time-out of a read as a multiple of the average duration.
	timeoutFactor = 6
	// initialTimeout is the time-out of a service's reads until one has been measured.
	initialTimeout = 2 * time.Second
)

// latencyTracker measures how long the reads of each service take, and derives the time-out
// after which another endpoint is tried. It is safe for concurrent use.
type latencyTracker struct {
	mu       sync.Mutex         // guards the field below
	averages map[string]float64 // by service, in seconds
}

func newLatencyTracker() *latencyTracker {
	return &latencyTracker{averages: map[string]float64{}}
}

// observe adds the duration of a read.
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

// readStatistics counts the reads of origins in one interval.
type readStatistics struct {
	reads       int // reads that returned an object
	revalidated int // reads that confirmed the cached object as current
	rejected    int // reads that could not start in time

	readTime       time.Duration // total duration of reads
	revalidateTime time.Duration // total duration of revalidated
	waitTime       time.Duration // total time before reads started or were rejected
}

// originStatistics collects readStatistics. It is safe for concurrent use.
type originStatistics struct {
	mu     sync.Mutex // guards the field below
	counts readStatistics
}

// recordWait adds the waiting time of a read before it started or was rejected.
func (s *originStatistics) recordWait(wait time.Duration, rejected bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.waitTime += wait
	if rejected {
		s.counts.rejected++
	}
}

// recordRead counts a read that returned an object.
func (s *originStatistics) recordRead(duration time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.reads++
	s.counts.readTime += duration
}

// recordRevalidation counts a read that confirmed the cached object as current.
func (s *originStatistics) recordRevalidation(duration time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.revalidated++
	s.counts.revalidateTime += duration
}

// take returns the counts and resets them.
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
