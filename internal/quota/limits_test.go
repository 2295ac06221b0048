package quota

import (
	"testing"
	"time"
)

// maxInWindow returns the number of requests that b allows in one window.
func (b AdmissionBounds) maxInWindow(rate, burst float64) float64 {
	return (rate*b.Window.Seconds()+burst)*(1+b.Overshoot) + b.Slack
}

// TestLimitsWithinAdmissionBounds guards against bucket limits that allow more requests in a
// window than the bounds, and against a bucket that is smaller than the tenant's burst although
// the allowance is large enough.
func TestLimitsWithinAdmissionBounds(t *testing.T) {
	for _, b := range []AdmissionBounds{
		{5 * time.Second, 0.1, 20},
		{10 * time.Second, 0.05, 3},
		{time.Second, 0.2, 40},
	} {
		for _, rate := range []float64{0.2, 3, 17, 78, 2000} {
			for _, burst := range []float64{0, 17, 4000} {
				limits := b.LimitsFor(rate, burst)
				spendable := limits.Depth + rate*(b.Window+limits.TokenLifetime).Seconds()
				if allowed := b.maxInWindow(rate, burst); spendable > allowed+1 {
					t.Errorf("%+v, rate %v, burst %v: %v tokens can be spent in a window, want at most %v",
						b, rate, burst, spendable, allowed)
				}
				if limits.TokenLifetime > minTokenLifetime && limits.Depth < burst {
					t.Errorf("%+v, rate %v, burst %v: bucket depth is %v, want at least burst",
						b, rate, burst, limits.Depth)
				}
			}
		}
	}
	if (AdmissionBounds{}).LimitsFor(0, 9).Limited() {
		t.Error("LimitsFor with a rate of 0 sets a limit, want none")
	}
}
