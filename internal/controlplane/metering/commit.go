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

// WindowPath is the RPC path that returns the counts of a window.
const WindowPath = "/usage"

const (
	// reportDelayFraction is the fraction of ReporterOptions.Delay after which a report is
	// committed if all control nodes have answered.
	reportDelayFraction = 0.3
	// incompleteReportFraction is the fraction of ReporterOptions.Delay after which a report is
	// committed even if some control nodes have not answered.
	incompleteReportFraction = 0.7
	collectTimeout           = 900 * time.Millisecond // of a call to a control node
	maxPublishedReports      = 64                     // rows; older published ones are removed
	maxBacklogWindows        = 60                     // older windows are no longer reported
)

// WindowRequest asks a control node for the counts of a window that it holds.
type WindowRequest struct {
	Window uint64 `cbor:"1,keyasint"`
}

// commitReports commits the reports that are due. A report is sent only after it is committed.
// current is the number of the window that has not ended yet.
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

// firstUnreportedWindow returns the first window without a report, at most maxBacklogWindows
// before current. If there is no report at all, it returns the oldest window for which this node
// has held counts, or the window that was current at the first call if that is older.
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

// reportTxn returns the transaction that stores a report, claimed by this node, and removes old
// published reports. It reports false if the claim fails or this node no longer holds the lease.
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

// collect adds up the counts of a window on all control nodes. complete is true if all control
// nodes that are not marked as down are live and have answered.
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
			part, err := r.fetchPeerCounts(ctx, address, window)
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

func (r *Reporter) fetchPeerCounts(
	ctx context.Context, address string, window uint64,
) (counts usage.IncarnationCounts, err error) {
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	err = r.options.Peers.CallPeer(ctx, address, WindowPath, WindowRequest{Window: window}, &counts)
	return counts, err
}
