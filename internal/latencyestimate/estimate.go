package latencyestimate

import (
	"cmp"
	"slices"
	"time"

	"github.com/caio/go-tdigest/v4"
)

const (
	// minSamples is how many samples an estimate needs.
	minSamples = 20
	// lowQuantile and highQuantile are the ends of an estimate's interval.
	lowQuantile    = 0.1
	medianQuantile = 0.5
	highQuantile   = 0.9
	// quantileTolerance absorbs rounding errors if a quantile coincides with a sample.
	quantileTolerance = 1e-12
)

// NominalCoverage is the share of lookups that an estimate's interval claims to cover.
const NominalCoverage = highQuantile - lowQuantile

// Estimate is how long a lookup would take: half of them Median or less, 80 in 100 between
// Low and High.
type Estimate struct {
	Median time.Duration `json:"median"`
	Low    time.Duration `json:"low"`
	High   time.Duration `json:"high"`
	// HighOpen says that High isn't known because too many samples are censored.
	HighOpen bool   `json:"highOpen,omitempty"`
	Samples  uint64 `json:"samples"` // completed
	Censored uint64 `json:"givenUp"`
	// UnknownReason says why there is no estimate; empty if there is one.
	UnknownReason string `json:"unknown,omitempty"`
}

// Known reports whether there is an estimate.
func (e Estimate) Known() bool { return e.UnknownReason == "" }

// Covers reports whether a duration lies in the interval.
func (e Estimate) Covers(duration time.Duration) bool {
	return e.Known() && duration >= e.Low && (e.HighOpen || duration <= e.High)
}

// Estimate returns the estimate of a lookup's duration from the samples, by the
// product-limit (Kaplan-Meier) method: up to its own duration, a censored sample counts as
// one that takes longer.
func (s *Sketch) Estimate() Estimate {
	e := Estimate{Samples: sampleCount(s.completed), Censored: sampleCount(s.censored)}
	if e.Samples+e.Censored < minSamples {
		e.UnknownReason = "too few samples"
		return e
	}
	quantiles := s.quantiles(lowQuantile, medianQuantile, highQuantile)
	e.Low = quantiles[0].duration
	e.Median = quantiles[1].duration
	e.High = quantiles[2].duration
	e.HighOpen = !quantiles[2].known
	if !quantiles[1].known {
		e.UnknownReason = "more than half were given up on"
	}
	return e
}

// quantile is the duration that a given share of lookups doesn't exceed, if it is known.
type quantile struct {
	duration time.Duration
	known    bool
}

// quantiles returns the product-limit estimates of the quantiles at the given shares.
func (s *Sketch) quantiles(shares ...float64) []quantile {
	result := make([]quantile, len(shares))
	atRisk := float64(sampleCount(s.completed) + sampleCount(s.censored))
	surviving := 1.0 // share of lookups that take longer than previous
	previous := 0.0  // seconds
	for _, c := range s.centroids() {
		if c.completed {
			next := surviving * (1 - c.count/atRisk)
			for i, share := range shares {
				if result[i].known || next > 1-share+quantileTolerance {
					continue
				}
				// Within a centroid durations are spread evenly from the one before.
				part := 1.0
				if c.count > 1 && surviving > next {
					part = (surviving - (1 - share)) / (surviving - next)
				}
				seconds := previous + (c.seconds-previous)*min(1, 0.5+part/2)
				result[i] = quantile{duration: time.Duration(seconds * float64(time.Second)), known: true}
			}
			surviving = next
			previous = c.seconds
		}
		atRisk -= c.count
	}
	return result
}

// centroid is a number of samples of about the same duration.
type centroid struct {
	seconds   float64
	count     float64
	completed bool
}

// centroids returns the centroids of both digests, sorted by duration. Of equal ones the
// completed come first: a lookup censored at a duration was still running then.
func (s *Sketch) centroids() []centroid {
	var all []centroid
	collect := func(digest *tdigest.TDigest, completed bool) {
		if digest == nil {
			return
		}
		digest.ForEachCentroid(func(mean float64, count uint64) bool {
			all = append(all, centroid{seconds: mean, count: float64(count), completed: completed})
			return true
		})
	}
	collect(s.completed, true)
	collect(s.censored, false)
	slices.SortFunc(all, func(a, b centroid) int {
		switch {
		case a.seconds != b.seconds:
			return cmp.Compare(a.seconds, b.seconds)
		case a.completed == b.completed:
			return 0
		case a.completed:
			return -1
		}
		return 1
	})
	return all
}
