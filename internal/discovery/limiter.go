package discovery

import (
	"context"
	"fmt"
	"time"
)

// rateFraction is the fraction of the platform's rate limit that one client uses. The rest is reserved for another node
// that takes over reading the list within the same second.
const rateFraction = 0.6

// rateLimiter limits the number of calls in any period of one second. It is not safe for concurrent use.
type rateLimiter struct {
	calls  []time.Time // ring buffer of the times of the last calls, one slot per allowed call; empty without a limit
	oldest int         // index of the oldest call in calls
}

func newRateLimiter(ratePerS float64) *rateLimiter {
	if ratePerS <= 0 {
		return &rateLimiter{}
	}
	return &rateLimiter{calls: make([]time.Time, max(1, int(ratePerS*rateFraction)))}
}

// wait blocks until a call is allowed, and records it. If the context ends first, it returns an error that wraps
// ErrUnavailable.
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

// sleep waits for d. If the context ends first, it returns an error that wraps ErrUnavailable.
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
