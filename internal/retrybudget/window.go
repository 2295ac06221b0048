package retrybudget

const (
	// windowBuckets is the number of buckets of a window.
	windowBuckets = 20
	// ringBuckets is the length of the ring. It is greater than windowBuckets, because
	// a window also touches the bucket in which it begins.
	ringBuckets = 2 * windowBuckets
)

// buckets is a ring of counts, one for each interval of Window/windowBuckets.
type buckets [ringBuckets]float64

// slidingWindow counts the requests and the extra attempts of one service.
type slidingWindow struct {
	requests      buckets
	extraAttempts buckets
	currentBucket int64 // number of the current bucket, counted from the start of the budget
}

// advance makes the given bucket the current one, and clears it and the skipped buckets.
func (w *slidingWindow) advance(bucket int64) {
	if bucket-w.currentBucket >= ringBuckets {
		*w = slidingWindow{currentBucket: bucket}
		return
	}
	for w.currentBucket < bucket {
		w.currentBucket++
		i := w.currentBucket % ringBuckets
		w.requests[i] = 0
		w.extraAttempts[i] = 0
	}
}

func (w *slidingWindow) addRequest() { w.requests[w.currentBucket%ringBuckets]++ }

func (w *slidingWindow) addExtraAttempt() { w.extraAttempts[w.currentBucket%ringBuckets]++ }

// requestCount returns the number of requests in the current window.
func (w *slidingWindow) requestCount() float64 { return w.sum(&w.requests, windowBuckets) }

// extraAttemptCount returns the number of extra attempts in the current window. It includes the
// whole bucket in which the window begins, so that the count is never too low.
func (w *slidingWindow) extraAttemptCount() float64 { return w.sum(&w.extraAttempts, windowBuckets+1) }

// sum returns the sum of the newest n buckets.
func (w *slidingWindow) sum(counts *buckets, n int64) float64 {
	total := 0.0
	for age := range n {
		if bucket := w.currentBucket - age; bucket >= 0 {
			total += counts[bucket%ringBuckets]
		}
	}
	return total
}
