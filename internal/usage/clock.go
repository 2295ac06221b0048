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
	// have been heard.
	initialAgreementWait = 1500 * time.Millisecond
	// maxInitialWait is how long it waits for all of them; after that a majority is enough,
	// and after twice as long this node's own time of day.
	maxInitialWait = 6 * time.Second
	// maxSlewPerSecond is the most that an agreed offset moves in a second.
	maxSlewPerSecond = time.Millisecond
	// maxWallDisagreement is how far the median time of day may be from the agreed time and
	// still lead it.
	maxWallDisagreement = 200 * time.Millisecond
	// wallGain is the part of that difference that is corrected at each update.
	wallGain = 8
)

// Clock is the true time as the control plane agrees on it: an offset to this node's
// monotonic clock. Times of day may jump on some machines, but the monotonic clocks run on.
// So an offset that was agreed on holds, and follows those of the peers by small steps
// alone. It is safe for concurrent use.
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

// NewClock returns a clock that knows no time yet.
func NewClock(now time.Time) *Clock {
	return &Clock{base: now, createdAt: now, peers: map[string]sample{}}
}

// Observe takes a peer's time of day and its agreed time, in nanoseconds since 1970; agreed
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

// Update brings the agreed time up to date. wall is this machine's time of day in
// nanoseconds since 1970, members the number of control nodes, heard or not, and
// elapsed the time since the last update.
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

// Set takes the true time from another node, in nanoseconds since 1970, as a data plane node
// does from the control plane.
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
	// The times of day lead only while most of them are near: a jump of many machines is no
	// reason to follow.
	if wall := median(walls); (wall - target).Abs() < maxWallDisagreement {
		target += (wall - target) / wallGain
	}
	step := time.Duration(float64(maxSlewPerSecond) * elapsed.Seconds())
	c.offset += min(max(target-c.offset, -step), step)
}

// enoughForFirstAgreement reports whether so many times of day, this node's own included,
// are enough after the time since the start.
func enoughForFirstAgreement(heard, members int, age time.Duration) bool {
	switch {
	case heard >= members && age >= initialAgreementWait:
		return true
	case 2*heard > members && age >= maxInitialWait:
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
