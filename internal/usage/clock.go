package usage

import (
	"slices"
	"sync"
	"time"
)

const (
	// maxSampleAge is how long a peer's sample counts.
	maxSampleAge = 5 * time.Second
	// initialAgreementWait is how long the first agreement waits for peers even if all
	// have answered.
	initialAgreementWait = 1500 * time.Millisecond
	// maxInitialWait is how long it waits for all of them; after that a majority is enough,
	// and after twice as long this node's own time of day.
	maxInitialWait = 6 * time.Second
	// maxSlewPerSecond is the most that an agreed offset moves in a second.
	maxSlewPerSecond = time.Millisecond
	// maxWallDisagreement is the largest difference of the median time of day from the agreed
	// time at which it still corrects it.
	maxWallDisagreement = 200 * time.Millisecond
	// wallCorrectionDivisor: each update corrects this part of that difference.
	wallCorrectionDivisor = 8
)

// Clock is the true time on which the control plane agrees, as an offset to this node's
// monotonic clock. Unlike times of day, monotonic clocks don't jump. So an agreed offset
// stays valid, and follows the offsets of the peers only in small steps. It is safe for
// concurrent use.
type Clock struct {
	base time.Time // a moment of the monotonic clock

	mu        sync.Mutex    // guards the fields below
	offset    time.Duration // of true time since 1970, at base
	hasOffset bool
	peers     map[string]sample
	createdAt time.Time
}

// sample is what a peer sent, as offsets to this node's monotonic clock.
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

// Observe records a peer's time of day and its agreed time, in nanoseconds since 1970. agreed
// is 0 if the peer has none.
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

// Update updates the agreed time. wall is this machine's time of day in nanoseconds since 1970,
// members the number of control nodes, observed or not, and elapsed the time since the last
// update.
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

// Set sets the true time, in nanoseconds since 1970. Data plane nodes call it with the agreed
// time of the control plane.
func (c *Clock) Set(unixNanos int64, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.offset = c.offsetOf(unixNanos, now)
	c.hasOffset = true
}

// Now returns the true time, and whether there is one yet.
func (c *Clock) Now(now time.Time) (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Unix(0, int64(c.offset+now.Sub(c.base))), c.hasOffset
}

// offsetOf returns the offset of a time of day to the monotonic clock.
func (c *Clock) offsetOf(unixNanos int64, now time.Time) time.Duration {
	return time.Duration(unixNanos) - now.Sub(c.base)
}

// samplesLocked drops old samples and returns the offsets of the others.
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

// slewLocked moves the offset towards that of the peers.
func (c *Clock) slewLocked(walls, agreed []time.Duration, elapsed time.Duration) {
	target := c.offset
	if len(agreed) > 0 {
		target = median(append(agreed, c.offset))
	}
	// Ignore the times of day if their median is far off, as after a jump on many machines.
	if wall := median(walls); (wall - target).Abs() < maxWallDisagreement {
		target += (wall - target) / wallCorrectionDivisor
	}
	step := time.Duration(float64(maxSlewPerSecond) * elapsed.Seconds())
	c.offset += min(max(target-c.offset, -step), step)
}

// enoughForFirstAgreement reports whether the observed times of day, including this node's
// own, are enough for a first agreement at an age of the clock.
func enoughForFirstAgreement(observed, members int, age time.Duration) bool {
	switch {
	case observed >= members && age >= initialAgreementWait:
		return true
	case 2*observed > members && age >= maxInitialWait:
		return true
	}
	return age >= 2*maxInitialWait
}

// median returns the median, the greater one of an even number.
func median(offsets []time.Duration) time.Duration {
	sorted := slices.Clone(offsets)
	slices.Sort(sorted)
	return sorted[len(sorted)/2]
}
