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
	// maxMarkAttempts bounds the attempts in a round to commit changes of marks, since other
	// control nodes may change them meanwhile.
	maxMarkAttempts = 3
	// maxEjectionTime is how long an endpoint stays ejected as unresponsive unless it is
	// reported again.
	maxEjectionTime = 30 * time.Second
)

// markReconciler maintains the marks of ejected and draining endpoints in all index cells
// that use them.
type markReconciler struct {
	cells    committer
	lists    Lists
	reports  *nodereports.Tracker
	reporter string // name of this node

	// ejectedSince is when this node first saw the mark of an unresponsive endpoint.
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

// applyReports ejects endpoints that enough nodes report as faulty, and lifts the ejection of
// endpoints that are reported as healthy. Other control nodes receive the same reports; if one
// of them commits first, the remaining changes are computed again.
func (m *markReconciler) applyReports(ctx context.Context) {
	agreed := m.reports.AgreedReports(time.Now())
	if agreed.IsEmpty() {
		return
	}
	isDone := false
	for attempt := 0; attempt < maxMarkAttempts && !isDone; attempt++ {
		isDone = true
		for indexName, txn := range m.reportedChanges(agreed).txns {
			isDone = m.cells.commit(ctx, indexName, *txn) && isDone
		}
	}
	if isDone {
		m.reports.Resolve(agreed)
	}
}

func (m *markReconciler) reportedChanges(agreed nodereports.AgreedReports) *markChanges {
	indexes := m.readIndexes()
	changes := newMarkChanges()
	ejected := &distribution.EjectionMark{
		Reason:   distribution.ReasonUnresponsive,
		Reporter: m.reporter,
	}
	for _, report := range agreed.Faults {
		for _, indexName := range indexes.byService[report.Service] {
			if held := indexes.mark(indexName, report.EndpointID); held.Reason == "" {
				changes.add(markID{indexName, report.EndpointID}, held, ejected)
			}
		}
	}
	for _, report := range agreed.Recoveries {
		for _, indexName := range indexes.byService[report.Service] {
			held := indexes.mark(indexName, report.EndpointID)
			if held.Reason == distribution.ReasonUnresponsive {
				changes.add(markID{indexName, report.EndpointID}, held, nil)
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
				hasConflict = true // another control node changed a mark meanwhile
			}
		}
		if !hasConflict {
			return
		}
	}
}

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
			held := indexes.mark(indexName, endpoint.ID)
			if held.Reason != distribution.ReasonDraining {
				draining := &distribution.EjectionMark{Reason: distribution.ReasonDraining}
				changes.add(markID{indexName, endpoint.ID}, held, draining)
			}
		}
	}
	held := indexes.allMarks()
	now := time.Now()
	m.observeEjections(held, now)
	for id, mark := range held {
		since, isEjected := m.ejectedSince[id]
		hasExpired := isEjected && now.Sub(since) > maxEjectionTime
		if !isListed[id.endpoint] || hasExpired {
			changes.add(id, mark, nil)
		}
	}
	return changes
}

// observeEjections updates ejectedSince.
func (m *markReconciler) observeEjections(held map[markID]distribution.EjectionMark, now time.Time) {
	for id, mark := range held {
		_, isKnown := m.ejectedSince[id]
		if mark.Reason == distribution.ReasonUnresponsive && !isKnown {
			m.ejectedSince[id] = now
		}
	}
	maps.DeleteFunc(m.ejectedSince, func(id markID, _ time.Time) bool {
		return held[id].Reason != distribution.ReasonUnresponsive
	})
}

// indexMarks holds the index cells of each service and caches the marks in them.
type indexMarks struct {
	cells     Cells
	byService map[string][]string                             // names of indexes, sorted
	marks     map[string]map[string]distribution.EjectionMark // by index, read when needed
}

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

// marksOf returns the marks in an index by endpoint; none if its cell does not run here. They
// are read once.
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

// mark returns the mark of an endpoint in an index; its reason is empty if there is none.
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

// add adds a change of a mark; see AddMarkChange.
func (c *markChanges) add(id markID, held distribution.EjectionMark, next *distribution.EjectionMark) {
	txn := c.txns[id.indexName]
	if txn == nil {
		txn = &paxos.Txn{}
		c.txns[id.indexName] = txn
	}
	AddMarkChange(txn, id.endpoint, held, next)
}

// AddMarkChange adds to a transaction of an index cell the replacement of an endpoint's mark
// by next, or its removal if next is nil. held is the mark as it was read, without a reason
// if there was none. If the mark has changed, the transaction changes nothing.
func AddMarkChange(txn *paxos.Txn, endpoint string, held distribution.EjectionMark, next *distribution.EjectionMark) {
	key := schema.EjectionKeyPrefix + endpoint
	condition := schema.UnchangedCondition(key, schema.MustEncode(held), held.Reason != "")
	op := schema.DeleteOp(key)
	if next != nil {
		op = schema.PutOp(key, *next)
	}
	txn.Conditions = append(txn.Conditions, condition)
	txn.Ops = append(txn.Ops, op)
}
