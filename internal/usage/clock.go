package usage

import (
	"slices"
	"sync"
	"time"
)

// Clock is true time as the registrars agree on it: an offset to this node's steady
// clock. Times of day may jump on some machines; the steady clocks run on. So an offset
// that was agreed on holds, and follows the others by small steps alone.
type Clock struct {
	base time.Time // a moment of the steady clock

	mu        sync.Mutex
	offset    time.Duration // of true time since 1970, at base
	hasOffset bool
	peers     map[string]sample
	createdAt time.Time
}

// sample is what another registrar said, as offsets to this node's steady clock.
type sample struct {
	wall       time.Duration
	agreed     time.Duration
	hasAgreed  bool
	observedAt time.Time
}

const (
	maxSampleAge = 5 * time.Second
	// initialAgreementWait is how long a first agreement waits for more to be heard.
	initialAgreementWait = 1500 * time.Millisecond
	maxInitialWait       = 6 * time.Second
	// maxSlewPerSecond is the most that an agreed offset moves in a second.
	maxSlewPerSecond = time.Millisecond
)

// NewClock makes a clock that knows no time yet.
func NewClock(now time.Time) *Clock {
	return &Clock{base: now, createdAt: now, peers: map[string]sample{}}
}

func (c *Clock) offsetOf(unixNano int64, now time.Time) time.Duration {
	return time.Duration(unixNano) - now.Sub(c.base)
}

// Observe notes the time of day of another registrar, and its agreed time if it has one.
func (c *Clock) Observe(peer string, wall, agreed int64, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peers[peer] = sample{wall: c.offsetOf(wall, now), agreed: c.offsetOf(agreed, now), hasAgreed: agreed != 0, observedAt: now}
}

// Update brings the agreed time up to date; wall is this machine's own time of day, and
// most the number of registrars that bear no doubt, be they heard or not.
func (c *Clock) Update(wall int64, most int, elapsed time.Duration, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	walls, agreed := []time.Duration{c.offsetOf(wall, now)}, []time.Duration{}
	for name, s := range c.peers {
		if now.Sub(s.observedAt) > maxSampleAge {
			delete(c.peers, name)
			continue
		}
		walls = append(walls, s.wall)
		if s.hasAgreed {
			agreed = append(agreed, s.agreed)
		}
	}
	age := now.Sub(c.createdAt)
	switch {
	case c.hasOffset:
		to := c.offset
		if len(agreed) > 0 {
			to = median(append(agreed, c.offset))
		}
		// The times of day lead the way only while most of them are near: a jump of
		// many machines is no reason to follow.
		if w := median(walls); (w - to).Abs() < 200*time.Millisecond {
			to += (w - to) / 8
		}
		step := time.Duration(float64(maxSlewPerSecond) * elapsed.Seconds())
		c.offset += min(max(to-c.offset, -step), step)
	case len(agreed) > 0:
		c.offset, c.hasOffset = median(agreed), true
	case len(walls) >= most && age >= initialAgreementWait || 2*len(walls) > most && age >= maxInitialWait || age >= 2*maxInitialWait:
		c.offset, c.hasOffset = median(walls), true
	}
}

// Set takes a time that was told, as a node does from its registrar.
func (c *Clock) Set(unixNano int64, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.offset, c.hasOffset = c.offsetOf(unixNano, now), true
}

// Now is the agreed time, if there is one.
func (c *Clock) Now(now time.Time) (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Unix(0, int64(c.offset+now.Sub(c.base))), c.hasOffset
}

func median(d []time.Duration) time.Duration {
	d = slices.Clone(d)
	slices.Sort(d)
	return d[len(d)/2]
}
