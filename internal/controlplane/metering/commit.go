package metering

import (
	"context"
	"fmt"
	"sync"
	"time"

	"comethold/internal/controlplane/replicahost"
	"comethold/internal/controlplane/schema"
	"comethold/internal/outbox"
	"comethold/internal/paxos"
	"comethold/internal/usage"
)

// WindowPath is where a control node tells what it knows of a window.
const WindowPath = "/usage"

const (
	// reportDelayFraction is the part of ReporterOptions.Delay before which no report is made.
	reportDelayFraction = 0.3
	// incompleteReportFraction is the part after which one is made without control nodes that
	// don't answer.
	incompleteReportFraction = 0.7
	collectTimeout           = 900 * time.Millisecond // of a call to a control node
	maxPublishedReports      = 64                     // rows
	maxBacklogWindows        = 60                     // for which reports are made after the fact
)

// WindowRequest asks a control node for what it knows of a window.
type WindowRequest struct {
	Window uint64 `cbor:"1,keyasint"`
}

// commitReports commits the reports that are due, each of them whole before a byte of it is
// sent. current is the window that is not over.
func (r *Reporter) commitReports(ctx context.Context, agreedTime time.Time, current, term uint64) {
	delay := float64(r.options.Delay)
	rows := r.rows()
	for window := r.firstUnreportedWindow(rows, current); window < current; window++ {
		age := agreedTime.Sub(usage.WindowEnd(window, r.options.Window))
		if age < time.Duration(reportDelayFraction*delay) {
			return
		}
		counts, complete := r.collect(ctx, window)
		if !complete && age < time.Duration(incompleteReportFraction*delay) {
			return
		}
		txn, ok := r.reportTxn(window, term, counts, rows)
		if !ok || !r.options.State.Commit(txn) {
			return
		}
		rows = r.rows()
	}
}

// firstUnreportedWindow is the first window without a report. Where there is no report at
// all, the first incarnation that holds the lease begins with the oldest that was reported to it.
func (r *Reporter) firstUnreportedWindow(rows []schema.StoredRow, current uint64) uint64 {
	if n := len(rows); n > 0 {
		lastReported := rows[n-1].Row.Notification.Version
		return max(lastReported+1, current-min(current, maxBacklogWindows))
	}
	if r.firstWindow == 0 {
		r.firstWindow = current
	}
	for _, window := range r.options.Collector.store.WindowsFrom(0) {
		r.firstWindow = min(r.firstWindow, window)
	}
	return r.firstWindow
}

// reportTxn makes the transaction that commits a report, claimed by this node, and removes
// old ones. It reports false if this node does not hold the lease any more.
func (r *Reporter) reportTxn(
	window, term uint64, counts usage.Counts, rows []schema.StoredRow,
) (txn paxos.Txn, ok bool) {
	report := outbox.Notification{
		EventID:         fmt.Sprintf("%s/%d", outbox.AggregateUsage, window),
		Aggregate:       outbox.AggregateUsage,
		Version:         window,
		PreviousVersion: window - 1,
		Payload:         usage.EncodeReport(window, counts),
	}
	report.Digest = outbox.Digest(report.Payload)
	row, err := outbox.Row{Notification: report}.Claim(ownerToken(term), 0)
	if err != nil {
		return txn, false
	}
	leaseHeld, ok := r.options.Lease.FenceCondition(term)
	if !ok {
		return txn, false
	}
	key := schema.UsageReportKey(window)
	txn.Conditions = []paxos.Condition{{Key: key, Absent: true}, leaseHeld}
	txn.Ops = []paxos.Op{schema.PutOp(key, row)}
	for i := 0; i+maxPublishedReports < len(rows); i++ {
		if rows[i].Row.State == outbox.Published {
			txn.Ops = append(txn.Ops, schema.DeleteOp(rows[i].Key))
		}
	}
	return txn, true
}

// collect adds up what all control nodes know of a window. complete says that all of them
// that are not down have answered.
func (r *Reporter) collect(ctx context.Context, window uint64) (counts usage.Counts, complete bool) {
	live := r.options.Peers.LivePeers(replicahost.LearnerTimeout)
	complete = true
	for _, node := range r.options.Nodes() {
		if _, isLive := live[node.Addr]; node.ControlPlane && !node.Down && !isLive {
			complete = false
		}
	}
	var mu sync.Mutex // guards complete and parts
	parts := []usage.IncarnationCounts{r.options.Collector.Window(window)}
	var calls sync.WaitGroup
	for address := range live {
		if address == r.options.Address {
			continue
		}
		calls.Go(func() {
			part, err := r.askPeer(ctx, address, window)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				complete = false
				return
			}
			parts = append(parts, part)
		})
	}
	calls.Wait()
	return usage.Total(parts...), complete
}

func (r *Reporter) askPeer(
	ctx context.Context, address string, window uint64,
) (counts usage.IncarnationCounts, err error) {
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	err = r.options.Peers.CallPeer(ctx, address, WindowPath, WindowRequest{Window: window}, &counts)
	return counts, err
}
