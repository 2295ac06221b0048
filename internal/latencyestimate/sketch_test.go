package latencyestimate

import (
	"math"
	"math/rand"
	"testing"
	"time"

	"comethold/internal/rpc"
)

// randomDuration draws the duration of a lookup: log-normal around its median.
func randomDuration(rng *rand.Rand, median time.Duration) time.Duration {
	return time.Duration(float64(median) * math.Exp(0.5*rng.NormFloat64()))
}

// coverage returns how often the interval of an estimate holds the next lookup, and the mean
// of the estimated medians as a share of the true one. Lookups are abandoned after limit;
// spoil, if not nil, changes each estimate before.
func coverage(t *testing.T, limit time.Duration, spoil func(*Estimate)) (share, median float64) {
	t.Helper()
	const rounds, trueMedian = 40, 20 * time.Millisecond
	covered, all := 0, 0
	for seed := range int64(rounds) {
		rng := rand.New(rand.NewSource(seed))
		s := NewSketch()
		for range 300 {
			duration := randomDuration(rng, trueMedian)
			s.Add(min(duration, limit), duration > limit)
		}
		e := s.Estimate()
		if !e.Known() {
			t.Fatalf("no estimate: %+v", e)
		}
		if spoil != nil {
			spoil(&e)
		}
		median += e.Median.Seconds() / trueMedian.Seconds() / rounds
		for range 100 {
			all++
			if e.Covers(randomDuration(rng, trueMedian)) {
				covered++
			}
		}
	}
	return float64(covered) / float64(all), median
}

// TestIntervalCoverage: an interval covers the truth about as often as it claims, also where
// the slow lookups were abandoned; one that is spoilt on purpose does not.
func TestIntervalCoverage(t *testing.T) {
	const tolerance = 0.06
	for _, limit := range []time.Duration{time.Hour, 45 * time.Millisecond, 30 * time.Millisecond} {
		share, median := coverage(t, limit, nil)
		least, most := NominalCoverage-tolerance, NominalCoverage+tolerance
		if limit < 38*time.Millisecond {
			most = 1 // the high end is open: it covers more
		}
		if share < least || share > most || median < 0.9 || median > 1.1 {
			t.Errorf("abandoned after %v: covers %.2f, median %.2f of the truth", limit, share, median)
		}
	}
	doubled := func(e *Estimate) {
		e.Low *= 2
		e.High *= 2
	}
	if share, _ := coverage(t, time.Hour, doubled); share > NominalCoverage-tolerance {
		t.Errorf("spoilt on purpose, it covers %.2f", share)
	}
}

// TestCensoredSamples: lookups that are abandoned make a replica slower, not quicker, and
// few samples make no estimate.
func TestCensoredSamples(t *testing.T) {
	s, rng := NewSketch(), rand.New(rand.NewSource(1))
	for i := range 200 {
		if i%5 < 3 {
			s.Add(100*time.Millisecond, true)
		} else {
			s.Add(randomDuration(rng, 10*time.Millisecond), false)
		}
	}
	if e := s.Estimate(); e.Known() || e.Censored != 120 {
		t.Errorf("of a replica that stalls three times in five: %+v", e)
	}
	few := NewSketch()
	few.Add(time.Millisecond, false)
	if e := few.Estimate(); e.Known() {
		t.Errorf("of one sample: %+v", e)
	}
}

// requireInvalidSketch fails if bytes that are no sketch are decoded.
func requireInvalidSketch(t *testing.T) {
	t.Helper()
	var s Sketch
	if err := rpc.Unmarshal([]byte{0x41, 0x00}, &s); err == nil {
		t.Error("bytes that are no sketch are read")
	}
}
