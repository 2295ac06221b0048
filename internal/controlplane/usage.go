package controlplane

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"comethold/internal/controlplane/placement"
	"comethold/internal/controlplane/replicahost"
	"comethold/internal/controlplane/schema"
	"comethold/internal/logging"
	"comethold/internal/outbox"
	"comethold/internal/paxos"
	"comethold/internal/rpc"
	"comethold/internal/storage"
	"comethold/internal/usage"
)

// Pacing of the reports. Ours; see docs/design.md.
const (
	ReporterLeaseDuration    = 1500 * time.Millisecond
	reportInterval           = 150 * time.Millisecond
	reportDelayFraction      = 0.3 // of the time in which a report falls due, after its window's end
	incompleteReportFraction = 0.7 // after which it is made without registrars that don't answer
	collectTimeout           = 900 * time.Millisecond
	minPersistInterval       = 200 * time.Millisecond // between two notes of the counts on the disk, at least
	persistBytesPerSecond    = 256 << 10              // bytes a second that the notes may take
	persistedWindows         = 4                      // that are noted
	maxCallDuration          = time.Second
	leaseSafetyMargin        = 150 * time.Millisecond // left of the lease when a call must be over
	acceptedRecordDelay      = time.Second            // after which what was noted should be applied here
	minCallBackoff           = 150 * time.Millisecond
	maxCallBackoff           = time.Second
	maxPublishedReports      = 64 // rows that were sent
	maxBacklogWindows        = 60 // windows for which reports are made after the fact

	leaseHolderHeader  = "X-Comethold-Duty-Holder"
	fencingTokenHeader = "X-Comethold-Fence-Number"
)

// Collector is this registrar's part of the usage reports: what nodes tell it, the time on
// which the registrars agree, and, while it holds the duty, the reports.
type Collector struct {
	store       *usage.Store
	clock       *usage.Clock
	incarnation uint64
	network     rpc.Network
	startedAt   time.Time

	// Of the loop alone: rows that the platform took, and when this life noted it.
	accepted map[string]time.Time

	mu            sync.Mutex
	lastCallAt    time.Time // when a call of this life to the platform was last on its way
	lastCallToken uint64    // under which fence
	nextCallAt    time.Time // no call before then
	backoff       time.Duration
	firstWindow   uint64 // the window from which this life reports, where none is reported yet
}

func NewCollector(n rpc.Network) *Collector {
	now := time.Now()
	return &Collector{store: usage.NewStore(), clock: usage.NewClock(now), incarnation: rand.Uint64(), network: n, startedAt: now, accepted: map[string]time.Time{}}
}

// Times are this machine's time of day, and the agreed time or 0.
func (u *Collector) Times() (wall, agreed int64) {
	now := time.Now()
	if at, ok := u.clock.Now(now); ok {
		agreed = at.UnixNano()
	}
	return now.UnixNano(), agreed
}

// Record takes a tally and answers it.
func (u *Collector) Record(t *usage.CountReport) *usage.CountAck {
	u.store.Add(t)
	_, agreed := u.Times()
	return &usage.CountAck{Sequence: t.Sequence, Incarnation: u.incarnation, UnixNanos: agreed}
}

// WindowRequest asks a registrar for what it knows of a window.
type WindowRequest struct {
	Window uint64 `cbor:"1,keyasint"`
}

// persistedWindow is what a disk holds of a window.
type persistedWindow struct {
	Window uint64                  `cbor:"1,keyasint"`
	Counts usage.IncarnationCounts `cbor:"2,keyasint"`
}

func persistedWindowKey(window uint64) string { return fmt.Sprint("usage/", window%persistedWindows) }

// persist notes the counts of the newest windows on the disk, as far as they have changed:
// when a registrar ends together with the nodes that told it, nobody else knows them. It
// returns how many bytes that took.
func (u *Collector) persist(v *storage.Store, window uint64) (n int) {
	for _, w := range u.store.TakeChanged(window - min(window, persistedWindows-1)) {
		if raw, err := rpc.Marshal(&persistedWindow{w, u.store.Window(w)}); err == nil {
			v.QueueNodeValue(persistedWindowKey(w), raw)
			n += len(raw)
		}
	}
	return n
}

