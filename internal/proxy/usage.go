package proxy

import (
	"math/rand/v2"
	"sync"
	"time"

	"comethold/internal/controlclient"
	"comethold/internal/distribution"
	"comethold/internal/usage"
)

// Timing of usage reports; see docs/design.md.
const (
	reportInterval = 150 * time.Millisecond
	// The interval is multiplied by a random factor from reportJitterMin to
	// reportJitterMin+reportJitter.
	reportJitterMin = 0.9
	reportJitter    = 0.2
	// clockSyncInterval is the time after which a report is sent even if there are no counts,
	// because the answer carries the control plane's time.
	clockSyncInterval = 2 * time.Second
	// clockSampleMaxAge is the age above which a sample of the control plane's time is replaced
	// even by one with a longer round trip.
	clockSampleMaxAge = time.Minute
	// reportsBeforeFailover is the number of unanswered reports after which reports go
	// to another control plane node.
	reportsBeforeFailover = 3
	// ackWindow is how long after a report its answer is used for failover and clock synchronization.
	ackWindow = 5 * time.Second
)

// usageReporter counts the executed requests of each tenant on this node, in windows of
// the control plane's time, and reports them to the control plane. It is safe for
// concurrent use.
type usageReporter struct {
	controlClient *controlclient.Client
	counter       *usage.Counter
	clock         *usage.Clock

	mu              sync.Mutex           // guards the fields below
	sentAt          map[uint64]time.Time // of unanswered reports, by sequence number
	unanswered      int                  // counts reports without an answer; selects the target of the next report
	lastReportAt    time.Time
	bestRoundTrip   time.Duration // of the sample that the clock is set to
	bestRoundTripAt time.Time
}

// newUsageReporter returns nil if usage reports are disabled in the settings.
func newUsageReporter(controlClient *controlclient.Client) *usageReporter {
	if !controlClient.Settings.ReportsUsage() {
		return nil
	}
	r := &usageReporter{
		controlClient: controlClient,
		counter:       usage.NewCounter(rand.Uint64(), controlClient.Settings.Bounds.UsageWindow()),
		clock:         usage.NewClock(time.Now()),
		sentAt:        map[uint64]time.Time{},
	}
	controlClient.OnUsageAck(r.handleAck)
	return r
}

// recordExecuted counts an executed request of a tenant. at is the time of the execution by
// this node's clock.
func (r *usageReporter) recordExecuted(tenant string, at time.Time) {
	controlPlaneTime, ok := r.clock.Now(at)
	if !ok {
		controlPlaneTime = at // the control plane's time is not known yet
	}
	r.counter.Add(tenant, controlPlaneTime)
}

// run sends reports until the control client is closed, and then a last one.
func (r *usageReporter) run() {
	for {
		jitter := reportJitterMin + reportJitter*rand.Float64()
		select {
		case <-time.After(time.Duration(jitter * float64(reportInterval))):
			r.report(time.Now())
		case <-r.controlClient.Done():
			r.report(time.Now())
			return
		}
	}
}

// report sends the counts. If there are none, it sends an empty report once clockSyncInterval has
// passed since the last report.
func (r *usageReporter) report(now time.Time) {
	report := r.counter.NextReport()
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(report.Windows) == 0 && now.Sub(r.lastReportAt) < clockSyncInterval {
		return
	}
	targets := r.controlClient.ControlPlaneAddrs()
	if len(targets) == 0 {
		return
	}
	r.lastReportAt = now
	r.sentAt[report.Sequence] = now
	for sequence, sentAt := range r.sentAt {
		if now.Sub(sentAt) > ackWindow {
			delete(r.sentAt, sequence)
		}
	}
	target := targets[r.unanswered/reportsBeforeFailover%len(targets)]
	r.controlClient.Send(target, &distribution.Datagram{UsageReport: report})
	r.unanswered++
}

// handleAck processes the answer to a report. It rounds the number of unanswered reports down to
// a multiple of reportsBeforeFailover, so that the next reports go to the same node.
func (r *usageReporter) handleAck(ack *usage.CountAck) {
	now := time.Now()
	r.counter.Acknowledge(ack)
	r.mu.Lock()
	defer r.mu.Unlock()
	sentAt, ok := r.sentAt[ack.Sequence]
	if !ok {
		return
	}
	delete(r.sentAt, ack.Sequence)
	r.unanswered -= r.unanswered % reportsBeforeFailover // keeps the target
	if ack.UnixNanos != 0 {
		r.syncClockLocked(ack.UnixNanos, now.Sub(sentAt), now)
	}
}

// syncClockLocked sets the clock to a sample of the control plane's time, unless the current
// sample is recent and has a shorter round trip. It assumes that the sample was taken after half
// the round trip.
func (r *usageReporter) syncClockLocked(unixNanos int64, roundTrip time.Duration, now time.Time) {
	hasBetter := !r.bestRoundTripAt.IsZero() &&
		roundTrip > r.bestRoundTrip &&
		now.Sub(r.bestRoundTripAt) <= clockSampleMaxAge
	if hasBetter {
		return
	}
	r.bestRoundTrip = roundTrip
	r.bestRoundTripAt = now
	r.clock.Set(unixNanos+int64(roundTrip/2), now)
}
