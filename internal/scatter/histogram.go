package scatter

import (
	"math"
	"sync"
	"time"
)

const (
	// The upper bounds of the buckets start at firstBucketBound, in nanoseconds. Each is
	// bucketGrowth times the previous one.
	bucketCount      = 80
	firstBucketBound = float64(500 * time.Microsecond)
	bucketGrowth     = 1.2

	// maxHistogramWeight is the total weight above which all weights are halved, so that
	// old samples lose influence.
	maxHistogramWeight = 600
	// minHistogramSamples is the minimum number of samples for the quantile to be used.
	minHistogramSamples = 40
	// quantileInterval is the number of samples between two computations of the quantile.
	quantileInterval = 16

	// hedgeQuantile is the quantile of the latency above which an attempt counts as
	// overdue.
	hedgeQuantile = 0.95
	// The minimum delay before a hedge, with a known quantile and without one.
	minHedgeDelay        = 5 * time.Millisecond
	minInitialHedgeDelay = 10 * time.Millisecond
)

// latencyHistogram records the latencies of a route's responses and gives recent ones more weight.
// It is safe for concurrent use.
type latencyHistogram struct {
	mu           sync.Mutex // guards the fields below
	buckets      [bucketCount]float64
	total        float64       // sum of the buckets
	samples      int           // ever recorded
	hedgeLatency time.Duration // at hedgeQuantile when last computed; 0 before
}

// record adds the latency of one response.
func (h *latencyHistogram) record(latency time.Duration) {
	bucket := bucketOf(latency)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.buckets[bucket]++
	h.total++
	h.samples++
	if h.total > maxHistogramWeight {
		h.halveLocked()
	}
	if h.samples%quantileInterval == 0 {
		h.hedgeLatency = h.quantileLocked(hedgeQuantile)
	}
}

func bucketOf(latency time.Duration) int {
	nanoseconds := float64(latency)
	if nanoseconds <= firstBucketBound {
		return 0
	}
	return min(bucketCount-1, 1+int(math.Log(nanoseconds/firstBucketBound)/math.Log(bucketGrowth)))
}

func (h *latencyHistogram) halveLocked() {
	h.total = 0
	for i := range h.buckets {
		h.buckets[i] /= 2
		h.total += h.buckets[i]
	}
}

// quantileLocked returns the upper bound of the bucket that contains the quantile.
func (h *latencyHistogram) quantileLocked(quantile float64) time.Duration {
	bucket := 0
	for left := quantile * h.total; bucket < bucketCount; bucket++ {
		left -= h.buckets[bucket]
		if left <= 0 {
			break
		}
	}
	return time.Duration(firstBucketBound * math.Pow(bucketGrowth, float64(bucket)))
}

// hedgeDelay returns the time after which an attempt counts as overdue. Without enough samples it
// derives the time from the route's target latency.
func (h *latencyHistogram) hedgeDelay(targetLatency time.Duration) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.samples < minHistogramSamples || h.hedgeLatency == 0 {
		return max(targetLatency/2, minInitialHedgeDelay)
	}
	return max(h.hedgeLatency, minHedgeDelay)
}
