// Package lease gives work that one node at a time must do to one node: singleton roles
// such as polling the platform, moving voters or reporting usage.
//
// A lease is a record in the meta cell. Its holder renews it there and stops by its own
// steady clock, counted from before it asked. Another node may take it only after seeing it
// unrenewed for a multiple of its duration, and only if it is unrenewed still when the
// change is applied. Each time the lease changes hands its term rises: the fencing token by
// which others tell a former holder from the present one.
package lease

import (
	"bytes"
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"comethold/internal/controlplane/schema"
	"comethold/internal/logging"
	"comethold/internal/paxos"
	"comethold/internal/rpc"
)

// How long a lease must be seen unrenewed before another node takes it, as a multiple of its
// duration.
const (
	// ClockSkewFactor is how much faster the fastest steady clock may run than the slowest
	// before a lease is unsafe.
	ClockSkewFactor = 3
	// FencedClockSkewFactor stands in its place where two holders at a time do no harm: what
	// they do bears the term, or the cell judges it when it is applied. The work of a holder
	// that is lost must go on before the others are in touch again.
	FencedClockSkewFactor = 2
)

const (
	// yieldPeriods is for how many durations a node that could not do the work lets others
	// go first; if none of them takes the lease, it does so all the same.
	yieldPeriods = 10
	// renewalsPerDuration is how often a holder renews the lease while it lasts.
	renewalsPerDuration = 3
	// stepsPerDuration is how often a node looks at the lease, at most, while it would last.
	stepsPerDuration = 8
	releaseTimeout   = 300 * time.Millisecond
)

// Cell is what a lease needs of the node's replica of the meta cell. *replicahost.Host
// implements it.
type Cell interface {
	// IsVoter reports whether this node votes in the meta cell.
	IsVoter() bool
	Get(cell, key string) (paxos.Value, bool)
	Propose(ctx context.Context, cell string, txn paxos.Txn) (committed bool, err error)
	// IncarnationEnded reports whether a replica is gone for good.
	IncarnationEnded(id paxos.ReplicaID) bool
}

// Options are what a Lease is made from.
type Options struct {
	Role     string          // the name of the work, under which the lease is stored
	Self     paxos.ReplicaID // this node
	Duration time.Duration
	// SkewFactor is ClockSkewFactor or FencedClockSkewFactor.
	SkewFactor int
	Cell       Cell
	Log        *logging.Logger
}

// Lease is this node's view of one lease. It is safe for concurrent use.
type Lease struct {
	role       string
	key        string
	self       paxos.ReplicaID
	duration   time.Duration
	skewFactor int
	cell       Cell
	log        *logging.Logger

	mu         sync.Mutex // guards the fields below
	term       uint64     // that this node holds or held last
	expiresAt  time.Time  // of what this node holds
	renewedAt  time.Time  // when this node asked for it last
	observed   []byte     // the record as it was seen last
	observedAt time.Time  // since when it is seen like that
	yieldUntil time.Time  // until then others go first: this node could not do the work
}

// New makes a lease that this node doesn't hold. Run acquires it.
func New(options Options) *Lease {
	return &Lease{
		role:       options.Role,
		key:        schema.LeaseKeyPrefix + options.Role,
		self:       options.Self,
		duration:   options.Duration,
		skewFactor: options.SkewFactor,
		cell:       options.Cell,
		log:        options.Log,
	}
}

// Held reports whether this node holds the lease now, and under which term.
func (l *Lease) Held() (term uint64, held bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.term, time.Now().Before(l.expiresAt)
}

// Remaining is how long this node still holds the lease under a term; 0 or less if it
// doesn't.
func (l *Lease) Remaining(term uint64) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.term != term {
		return 0
	}
	return time.Until(l.expiresAt)
}

// FenceCondition returns a condition that holds while nobody else has taken the lease: a
// transaction under it is one of its holder. It reports false if this node doesn't hold the
// lease under the term.
func (l *Lease) FenceCondition(term uint64) (condition paxos.Condition, held bool) {
	record, raw := l.readRecord()
	condition = paxos.Condition{Key: l.key, Equals: paxos.Bytes(raw)}
	held = raw != nil && record.Holder == l.self && record.Term == term && l.Remaining(term) > 0
	return condition, held
}

// Forfeit ends what this node holds; it may acquire the lease anew, under another term.
func (l *Lease) Forfeit() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expiresAt = time.Time{}
}

// Yield gives the lease back and lets others try: this node can't do the work.
func (l *Lease) Yield(ctx context.Context) {
	l.mu.Lock()
	l.yieldUntil = time.Now().Add(yieldPeriods * l.duration)
	l.mu.Unlock()
	l.release(context.WithoutCancel(ctx))
}

