// Package reconcile updates the replicated state from the observations of this control node:
// the node list from contacts and missed heartbeats, the ejection marks from the reports of
// nodes and the platform's endpoint list, and the index cells from the configuration.
//
// All control nodes reconcile. Each change is a transaction on the condition that the value to
// replace is unchanged, so a delayed or repeated transaction has no effect. The next round
// computes the remaining changes again. Changes that only one node should make require a lease;
// see Reconciler.round.
package reconcile

import (
	"context"
	"time"

	"comethold/internal/controlplane/nodereports"
	"comethold/internal/controlplane/replicahost"
	"comethold/internal/distribution"
	"comethold/internal/logging"
	"comethold/internal/paxos"
)

// Timing of the rounds. The reasons for these values are in docs/design.md.
const (
	roundInterval   = 400 * time.Millisecond
	wakeDelay       = 30 * time.Millisecond // delay between Wake and the round, to batch reports
	proposalTimeout = 1200 * time.Millisecond
)

// Cells reads the replicated cells and proposes transactions to them. *replicahost.Host
// implements it.
type Cells interface {
	View(cell string, read func(*paxos.Replica)) bool
	Get(cell, key string) (value paxos.Value, found bool)
	Propose(ctx context.Context, cell string, txn paxos.Txn) (committed bool, err error)
	QuorumContactAge() time.Duration
}

// Peers provides the contact state of the other control nodes. *replicahost.Host implements it.
type Peers interface {
	Do(task func())
	LivePeers(within time.Duration) map[string]replicahost.PeerInfo
	// ContactAge must be called in a function that is passed to Do.
	ContactAge(address string) time.Duration
}

// Lists provides the node list and the endpoint list. *distributor.Distributor implements it.
type Lists interface {
	Nodes() map[string]distribution.Node
	Endpoints() *distribution.EndpointList
	EndpointsRevision() distribution.Revision
}

// Lease is the lease of a singleton role.
type Lease interface {
	Held() (term uint64, held bool)
}

// Prober checks whether a node is reachable.
type Prober interface {
	Probe(ctx context.Context, node distribution.Node) error
}

// Options configures a Reconciler. All fields are required.
type Options struct {
	Self    replicahost.PeerInfo
	Cells   Cells
	Peers   Peers
	Lists   Lists
	Reports *nodereports.Tracker
	Prober  Prober
	// DiscoveryLease is the lease of the node that polls the platform's endpoint list.
	DiscoveryLease Lease
	// PlacementLease is the lease of the node that manages the index cells.
	PlacementLease Lease
	Log            *logging.Logger
}

// Reconciler runs the reconcilers of a control node one after another.
type Reconciler struct {
	options Options
	wake    chan struct{} // has capacity for one signal

	nodes     *nodeReconciler
	marks     *markReconciler
	shardSets *shardSetReconciler
	purges    *purgeCompactor
}

// New returns a Reconciler. Run starts it.
func New(options Options) *Reconciler {
	cells := committer{options.Cells}
	return &Reconciler{
		options:   options,
		wake:      make(chan struct{}, 1),
		nodes:     newNodeReconciler(options, cells),
		marks:     newMarkReconciler(options, cells),
		shardSets: &shardSetReconciler{cells: cells},
		purges:    newPurgeCompactor(cells),
	}
}

// Wake schedules a round after wakeDelay. It does not block.
func (r *Reconciler) Wake() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Record records the reports of a node, and wakes the reconciler if they are urgent.
func (r *Reconciler) Record(request *distribution.UpdateRequest) {
	if r.options.Reports.Record(request, time.Now()) {
		r.Wake()
	}
}

// Run executes a round every roundInterval, and wakeDelay after a call of Wake, until ctx is
// done.
func (r *Reconciler) Run(ctx context.Context) {
	for r.wait(ctx) {
		if r.options.Cells.QuorumContactAge() > replicahost.StaleAfter {
			continue // the local state may be stale, and a proposal would not reach a quorum
		}
		r.round(ctx)
	}
}

// wait blocks until the next round is due and returns true. It returns false if ctx is done.
func (r *Reconciler) wait(ctx context.Context) bool {
	select {
	case <-time.After(roundInterval):
		return true
	case <-r.wake:
	case <-ctx.Done():
		return false
	}
	select {
	case <-time.After(wakeDelay):
		return true
	case <-ctx.Done():
		return false
	}
}

func (r *Reconciler) round(ctx context.Context) {
	r.Record(&distribution.UpdateRequest{Node: controlNode(r.options.Self)})
	for _, node := range r.nodes.unlistedPeers() {
		r.Record(&distribution.UpdateRequest{Node: node})
	}
	r.nodes.reconcile(ctx)
	r.marks.applyReports(ctx)
	// An endpoint list that was polled in another term of the lease may be outdated.
	term, held := r.options.DiscoveryLease.Held()
	if held && r.options.Lists.EndpointsRevision().Term == term {
		r.marks.applyEndpointList(ctx)
	}
	if _, held := r.options.PlacementLease.Held(); held {
		r.shardSets.reconcile(ctx)
		r.purges.compact(ctx)
		r.nodes.expire(ctx)
	}
}

// committer proposes the transactions of the reconcilers.
type committer struct {
	Cells
}

// commit proposes a transaction and reports whether it is known to be committed. The proposal
// continues if ctx is cancelled, which happens when the node stops.
func (c committer) commit(ctx context.Context, cell string, txn paxos.Txn) bool {
	committed, err := c.propose(ctx, cell, txn)
	return committed && err == nil
}

// propose proposes a transaction and waits for at most proposalTimeout, even if ctx is
// cancelled.
func (c committer) propose(ctx context.Context, cell string, txn paxos.Txn) (committed bool, err error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), proposalTimeout)
	defer cancel()
	return c.Propose(ctx, cell, txn)
}
