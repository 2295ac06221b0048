// Package nodereports keeps the reports that nodes send with their update requests: that they
// are live, which neighbours' heartbeats they miss, and which endpoints they found faulty or
// healthy again. The reports are kept in memory for a few seconds. Reconcilers act on them: they
// write the facts that enough nodes agree on into the replicated state.
package nodereports

import (
	"sync"
	"time"

	"comethold/internal/distribution"
)

// Lifetimes of reports. The reasons for these values are in docs/design.md.
const (
	ContactLifetime   = 3 * time.Second // of the last request of a node
	SuspicionLifetime = 4 * time.Second // of a report that a node's heartbeats are missing
	ReportLifetime    = 2 * time.Second // of a report on the health of an endpoint
)

// MinReporters is the number of nodes that must report a suspicion or a fault before it takes
// effect.
const MinReporters = 2

// Tracker holds the reports until they expire. It is safe for concurrent use.
type Tracker struct {
	mu         sync.Mutex             // guards the fields below
	contacts   map[string]contact     // by node name
	suspicions map[string]reportTimes // by the name of the suspected node
	faults     map[string]*fault      // by endpoint
	recoveries map[string]recovery    // by endpoint
}

// contact is the last request of a node.
type contact struct {
	node distribution.Node
	at   time.Time
}

// reportTimes holds the times of the last reports of one fact, by the name of the reporting node.
type reportTimes map[string]time.Time

// expire removes the reports that are older than a time.
func (r reportTimes) expire(before time.Time) {
	for name, at := range r {
		if at.Before(before) {
			delete(r, name)
		}
	}
}

// fault holds the reports that an endpoint is faulty.
type fault struct {
	reports reportTimes
	last    distribution.HealthReport
}

// recovery is a report that an endpoint is healthy again. It is kept for ReportLifetime, so that
// a failed attempt to lift the ejection is repeated.
type recovery struct {
	report distribution.HealthReport
	at     time.Time
}

// NewTracker returns an empty Tracker.
func NewTracker() *Tracker {
	return &Tracker{
		contacts:   map[string]contact{},
		suspicions: map[string]reportTimes{},
		faults:     map[string]*fault{},
		recoveries: map[string]recovery{},
	}
}

// Record stores a node's request time and its reports. isUrgent is true if a reconciler should run
// at once, because the node is new or reports on the health of an endpoint.
func (t *Tracker) Record(request *distribution.UpdateRequest, now time.Time) (isUrgent bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	reporter := request.Node.Name
	if reporter != "" {
		_, isKnown := t.contacts[reporter]
		t.contacts[reporter] = contact{node: request.Node, at: now}
		isUrgent = !isKnown
	}
	for _, suspect := range request.Suspects {
		if t.suspicions[suspect] == nil {
			t.suspicions[suspect] = reportTimes{}
		}
		t.suspicions[suspect][reporter] = now
	}
	for _, report := range request.Reports {
		isUrgent = true
		t.recordHealthLocked(reporter, report, now)
	}
	return isUrgent
}

func (t *Tracker) recordHealthLocked(reporter string, report distribution.HealthReport, now time.Time) {
	endpoint := report.EndpointID
	if report.Healthy {
		t.recoveries[endpoint] = recovery{report: report, at: now}
		delete(t.faults, endpoint)
		return
	}
	delete(t.recoveries, endpoint)
	if t.faults[endpoint] == nil {
		t.faults[endpoint] = &fault{reports: reportTimes{}}
	}
	t.faults[endpoint].reports[reporter] = now
	t.faults[endpoint].last = report
}

// LiveNodes returns the nodes whose last request is at most ContactLifetime old, by name.
func (t *Tracker) LiveNodes(now time.Time) map[string]distribution.Node {
	t.mu.Lock()
	defer t.mu.Unlock()
	nodes := map[string]distribution.Node{}
	for name, c := range t.contacts {
		if now.Sub(c.at) > ContactLifetime {
			delete(t.contacts, name)
			continue
		}
		nodes[name] = c.node
	}
	return nodes
}

// SuspicionCounts returns the number of nodes that suspect a node, by the name of the suspected
// node. A node whose last suspicion has expired since the previous call is included once more,
// with a count of 0.
func (t *Tracker) SuspicionCounts(now time.Time) map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := map[string]int{}
	for name, reports := range t.suspicions {
		reports.expire(now.Add(-SuspicionLifetime))
		counts[name] = len(reports)
		if len(reports) == 0 {
			delete(t.suspicions, name)
		}
	}
	return counts
}

// ClearSuspicion removes the suspicions of a node that has answered a probe.
func (t *Tracker) ClearSuspicion(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.suspicions, name)
}

// AgreedReports holds the health reports that enough nodes agree on.
type AgreedReports struct {
	Faults     []distribution.HealthReport
	Recoveries []distribution.HealthReport
}

// IsEmpty reports whether there are no faults and no recoveries.
func (r AgreedReports) IsEmpty() bool { return len(r.Faults)+len(r.Recoveries) == 0 }

// AgreedReports returns the faults that at least MinReporters nodes reported within
// ReportLifetime, and the recoveries that at least one node reported within it.
func (t *Tracker) AgreedReports(now time.Time) (agreed AgreedReports) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for endpoint, f := range t.faults {
		f.reports.expire(now.Add(-ReportLifetime))
		if len(f.reports) == 0 {
			delete(t.faults, endpoint)
		} else if len(f.reports) >= MinReporters {
			agreed.Faults = append(agreed.Faults, f.last)
		}
	}
	for endpoint, r := range t.recoveries {
		if now.Sub(r.at) > ReportLifetime {
			delete(t.recoveries, endpoint)
		} else {
			agreed.Recoveries = append(agreed.Recoveries, r.report)
		}
	}
	return agreed
}

// Resolve removes the reports that have been applied to the replicated state.
func (t *Tracker) Resolve(applied AgreedReports) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, report := range applied.Faults {
		delete(t.faults, report.EndpointID)
	}
	for _, report := range applied.Recoveries {
		delete(t.recoveries, report.EndpointID)
	}
}
