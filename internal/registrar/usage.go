package registrar

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

	"comethold/internal/cell"
	"comethold/internal/event"
	"comethold/internal/feed"
	"comethold/internal/notice"
	"comethold/internal/usage"
	"comethold/internal/vault"
	"comethold/internal/wire"
)

// Pacing of the reports. Ours; see docs/design.md.
const (
	usageHold     = 1500 * time.Millisecond
	reportEvery   = 150 * time.Millisecond
	reportWait    = 0.3 // of the time in which a report falls due, after its window's end
	reportLast    = 0.7 // after which it is made without registrars that don't answer
	reportWork    = 900 * time.Millisecond
	keepBook      = 200 * time.Millisecond // between two notes of the counts on the disk, at least
	keepRate      = 256 << 10              // bytes a second that the notes may take
	keptWindows   = 4                      // that are noted
	callMost      = time.Second
	callMargin    = 150 * time.Millisecond // left of the lease when a call must be over
	noteAgain     = time.Second            // after which what was noted should be applied here
	callPauseMin  = 150 * time.Millisecond
	callPauseMost = time.Second
	keepReports   = 64 // rows that were sent
	mostBack      = 60 // windows for which reports are made after the fact

	headerHolder = "X-Comethold-Duty-Holder"
	headerFence  = "X-Comethold-Fence-Number"
)

// usages is this registrar's part of the usage reports: what nodes tell it, the time on
// which the registrars agree, and, while it holds the duty, the reports.
type usages struct {
	book  *usage.Book
	clock *usage.Clock
	life  uint64
	net   wire.Net
	born  time.Time

	// Of the loop alone: rows that the platform took, and when this life noted it.
	taken map[string]time.Time

	mu      sync.Mutex
	actedAt time.Time // when a call of this life to the platform was last on its way
	actedBy uint64    // under which fence
	nextAt  time.Time // no call before then
	pause   time.Duration
	first   uint64 // the window from which this life reports, where none is reported yet
}

func newUsages(n wire.Net) *usages {
	now := time.Now()
	return &usages{book: usage.NewBook(), clock: usage.NewClock(now), life: rand.Uint64(), net: n, born: now, taken: map[string]time.Time{}}
}

// times are this machine's time of day, and the agreed time or 0.
func (u *usages) times() (wall, agreed int64) {
	now := time.Now()
	if at, ok := u.clock.Now(now); ok {
		agreed = at.UnixNano()
	}
	return now.UnixNano(), agreed
}

// note takes a tally and answers it.
func (u *usages) note(t *usage.Tally) *usage.Noted {
	u.book.Add(t)
	_, agreed := u.times()
	return &usage.Noted{Seq: t.Seq, Life: u.life, Now: agreed}
}

// usageAsk asks a registrar for what it knows of a window.
type usageAsk struct {
	Window uint64 `cbor:"1,keyasint"`
}

// keptBook is what a disk holds of a window.
type keptBook struct {
	Window uint64      `cbor:"1,keyasint"`
	Lives  usage.Lives `cbor:"2,keyasint"`
}

func keptKey(window uint64) string { return fmt.Sprint("usage/", window%keptWindows) }

// keep notes the counts of the newest windows on the disk, as far as they have changed:
// when a registrar ends together with the nodes that told it, nobody else knows them. It
// returns how many bytes that took.
func (u *usages) keep(v *vault.Vault, window uint64) (n int) {
	for _, w := range u.book.Changed(window - min(window, keptWindows-1)) {
		if raw, err := wire.Marshal(&keptBook{w, u.book.Of(w)}); err == nil {
			v.NoteNode(keptKey(w), raw)
			n += len(raw)
		}
	}
	return n
}

// restore takes in what a former life noted.
func (u *usages) restore(v *vault.Vault) {
	for i := range uint64(keptWindows) {
		var k keptBook
		if raw := v.Node(keptKey(i)); raw != nil && wire.Unmarshal(raw, &k) == nil {
			u.book.Put(k.Window, k.Lives)
		}
	}
}

// keepLoop notes the counts until the node ends.
func (r *Registrar) keepLoop() {
	pause := keepBook
	for {
		select {
		case <-time.After(pause):
		case <-r.quit:
			return
		}
		pause = keepBook
		if at, ok := r.usages.clock.Now(time.Now()); ok {
			n := r.usages.keep(r.host.vault, usage.WindowOf(at, r.set.Bounds.UsageWindow()))
			pause = max(pause, time.Duration(float64(n)/keepRate*float64(time.Second)))
		}
	}
}

// usageLoop keeps the time, and reports while this node holds the duty. The duty is
// given back only after the last call has ended.
func (r *Registrar) usageLoop() {
	if !r.set.ReportsUsage() {
		return
	}
	done := make(chan struct{})
	r.wg.Go(func() { r.reporter.run(done) })
	r.wg.Go(r.keepLoop)
	defer close(done)
	last := time.Now()
	for {
		select {
		case <-time.After(reportEvery):
		case <-r.quit:
			return
		}
		now := time.Now()
		seats := seatsFor(r.set.Tolerance.MachineLosses)
		r.usages.clock.Step(now.UnixNano(), seats, now.Sub(last), now)
		last = now
		at, ok := r.usages.clock.Now(now)
		if !ok {
			continue
		}
		window := usage.WindowOf(at, r.set.Bounds.UsageWindow())
		r.usages.book.Sweep(window)
		if term, held := r.reporter.held(); held {
			r.makeReports(at, window, term)
			r.sendReports(term)
		}
	}
}

