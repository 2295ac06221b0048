package usage

import (
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// maxCountsPerReport limits the counts in a report, because a report is one datagram.
	maxCountsPerReport = 250
	// maxUnacknowledged limits the reports that are kept until they are acknowledged.
	maxUnacknowledged = 32
)

// Counter counts the requests of tenants at one node. It is safe for concurrent use.
type Counter struct {
	incarnation  uint64
	windowLength time.Duration

	mu       sync.Mutex // guards the fields below
	windows  map[uint64]map[string]*count
	sequence uint64 // of the last report
	// unacknowledged holds the counts of unacknowledged reports, by sequence number.
	unacknowledged map[uint64]Windows
	// acknowledgedBy is the incarnation of the control node that sent the last acknowledgement.
	acknowledgedBy uint64
}

// count is the number of requests of one tenant in one window, in total and acknowledged.
type count struct {
	total        uint64
	acknowledged uint64
}

// NewCounter returns a counter for one incarnation of a node. Sequence numbers of reports start
// at the incarnation number. A late acknowledgement for a former incarnation on the same port
// therefore matches none of them.
func NewCounter(incarnation uint64, windowLength time.Duration) *Counter {
	return &Counter{
		incarnation:    incarnation,
		windowLength:   windowLength,
		windows:        map[uint64]map[string]*count{},
		sequence:       incarnation,
		unacknowledged: map[uint64]Windows{},
	}
}

// Add counts a tenant's request that was admitted at the agreed time at.
func (c *Counter) Add(tenant string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	window := WindowAt(at, c.windowLength)
	if c.windows[window] == nil {
		c.windows[window] = map[string]*count{}
		c.removeOldLocked(window)
	}
	counted := c.windows[window][tenant]
	if counted == nil {
		counted = &count{}
		c.windows[window][tenant] = counted
	}
	counted.total++
}

func (c *Counter) removeOldLocked(current uint64) {
	for window := range c.windows {
		if window+retainedWindows < current {
			delete(c.windows, window)
		}
	}
}

// NextReport returns the next report. It holds at most maxCountsPerReport of the counts that are
// not acknowledged.
func (c *Counter) NextReport() *CountReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sequence++
	report := &CountReport{Incarnation: c.incarnation, Sequence: c.sequence, Windows: Windows{}}
	counts := 0
	// Newest first: after a change of the control node all counts are sent again, and the control
	// plane has already reported the oldest windows to the platform.
	for _, window := range slices.Backward(slices.Sorted(maps.Keys(c.windows))) {
		for tenant, counted := range c.windows[window] {
			if counted.total <= counted.acknowledged || counts == maxCountsPerReport {
				continue
			}
			if report.Windows[window] == nil {
				report.Windows[window] = Counts{}
			}
			report.Windows[window][tenant] = counted.total
			counts++
		}
	}
	if counts > 0 {
		c.unacknowledged[c.sequence] = report.Windows
		delete(c.unacknowledged, c.sequence-maxUnacknowledged)
	}
	return report
}

// Acknowledge handles the answer to a report. An answer of another control node, or of another
// incarnation of it, invalidates all earlier acknowledgements.
func (c *Counter) Acknowledge(ack *CountAck) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ack.Incarnation != c.acknowledgedBy {
		c.acknowledgedBy = ack.Incarnation
		c.clearAcknowledgedLocked()
	}
	for window, counts := range c.unacknowledged[ack.Sequence] {
		for tenant, n := range counts {
			if counted := c.windows[window][tenant]; counted != nil {
				counted.acknowledged = max(counted.acknowledged, n)
			}
		}
	}
	delete(c.unacknowledged, ack.Sequence)
}

func (c *Counter) clearAcknowledgedLocked() {
	for _, tenants := range c.windows {
		for _, counted := range tenants {
			counted.acknowledged = 0
		}
	}
}
