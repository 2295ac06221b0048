package latencyestimate

import (
	"math"
	"math/rand"
	"testing"
	"time"

	"comethold/internal/rpc"
)

// randomDuration returns the duration of a lookup from a log-normal distribution with the
// given median.
func randomDuration(rng *rand.Rand, median time.Duration) time.Duration {
	return time.Duration(float64(median) * math.Exp(0.5*rng.NormFloat64()))
}

// coverage returns the share of further lookups whose duration lies in the interval of an
// estimate, and the ratio of the mean estimated median to the true one. Lookups are abandoned
// after limit. If modify is not nil, it changes each estimate first.
func coverage(t *testing.T, limit time.Duration, modify func(*Estimate)) (share, median float64) {
	t.Helper()
	const rounds, trueMedian = 40, 20 * time.Millisecond
	covered, total := 0, 0
	for seed := range int64(rounds) {
		rng := rand.New(rand.NewSource(seed))
		s := NewSketch()
		for range 300 {
			duration := randomDuration(rng, trueMedian)
			s.Add(min(duration, limit), duration > limit)
		}
		e := s.Estimate()
		if !e.Known() {
			t.Fatalf("Estimate of 300 samples returned %+v, want a known estimate", e)
		}
		if modify != nil {
			modify(&e)
		}
		median += e.Median.Seconds() / trueMedian.Seconds() / rounds
		for range 100 {
			total++
			if e.Covers(randomDuration(rng, trueMedian)) {
				covered++
			}
		}
	}
	return float64(covered) / float64(total), median
}

// TestIntervalCoverage guards against intervals that cover another share of lookups than
// NominalCoverage, also if slow lookups are abandoned. As a check of the test itself, the
// coverage of wrong estimates must be lower.
func TestIntervalCoverage(t *testing.T) {
	const tolerance = 0.06
	for _, limit := range []time.Duration{time.Hour, 45 * time.Millisecond, 30 * time.Millisecond} {
		share, median := coverage(t, limit, nil)
		lowest, highest := NominalCoverage-tolerance, NominalCoverage+tolerance
		if limit < 38*time.Millisecond {
			highest = 1 // the interval has no upper end, so it covers more
		}
		if share < lowest || share > highest || median < 0.9 || median > 1.1 {
			t.Errorf("abandoned after %v: coverage %.2f, median %.2f of the true one, want %.2f to %.2f and 0.9 to 1.1",
				limit, share, median, lowest, highest)
		}
	}
	doubled := func(e *Estimate) {
		e.Low *= 2
		e.High *= 2
	}
	if share, _ := coverage(t, time.Hour, doubled); share > NominalCoverage-tolerance {
		t.Errorf("intervals with doubled bounds cover %.2f, want at most %.2f", share, NominalCoverage-tolerance)
	}
}

// TestCensoredSamples guards against estimates that ignore abandoned lookups, which would make
// a replica that stalls look fast, and against estimates from too few samples.
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
		t.Errorf("Estimate with 3 of 5 lookups abandoned returned %+v, want unknown with 120 censored", e)
	}
	few := NewSketch()
	few.Add(time.Millisecond, false)
	if e := few.Estimate(); e.Known() {
		t.Errorf("Estimate of one sample returned %+v, want unknown", e)
	}
}

// requireInvalidSketch fails if bytes that are not a sketch are decoded without an error.
func requireInvalidSketch(t *testing.T) {
	t.Helper()
	var s Sketch
	if err := rpc.Unmarshal([]byte{0x41, 0x00}, &s); err == nil {
		t.Error("decoding bytes that are not a sketch succeeded, want an error")
	}
}
