package registrar

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"comethold/internal/cell"
	"comethold/internal/event"
	"comethold/internal/feed"
	"comethold/internal/notice"
	"comethold/internal/numbering"
	"comethold/internal/wire"
)

// Bounds of the tables. Ours; see docs/design.md.
const (
	keepRedrives   = 256
	keepPublished  = 128                             // rows that were sent
	keepUnsent     = 128                             // and that were not; what those before speak of is in the state
	mostRows       = keepPublished + keepUnsent + 64 // in any state
	keepQuarantine = 64
	publishEvery   = 500 * time.Millisecond
	publishWork    = 1500 * time.Millisecond
	inboxNote      = "inbox" // in the vault
)

// noticeBox is this registrar as a receiver of notices: the rows of the outbox reach it
// with the cell's log.
type noticeBox struct {
	mu    sync.Mutex
	inbox *notice.Inbox
	told  map[string]bool // rows whose quarantine was logged
	wake  chan struct{}
}

func newNoticeBox(saved []byte) *noticeBox {
	b := &noticeBox{inbox: notice.NewInbox(), told: map[string]bool{}, wake: make(chan struct{}, 1)}
	if saved != nil {
		in := notice.NewInbox()
		if wire.Unmarshal(saved, in) == nil && in.Done != nil {
			b.inbox = in
		}
	}
	return b
}

// keyedRow is a row of the outbox under its key.
type keyedRow struct {
	key string
	raw []byte
	row notice.Row
}

// rowAt reads a row. What is appended at a log position gets its version and its event
// id from there.
func rowAt(key string, raw []byte) (keyedRow, bool) {
	k := keyedRow{key: key, raw: raw}
	if wire.Unmarshal(raw, &k.row) != nil {
		return k, false
	}
	if n := &k.row.Notice; n.Aggregate == notice.Purges {
		n.Version, n.EventID = slotOf(key, keyOutbox), notice.Purges+"/"+strings.TrimPrefix(key, keyOutbox)
	}
	return k, true
}

func outboxOf(m *cell.Member) (rows []keyedRow) {
	for _, k := range m.KeysFrom(keyOutbox, keyOutbox) {
		v, _ := m.Get(k)
		if r, ok := rowAt(k, v.Bytes); ok {
			rows = append(rows, r)
		}
	}
	return rows
}

func (r *Registrar) outbox() (rows []keyedRow) {
	r.host.ask(func() {
		if m := r.host.cells[ExchangeCell]; m != nil {
			rows = outboxOf(m)
		}
	})
	return rows
}

// changedTenants lists those whose keys or limits differ.
func changedTenants(old, next *numbering.Configuration) (out []string) {
	had := map[string]numbering.Tenant{}
	if old != nil {
		for _, t := range old.Tenants {
			had[t.Name] = t
		}
	}
	for _, t := range next.Tenants {
		if o, ok := had[t.Name]; !ok || !same(o, t) {
			out = append(out, t.Name)
		}
		delete(had, t.Name)
	}
	for name := range had {
		out = append(out, name)
	}
	sort.Strings(out)
	return out
}

// decideNotices decides what the outbox holds before it brings anything into force here,
// and passes it on to the nodes that this registrar feeds.
func (r *Registrar) decideNotices() {
	rows := r.outbox()
	b := r.notices
	b.mu.Lock()
	defer b.mu.Unlock()
	cfg := r.board.newest()
	have := map[string]uint64{notice.Purges: r.board.recallPos()}
	if cfg != nil {
		have[notice.Configuration] = cfg.Version
	}
	changed := false
	// Nodes go by the newest position that they were told of: what comes after a notice
	// that waits, or at its position, is told after it.
	told, waits := []feed.Notice(nil), uint64(math.MaxUint64)
	for i := range rows {
		n, slot := &rows[i].row.Notice, slotOf(rows[i].key, keyOutbox)
		if n.Version <= have[n.Aggregate] && n.After > b.inbox.Done[n.Aggregate] {
			// What was between is in the state that is held here; its rows are swept.
			b.inbox.Base(n.Aggregate, n.After)
		}
		switch d, why := b.inbox.Decide(n, have[n.Aggregate]); d {
		case notice.Applied:
			changed = true
			told = append(told, feed.Notice{Pos: slot, Notice: *n})
		case notice.Duplicate: // it may be new to a board that has just started
			told = append(told, feed.Notice{Pos: slot, Notice: *n})
		case notice.Deferred:
			waits = min(waits, slot)
		case notice.Quarantined:
			if !b.told[n.EventID] {
				b.told[n.EventID] = true
				r.log.Error(event.NoticeQuarantined).Str("eventId", n.EventID).Err(why).Msg("a notice is quarantined")
				go r.quarantine(n, why.Error())
			}
		}
	}
	r.board.addNotices(slices.DeleteFunc(told, func(n feed.Notice) bool { return n.Pos >= waits }))
	if cfg == nil {
		return
	}
	if b.inbox.Done[notice.Configuration] < cfg.Version && !waitsFor(rows, b.inbox, cfg.Version) {
		b.inbox.Base(notice.Configuration, cfg.Version) // a state that came without notices
		changed = true
	}
	if b.inbox.Done[notice.Configuration] >= cfg.Version {
		r.quotas.setTenants(cfg)
	}
	if changed {
		if raw, err := wire.Marshal(b.inbox); err == nil {
			r.host.vault.NoteNode(inboxNote, raw)
		}
	}
}

