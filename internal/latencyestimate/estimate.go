package latencyestimate

import (
	"cmp"
	"slices"
	"time"

	"github.com/caio/go-tdigest/v4"
)

const (
	// minSamples is the minimum number of samples for an estimate.
	minSamples = 20
	// lowQuantile and highQuantile are the bounds of an estimate's interval.
	lowQuantile    = 0.1
	medianQuantile = 0.5
	highQuantile   = 0.9
	// quantileTolerance allows for rounding errors if a quantile coincides with a sample.
	quantileTolerance = 1e-12
)

// NominalCoverage is the expected share of lookups with a duration in the interval of an
// estimate.
const NominalCoverage = highQuantile - lowQuantile

// Estimate is the estimated duration of a lookup. Half of the lookups take at most Median,
// and 80 % take between Low and High.
type Estimate struct {
	Median time.Duration `json:"median"`
	Low    time.Duration `json:"low"`
	High   time.Duration `json:"high"`
	// HighOpen is set if High is not known because too many samples are censored.
	HighOpen bool   `json:"highOpen,omitempty"`
	Samples  uint64 `json:"samples"` // completed
	Censored uint64 `json:"givenUp"`
	// UnknownReason is the reason why there is no estimate, or empty if there is one.
	UnknownReason string `json:"unknown,omitempty"`
}

// Known reports whether there is an estimate.
func (e Estimate) Known() bool { return e.UnknownReason == "" }

// Covers reports whether a duration lies in the interval of a known estimate.
func (e Estimate) Covers(duration time.Duration) bool {
	return e.Known() && duration >= e.Low && (e.HighOpen || duration <= e.High)
}

// Estimate returns the estimate of a lookup's duration from the samples, by the
// product-limit (Kaplan-Meier) method. A censored sample counts as a running lookup up to its
// own duration, and is not counted beyond it.
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

// quantile is the duration that a given share of lookups does not exceed, if it is known.
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
				// Assumes that the durations of a centroid are spread evenly between its mean and
				// the midpoint of this mean and the previous one.
				fraction := 1.0
				if c.count > 1 && surviving > next {
					fraction = (surviving - (1 - share)) / (surviving - next)
				}
				seconds := previous + (c.seconds-previous)*min(1, 0.5+fraction/2)
				result[i] = quantile{duration: time.Duration(seconds * float64(time.Second)), known: true}
			}
			surviving = next
			previous = c.seconds
		}
		atRisk -= c.count
	}
	return result
}

// centroid is a group of samples with about the same duration.
type centroid struct {
	seconds   float64 // mean
	count     float64 // samples
	completed bool
}

// centroids returns the centroids of both digests, sorted by duration. Of centroids with
// the same duration the completed ones come first, because a lookup that is censored at a
// duration was still running at that time.
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