func usageKey(window uint64) string { return fmt.Sprintf("%s%020d", keyUsage, window) }

// reportRows lists the rows of the reports, oldest first.
func (r *Registrar) reportRows() (rows []keyedRow) {
	r.host.ask(func() {
		if m := r.host.cells[ExchangeCell]; m != nil {
			rows = reportsOf(m)
		}
	})
	return rows
}

func reportsOf(m *cell.Member) (rows []keyedRow) {
	for _, k := range m.KeysFrom(keyUsage, keyUsage) {
		v, _ := m.Get(k)
		if row, ok := rowAt(k, v.Bytes); ok {
			rows = append(rows, row)
		}
	}
	return rows
}

// nextWindow is the first that has no report. Where there is none at all, the first life
// that holds the duty begins with what it has heard of.
func (r *Registrar) nextWindow(rows []keyedRow, now uint64) uint64 {
	if n := len(rows); n > 0 {
		return max(rows[n-1].row.Notice.Version+1, now-min(now, mostBack))
	}
	u := r.usages
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.first == 0 {
		u.first = now
	}
	for _, w := range u.book.Windows(0) {
		u.first = min(u.first, w)
	}
	return u.first
}

// makeReports commits the reports that are due: whole, before a byte of them is sent, so
// that whoever sends one sends these very bytes.
func (r *Registrar) makeReports(at time.Time, now, term uint64) {
	length, due := r.set.Bounds.UsageWindow(), r.set.Bounds.UsageDelay()
	rows := r.reportRows()
	for w := r.nextWindow(rows, now); w < now; w++ {
		age := at.Sub(usage.EndOf(w, length))
		if age < time.Duration(reportWait*float64(due)) {
			return
		}
		counts, whole := r.collect(w)
		if !whole && age < time.Duration(reportLast*float64(due)) {
			return
		}
		n := notice.Notice{EventID: fmt.Sprintf("%s/%d", notice.Usage, w), Aggregate: notice.Usage, Version: w, After: w - 1, Payload: usage.Report(w, counts)}
		n.Digest = notice.Digest(n.Payload)
		row, err := notice.Row{Notice: n}.Claim(reportOwner(term), 0)
		if err != nil {
			return
		}
		held, ok := r.reporter.condition(term)
		if !ok {
			return
		}
		t := cell.Txn{Conditions: []cell.Condition{{Key: usageKey(w), Absent: true}, held},
			Ops: []cell.Op{{Kind: cell.OpPut, Key: usageKey(w), Value: encode(row)}}}
		for i := 0; i+keepReports < len(rows); i++ {
			if rows[i].row.State == notice.Published {
				t.Ops = append(t.Ops, cell.Op{Kind: cell.OpDelete, Key: rows[i].key})
			}
		}
		if !r.propose(ExchangeCell, t) {
			return
		}
		rows = r.reportRows()
	}
}

func reportOwner(term uint64) string { return "usage/" + strconv.FormatUint(term, 10) }

// collect adds up what all registrars know of a window; whole says that all of them that
// are not down have answered.
func (r *Registrar) collect(window uint64) (c usage.Counts, whole bool) {
	live := r.host.live(learnerSpan)
	whole = true
	for _, n := range r.board.directory() {
		if _, ok := live[n.Addr]; n.Control && !n.Down && !ok {
			whole = false
		}
	}
	books := []usage.Lives{r.usages.book.Of(window)}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for addr := range live {
		if addr == r.set.IPAddress {
			continue
		}
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), reportWork)
			defer cancel()
			var lives usage.Lives
			err := r.host.call.Call(ctx, innerAddr(addr, r.host.port), "/usage", usageAsk{window}, &lives)
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
	return usage.Sum(books...), whole
}