// Run acquires the lease when it is free and renews it, until ctx is done. Then it gives it
// back, so that another node need not wait. A proposal that was made is not cancelled: its
// outcome would not be known.
func (l *Lease) Run(ctx context.Context) {
	proposing := context.WithoutCancel(ctx)
	for {
		l.acquireOrRenew(proposing)
		jitter := time.Duration(rand.Float64() * float64(l.duration) / (2 * stepsPerDuration))
		select {
		case <-time.After(l.duration/stepsPerDuration + jitter):
		case <-ctx.Done():
			l.release(proposing)
			return
		}
	}
}

// readRecord returns the lease as it is applied here, and its encoding; nil if there is none.
func (l *Lease) readRecord() (record schema.LeaseRecord, raw []byte) {
	value, found := l.cell.Get(schema.MetaCell, l.key)
	if found && rpc.Unmarshal(value.Bytes, &record) == nil {
		raw = value.Bytes
	}
	return record, raw
}

// observation is what this node knows of the lease at one time.
type observation struct {
	isHolder  bool          // this node holds it
	isDue     bool          // for renewal
	unrenewed time.Duration // for how long the record was seen as it is
	yielding  time.Duration // that others are given to go first
}

func (l *Lease) acquireOrRenew(ctx context.Context) {
	if !l.cell.IsVoter() {
		return
	}
	record, raw := l.readRecord()
	seen := l.observe(record, raw)
	switch {
	case seen.isHolder:
		if seen.isDue {
			l.propose(ctx, raw, schema.LeaseRecord{Holder: record.Holder, Term: record.Term, Renewals: record.Renewals + 1})
		}
	case seen.unrenewed >= seen.yielding && l.isFree(record, seen):
		l.propose(ctx, raw, schema.LeaseRecord{Holder: l.self, Term: record.Term + 1})
	}
}

// observe notes the record as it is seen now.
func (l *Lease) observe(record schema.LeaseRecord, raw []byte) observation {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if !bytes.Equal(raw, l.observed) || l.observedAt.IsZero() {
		l.observed = raw
		l.observedAt = now
	}
	seen := observation{
		isHolder:  record.Holder == l.self && l.term == record.Term && now.Before(l.expiresAt),
		isDue:     now.Sub(l.renewedAt) >= l.duration/renewalsPerDuration,
		unrenewed: now.Sub(l.observedAt),
	}
	if now.Before(l.yieldUntil) {
		seen.yielding = l.duration / 2
	}
	return seen
}

// isFree reports whether this node may take the lease.
func (l *Lease) isFree(record schema.LeaseRecord, seen observation) bool {
	// What is recorded for this very node but not held is of a former incarnation, which is
	// over, or has expired by its own clock.
	if record.Holder == "" || record.Holder == l.self {
		return true
	}
	if seen.unrenewed >= time.Duration(l.skewFactor)*l.duration+seen.yielding {
		return true
	}
	// The machine of the holder came back with another disk.
	return seen.unrenewed >= l.duration && l.cell.IncarnationEnded(record.Holder)
}

// propose has the record replaced, and notes the lease as held if that is committed.
func (l *Lease) propose(ctx context.Context, old []byte, record schema.LeaseRecord) {
	askedAt := time.Now()
	ctx, cancel := context.WithTimeout(ctx, l.duration)
	defer cancel()
	committed, err := l.cell.Propose(ctx, schema.MetaCell, paxos.Txn{
		Conditions: []paxos.Condition{schema.UnchangedCondition(l.key, paxos.Bytes(old), old != nil)},
		Ops:        []paxos.Op{schema.PutOp(l.key, record)},
	})
	if err != nil || !committed {
		return
	}
	l.mu.Lock()
	isNew := l.term != record.Term
	l.term = record.Term
	l.renewedAt = askedAt
	l.expiresAt = askedAt.Add(l.duration)
	l.mu.Unlock()
	if isNew {
		l.log.Info(logging.LeaseAcquired).Str("lease", l.role).Uint64("term", record.Term).Msg("lease acquired")
	}
}

// release gives the lease back, if this node holds it.
func (l *Lease) release(ctx context.Context) {
	if _, held := l.Held(); !held {
		return
	}
	l.Forfeit()
	record, raw := l.readRecord()
	if record.Holder != l.self {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	free := schema.LeaseRecord{Term: record.Term, Renewals: record.Renewals + 1}
	// If it fails, the lease expires in the end.
	_, _ = l.cell.Propose(ctx, schema.MetaCell, paxos.Txn{
		Conditions: []paxos.Condition{schema.UnchangedCondition(l.key, paxos.Bytes(raw), true)},
		Ops:        []paxos.Op{schema.PutOp(l.key, free)},
	})
	l.log.Info(logging.LeaseReleased).Str("lease", l.role).Msg("lease released")
}
