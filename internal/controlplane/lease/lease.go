// Package lease assigns a singleton role, such as polling the platform, moving voters or
// reporting usage, to one node at a time.
//
// A lease is a record in the meta cell. The owner renews the record and measures the duration
// of the lease on its own monotonic clock, starting before it sends the proposal. Another
// node may acquire the lease only after it has observed the record unrenewed for a multiple
// of the duration, and only if the record is still unrenewed when the transaction is applied.
// The term rises with each change of owner. It is the fencing token that distinguishes a
// former owner from the current one.
//
// To add a role, define its name and create its lease in controlplane/startup.go, and start
// the lease's Run and the role's loop in controlplane/server.go.
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

// Factors for Options.SkewFactor. A node must observe a lease unrenewed for this multiple of
// its duration before it acquires the lease from another node.
const (
	// ClockSkewFactor guarantees a single owner as long as the fastest monotonic clock runs
	// at most this many times as fast as the slowest.
	ClockSkewFactor = 3
	// FencedClockSkewFactor is for roles in which two simultaneous owners do no harm, because
	// their writes are fenced by the term or by the conditions of their transactions. It
	// shortens the time without an owner after a failure.
	FencedClockSkewFactor = 2
)

const (
	// yieldDurations is the number of lease durations for which a node that yielded the lease
	// lets other nodes acquire it first: until then it acquires the lease only after the lease
	// has been free for half a duration.
	yieldDurations = 10
	// renewalsPerDuration is the number of renewals by the owner per lease duration.
	renewalsPerDuration = 3
	// checksPerDuration is the maximum number of checks of the record per lease duration.
	checksPerDuration = 8
	releaseTimeout    = 300 * time.Millisecond
)

// Cell provides access to the meta cell through this node's replica. *replicahost.Host
// implements it.
type Cell interface {
	// IsVoter reports whether this node votes in the meta cell.
	IsVoter() bool
	Get(cell, key string) (paxos.Value, bool)
	Propose(ctx context.Context, cell string, txn paxos.Txn) (committed bool, err error)
	// IsReplicaLost reports whether a replica will never return because its node has a new
	// replica ID.
	IsReplicaLost(id paxos.ReplicaID) bool
}

// Options configures a Lease.
type Options struct {
	Role     string          // part of the key under which the lease is stored
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
	term       uint64     // the last term under which this node held the lease
	expiresAt  time.Time  // when this node stops holding it
	renewedAt  time.Time  // when this node proposed its last committed renewal
	observed   []byte     // the record as last read
	observedAt time.Time  // when the record was first read with this content
	yieldUntil time.Time  // until then this node lets others acquire the lease first
}

// New returns a Lease that this node does not hold yet. Run acquires it.
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

// Remaining returns how long this node still holds the lease under a term. It is 0 or
// negative if this node does not hold the lease under that term.
func (l *Lease) Remaining(term uint64) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.term != term {
		return 0
	}
	return time.Until(l.expiresAt)
}

// FenceCondition returns a condition that is true while the lease record is unchanged. A
// transaction with it commits only if no other node has acquired the lease. It reports false
// if this node doesn't hold the lease under the term.
func (l *Lease) FenceCondition(term uint64) (condition paxos.Condition, held bool) {
	record, raw := l.readRecord()
	condition = paxos.Condition{Key: l.key, Equals: paxos.Bytes(raw)}
	held = raw != nil && record.Owner == l.self && record.Term == term && l.Remaining(term) > 0
	return condition, held
}

// Forfeit ends this node's hold on the lease without changing the record. The node may
// acquire the lease again under a new term.
func (l *Lease) Forfeit() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expiresAt = time.Time{}
}

// Yield releases the lease because this node can't do the work, and lets others acquire it
// first for yieldDurations durations.
func (l *Lease) Yield(ctx context.Context) {
	l.mu.Lock()
	l.yieldUntil = time.Now().Add(yieldDurations * l.duration)
	l.mu.Unlock()
	l.release(context.WithoutCancel(ctx))
}

// Run acquires the lease when it is free and renews it until ctx is done. Then it releases
// the lease, so that another node need not wait until it expires. A proposal in progress is
// not cancelled, since its outcome would be unknown.
func (l *Lease) Run(ctx context.Context) {
	proposing := context.WithoutCancel(ctx)
	for {
		l.acquireOrRenew(proposing)
		jitter := time.Duration(rand.Float64() * float64(l.duration) / (2 * checksPerDuration))
		select {
		case <-time.After(l.duration/checksPerDuration + jitter):
		case <-ctx.Done():
			l.release(proposing)
			return
		}
	}
}

