package usage

import (
	"slices"
	"sync"
	"time"
)

const (
	// maxSampleAge is how long a peer's sample is used.
	maxSampleAge = 5 * time.Second
	// initialAgreementWait is the minimum age of a clock at its first agreement, even if samples
	// of all peers have arrived. It does not apply if a peer already has an agreed time.
	initialAgreementWait = 1500 * time.Millisecond
	// maxInitialWait is how long the first agreement waits for all peers. After that a majority
	// is enough, and after twice that time any number of samples, even this node's wall clock alone.
	maxInitialWait = 6 * time.Second
	// maxSlewPerSecond limits the change of the agreed offset per second.
	maxSlewPerSecond = time.Millisecond
	// maxWallDisagreement limits the difference between the median wall clock and the agreed
	// time. A median that differs by this much or more does not correct the agreed time.
	maxWallDisagreement = 200 * time.Millisecond
	// wallCorrectionDivisor spreads the correction over several updates: each update aims to
	// correct the difference divided by this number.
	wallCorrectionDivisor = 8
)

// Clock holds the time on which the control nodes agree, as an offset from this node's
// monotonic clock. Unlike wall clocks, monotonic clocks don't jump. So an agreed offset
// stays valid, and follows the offsets of the peers only in small steps. It is safe for
// concurrent use.
type Clock struct {
	base time.Time // reference point on the monotonic clock

	mu        sync.Mutex    // guards the fields below
	offset    time.Duration // the agreed time at base, since the Unix epoch
	hasOffset bool
	peers     map[string]sample
	createdAt time.Time
}

// sample holds the times that a peer sent, as offsets from this node's monotonic clock.
type sample struct {
	wall       time.Duration
	agreed     time.Duration
	hasAgreed  bool
	observedAt time.Time
}

// NewClock returns a clock without an agreed time.
func NewClock(now time.Time) *Clock {
	return &Clock{base: now, createdAt: now, peers: map[string]sample{}}
}

// Observe records a peer's wall clock and its agreed time, both in Unix nanoseconds. agreed is 0
// if the peer has no agreed time.
func (c *Clock) Observe(peer string, wall, agreed int64, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peers[peer] = sample{
		wall:       c.offsetOf(wall, now),
		agreed:     c.offsetOf(agreed, now),
		hasAgreed:  agreed != 0,
		observedAt: now,
	}
}

// Update updates the agreed time. wall is this machine's wall clock in Unix nanoseconds. members
// is the number of all control nodes, including those without a sample. elapsed is the time since
// the last update.
func (c *Clock) Update(wall int64, members int, elapsed time.Duration, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	walls, agreed := c.samplesLocked(now)
	walls = append(walls, c.offsetOf(wall, now))
	switch {
	case c.hasOffset:
		c.slewLocked(walls, agreed, elapsed)
	case len(agreed) > 0:
		c.offset = median(agreed)
		c.hasOffset = true
	case enoughForFirstAgreement(len(walls), members, now.Sub(c.createdAt)):
		c.offset = median(walls)
		c.hasOffset = true
	}
}

// Set sets the agreed time, in Unix nanoseconds. Data plane nodes call it with the time that they
// receive from a control node.
func (c *Clock) Set(unixNanos int64, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.offset = c.offsetOf(unixNanos, now)
	c.hasOffset = true
}

// Now returns the agreed time. It reports false if there is none yet.
func (c *Clock) Now(now time.Time) (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Unix(0, int64(c.offset+now.Sub(c.base))), c.hasOffset
}

// offsetOf converts a time in Unix nanoseconds to an offset from the monotonic clock.
func (c *Clock) offsetOf(unixNanos int64, now time.Time) time.Duration {
	return time.Duration(unixNanos) - now.Sub(c.base)
}

// samplesLocked removes samples older than maxSampleAge and returns the offsets of the others.
func (c *Clock) samplesLocked(now time.Time) (walls, agreed []time.Duration) {
	for peer, s := range c.peers {
		if now.Sub(s.observedAt) > maxSampleAge {
			delete(c.peers, peer)
			continue
		}
		walls = append(walls, s.wall)
		if s.hasAgreed {
			agreed = append(agreed, s.agreed)
		}
	}
	return walls, agreed
}

// slewLocked moves the offset towards the median of the peers, by at most maxSlewPerSecond.
func (c *Clock) slewLocked(walls, agreed []time.Duration, elapsed time.Duration) {
	target := c.offset
	if len(agreed) > 0 {
		target = median(append(agreed, c.offset))
	}
	// Ignore the wall clocks if their median is far off, as after a clock jump on many machines.
	if wall := median(walls); (wall - target).Abs() < maxWallDisagreement {
		target += (wall - target) / wallCorrectionDivisor
	}
	step := time.Duration(float64(maxSlewPerSecond) * elapsed.Seconds())
	c.offset += min(max(target-c.offset, -step), step)
}

// enoughForFirstAgreement reports whether the observed wall clocks, including the one of this
// node, are enough for a first agreement. age is the age of the Clock.
func enoughForFirstAgreement(observed, members int, age time.Duration) bool {
	switch {
	case observed >= members && age >= initialAgreementWait:
		return true
	case 2*observed > members && age >= maxInitialWait:
		return true
	}
	return age >= 2*maxInitialWait
}

// median returns the median, or the upper median of an even number of offsets.
func median(offsets []time.Duration) time.Duration {
	sorted := slices.Clone(offsets)
	slices.Sort(sorted)
	return sorted[len(sorted)/2]
}
