package metering

import (
	"math/rand/v2"
	"time"

	"comethold/internal/usage"
)

// Collector is this control node's part of the counts: what data plane nodes report to it,
// and the time of day on which the control nodes agree.
type Collector struct {
	store       *usage.Store
	clock       *usage.Clock
	incarnation uint64 // of this node, by which data plane nodes tell acknowledgements apart
}

// NewCollector returns a Collector without counts, of a new incarnation.
func NewCollector() *Collector {
	return &Collector{
		store:       usage.NewStore(),
		clock:       usage.NewClock(time.Now()),
		incarnation: rand.Uint64(),
	}
}

// Record takes a report of a data plane node and acknowledges it.
func (c *Collector) Record(report *usage.CountReport) *usage.CountAck {
	c.store.Add(report)
	_, agreed := c.ReadClocks()
	return &usage.CountAck{Sequence: report.Sequence, Incarnation: c.incarnation, UnixNanos: agreed}
}

// Window returns what this node knows of a window.
func (c *Collector) Window(window uint64) usage.IncarnationCounts { return c.store.Window(window) }

// ReadClocks returns this machine's time of day and the agreed one, 0 if there is none yet;
// both in Unix nanoseconds.
func (c *Collector) ReadClocks() (wall, agreed int64) {
	now := time.Now()
	if agreedTime, ok := c.clock.Now(now); ok {
		agreed = agreedTime.UnixNano()
	}
	return now.UnixNano(), agreed
}

// ObservePeerClocks notes what another control node says of its clocks.
func (c *Collector) ObservePeerClocks(peer string, wall, agreed int64) {
	c.clock.Observe(peer, wall, agreed, time.Now())
}
