package retrybudget

const (
	// windowBuckets is the number of buckets in which a window is counted.
	windowBuckets = 20
	// ringBuckets is the length of the ring: more than a window, which also needs the
	// bucket in which it begins.
	ringBuckets = 2 * windowBuckets
)

// buckets is a ring of counts, one for each interval of Window/windowBuckets.
type buckets [ringBuckets]float64

// slidingWindow counts the requests and the further attempts at one service.
type slidingWindow struct {
	requests      buckets
	extraAttempts buckets
	currentBucket int64 // number of the bucket since the start of the budget
}

// advance makes a bucket the current one and empties it and the skipped ones.
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

// requestCount is the number of requests in the newest window.
func (w *slidingWindow) requestCount() float64 { return w.sum(&w.requests, windowBuckets) }

// extraAttemptCount is the number of further attempts in the newest window, rounded up by the
// whole bucket in which the window begins.
func (w *slidingWindow) extraAttemptCount() float64 { return w.sum(&w.extraAttempts, windowBuckets+1) }

// sum adds up the newest n buckets.
func (w *slidingWindow) sum(counts *buckets, n int64) float64 {
	total := 0.0
	for age := range n {
		if bucket := w.currentBucket - age; bucket >= 0 {
			total += counts[bucket%ringBuckets]
		}
	}
	return total
}
