package objectcache

import (
	"sync"
	"time"
)

// latencyTracker learns how long the reads of a service take, and from that how long one
// is worth waiting for before another leaf is asked.
type latencyTracker struct {
	mu         sync.Mutex
	averages   map[string]float64 // seconds, smoothed
	statistics readStatistics
}

// readStatistics counts the reads since the last report.
type readStatistics struct {
	reads, revalidated, rejected       int
	readTime, revalidateTime, waitTime time.Duration
}

func (u *latencyTracker) record(f func(*readStatistics)) {
	u.mu.Lock()
	defer u.mu.Unlock()
	f(&u.statistics)
}

// takeStatistics returns the tally and starts another.
func (u *latencyTracker) takeStatistics() readStatistics {
	u.mu.Lock()
	defer u.mu.Unlock()
	t := u.statistics
	u.statistics = readStatistics{}
	return t
}

const (
	latencySmoothing = 0.05
	timeoutFactor    = 6
	initialTimeout   = 2 * time.Second
)

func newLatencyTracker() *latencyTracker { return &latencyTracker{averages: map[string]float64{}} }

func (u *latencyTracker) observe(service string, took time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if old, ok := u.averages[service]; ok {
		u.averages[service] = old + latencySmoothing*(took.Seconds()-old)
	} else {
		u.averages[service] = took.Seconds()
	}
}

func (u *latencyTracker) timeout(service string) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	s, ok := u.averages[service]
	if !ok {
		return initialTimeout
	}
	return time.Duration(timeoutFactor * s * float64(time.Second))
}
