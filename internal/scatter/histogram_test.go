package scatter

import (
	"testing"
	"time"
)

// TestHedgeDelay: half the target latency while too little is known, and after that
// what nineteen of twenty responses take, within a bucket.
func TestHedgeDelay(t *testing.T) {
	histogram := &latencyHistogram{}
	for target, want := range map[time.Duration]time.Duration{
		0:                      minInitialHedgeDelay,
		100 * time.Millisecond: 50 * time.Millisecond,
	} {
		if got := histogram.hedgeDelay(target); got != want {
			t.Errorf("without samples, target %v: %v, want %v", target, got, want)
		}
	}
	for i := range 400 {
		latency := 20 * time.Millisecond
		if i%10 == 0 {
			latency = 100 * time.Millisecond
		}
		histogram.record(latency)
	}
	if got := histogram.hedgeDelay(time.Second); got < 100*time.Millisecond || got > 120*time.Millisecond {
		t.Errorf("with a tenth of 100ms: %v", got)
	}
	for range 4000 {
		histogram.record(20 * time.Millisecond)
	}
	if got := histogram.hedgeDelay(time.Second); got < 20*time.Millisecond || got > 24*time.Millisecond {
		t.Errorf("after the slow ones faded: %v", got)
	}
	for range 4000 {
		histogram.record(time.Microsecond)
	}
	if got := histogram.hedgeDelay(time.Second); got != minHedgeDelay {
		t.Errorf("with fast ones: %v", got)
	}
}

// TestBucketOf: a latency is at most its bucket's bound, and the bounds grow by a fifth.
func TestBucketOf(t *testing.T) {
	last := 0
	for latency := time.Microsecond; latency < time.Hour; latency = latency*11/10 + 1 {
		bucket := bucketOf(latency)
		if bucket < last || bucket > last+1 || bucket >= bucketCount {
			t.Fatalf("%v is in bucket %d after %d", latency, bucket, last)
		}
		last = bucket
		histogram := &latencyHistogram{total: 1}
		histogram.buckets[bucket] = 1
		bound := histogram.quantileLocked(1)
		if bucket < bucketCount-1 && (float64(latency) > float64(bound)*1.001 || float64(latency) < float64(bound)/1.21) &&
			bucket > 0 {
			t.Errorf("%v is in the bucket up to %v", latency, bound)
		}
	}
	if last != bucketCount-1 {
		t.Errorf("the last bucket is %d", last)
	}
}
