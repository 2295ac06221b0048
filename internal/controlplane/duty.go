package controlplane

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"comethold/internal/controlplane/replicahost"
	"comethold/internal/controlplane/schema"
	"comethold/internal/logging"
	"comethold/internal/paxos"
	"comethold/internal/rpc"
)

// ClockSkewFactor is how much faster the fastest steady clock may run than the
// slowest before a lease is unsafe.
const ClockSkewFactor = 3

// FencedClockSkewFactor stands in its place where two holders at a time do no harm: what they do
// bears the term, or the cell judges it when it is applied. The work of a holder that is
// lost must go on before the others are in touch again.
const FencedClockSkewFactor = 2

// yieldPeriods is for how many lease times a node that could not do the work lets others go
// first; if none of them takes it, it does so all the same.
const yieldPeriods = 10

// Lease is a lease on work that one node does. The holder renews it through the
// exchange cell and stops by its own steady clock, counted from before it
// asked. Another may take it only after seeing it unrenewed for spread times as
// long, and only if it is unrenewed still when the change is applied.
type Lease struct {
	name       string
	duration   time.Duration
	skewFactor time.Duration
	host       *replicahost.Host
	log        *logging.Logger

	mu         sync.Mutex
	term       uint64
	expiresAt  time.Time
	observed   []byte
	observedAt time.Time
	renewedAt  time.Time
	yieldUntil time.Time // until then others go first: this node could not do the work
}

func NewLease(h *replicahost.Host, log *logging.Logger, name string, hold time.Duration, spread int) *Lease {
	return &Lease{name: name, duration: hold, skewFactor: time.Duration(spread), host: h, log: log}
}

// Held reports whether this node holds the duty now, and the term.
func (d *Lease) Held() (uint64, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.term, time.Now().Before(d.expiresAt)
}

// Remaining is how long this node still holds the duty under a term.
func (d *Lease) Remaining(term uint64) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.term != term {
		return 0
	}
	return time.Until(d.expiresAt)
}

// FenceCondition holds while nobody else has taken the duty: a transaction under it is one
// of its holder, who has it under the term.
func (d *Lease) FenceCondition(term uint64) (paxos.Condition, bool) {
	rec, raw := d.readRecord()
	return paxos.Condition{Key: schema.LeaseKeyPrefix + d.name, Equals: paxos.Bytes(raw)}, raw != nil && rec.Holder == d.host.Self.ID && rec.Term == term && d.Remaining(term) > 0
}

// Forfeit ends what this node holds; it may take the duty anew, under another term.
func (d *Lease) Forfeit() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expiresAt = time.Time{}
}

func (d *Lease) Run(quit <-chan struct{}) {
	for {
		d.acquireOrRenew()
		select {
		case <-time.After(d.duration/8 + time.Duration(rand.Float64()*float64(d.duration)/16)):
		case <-quit:
			d.release()
			return
		}
	}
}

func (d *Lease) readRecord() (rec schema.LeaseRecord, raw []byte) {
	v, ok := d.host.Get(schema.MetaCell, schema.LeaseKeyPrefix+d.name)
	if ok && rpc.Unmarshal(v.Bytes, &rec) == nil {
		raw = v.Bytes
	}
	return rec, raw
}

func (d *Lease) acquireOrRenew() {
	if !d.host.IsVoter() {
		return
	}
	rec, raw := d.readRecord()
	now := time.Now()
	d.mu.Lock()
	if string(raw) != string(d.observed) || d.observedAt.IsZero() {
		d.observed, d.observedAt = raw, now
	}
	mine := rec.Holder == d.host.Self.ID && d.term == rec.Term && now.Before(d.expiresAt)
	due := now.Sub(d.renewedAt) >= d.duration/3
	silent := now.Sub(d.observedAt)
	var after time.Duration // what others are given to go first
	if now.Before(d.yieldUntil) {
		after = d.duration / 2
	}
	d.mu.Unlock()
	switch {
	case mine && due:
		d.propose(raw, schema.LeaseRecord{Holder: rec.Holder, Term: rec.Term, Renewals: rec.Renewals + 1})
	case !mine && silent >= after && (rec.Holder == "" || rec.Holder == d.host.Self.ID || silent >= d.skewFactor*d.duration+after || silent >= d.duration && d.host.IncarnationEnded(rec.Holder)):
		// What is recorded for this very node but not held is of a former
		// life, which is over, or has lapsed by its own clock. So is what is
		// recorded for a member whose machine came back with another disk.
		d.propose(raw, schema.LeaseRecord{Holder: d.host.Self.ID, Term: rec.Term + 1})
	}
}

func (d *Lease) propose(old []byte, rec schema.LeaseRecord) {
	asked := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), d.duration)
	defer cancel()
	cond := paxos.Condition{Key: schema.LeaseKeyPrefix + d.name, Absent: old == nil}
	if old != nil {
		cond.Equals = paxos.Bytes(old)
	}
	ok, err := d.host.Propose(ctx, schema.MetaCell, paxos.Txn{
		Conditions: []paxos.Condition{cond},
		Ops:        []paxos.Op{{Kind: paxos.OpPut, Key: schema.LeaseKeyPrefix + d.name, Value: schema.MustEncode(rec)}},
	})
	if err != nil || !ok {
		return
	}
	d.mu.Lock()
	fresh := d.term != rec.Term
	d.term, d.renewedAt, d.expiresAt = rec.Term, asked, asked.Add(d.duration)
	d.mu.Unlock()
	if fresh {
		d.log.Info(logging.LeaseAcquired).Str("duty", d.name).Uint64("term", rec.Term).Msg("duty taken")
	}
}

// Yield hands the duty back and lets others try: this node can't do the work.
func (d *Lease) Yield() {
	d.mu.Lock()
	d.yieldUntil = time.Now().Add(yieldPeriods * d.duration)
	d.mu.Unlock()
	d.release()
}

// release hands the duty back so that another need not wait.
func (d *Lease) release() {
	if _, ok := d.Held(); !ok {
		return
	}
	d.mu.Lock()
	d.expiresAt = time.Time{}
	d.mu.Unlock()
	rec, raw := d.readRecord()
	if rec.Holder != d.host.Self.ID {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	_, _ = d.host.Propose(ctx, schema.MetaCell, paxos.Txn{
		Conditions: []paxos.Condition{{Key: schema.LeaseKeyPrefix + d.name, Equals: paxos.Bytes(raw)}},
		Ops:        []paxos.Op{{Kind: paxos.OpPut, Key: schema.LeaseKeyPrefix + d.name, Value: schema.MustEncode(schema.LeaseRecord{Term: rec.Term, Renewals: rec.Renewals + 1})}},
	})
	d.log.Info(logging.LeaseReleased).Str("duty", d.name).Msg("duty released")
}
