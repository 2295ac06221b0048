// Package quota bounds what a tenant may have run over all nodes together.
//
// A tenant's token bucket is cut into slices: each registrar holds a leased share of
// every bucket, grants tokens out of its slice, and lends to other registrars. Nodes
// draw tokens that soon expire and spend one for each request. A token is spent once
// or lost; none is ever given back. The package does no input or output.
package quota

import "time"

// Rules are the deployment's bounds of quotas: over any Window a tenant may have
// (rate x Window + burst) x (1 + Overshoot) + Slack requests run.
type Rules struct {
	Window    time.Duration
	Overshoot float64
	Slack     float64
}

// BucketLimits of one tenant's bucket, over all slices together.
type BucketLimits struct {
	Rate  float64 // tokens a second
	Depth float64 // tokens that may lie in the bucket
	// TokenLifetime is how long a granted token may be spent, counted from before it was asked for.
	TokenLifetime time.Duration
}

// What becomes of the room that the rules leave above rate and burst. What is left
// over is for requests that take their time from the token to the leaf.
const (
	lifetimeFraction = 0.5 // granted tokens not spent yet while the bucket fills again
	depthFraction    = 0.4 // a deeper bucket, for slices that run empty unevenly

	minTokenLifetime = 100 * time.Millisecond
	maxTokenLifetime = time.Second
)

// LimitsFor works out the terms of a tenant; a rate of 0 sets no bound.
//
// In any window the tokens spent are among those that were granted and alive at its
// begin (Rate x Life at most), those that lay in the bucket (Depth at most) and those
// that came in (Rate x Window).
func (r Rules) LimitsFor(rate, burst float64) BucketLimits {
	if rate <= 0 {
		return BucketLimits{}
	}
	room := r.Overshoot*(rate*r.Window.Seconds()+burst) + r.Slack
	life := time.Duration(lifetimeFraction * room / rate * float64(time.Second))
	t := BucketLimits{Rate: rate, TokenLifetime: min(max(life, minTokenLifetime), maxTokenLifetime)}
	// Where the rules leave too little room for the least life, the bucket is shallower.
	t.Depth = max(1, burst+min(depthFraction*room, room-rate*t.TokenLifetime.Seconds()))
	return t
}

// Limited reports whether there is a bound at all.
func (t BucketLimits) Limited() bool { return t.Rate > 0 }
