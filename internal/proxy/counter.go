package proxy

import (
	"math/rand/v2"
	"sync"
	"time"

	"comethold/internal/controlclient"
	"comethold/internal/distribution"
	"comethold/internal/usage"
)

// Pacing of counts. Ours; see docs/design.md.
const (
	reportInterval        = 150 * time.Millisecond
	clockSyncInterval     = 2 * time.Second // between two looks at the registrars' time
	clockSampleMaxAge     = time.Minute     // after which a slower look at it stands too
	reportsBeforeFailover = 3               // tallies after which another registrar is told
)

// usageReporter counts what tenants have run here, by the registrars' time, and tells a
// registrar.
type usageReporter struct {
	office *controlclient.Client
	meter  *usage.Counter
	clock  *usage.Clock

	mu                sync.Mutex
	sentAt            map[uint64]time.Time
	unansweredReports int // tallies without an answer
	lastReportAt      time.Time
	bestRoundTrip     time.Duration // of the look at the time that stands
	bestRoundTripAt   time.Time
}

// newUsageReporter returns nil where nobody wants counts.
func newUsageReporter(o *controlclient.Client) *usageReporter {
	if !o.Settings.ReportsUsage() {
		return nil
	}
	c := &usageReporter{office: o, meter: usage.NewCounter(rand.Uint64(), o.Settings.Bounds.UsageWindow()),
		clock: usage.NewClock(time.Now()), sentAt: map[uint64]time.Time{}}
	o.OnUsageAck(c.handleAck)
	return c
}

// recordExecuted counts a request of a tenant that began to run at a moment of the steady clock.
func (c *usageReporter) recordExecuted(tenant string, at time.Time) {
	now, ok := c.clock.Now(at)
	if !ok {
		now = at // no better time is known
	}
	c.meter.Add(tenant, now)
}

// run tells the counts until the node ends.
func (c *usageReporter) run() {
	for {
		select {
		case <-time.After(time.Duration((0.9 + 0.2*rand.Float64()) * float64(reportInterval))):
			c.report(time.Now())
		case <-c.office.Done():
			c.report(time.Now())
			return
		}
	}
}

func (c *usageReporter) report(now time.Time) {
	t := c.meter.NextReport()
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(t.Windows) == 0 && now.Sub(c.lastReportAt) < clockSyncInterval {
		return
	}
	to := c.office.ControlPlaneAddrs()
	if len(to) == 0 {
		return
	}
	c.lastReportAt = now
	c.sentAt[t.Sequence] = now
	for seq, at := range c.sentAt {
		if now.Sub(at) > 5*time.Second {
			delete(c.sentAt, seq)
		}
	}
	c.office.Send(to[c.unansweredReports/reportsBeforeFailover%len(to)], &distribution.Datagram{UsageReport: t})
	c.unansweredReports++
}

func (c *usageReporter) handleAck(a *usage.CountAck) {
	now := time.Now()
	c.meter.Acknowledge(a)
	c.mu.Lock()
	defer c.mu.Unlock()
	at, ok := c.sentAt[a.Sequence]
	if !ok {
		return
	}
	delete(c.sentAt, a.Sequence)
	c.unansweredReports -= c.unansweredReports % reportsBeforeFailover // keep to the one that answers
	if trip := now.Sub(at); a.UnixNanos != 0 && (c.bestRoundTripAt.IsZero() || trip <= c.bestRoundTrip || now.Sub(c.bestRoundTripAt) > clockSampleMaxAge) {
		c.bestRoundTrip, c.bestRoundTripAt = trip, now
		c.clock.Set(a.UnixNanos+int64(trip/2), now)
	}
}
