package quota

import "time"

// AdmissionBounds limit how many requests of a tenant all nodes together admit: in any period
// of length Window at most (rate x Window + burst) x (1 + Overshoot) + Slack.
type AdmissionBounds struct {
	Window    time.Duration
	Overshoot float64 // a fraction: 0.1 is 10 %
	Slack     float64 // requests
}

// BucketLimits are the limits of one tenant's bucket, for all slices together. The zero value
// sets no limit.
type BucketLimits struct {
	Rate  float64 // tokens per second
	Depth float64 // capacity of the bucket in tokens
	// TokenLifetime is how long a token may be spent. It starts just before the token is
	// requested.
	TokenLifetime time.Duration
}

// The allowance beyond rate and burst is divided into these fractions. The rest covers the
// delay between spending a token and the arrival of the request at the endpoint.
const (
	// lifetimeFraction covers granted tokens that are still unspent while the bucket refills.
	lifetimeFraction = 0.5
	// depthFraction increases the depth of the bucket, because some slices run empty before
	// others.
	depthFraction = 0.4

	minTokenLifetime = 100 * time.Millisecond
	maxTokenLifetime = time.Second
)

// LimitsFor returns the limits of a tenant's bucket; a rate of 0 sets no limit.
//
// The tokens spent in any window are a subset of three groups: tokens that were granted before
// the window and have not expired (at most Rate x TokenLifetime), tokens in the bucket at its
// start (at most Depth), and tokens added during the window (Rate x Window).
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
	// If the allowance is too small for minTokenLifetime, the depth is reduced instead.
	extraDepth := min(depthFraction*allowance, allowance-rate*limits.TokenLifetime.Seconds())
	limits.Depth = max(1, burst+extraDepth)
	return limits
}

// Limited reports whether a limit is set.
func (l BucketLimits) Limited() bool { return l.Rate > 0 }