// waitsFor reports whether the outbox holds a notice up to the version that is not done.
func waitsFor(rows []keyedRow, in *notice.Inbox, version uint64) bool {
	for _, k := range rows {
		if n := &k.row.Notice; n.Aggregate == notice.Configuration && n.Version <= version && n.Version > in.Done[n.Aggregate] {
			return true
		}
	}
	return false
}

// noticeLoop decides as the outbox moves.
func (r *Registrar) noticeLoop() {
	for {
		select {
		case <-r.notices.wake:
			r.decideNotices()
		case <-r.quit:
			return
		}
	}
}

func (r *Registrar) wakeNotices() {
	select {
	case r.notices.wake <- struct{}{}:
	default:
	}
}

// noticesHeard is where a publisher sends notices. It says which of them this registrar
// has decided, here or before.
func (r *Registrar) noticesHeard(list []notice.Notice) (done []bool) {
	r.decideNotices() // what the cell has told already
	r.notices.mu.Lock()
	defer r.notices.mu.Unlock()
	for i := range list {
		n := &list[i]
		// Only what the cell tells is applied: the log has the order. What it has not
		// told yet is deferred, and the publisher comes again.
		done = append(done, n.Check() != nil || r.notices.inbox.Done[n.Aggregate] >= n.Version)
	}
	return done
}

// publishLoop sends what the outbox holds, at the holder of the mover's duty. Nobody
// who waits for an acknowledgement waits for it.
func (r *Registrar) publishLoop() {
	seen := map[string]rowSeen{}
	for {
		select {
		case <-time.After(publishEvery):
		case <-r.quit:
			return
		}
		if term, ok := r.mover.held(); ok {
			r.publish(fmt.Sprintf("%s/%d", r.host.self.ID, term), seen)
		} else {
			clear(seen)
		}
	}
}

// rowSeen is since when a row is seen as it is.
type rowSeen struct {
	raw string
	at  time.Time
}

// publish claims what is due, sends it and notes what became of it.
func (r *Registrar) publish(owner string, seen map[string]rowSeen) {
	t, rows, dropped := sweepRows(r.outbox())
	if len(t.Ops) > 0 && r.propose(ExchangeCell, t) {
		for _, id := range dropped {
			r.log.Warn(event.NoticeDropped).Str("eventId", id).Msg("a notice that not every registrar has taken is dropped for newer ones")
		}
	}
	t, claimed := claimRows(rows, owner, seen, time.Now())
	if len(t.Ops) == 0 || !r.propose(ExchangeCell, t) || len(claimed) == 0 {
		return
	}
	sent := r.sendNotices(claimed)
	t = cell.Txn{}
	for i, k := range claimed {
		next, err := k.row.Publish(owner)
		if !sent[i] {
			next, err = k.row.Retry(owner)
			r.log.Warn(event.NoticeRetry).Str("eventId", k.row.Notice.EventID).Int("tries", k.row.Tries).Msg("a notice was not taken by every registrar; it is sent again")
		}
		if err != nil {
			continue
		}
		t.Conditions = append(t.Conditions, cell.Condition{Key: k.key, Equals: cell.Bytes(k.raw)})
		t.Ops = append(t.Ops, cell.Op{Kind: cell.OpPut, Key: k.key, Value: encode(next)})
	}
	r.propose(ExchangeCell, t)
}

