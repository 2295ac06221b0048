package quota

import "time"

// AdmissionBounds limit how many requests of a tenant all nodes together admit: in any period
// of length Window at most (rate x Window + burst) x (1 + Overshoot) + Slack.
type AdmissionBounds struct {
	Window    time.Duration
	Overshoot float64 // a share, 0.1 for 10 %
	Slack     float64 // requests
}

// BucketLimits are the limits of one tenant's bucket, over all slices together. The zero
// value sets no limit.
type BucketLimits struct {
	Rate  float64 // tokens a second
	Depth float64 // the most tokens that the bucket holds
	// TokenLifetime is how long a granted token may be spent, counted from before it was
	// requested.
	TokenLifetime time.Duration
}

// The allowance beyond rate and burst is divided into these fractions. The rest covers the
// delay between spending a token and the arrival of the request at the endpoint.
const (
	// lifetimeFraction is for granted tokens that are not spent yet while the bucket
	// fills again.
	lifetimeFraction = 0.5
	// depthFraction makes the bucket deeper, for slices that run empty unevenly.
	depthFraction = 0.4

	minTokenLifetime = 100 * time.Millisecond
	maxTokenLifetime = time.Second
)

// LimitsFor returns the limits of a tenant's bucket; a rate of 0 sets no limit.
//
// The tokens spent in any window are among those that were granted and alive at its start
// (Rate x TokenLifetime at most), those that lay in the bucket (Depth at most) and those
// that came in (Rate x Window).
func (b AdmissionBounds) LimitsFor(rate, burst float64) BucketLimits {
	if rate <= 0 {
		return BucketLimits{}
	}
	allowance := b.Overshoot*(rate*b.Window.Seconds()+burst) + b.Slack
	lifetime := time.Duration(lifetimeFraction * allowance / rate * float64(time.Second))
	limits := BucketLimits{
		Rate:          rate,
		TokenLifetime: min(max(lifetime, minTokenLifetime), maxTokenLifetime),
	}
	// Where the rules allow too little for the shortest lifetime, the bucket is shallower.
	extraDepth := min(depthFraction*allowance, allowance-rate*limits.TokenLifetime.Seconds())
	limits.Depth = max(1, burst+extraDepth)
	return limits
}

// Limited reports whether there is a limit at all.
func (l BucketLimits) Limited() bool { return l.Rate > 0 }
