package quota

import (
	"testing"
	"time"
)

// maxInWindow returns the number of requests that b allows in one window.
func (b AdmissionBounds) maxInWindow(rate, burst float64) float64 {
	return (rate*b.Window.Seconds()+burst)*(1+b.Overshoot) + b.Slack
}

// TestLimitsWithinRules: what can be spent in a window is within the rules, and a tenant's
// own burst fits into the bucket where the rules leave any room.
func TestLimitsWithinRules(t *testing.T) {
	for _, r := range []AdmissionBounds{{5 * time.Second, 0.1, 20}, {10 * time.Second, 0.05, 3}, {time.Second, 0.2, 40}} {
		for _, rate := range []float64{0.2, 3, 17, 78, 2000} {
			for _, burst := range []float64{0, 17, 4000} {
				limits := r.LimitsFor(rate, burst)
				worst := limits.Depth + rate*(r.Window+limits.TokenLifetime).Seconds()
				if allowed := r.maxInWindow(rate, burst); worst > allowed+1 {
					t.Errorf("%+v, rate %v, burst %v: %v may be spent, %v are allowed", r, rate, burst, worst, allowed)
				}
				if limits.TokenLifetime > minTokenLifetime && limits.Depth < burst {
					t.Errorf("%+v, rate %v, burst %v: a bucket of %v", r, rate, burst, limits.Depth)
				}
			}
		}
	}
	if (AdmissionBounds{}).LimitsFor(0, 9).Limited() {
		t.Error("a rate of 0 sets a limit")
	}
}
