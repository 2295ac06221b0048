package discovery

import (
	"context"
	"fmt"
	"time"
)

// rateFraction is the part of the platform's rate that one client uses: another node may take over and begin within
// the same second.
const rateFraction = 0.6

// rateLimiter bounds the calls of any second. It is not safe for use by several goroutines.
type rateLimiter struct {
	calls  []time.Time // the newest calls, as many as a second may have; empty: no bound
	oldest int         // the position in calls of the next one to be replaced
}

func newRateLimiter(ratePerS float64) *rateLimiter {
	if ratePerS <= 0 {
		return &rateLimiter{}
	}
	return &rateLimiter{calls: make([]time.Time, max(1, int(ratePerS*rateFraction)))}
}

// wait returns when a call may be made, and counts it.
func (l *rateLimiter) wait(ctx context.Context) error {
	if len(l.calls) == 0 {
		return nil
	}
	if err := sleep(ctx, time.Until(l.calls[l.oldest].Add(time.Second))); err != nil {
		return err
	}
	l.calls[l.oldest] = time.Now()
	l.oldest = (l.oldest + 1) % len(l.calls)
	return nil
}

// sleep waits; its error, if the context ends before, wraps ErrUnavailable.
func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", ErrUnavailable, ctx.Err())
	}
}
