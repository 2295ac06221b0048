package proxy

import (
	"math/rand/v2"
	"sync"
	"time"

	"comethold/internal/controlclient"
	"comethold/internal/distribution"
	"comethold/internal/usage"
)

// Pacing of usage reports; see docs/design.md.
const (
	reportInterval = 150 * time.Millisecond
	// Reports are spread over reportJitter of their interval, from reportJitterMin on.
	reportJitterMin = 0.9
	reportJitter    = 0.2
	// clockSyncInterval is the longest time between two reports. Their answers carry
	// the control plane's time.
	clockSyncInterval = 2 * time.Second
	// clockSampleMaxAge is the age from which a sample of the control plane's time is
	// replaced even by one with a longer round trip.
	clockSampleMaxAge = time.Minute
	// reportsBeforeFailover is the number of unanswered reports after which reports go
	// to another control plane node.
	reportsBeforeFailover = 3
	// ackWindow is how long an answer to a report is accepted.
	ackWindow = 5 * time.Second
)

// usageReporter counts the executed requests of each tenant on this node, in windows of
// the control plane's time, and reports them to the control plane. It is safe for
// concurrent use.
type usageReporter struct {
	client  *controlclient.Client
	counter *usage.Counter
	clock   *usage.Clock

	mu              sync.Mutex           // guards the fields below
	sentAt          map[uint64]time.Time // of unanswered reports, by sequence number
	unanswered      int                  // reports in a row without an answer
	lastReportAt    time.Time
	bestRoundTrip   time.Duration // of the sample that the clock was set by
	bestRoundTripAt time.Time
}

// newUsageReporter returns nil if the settings don't ask for usage reports.
func newUsageReporter(client *controlclient.Client) *usageReporter {
	if !client.Settings.ReportsUsage() {
		return nil
	}
	r := &usageReporter{
		client:  client,
		counter: usage.NewCounter(rand.Uint64(), client.Settings.Bounds.UsageWindow()),
		clock:   usage.NewClock(time.Now()),
		sentAt:  map[uint64]time.Time{},
	}
	client.OnUsageAck(r.handleAck)
	return r
}

// recordExecuted counts a request of a tenant whose execution began at a moment of the
// monotonic clock.
func (r *usageReporter) recordExecuted(tenant string, at time.Time) {
	controlPlaneTime, ok := r.clock.Now(at)
	if !ok {
		controlPlaneTime = at // no better time is known
	}
	r.counter.Add(tenant, controlPlaneTime)
}

// run sends reports until the node ends, and a last one then.
func (r *usageReporter) run() {
	for {
		jitter := reportJitterMin + reportJitter*rand.Float64()
		select {
		case <-time.After(time.Duration(jitter * float64(reportInterval))):
			r.report(time.Now())
		case <-r.client.Done():
			r.report(time.Now())
			return
		}
	}
}

// report sends the counts, if there are any or the clock needs a sample.
func (r *usageReporter) report(now time.Time) {
	report := r.counter.NextReport()
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(report.Windows) == 0 && now.Sub(r.lastReportAt) < clockSyncInterval {
		return
	}
	targets := r.client.ControlPlaneAddrs()
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
	r.client.Send(target, &distribution.Datagram{UsageReport: report})
	r.unanswered++
}

// handleAck processes the answer to a report.
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
	r.unanswered -= r.unanswered % reportsBeforeFailover // keep to the node that answers
	if ack.UnixNanos != 0 {
		r.syncClockLocked(ack.UnixNanos, now.Sub(sentAt), now)
	}
}

// syncClockLocked sets the clock by a sample of the control plane's time, unless a
// recent one has a shorter round trip.
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