// sendReports sends the oldest report that was not sent, if a call may be made now.
func (r *Registrar) sendReports(term uint64) {
	u := r.usages
	for {
		if !u.mayCall(term, r.set.Bounds.Lease(), time.Now()) {
			return
		}
		var k keyedRow
		for _, row := range r.reportRows() {
			if row.row.State == notice.Published {
				delete(u.taken, row.key)
				continue
			}
			if at, ok := u.taken[row.key]; !ok || time.Since(at) > noteAgain {
				k = row
				break // one that was noted a moment ago is only not applied here yet
			}
		}
		if k.key == "" {
			return
		}
		if owner := reportOwner(term); k.row.Owner != owner {
			// Claimed by a former holder, whose lease is over.
			next, err := k.row.Claim(owner, notice.ClaimLease)
			held, ok := r.reporter.condition(term)
			if err != nil || !ok || !r.propose(ExchangeCell, cell.Txn{Conditions: []cell.Condition{{Key: k.key, Equals: cell.Bytes(k.raw)}, held},
				Ops: []cell.Op{{Kind: cell.OpPut, Key: k.key, Value: encode(next)}}}) {
				return
			}
			k.row, k.raw = next, encode(next).Bytes
		}
		if _, ok := u.taken[k.key]; ok {
			r.noteTaken(k, term)
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
func (u *usages) mayCall(term uint64, lease time.Duration, now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	anew := u.actedBy != 0 && u.actedBy != term
	return !now.Before(u.nextAt) && now.Sub(u.born) >= lease+callMargin && !(anew && now.Sub(u.actedAt) < lease+callMargin)
}

// acts notes that a call under a term may be on its way to the platform.
func (u *usages) acts(term uint64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.actedAt, u.actedBy = time.Now(), term
}

var (
	errNotHeld  = errors.New("the lease is over")
	errOutdated = errors.New("another holder has called")
	errPlatform = errors.New("the platform does not take it")
)

// sendReport makes one call and notes that it was taken.
func (r *Registrar) sendReport(k keyedRow, term uint64) bool {
	u := r.usages
	err := r.callPlatform(k.row.Notice.Payload, term)
	u.mu.Lock()
	switch {
	case err == nil:
		u.pause = 0
		u.nextAt = time.Now().Add(time.Duration(float64(time.Second) / max(1, r.set.Platform.DutiesPerS/2)))
	default:
		u.pause = min(max(2*u.pause, callPauseMin), callPauseMost)
		u.nextAt = time.Now().Add(time.Duration((0.5 + rand.Float64()) * float64(u.pause)))
	}
	u.mu.Unlock()
	if err != nil {
		r.log.Warn(event.ReportFailed).Uint64("window", k.row.Notice.Version).Uint64("fence", term).Err(err).Msg("a usage report was not taken; it is sent again")
		if errors.Is(err, errOutdated) {
			r.reporter.giveUp()
		}
		return false
	}
	r.log.Info(event.ReportSent).Uint64("window", k.row.Notice.Version).Uint64("fence", term).Int("tries", k.row.Tries).Msg("a usage report was taken")
	return r.noteTaken(k, term)
}

// noteTaken notes that the platform took a report.
func (r *Registrar) noteTaken(k keyedRow, term uint64) bool {
	r.usages.taken[k.key] = time.Now()
	next, err := k.row.Publish(reportOwner(term))
	return err == nil && r.propose(ExchangeCell, cell.Txn{Conditions: []cell.Condition{{Key: k.key, Equals: cell.Bytes(k.raw)}},
		Ops: []cell.Op{{Kind: cell.OpPut, Key: k.key, Value: encode(next)}}})
}

// leasedConn writes only while the lease is held, and leaves nothing behind that could
// still arrive when it is not.
type leasedConn struct {
	net.Conn
	held func() bool
}

// leased has what is not sent yet dropped at the close, be that by a kill.
func leased(c net.Conn, held func() bool) leasedConn {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	return leasedConn{c, held}
}

func (c leasedConn) Write(b []byte) (int, error) {
	if !c.held() {
		return 0, errNotHeld
	}
	return c.Conn.Write(b)
}

// callPlatform sends the bytes of a report on a connection of its own, under the lease:
// the call is over, whatever its end, before the lease is.
func (r *Registrar) callPlatform(body []byte, term uint64) error {
	u := r.usages
	left := r.reporter.left(term) - callMargin
	if left <= 0 {
		return errNotHeld
	}
	span := min(left, callMost)
	ctx, cancel := context.WithTimeout(context.Background(), span)
	defer cancel()
	var acted atomic.Bool
	held := func() bool {
		ok := r.reporter.left(term) > 0
		if ok {
			acted.Store(true)
			u.acts(term)
		}
		return ok
	}
	defer func() {
		if acted.Load() { // it has arrived by its end, however long it was on its way
			u.acts(term)
		}
	}()
	dial := u.net(span, span)
	client := &http.Client{CheckRedirect: wire.NoRedirect, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := dial(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return leased(c, held), nil
		}}}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.set.Platform.Address+"/usage", bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("%w: %v", errPlatform, err)
	}
	req.GetBody = nil // nothing is sent twice on its own
	req.Header["User-Agent"] = nil
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(headerHolder, r.set.NodeName)
	req.Header.Set(headerFence, strconv.FormatUint(term, 10))
	resp, err := client.Do(req)
	if err != nil {
		return fmt.Errorf("%w: %v", errPlatform, err)
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, 64<<10))
	switch {
	case resp.StatusCode/100 == 2:
		return nil
	case resp.StatusCode == http.StatusConflict:
		return errOutdated
	}
	return fmt.Errorf("%w: %s", errPlatform, strings.TrimSpace(resp.Status))
}

// hearTally takes a datagram of counts.
func (r *Registrar) hearTally(t *usage.Tally, from net.Addr) {
	r.quotas.send(from, &feed.Datagram{Noted: r.usages.note(t)})
}
