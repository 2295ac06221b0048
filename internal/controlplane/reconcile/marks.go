package reconcile

import (
	"context"
	"maps"
	"sort"
	"time"

	"comethold/internal/controlplane/nodereports"
	"comethold/internal/controlplane/schema"
	"comethold/internal/distribution"
	"comethold/internal/paxos"
)

const (
	// maxMarkAttempts limits the attempts per round to commit changes of marks. An attempt
	// fails if another control node changes a mark concurrently.
	maxMarkAttempts = 3
	// maxEjectionTime is how long an endpoint stays ejected as unresponsive. Afterwards, new
	// reports eject it again.
	maxEjectionTime = 30 * time.Second
)

// markReconciler maintains the marks of ejected and draining endpoints in all index cells
// that use these endpoints.
type markReconciler struct {
	cells    committer
	lists    Lists
	reports  *nodereports.Tracker
	reporter string // name of this node

	// ejectedSince is the time at which this node first saw the mark of an unresponsive
	// endpoint.
	ejectedSince map[markID]time.Time
}

// markID identifies a mark.
type markID struct {
	indexName string
	endpoint  string
}

func newMarkReconciler(options Options, cells committer) *markReconciler {
	return &markReconciler{
		cells:        cells,
		lists:        options.Lists,
		reports:      options.Reports,
		reporter:     options.Self.Name,
		ejectedSince: map[markID]time.Time{},
	}
}

// applyReports ejects the endpoints that enough nodes report as faulty, and lifts the ejection
// of endpoints that are reported as healthy. Other control nodes receive the same reports; if
// one of them commits first, applyReports computes the remaining changes again.
func (m *markReconciler) applyReports(ctx context.Context) {
	agreed := m.reports.AgreedReports(time.Now())
	if agreed.IsEmpty() {
		return
	}
	allCommitted := false
	for attempt := 0; attempt < maxMarkAttempts && !allCommitted; attempt++ {
		allCommitted = true
		for indexName, txn := range m.reportedChanges(agreed).txns {
			allCommitted = m.cells.commit(ctx, indexName, *txn) && allCommitted
		}
	}
	if allCommitted {
		m.reports.Resolve(agreed)
	}
}

// reportedChanges returns the changes that the reports require.
func (m *markReconciler) reportedChanges(agreed nodereports.AgreedReports) *markChanges {
	indexes := m.readIndexes()
	changes := newMarkChanges()
	ejected := &distribution.EjectionMark{
		Reason:   distribution.ReasonUnresponsive,
		Reporter: m.reporter,
	}
	for _, report := range agreed.Faults {
		for _, indexName := range indexes.byService[report.Service] {
			if current := indexes.mark(indexName, report.EndpointID); current.Reason == "" {
				changes.add(markID{indexName, report.EndpointID}, current, ejected)
			}
		}
	}
	for _, report := range agreed.Recoveries {
		for _, indexName := range indexes.byService[report.Service] {
			current := indexes.mark(indexName, report.EndpointID)
			if current.Reason == distribution.ReasonUnresponsive {
				changes.add(markID{indexName, report.EndpointID}, current, nil)
			}
		}
	}
	return changes
}

// applyEndpointList marks the endpoints that are draining in the platform's list, and removes
// the marks of endpoints that are no longer listed. It also removes the marks of unresponsive
// endpoints after maxEjectionTime, because the report of a recovery may have been lost.
func (m *markReconciler) applyEndpointList(ctx context.Context) {
	list := m.lists.Endpoints()
	if list == nil {
		return
	}
	for range maxMarkAttempts {
		hasConflict := false
		for indexName, txn := range m.listedChanges(list).txns {
			committed, err := m.cells.propose(ctx, indexName, *txn)
			if err == nil && !committed {
				hasConflict = true // another control node changed a mark concurrently
			}
		}
		if !hasConflict {
			return
		}
	}
}

// listedChanges returns the changes that the endpoint list and maxEjectionTime require.
func (m *markReconciler) listedChanges(list *distribution.EndpointList) *markChanges {
	indexes := m.readIndexes()
	changes := newMarkChanges()
	isListed := map[string]bool{}
	for _, endpoint := range list.Endpoints {
		isListed[endpoint.ID] = true
		if !endpoint.Draining {
			continue
		}
		for _, indexName := range indexes.byService[endpoint.Service] {
			current := indexes.mark(indexName, endpoint.ID)
			if current.Reason != distribution.ReasonDraining {
				draining := &distribution.EjectionMark{Reason: distribution.ReasonDraining}
				changes.add(markID{indexName, endpoint.ID}, current, draining)
			}
		}
	}
	allMarks := indexes.allMarks()
	now := time.Now()
	m.observeEjections(allMarks, now)
	for id, mark := range allMarks {
		since, isEjected := m.ejectedSince[id]
		hasExpired := isEjected && now.Sub(since) > maxEjectionTime
		if !isListed[id.endpoint] || hasExpired {
			changes.add(id, mark, nil)
		}
	}
	return changes
}

