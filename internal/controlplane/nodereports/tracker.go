// Package nodereports keeps the reports that nodes send with their requests for updates:
// that they are live, which neighbours' heartbeats they miss, and which endpoints they found
// faulty or healthy again. It decides nothing; the reconcilers write into the replicated
// state what enough nodes agree on.
package nodereports

import (
	"sync"
	"time"

	"comethold/internal/distribution"
)

// Lifetimes of reports. The reasons for these values are in docs/design.md.
const (
	ContactLifetime   = 3 * time.Second // of a node that calls
	SuspicionLifetime = 4 * time.Second // of a neighbour's report that it misses a node
	ReportLifetime    = 2 * time.Second // of a report on an endpoint's health
)

// MinReporters is the number of nodes that must report a suspicion or a fault before it takes
// effect.
const MinReporters = 2

// Tracker holds the reports of the last few seconds. It is safe for concurrent use.
type Tracker struct {
	mu         sync.Mutex // guards the fields below
	contacts   map[string]contact
	suspicions map[string]witnesses // by the name of the suspected node
	faults     map[string]*fault    // by endpoint
	recoveries map[string]recovery  // by endpoint
}

type contact struct {
	node distribution.Node
	at   time.Time
}

// witnesses holds, by node name, the time of the last report of the same fact.
type witnesses map[string]time.Time

// forget drops the witnesses that reported before a time.
func (w witnesses) forget(before time.Time) {
	for name, at := range w {
		if at.Before(before) {
			delete(w, name)
		}
	}
}

type fault struct {
	reportedBy witnesses
	last       distribution.HealthReport
}

// recovery is kept for ReportLifetime, in case the ejection can't be lifted at once.
type recovery struct {
	report distribution.HealthReport
	at     time.Time
}

// NewTracker makes an empty tracker.
func NewTracker() *Tracker {
	return &Tracker{
		contacts:   map[string]contact{},
		suspicions: map[string]witnesses{},
		faults:     map[string]*fault{},
		recoveries: map[string]recovery{},
	}
}

// Record records the contact with a node and its reports. isUrgent says that a reconciler
// should run soon: the node is new, or the health of an endpoint is reported.
func (t *Tracker) Record(request *distribution.UpdateRequest, now time.Time) (isUrgent bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	reporter := request.Node.Name
	if reporter != "" {
		_, isKnown := t.contacts[reporter]
		t.contacts[reporter] = contact{node: request.Node, at: now}
		isUrgent = !isKnown
	}
	for _, missed := range request.Suspects {
		if t.suspicions[missed] == nil {
			t.suspicions[missed] = witnesses{}
		}
		t.suspicions[missed][reporter] = now
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
		t.faults[endpoint] = &fault{reportedBy: witnesses{}}
	}
	t.faults[endpoint].reportedBy[reporter] = now
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
	for name, missedBy := range t.suspicions {
		missedBy.forget(now.Add(-SuspicionLifetime))
		counts[name] = len(missedBy)
		if len(missedBy) == 0 {
			delete(t.suspicions, name)
		}
	}
	return counts
}

// ClearSuspicion drops the suspicions of a node that has answered.
func (t *Tracker) ClearSuspicion(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.suspicions, name)
}

// AgreedReports holds the health reports that enough nodes have sent to act on.
type AgreedReports struct {
	Faults     []distribution.HealthReport
	Recoveries []distribution.HealthReport
}

// IsEmpty reports whether nothing is reported.
func (h AgreedReports) IsEmpty() bool { return len(h.Faults)+len(h.Recoveries) == 0 }

// AgreedReports returns the faults that at least MinReporters nodes reported within
// ReportLifetime, and the recoveries that at least one node reported within it.
func (t *Tracker) AgreedReports(now time.Time) (agreed AgreedReports) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for endpoint, f := range t.faults {
		f.reportedBy.forget(now.Add(-ReportLifetime))
		if len(f.reportedBy) == 0 {
			delete(t.faults, endpoint)
		} else if len(f.reportedBy) >= MinReporters {
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

// Resolve drops reports that are now in the replicated state.
func (t *Tracker) Resolve(done AgreedReports) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, report := range done.Faults {
		delete(t.faults, report.EndpointID)
	}
	for _, report := range done.Recoveries {
		delete(t.recoveries, report.EndpointID)
	}
}