// claimRows makes the transaction that claims what is due; it holds only for rows that are
// as they were seen.
func claimRows(rows []keyedRow, owner string, seen map[string]rowSeen, now time.Time) (t cell.Txn, claimed []keyedRow) {
	known := map[string]bool{}
	for _, k := range rows {
		known[k.key] = true
		if s, ok := seen[k.key]; !ok || s.raw != string(k.raw) {
			seen[k.key] = rowSeen{string(k.raw), now}
		}
		if k.row.State == notice.Published {
			continue
		}
		next, err := k.row.Claim(owner, now.Sub(seen[k.key].at))
		if err != nil {
			continue
		}
		t.Conditions = append(t.Conditions, cell.Condition{Key: k.key, Equals: cell.Bytes(k.raw)})
		put := cell.Op{Kind: cell.OpPut, Key: k.key, Value: encode(next)}
		t.Ops = append(t.Ops, put)
		claimed = append(claimed, keyedRow{key: k.key, raw: put.Value.Bytes, row: next})
	}
	maps.DeleteFunc(seen, func(key string, _ rowSeen) bool { return !known[key] })
	return t, claimed
}

// sweepRows makes the transaction that forgets the oldest rows, by themselves: what
// registrars claim of the others must not hold it up. Those that stay are handed back.
func sweepRows(rows []keyedRow) (t cell.Txn, stay []keyedRow, dropped []string) {
	published, unsent := 0, 0
	for i := len(rows) - 1; i >= 0; i-- {
		k := rows[i]
		n, most := &unsent, keepUnsent
		if k.row.State == notice.Published {
			n, most = &published, keepPublished
		}
		if *n++; *n <= most {
			stay = append(stay, k)
			continue
		}
		t.Ops = append(t.Ops, cell.Op{Kind: cell.OpDelete, Key: k.key})
		if n == &published {
			t.Conditions = append(t.Conditions, cell.Condition{Key: k.key, Equals: cell.Bytes(k.raw)}) // it may be redriven
		} else { // whatever has become of it: no row comes back under its key
			dropped = append(dropped, k.row.Notice.EventID)
		}
	}
	return t, stay, dropped
}