// Restore takes in what a former life noted.
func (u *Collector) Restore(v *storage.Store) {
	for i := range uint64(persistedWindows) {
		var k persistedWindow
		if raw := v.NodeValue(persistedWindowKey(i)); raw != nil && rpc.Unmarshal(raw, &k) == nil {
			u.store.Merge(k.Window, k.Counts)
		}
	}
}

// persistCountsLoop notes the counts until the node ends.
func (r *Server) persistCountsLoop() {
	pause := minPersistInterval
	for {
		select {
		case <-time.After(pause):
		case <-r.quit:
			return
		}
		pause = minPersistInterval
		if at, ok := r.usages.clock.Now(time.Now()); ok {
			n := r.usages.persist(r.storage, usage.WindowAt(at, r.settings.Bounds.UsageWindow()))
			pause = max(pause, time.Duration(float64(n)/persistBytesPerSecond*float64(time.Second)))
		}
	}
}

// reportUsageLoop keeps the time, and reports while this node holds the duty. The duty is
// given back only after the last call has ended.
func (r *Server) reportUsageLoop() {
	if !r.settings.ReportsUsage() {
		return
	}
	done := make(chan struct{})
	r.loops.Go(func() { r.usageLease.Run(done) })
	r.loops.Go(r.persistCountsLoop)
	defer close(done)
	last := time.Now()
	for {
		select {
		case <-time.After(reportInterval):
		case <-r.quit:
			return
		}
		now := time.Now()
		seats := placement.VotersFor(r.settings.Tolerance.MachineLosses)
		r.usages.clock.Update(now.UnixNano(), seats, now.Sub(last), now)
		last = now
		at, ok := r.usages.clock.Now(now)
		if !ok {
			continue
		}
		window := usage.WindowAt(at, r.settings.Bounds.UsageWindow())
		r.usages.store.RemoveOld(window)
		if term, held := r.usageLease.Held(); held {
			r.commitReports(at, window, term)
			r.sendReports(term)
		}
	}
}

// reportRows lists the rows of the reports, oldest first.
func (r *Server) reportRows() (rows []schema.StoredRow) {
	r.host.View(schema.MetaCell, func(m *paxos.Replica) {
		rows = schema.UsageReportRows(m)
	})
	return rows
}

// firstUnreportedWindow is the first that has no report. Where there is none at all, the first life
// that holds the duty begins with what it has heard of.
func (r *Server) firstUnreportedWindow(rows []schema.StoredRow, now uint64) uint64 {
	if n := len(rows); n > 0 {
		return max(rows[n-1].Row.Notification.Version+1, now-min(now, maxBacklogWindows))
	}
	u := r.usages
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.firstWindow == 0 {
		u.firstWindow = now
	}
	for _, w := range u.store.WindowsFrom(0) {
		u.firstWindow = min(u.firstWindow, w)
	}
	return u.firstWindow
}

// commitReports commits the reports that are due: whole, before a byte of them is sent, so
// that whoever sends one sends these very bytes.
func (r *Server) commitReports(at time.Time, now, term uint64) {
	length, due := r.settings.Bounds.UsageWindow(), r.settings.Bounds.UsageReportDelay()
	rows := r.reportRows()
	for w := r.firstUnreportedWindow(rows, now); w < now; w++ {
		age := at.Sub(usage.WindowEnd(w, length))
		if age < time.Duration(reportDelayFraction*float64(due)) {
			return
		}
		counts, whole := r.collectWindow(w)
		if !whole && age < time.Duration(incompleteReportFraction*float64(due)) {
			return
		}
		n := outbox.Notification{EventID: fmt.Sprintf("%s/%d", outbox.AggregateUsage, w), Aggregate: outbox.AggregateUsage, Version: w, PreviousVersion: w - 1, Payload: usage.EncodeReport(w, counts)}
		n.Digest = outbox.Digest(n.Payload)
		row, err := outbox.Row{Notification: n}.Claim(reportOwner(term), 0)
		if err != nil {
			return
		}
		held, ok := r.usageLease.FenceCondition(term)
		if !ok {
			return
		}
		t := paxos.Txn{Conditions: []paxos.Condition{{Key: schema.UsageReportKey(w), Absent: true}, held},
			Ops: []paxos.Op{{Kind: paxos.OpPut, Key: schema.UsageReportKey(w), Value: schema.MustEncode(row)}}}
		for i := 0; i+maxPublishedReports < len(rows); i++ {
			if rows[i].Row.State == outbox.Published {
				t.Ops = append(t.Ops, paxos.Op{Kind: paxos.OpDelete, Key: rows[i].Key})
			}
		}
		if !r.propose(schema.MetaCell, t) {
			return
		}
		rows = r.reportRows()
	}
}

