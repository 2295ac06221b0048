package registrar

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"comethold/internal/cell"
	"comethold/internal/event"
	"comethold/internal/wire"
)

type dutyRecord struct {
	Holder cell.MemberID `cbor:"1,keyasint"`
	Term   uint64        `cbor:"2,keyasint"`
	Beat   uint64        `cbor:"3,keyasint"`
}

// clockSpread is how much faster the fastest steady clock may run than the
// slowest before a lease is unsafe.
const clockSpread = 3

// fencedSpread stands in its place where two holders at a time do no harm: what they do
// bears the term, or the cell judges it when it is applied. The work of a holder that is
// lost must go on before the others are in touch again.
const fencedSpread = 2

// yieldFor is for how many lease times a node that could not do the work lets others go
// first; if none of them takes it, it does so all the same.
const yieldFor = 10

// duty is a lease on work that one node does. The holder renews it through the
// exchange cell and stops by its own steady clock, counted from before it
// asked. Another may take it only after seeing it unrenewed for spread times as
// long, and only if it is unrenewed still when the change is applied.
type duty struct {
	name   string
	hold   time.Duration
	spread time.Duration
	host   *Host

	mu      sync.Mutex
	term    uint64
	until   time.Time
	seen    []byte
	seenAt  time.Time
	renewed time.Time
	rest    time.Time // until then others go first: this node could not do the work
}

func newDuty(h *Host, name string, hold time.Duration, spread int) *duty {
	return &duty{name: name, hold: hold, spread: time.Duration(spread), host: h}
}

// held reports whether this node holds the duty now, and the term.
func (d *duty) held() (uint64, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.term, time.Now().Before(d.until)
}

// left is how long this node still holds the duty under a term.
func (d *duty) left(term uint64) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.term != term {
		return 0
	}
	return time.Until(d.until)
}

// condition holds while nobody else has taken the duty: a transaction under it is one
// of its holder, who has it under the term.
func (d *duty) condition(term uint64) (cell.Condition, bool) {
	rec, raw := d.record()
	return cell.Condition{Key: keyDuty + d.name, Equals: cell.Bytes(raw)}, raw != nil && rec.Holder == d.host.self.ID && rec.Term == term && d.left(term) > 0
}

// giveUp ends what this node holds; it may take the duty anew, under another term.
func (d *duty) giveUp() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.until = time.Time{}
}

func (d *duty) run(quit <-chan struct{}) {
	for {
		d.step()
		select {
		case <-time.After(d.hold/8 + time.Duration(rand.Float64()*float64(d.hold)/16)):
		case <-quit:
			d.release()
			return
		}
	}
}

func (d *duty) record() (rec dutyRecord, raw []byte) {
	v, ok := d.host.Get(ExchangeCell, keyDuty+d.name)
	if ok && wire.Unmarshal(v.Bytes, &rec) == nil {
		raw = v.Bytes
	}
	return rec, raw
}

func (d *duty) step() {
	if !d.host.seated() {
		return
	}
	rec, raw := d.record()
	now := time.Now()
	d.mu.Lock()
	if string(raw) != string(d.seen) || d.seenAt.IsZero() {
		d.seen, d.seenAt = raw, now
	}
	mine := rec.Holder == d.host.self.ID && d.term == rec.Term && now.Before(d.until)
	due := now.Sub(d.renewed) >= d.hold/3
	silent := now.Sub(d.seenAt)
	var after time.Duration // what others are given to go first
	if now.Before(d.rest) {
		after = d.hold / 2
	}
	d.mu.Unlock()
	switch {
	case mine && due:
		d.take(raw, dutyRecord{Holder: rec.Holder, Term: rec.Term, Beat: rec.Beat + 1})
	case !mine && silent >= after && (rec.Holder == "" || rec.Holder == d.host.self.ID || silent >= d.spread*d.hold+after || silent >= d.hold && d.host.over(rec.Holder)):
		// What is recorded for this very node but not held is of a former
		// life, which is over, or has lapsed by its own clock. So is what is
		// recorded for a member whose machine came back with another disk.
		d.take(raw, dutyRecord{Holder: d.host.self.ID, Term: rec.Term + 1})
	}
}

func (d *duty) take(old []byte, rec dutyRecord) {
	asked := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), d.hold)
	defer cancel()
	cond := cell.Condition{Key: keyDuty + d.name, Absent: old == nil}
	if old != nil {
		cond.Equals = cell.Bytes(old)
	}
	ok, err := d.host.Propose(ctx, ExchangeCell, cell.Txn{
		Conditions: []cell.Condition{cond},
		Ops:        []cell.Op{{Kind: cell.OpPut, Key: keyDuty + d.name, Value: encode(rec)}},
	})
	if err != nil || !ok {
		return
	}
	d.mu.Lock()
	fresh := d.term != rec.Term
	d.term, d.renewed, d.until = rec.Term, asked, asked.Add(d.hold)
	d.mu.Unlock()
	if fresh {
		d.host.log.Info(event.DutyTaken).Str("duty", d.name).Uint64("term", rec.Term).Msg("duty taken")
	}
}

// yield hands the duty back and lets others try: this node can't do the work.
func (d *duty) yield() {
	d.mu.Lock()
	d.rest = time.Now().Add(yieldFor * d.hold)
	d.mu.Unlock()
	d.release()
}

// release hands the duty back so that another need not wait.
func (d *duty) release() {
	if _, ok := d.held(); !ok {
		return
	}
	d.mu.Lock()
	d.until = time.Time{}
	d.mu.Unlock()
	rec, raw := d.record()
	if rec.Holder != d.host.self.ID {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	_, _ = d.host.Propose(ctx, ExchangeCell, cell.Txn{
		Conditions: []cell.Condition{{Key: keyDuty + d.name, Equals: cell.Bytes(raw)}},
		Ops:        []cell.Op{{Kind: cell.OpPut, Key: keyDuty + d.name, Value: encode(dutyRecord{Term: rec.Term, Beat: rec.Beat + 1})}},
	})
	d.host.log.Info(event.DutyLost).Str("duty", d.name).Msg("duty released")
}
