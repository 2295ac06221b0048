package metering

import (
	"math/rand/v2"
	"time"

	"comethold/internal/usage"
)

// Collector holds the counts that data plane nodes report to this control node, and the time on
// which the control nodes agree.
type Collector struct {
	store       *usage.Store
	clock       *usage.Clock
	incarnation uint64 // of this node; identifies it in acknowledgements
}

// NewCollector returns a Collector without counts and with a new random incarnation number.
func NewCollector() *Collector {
	return &Collector{
		store:       usage.NewStore(),
		clock:       usage.NewClock(time.Now()),
		incarnation: rand.Uint64(),
	}
}

// Record records a report of a data plane node and returns the acknowledgement.
func (c *Collector) Record(report *usage.CountReport) *usage.CountAck {
	c.store.Add(report)
	_, agreed := c.ReadClocks()
	return &usage.CountAck{Sequence: report.Sequence, Incarnation: c.incarnation, UnixNanos: agreed}
}

// Window returns the counts of a window that this node holds.
func (c *Collector) Window(window uint64) usage.IncarnationCounts { return c.store.Window(window) }

// ReadClocks returns this machine's wall clock and the agreed time, both in Unix nanoseconds.
// agreed is 0 if there is no agreed time yet.
func (c *Collector) ReadClocks() (wall, agreed int64) {
	now := time.Now()
	if agreedTime, ok := c.clock.Now(now); ok {
		agreed = agreedTime.UnixNano()
	}
	return now.UnixNano(), agreed
}

// ObservePeerClocks records the clocks that another control node sent.
func (c *Collector) ObservePeerClocks(peer string, wall, agreed int64) {
	c.clock.Observe(peer, wall, agreed, time.Now())
}