func reportOwner(term uint64) string { return "usage/" + strconv.FormatUint(term, 10) }

// collectWindow adds up what all registrars know of a window; whole says that all of them that
// are not down have answered.
func (r *Server) collectWindow(window uint64) (c usage.Counts, whole bool) {
	live := r.host.LivePeers(replicahost.LearnerTimeout)
	whole = true
	for _, n := range r.distributor.Nodes() {
		if _, ok := live[n.Addr]; n.ControlPlane && !n.Down && !ok {
			whole = false
		}
	}
	books := []usage.IncarnationCounts{r.usages.store.Window(window)}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for addr := range live {
		if addr == r.settings.IPAddress {
			continue
		}
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), collectTimeout)
			defer cancel()
			var lives usage.IncarnationCounts
			err := r.host.CallPeer(ctx, addr, "/usage", WindowRequest{window}, &lives)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				whole = false
				return
			}
			books = append(books, lives)
		})
	}
	wg.Wait()
	return usage.Total(books...), whole
}

// sendReports sends the oldest report that was not sent, if a call may be made now.
func (r *Server) sendReports(term uint64) {
	u := r.usages
	for {
		if !u.mayCall(term, r.settings.Bounds.Lease(), time.Now()) {
			return
		}
		var k schema.StoredRow
		for _, row := range r.reportRows() {
			if row.Row.State == outbox.Published {
				delete(u.accepted, row.Key)
				continue
			}
			if at, ok := u.accepted[row.Key]; !ok || time.Since(at) > acceptedRecordDelay {
				k = row
				break // one that was noted a moment ago is only not applied here yet
			}
		}
		if k.Key == "" {
			return
		}
		if owner := reportOwner(term); k.Row.Owner != owner {
			// Claimed by a former holder, whose lease is over.
			next, err := k.Row.Claim(owner, outbox.ClaimLease)
			held, ok := r.usageLease.FenceCondition(term)
			if err != nil || !ok || !r.propose(schema.MetaCell, paxos.Txn{Conditions: []paxos.Condition{{Key: k.Key, Equals: paxos.Bytes(k.Raw)}, held},
				Ops: []paxos.Op{{Kind: paxos.OpPut, Key: k.Key, Value: schema.MustEncode(next)}}}) {
				return
			}
			k.Row, k.Raw = next, schema.MustEncode(next).Bytes
		}
		if _, ok := u.accepted[k.Key]; ok {
			r.recordAccepted(k, term)
			return
		}
		if !r.sendReport(k, term) {
			return
		}
	}
}

// mayCall reports whether the platform may be called now. A holder that has lost the duty
// and has it again, or that was started anew, lets the platform forget its former calls:
// another may have called between. Such a call may have arrived callMargin after its end.
func (u *Collector) mayCall(term uint64, lease time.Duration, now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	anew := u.lastCallToken != 0 && u.lastCallToken != term
	return !now.Before(u.nextCallAt) && now.Sub(u.startedAt) >= lease+leaseSafetyMargin && !(anew && now.Sub(u.lastCallAt) < lease+leaseSafetyMargin)
}

// recordCall notes that a call under a term may be on its way to the platform.
func (u *Collector) recordCall(term uint64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.lastCallAt, u.lastCallToken = time.Now(), term
}

var (
	ErrLeaseExpired   = errors.New("the lease is over")
	ErrFenced         = errors.New("another holder has called")
	ErrReportRejected = errors.New("the platform does not take it")
)

