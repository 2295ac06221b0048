package switchboard

import (
	"math/rand/v2"
	"sync"
	"time"

	"comethold/internal/feed"
	"comethold/internal/office"
	"comethold/internal/usage"
)

// Pacing of counts. Ours; see docs/design.md.
const (
	tellEvery  = 150 * time.Millisecond
	timeEvery  = 2 * time.Second // between two looks at the registrars' time
	timeKeep   = time.Minute     // after which a slower look at it stands too
	unanswered = 3               // tallies after which another registrar is told
)

// counter counts what tenants have run here, by the registrars' time, and tells a
// registrar.
type counter struct {
	office *office.Office
	meter  *usage.Meter
	clock  *usage.Clock

	mu       sync.Mutex
	sent     map[uint64]time.Time
	silent   int // tallies without an answer
	lookedAt time.Time
	bestTrip time.Duration // of the look at the time that stands
	bestAt   time.Time
}

// newCounter returns nil where nobody wants counts.
func newCounter(o *office.Office) *counter {
	if !o.Set.ReportsUsage() {
		return nil
	}
	c := &counter{office: o, meter: usage.NewMeter(rand.Uint64(), o.Set.Bounds.UsageWindow()),
		clock: usage.NewClock(time.Now()), sent: map[uint64]time.Time{}}
	o.OnNoted(c.noted)
	return c
}

// ran counts a request of a tenant that began to run at a moment of the steady clock.
func (c *counter) ran(tenant string, at time.Time) {
	now, ok := c.clock.Now(at)
	if !ok {
		now = at // no better time is known
	}
	c.meter.Count(tenant, now)
}

// loop tells the counts until the node ends.
func (c *counter) loop() {
	for {
		select {
		case <-time.After(time.Duration((0.9 + 0.2*rand.Float64()) * float64(tellEvery))):
			c.tell(time.Now())
		case <-c.office.Quit():
			c.tell(time.Now())
			return
		}
	}
}

func (c *counter) tell(now time.Time) {
	t := c.meter.Next()
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(t.Parts) == 0 && now.Sub(c.lookedAt) < timeEvery {
		return
	}
	to := c.office.RegistrarAddrs()
	if len(to) == 0 {
		return
	}
	c.lookedAt = now
	c.sent[t.Seq] = now
	for seq, at := range c.sent {
		if now.Sub(at) > 5*time.Second {
			delete(c.sent, seq)
		}
	}
	c.office.Send(to[c.silent/unanswered%len(to)], &feed.Datagram{Tally: t})
	c.silent++
}

func (c *counter) noted(a *usage.Noted) {
	now := time.Now()
	c.meter.Noted(a)
	c.mu.Lock()
	defer c.mu.Unlock()
	at, ok := c.sent[a.Seq]
	if !ok {
		return
	}
	delete(c.sent, a.Seq)
	c.silent -= c.silent % unanswered // keep to the one that answers
	if trip := now.Sub(at); a.Now != 0 && (c.bestAt.IsZero() || trip <= c.bestTrip || now.Sub(c.bestAt) > timeKeep) {
		c.bestTrip, c.bestAt = trip, now
		c.clock.Set(a.Now+int64(trip/2), now)
	}
}
