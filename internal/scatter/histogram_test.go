package scatter

import (
	"testing"
	"time"
)

// TestHedgeDelay: the hedge delay is half the target latency until there are enough
// samples, and then the 95th percentile of the recent latencies, to the accuracy of a
// bucket and not below its minimum.
func TestHedgeDelay(t *testing.T) {
	histogram := &latencyHistogram{}
	for target, want := range map[time.Duration]time.Duration{
		0:                      minInitialHedgeDelay,
		100 * time.Millisecond: 50 * time.Millisecond,
	} {
		if got := histogram.hedgeDelay(target); got != want {
			t.Errorf("without samples, target latency %v: hedge delay is %v, want %v", target, got, want)
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
		t.Errorf("a tenth of the latencies is 100ms: hedge delay is %v, want 100ms to 120ms", got)
	}
	for range 4000 {
		histogram.record(20 * time.Millisecond)
	}
	if got := histogram.hedgeDelay(time.Second); got < 20*time.Millisecond || got > 24*time.Millisecond {
		t.Errorf("after 4000 latencies of 20ms: hedge delay is %v, want 20ms to 24ms", got)
	}
	for range 4000 {
		histogram.record(time.Microsecond)
	}
	if got := histogram.hedgeDelay(time.Second); got != minHedgeDelay {
		t.Errorf("after 4000 latencies of 1us: hedge delay is %v, want minHedgeDelay", got)
	}
}

// TestBucketOf: a latency does not exceed the upper bound of its bucket, and each bound is 1.2 times the previous one.
// An off-by-one error in the bucket index would make every quantile a fifth too low or too high.
func TestBucketOf(t *testing.T) {
	last := 0
	for latency := time.Microsecond; latency < time.Hour; latency = latency*11/10 + 1 {
		bucket := bucketOf(latency)
		if bucket < last || bucket > last+1 || bucket >= bucketCount {
			t.Fatalf("bucketOf(%v) = %d, want the previous bucket %d or the next", latency, bucket, last)
		}
		last = bucket
		histogram := &latencyHistogram{total: 1}
		histogram.buckets[bucket] = 1
		bound := histogram.quantileLocked(1)
		if bucket < bucketCount-1 && (float64(latency) > float64(bound)*1.001 || float64(latency) < float64(bound)/1.21) &&
			bucket > 0 {
			t.Errorf("%v is in the bucket with upper bound %v, want a bound up to 1.2 times the latency", latency, bound)
		}
	}
	if last != bucketCount-1 {
		t.Errorf("latencies up to one hour reach bucket %d, want the last bucket", last)
	}
}