// sendReport makes one call and notes that it was taken.
func (r *Server) sendReport(k schema.StoredRow, term uint64) bool {
	u := r.usages
	err := r.postReport(k.Row.Notification.Payload, term)
	u.mu.Lock()
	switch {
	case err == nil:
		u.backoff = 0
		u.nextCallAt = time.Now().Add(time.Duration(float64(time.Second) / max(1, r.settings.Platform.DutiesPerS/2)))
	default:
		u.backoff = min(max(2*u.backoff, minCallBackoff), maxCallBackoff)
		u.nextCallAt = time.Now().Add(time.Duration((0.5 + rand.Float64()) * float64(u.backoff)))
	}
	u.mu.Unlock()
	if err != nil {
		r.log.Warn(logging.UsageReportFailed).Uint64("window", k.Row.Notification.Version).Uint64("fence", term).Err(err).Msg("a usage report was not taken; it is sent again")
		if errors.Is(err, ErrFenced) {
			r.usageLease.Forfeit()
		}
		return false
	}
	r.log.Info(logging.UsageReportAccepted).Uint64("window", k.Row.Notification.Version).Uint64("fence", term).Int("tries", k.Row.Attempts).Msg("a usage report was taken")
	return r.recordAccepted(k, term)
}

// recordAccepted notes that the platform took a report.
func (r *Server) recordAccepted(k schema.StoredRow, term uint64) bool {
	r.usages.accepted[k.Key] = time.Now()
	next, err := k.Row.MarkPublished(reportOwner(term))
	return err == nil && r.propose(schema.MetaCell, paxos.Txn{Conditions: []paxos.Condition{{Key: k.Key, Equals: paxos.Bytes(k.Raw)}},
		Ops: []paxos.Op{{Kind: paxos.OpPut, Key: k.Key, Value: schema.MustEncode(next)}}})
}

// leasedConn writes only while the lease is held, and leaves nothing behind that could
// still arrive when it is not.
type leasedConn struct {
	net.Conn
	leaseHeld func() bool
}

// newLeasedConn has what is not sent yet dropped at the close, be that by a kill.
func newLeasedConn(c net.Conn, held func() bool) leasedConn {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	return leasedConn{c, held}
}

func (c leasedConn) Write(b []byte) (int, error) {
	if !c.leaseHeld() {
		return 0, ErrLeaseExpired
	}
	return c.Conn.Write(b)
}

// postReport sends the bytes of a report on a connection of its own, under the lease:
// the call is over, whatever its end, before the lease is.
func (r *Server) postReport(body []byte, term uint64) error {
	u := r.usages
	left := r.usageLease.Remaining(term) - leaseSafetyMargin
	if left <= 0 {
		return ErrLeaseExpired
	}
	span := min(left, maxCallDuration)
	ctx, cancel := context.WithTimeout(context.Background(), span)
	defer cancel()
	var acted atomic.Bool
	held := func() bool {
		ok := r.usageLease.Remaining(term) > 0
		if ok {
			acted.Store(true)
			u.recordCall(term)
		}
		return ok
	}
	defer func() {
		if acted.Load() { // it has arrived by its end, however long it was on its way
			u.recordCall(term)
		}
	}()
	dial := u.network(span, span)
	client := &http.Client{CheckRedirect: rpc.NoRedirect, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := dial(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return newLeasedConn(c, held), nil
		}}}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.settings.Platform.Address+"/usage", bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("%w: %v", ErrReportRejected, err)
	}
	req.GetBody = nil // nothing is sent twice on its own
	req.Header["User-Agent"] = nil
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(leaseHolderHeader, r.settings.NodeName)
	req.Header.Set(fencingTokenHeader, strconv.FormatUint(term, 10))
	resp, err := client.Do(req)
	if err != nil {
		return fmt.Errorf("%w: %v", ErrReportRejected, err)
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, 64<<10))
	switch {
	case resp.StatusCode/100 == 2:
		return nil
	case resp.StatusCode == http.StatusConflict:
		return ErrFenced
	}
	return fmt.Errorf("%w: %s", ErrReportRejected, strings.TrimSpace(resp.Status))
}