// readRecord returns the lease record in this node's applied state and its encoding, which is
// nil if there is no valid record.
func (l *Lease) readRecord() (record schema.LeaseRecord, raw []byte) {
	value, found := l.cell.Get(schema.MetaCell, l.key)
	if found && rpc.Unmarshal(value.Bytes, &record) == nil {
		raw = value.Bytes
	}
	return record, raw
}

// observation is the state of the lease as this node sees it at one time.
type observation struct {
	isOwner    bool          // this node holds it
	renewalDue bool          // a renewal is due
	unrenewed  time.Duration // how long the record has been unchanged
	yieldDelay time.Duration // how long this node lets other nodes acquire a free lease first
}

func (l *Lease) acquireOrRenew(ctx context.Context) {
	if !l.cell.IsVoter() {
		// The node may have lost its vote while it was out of contact, and acquired the lease
		// again before it received that change. Releasing the lease here spares other nodes
		// the wait until it expires.
		l.release(ctx)
		return
	}
	record, raw := l.readRecord()
	seen := l.observe(record, raw)
	switch {
	case seen.isOwner:
		if seen.renewalDue {
			l.propose(ctx, raw, schema.LeaseRecord{Owner: record.Owner, Term: record.Term, Renewals: record.Renewals + 1})
		}
	case seen.unrenewed >= seen.yieldDelay && l.isFree(record, seen):
		l.propose(ctx, raw, schema.LeaseRecord{Owner: l.self, Term: record.Term + 1})
	}
}

// observe stores the record if it has changed since the last call, together with the time,
// and returns the resulting state of the lease.
func (l *Lease) observe(record schema.LeaseRecord, raw []byte) observation {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if !bytes.Equal(raw, l.observed) || l.observedAt.IsZero() {
		l.observed = raw
		l.observedAt = now
	}
	seen := observation{
		isOwner:    record.Owner == l.self && l.term == record.Term && now.Before(l.expiresAt),
		renewalDue: now.Sub(l.renewedAt) >= l.duration/renewalsPerDuration,
		unrenewed:  now.Sub(l.observedAt),
	}
	if now.Before(l.yieldUntil) {
		seen.yieldDelay = l.duration / 2
	}
	return seen
}

// isFree reports whether this node may take the lease.
func (l *Lease) isFree(record schema.LeaseRecord, seen observation) bool {
	// If the record names this node as the owner but the node doesn't hold the lease, the
	// lease has expired by the node's own clock, or was acquired by the node before a restart.
	if record.Owner == "" || record.Owner == l.self {
		return true
	}
	if seen.unrenewed >= time.Duration(l.skewFactor)*l.duration+seen.yieldDelay {
		return true
	}
	// If the owner's node has returned with a new disk, the replica in the record is lost.
	return seen.unrenewed >= l.duration && l.cell.IsReplicaLost(record.Owner)
}

// propose replaces the record whose encoding is old, or creates it if old is nil. If the
// transaction is committed, this node holds the lease for one duration from the time of the
// proposal.
func (l *Lease) propose(ctx context.Context, old []byte, record schema.LeaseRecord) {
	proposedAt := time.Now()
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
	l.renewedAt = proposedAt
	l.expiresAt = proposedAt.Add(l.duration)
	l.mu.Unlock()
	if isNew {
		l.log.Info(logging.LeaseAcquired).Str("lease", l.role).Uint64("term", record.Term).Msg("lease acquired")
	}
}

// release clears the owner in the record, if this node holds the lease.
func (l *Lease) release(ctx context.Context) {
	if _, held := l.Held(); !held {
		return
	}
	l.Forfeit()
	record, raw := l.readRecord()
	if record.Owner != l.self {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	free := schema.LeaseRecord{Term: record.Term, Renewals: record.Renewals + 1}
	// If this fails, the lease expires.
	_, _ = l.cell.Propose(ctx, schema.MetaCell, paxos.Txn{
		Conditions: []paxos.Condition{schema.UnchangedCondition(l.key, paxos.Bytes(raw), true)},
		Ops:        []paxos.Op{schema.PutOp(l.key, free)},
	})
	l.log.Info(logging.LeaseReleased).Str("lease", l.role).Msg("lease released")
}
