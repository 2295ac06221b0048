package retrybudget

const (
	// windowBuckets is the number of buckets in which a window is counted.
	windowBuckets = 20
	// keptBuckets is how many buckets are kept: more than a window, so that the
	// bucket in which it begins is there too.
	keptBuckets = 2 * windowBuckets
)

// buckets are counts by time, in a ring.
type buckets [keptBuckets]float64

// slidingWindow counts the requests and the further attempts at one service.
type slidingWindow struct {
	requests      buckets
	extraAttempts buckets
	currentBucket int64 // since the budget was started
}

// advance makes a bucket the current one and empties those it passes.
func (w *slidingWindow) advance(bucket int64) {
	if bucket-w.currentBucket >= keptBuckets {
		*w = slidingWindow{currentBucket: bucket}
		return
	}
	for w.currentBucket < bucket {
		w.currentBucket++
		i := w.currentBucket % keptBuckets
		w.requests[i] = 0
		w.extraAttempts[i] = 0
	}
}

func (w *slidingWindow) addRequest() { w.requests[w.currentBucket%keptBuckets]++ }

func (w *slidingWindow) addAttempt() { w.extraAttempts[w.currentBucket%keptBuckets]++ }

// requestCount is the number of requests in the newest window.
func (w *slidingWindow) requestCount() float64 { return w.sum(&w.requests, windowBuckets) }

// attemptCount is the number of further attempts in every window that ends now,
// which takes one bucket more than a window has.
func (w *slidingWindow) attemptCount() float64 { return w.sum(&w.extraAttempts, windowBuckets+1) }

// sum adds up the newest n buckets.
func (w *slidingWindow) sum(counts *buckets, n int64) float64 {
	total := 0.0
	for age := range n {
		if bucket := w.currentBucket - age; bucket >= 0 {
			total += counts[bucket%keptBuckets]
		}
	}
	return total
}