// sendNotices tells every registrar that is live; a notice is sent where each of them
// has decided it.
func (r *Registrar) sendNotices(rows []keyedRow) []bool {
	list := make([]notice.Notice, len(rows))
	all := make([]bool, len(rows))
	for i := range rows {
		list[i], all[i] = rows[i].row.Notice, true
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for addr := range r.host.live(learnerSpan) {
		wg.Go(func() {
			var done []bool
			if addr == r.set.IPAddress {
				done = r.noticesHeard(list)
			} else {
				ctx, cancel := context.WithTimeout(context.Background(), publishWork)
				defer cancel()
				if r.host.call.Call(ctx, innerAddr(addr, r.host.port), "/notices", list, &done) != nil {
					done = nil
				}
			}
			mu.Lock()
			defer mu.Unlock()
			for i := range all {
				all[i] = all[i] && i < len(done) && done[i]
			}
		})
	}
	wg.Wait()
	return all
}

// quarantined is what is known of a notice, or an order, that contradicts what was.
type quarantined struct {
	Notice notice.Notice `cbor:"1,keyasint"`
	Why    string        `cbor:"2,keyasint"`
	By     string        `cbor:"3,keyasint"`
}

// quarantine notes a notice for the operator, apart from the healthy ones.
func (r *Registrar) quarantine(n *notice.Notice, why string) {
	key := keyQuarantine + n.EventID
	t := cell.Txn{Conditions: []cell.Condition{{Key: key, Absent: true}},
		Ops: []cell.Op{{Kind: cell.OpPut, Key: key, Value: encode(quarantined{*n, why, r.set.NodeName})}}}
	var keys []string
	r.host.ask(func() {
		if m := r.host.cells[ExchangeCell]; m != nil {
			keys = m.KeysFrom(keyQuarantine, keyQuarantine)
		}
	})
	for i := 0; i+keepQuarantine <= len(keys); i++ {
		t.Ops = append(t.Ops, cell.Op{Kind: cell.OpDelete, Key: keys[i]})
	}
	r.propose(ExchangeCell, t)
}

// redrive is the operator's order to send a notice once more, or to close its case.
type redrive struct {
	EventID       string `json:"eventId" cbor:"1,keyasint"`
	Operator      string `json:"operator" cbor:"2,keyasint"`
	CorrelationID string `json:"correlationId" cbor:"3,keyasint"`
	Action        string `json:"action" cbor:"4,keyasint"` // resend, close
}

// Actions of a redrive.
const (
	actionResend = "resend"
	actionClose  = "close"
)

var errRedrive = errors.New("a redrive names eventId, operator, correlationId and action (resend or close)")

func (d *redrive) check() error {
	if d.EventID == "" || d.Operator == "" || d.CorrelationID == "" || d.Action != actionResend && d.Action != actionClose {
		return errRedrive
	}
	return nil
}

// redriveTxn makes the transaction of a redrive: the record of who had it done, and the
// row, whose notice is not touched, back in line. known is false where no row and no
// case has this event id. done: this very redrive is on record. One that is late finds
// the place of its record taken, and does nothing.
func redriveTxn(m *cell.Member, d *redrive) (t cell.Txn, known, done bool) {
	raw, old := encode(d), m.KeysFrom(keyRedrive, keyRedrive)
	last := uint64(0)
	for _, k := range old {
		if v, _ := m.Get(k); v.Equal(raw) {
			return t, true, true
		}
		last = slotOf(k, keyRedrive)
	}
	key := cell.AppendedKey(keyRedrive, last+1, "")
	t.Conditions = []cell.Condition{{Key: key, Absent: true}}
	t.Ops = append(t.Ops, cell.Op{Kind: cell.OpPut, Key: key, Value: raw})
	if _, ok := m.Get(keyQuarantine + d.EventID); ok {
		known = true
		if d.Action == actionClose {
			t.Ops = append(t.Ops, cell.Op{Kind: cell.OpDelete, Key: keyQuarantine + d.EventID})
		}
	}
	for _, k := range outboxOf(m) {
		if k.row.Notice.EventID != d.EventID {
			continue
		}
		known = true
		if d.Action == actionResend {
			t.Conditions = append(t.Conditions, cell.Condition{Key: k.key, Equals: cell.Bytes(k.raw)})
			t.Ops = append(t.Ops, cell.Op{Kind: cell.OpPut, Key: k.key, Value: encode(k.row.Redrive())})
		}
	}
	for i := 0; i+keepRedrives <= len(old); i++ {
		t.Ops = append(t.Ops, cell.Op{Kind: cell.OpDelete, Key: old[i]})
	}
	return t, known, false
}

// slotOf reads the log position out of the key of an appended value.
func slotOf(key, prefix string) uint64 {
	at, _, _ := strings.Cut(strings.TrimPrefix(key, prefix), "/")
	n, _ := strconv.ParseUint(at, 10, 64)
	return n
}

// addNotices puts those that are new on the board, in order of position, all at once.
func (b *board) addNotices(list []feed.Notice) {
	b.mu.Lock()
	defer b.mu.Unlock()
	known := map[string]bool{}
	for i := range b.notices {
		known[b.notices[i].Notice.EventID] = true
	}
	next := slices.Clone(b.notices)
	for _, n := range list {
		if id := n.Notice.EventID; n.Pos > b.noticesFrom && !known[id] {
			known[id] = true
			next = append(next, n)
			b.noticeBase[n.Notice.Aggregate] = max(b.noticeBase[n.Notice.Aggregate], n.Notice.Version)
		}
	}
	if len(next) == len(b.notices) {
		return
	}
	slices.SortStableFunc(next, func(a, b feed.Notice) int { return cmp.Compare(a.Pos, b.Pos) })
	if over := len(next) - keepPublished; over > 0 {
		b.noticesFrom = next[over-1].Pos
		next = next[over:]
	}
	b.notices = next
	b.changedLocked()
}

// noticeNews adds the notices that the caller lacks.
func (b *board) noticeNews(h feed.Have, n *feed.News) {
	k := len(b.notices)
	if k == 0 || b.notices[k-1].Pos <= h.Notice {
		return
	}
	ns := &feed.Notices{Pos: b.notices[k-1].Pos, Reset: h.Notice == 0 || h.Notice < b.noticesFrom}
	at := sort.Search(k, func(i int) bool { return b.notices[i].Pos > h.Notice })
	if ns.Reset {
		at, ns.Base = k, maps.Clone(b.noticeBase) // the state that it is given tells all that came before
	}
	ns.All = b.notices[at:k:k]
	n.Notices = ns
}

// recallPos is the position up to which purges are held here.
func (b *board) recallPos() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.pos
}