// observeEjections updates ejectedSince from the marks in all indexes.
func (m *markReconciler) observeEjections(allMarks map[markID]distribution.EjectionMark, now time.Time) {
	for id, mark := range allMarks {
		_, isKnown := m.ejectedSince[id]
		if mark.Reason == distribution.ReasonUnresponsive && !isKnown {
			m.ejectedSince[id] = now
		}
	}
	maps.DeleteFunc(m.ejectedSince, func(id markID, _ time.Time) bool {
		return allMarks[id].Reason != distribution.ReasonUnresponsive
	})
}

// indexMarks holds the names of the index cells of each service, and caches the marks in the
// cells.
type indexMarks struct {
	cells     Cells
	byService map[string][]string                             // names of indexes, sorted
	marks     map[string]map[string]distribution.EjectionMark // by index name, read on first use
}

// readIndexes reads from the meta cell the index cells of each service.
func (m *markReconciler) readIndexes() *indexMarks {
	indexes := &indexMarks{
		cells:     m.cells,
		byService: map[string][]string{},
		marks:     map[string]map[string]distribution.EjectionMark{},
	}
	m.cells.View(schema.MetaCell, func(replica *paxos.Replica) {
		for name, index := range schema.ReadIndexes(replica) {
			for _, service := range index.Services {
				indexes.byService[service] = append(indexes.byService[service], name)
			}
		}
	})
	for _, names := range indexes.byService {
		sort.Strings(names)
	}
	return indexes
}

// marksOf returns the marks in an index by endpoint; none if this node has no replica of its
// cell. Each index is read only once.
func (x *indexMarks) marksOf(indexName string) map[string]distribution.EjectionMark {
	marks, isRead := x.marks[indexName]
	if !isRead {
		x.cells.View(indexName, func(replica *paxos.Replica) {
			marks = schema.ReadEjections(indexName, replica).Ejected
		})
		x.marks[indexName] = marks
	}
	return marks
}

// mark returns the mark of an endpoint in an index, or a mark with an empty reason if there is
// none.
func (x *indexMarks) mark(indexName, endpoint string) distribution.EjectionMark {
	return x.marksOf(indexName)[endpoint]
}

// allMarks returns the marks in all indexes.
func (x *indexMarks) allMarks() map[markID]distribution.EjectionMark {
	all := map[markID]distribution.EjectionMark{}
	for _, names := range x.byService {
		for _, indexName := range names {
			for endpoint, mark := range x.marksOf(indexName) {
				all[markID{indexName, endpoint}] = mark
			}
		}
	}
	return all
}

// markChanges collects one transaction for each index whose marks are to change.
type markChanges struct {
	txns map[string]*paxos.Txn
}

func newMarkChanges() *markChanges { return &markChanges{txns: map[string]*paxos.Txn{}} }

// add adds the change of a mark from current to next; see AddMarkChange.
func (c *markChanges) add(id markID, current distribution.EjectionMark, next *distribution.EjectionMark) {
	txn := c.txns[id.indexName]
	if txn == nil {
		txn = &paxos.Txn{}
		c.txns[id.indexName] = txn
	}
	AddMarkChange(txn, id.endpoint, current, next)
}

// AddMarkChange adds to a transaction of an index cell the replacement of an endpoint's mark
// by next, or its removal if next is nil. current is the mark as it was read; its reason is
// empty if there was none. If the mark has changed since, the transaction has no effect.
func AddMarkChange(
	txn *paxos.Txn, endpoint string, current distribution.EjectionMark, next *distribution.EjectionMark,
) {
	key := schema.EjectionKeyPrefix + endpoint
	condition := schema.UnchangedCondition(key, schema.MustEncode(current), current.Reason != "")
	op := schema.DeleteOp(key)
	if next != nil {
		op = schema.PutOp(key, *next)
	}
	txn.Conditions = append(txn.Conditions, condition)
	txn.Ops = append(txn.Ops, op)
}
