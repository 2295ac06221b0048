// Package replicahost runs this node's replicas of the cells, the Paxos groups that hold
// the state of the control plane.
//
// A Host owns the replicas. They do no I/O themselves and need no locks: all of them belong
// to the goroutine of Host.Run, the event loop. The host feeds them with ticks and with
// messages of the peers, performs their writes and sends, and returns the outcomes of
// proposals and reads to their callers.
//
//	host := replicahost.New(replicahost.Options{Self: self, Storage: store, ...})
//	host.Open(schema.MetaCell, initialVoters)
//	go host.Run()
//	committed, err := host.Propose(ctx, schema.MetaCell, txn) // here or at the leader
//	err = host.WaitLinearizable(ctx, schema.MetaCell)         // before a read that must be current
//	host.View(schema.MetaCell, func(replica *paxos.Replica) { ... })
//
// Propose and WaitLinearizable reach the leader of a cell wherever it is, and retry while
// there is none. View and Get look at the state as it is applied here, which may lag.
package replicahost

import (
	"context"
	"errors"
	mrand "math/rand/v2"
	"net"
	"strconv"
	"time"

	"comethold/internal/controlplane/schema"
	"comethold/internal/distribution"
	"comethold/internal/logging"
	"comethold/internal/paxos"
	"comethold/internal/rpc"
)

// Errors of proposals and linearizable reads.
var (
	// ErrNoQuorum says that no leader answered in time. As far as this node can tell, a
	// majority of the cell's voters is unreachable. Nothing was changed.
	ErrNoQuorum = errors.New("replicahost: no leader of the cell answers")
	// ErrBusy says that the leader's pipeline is full. Nothing was changed.
	ErrBusy = errors.New("replicahost: the cell refuses more work")
	// ErrOutcomeUnknown says that the change may or may not have been committed.
	ErrOutcomeUnknown = errors.New("replicahost: the outcome of the change is not known")
)

// Timing of the replicas. The reasons for these values are in docs/design.md.
const (
	tickInterval           = 50 * time.Millisecond
	heartbeatInterval      = 250 * time.Millisecond
	electionTimeout        = 900 * time.Millisecond
	indexHeartbeatInterval = 500 * time.Millisecond
	indexElectionTimeout   = 1800 * time.Millisecond
	helloInterval          = 500 * time.Millisecond
	// stallThreshold is the pause between two ticks from which this node counts as having
	// been suspended: it received nothing meanwhile, so its peers' contact ages restart.
	stallThreshold = time.Second
)

// Bounds of a replica's log and pipeline.
const (
	// Alpha is the number of log entries after which a membership change takes effect, and
	// the number of entries that may be proposed at a time.
	Alpha                   = 3
	maxQueuedTransactions   = 24
	maxTransactionsPerEntry = 8
	retainedLogEntries      = 64
)

// Storage keeps the state of replicas on disk. *storage.Store implements it.
type Storage interface {
	// LoadReplica returns what is stored of a cell's replica, if anything.
	LoadReplica(cell string) (state paxos.PersistedState, found bool, err error)
	// Submit stores writes and calls synced once they are durable. It returns true, and
	// doesn't call synced, if nothing had to be waited for.
	Submit(cell string, writes paxos.Writes, synced func()) bool
}

// Hooks connect the host with the rest of the control plane: On... hooks receive events, the
// others return data for the host. Hooks that are nil are skipped.
type Hooks struct {
	// OnApply is called on the event loop when the applied state of a cell has changed.
	OnApply func(cell string, changed paxos.ChangedKeys)
	// EndpointRevision is the revision of the endpoint list held here, for the peers.
	EndpointRevision func() distribution.Revision
	// OnPeerEndpointRevision is called on the event loop with the revision that a peer holds.
	OnPeerEndpointRevision func(address string, revision distribution.Revision)
	// RegisteredAddresses lists the control nodes that are registered, down or not.
	RegisteredAddresses func() []string
	// ReadClocks returns the time of day and the agreed time or 0, in nanoseconds.
	ReadClocks func() (wall, agreed int64)
	// OnPeerClocks is called on the event loop with the clocks of a peer.
	OnPeerClocks func(address string, wall, agreed int64)
}

func (k Hooks) withDefaults() Hooks {
	if k.OnApply == nil {
		k.OnApply = func(string, paxos.ChangedKeys) {}
	}
	if k.EndpointRevision == nil {
		k.EndpointRevision = func() distribution.Revision { return distribution.Revision{} }
	}
	if k.OnPeerEndpointRevision == nil {
		k.OnPeerEndpointRevision = func(string, distribution.Revision) {}
	}
	if k.RegisteredAddresses == nil {
		k.RegisteredAddresses = func() []string { return nil }
	}
	if k.ReadClocks == nil {
		k.ReadClocks = func() (int64, int64) { return 0, 0 }
	}
	if k.OnPeerClocks == nil {
		k.OnPeerClocks = func(string, int64, int64) {}
	}
	return k
}

// Options are what a Host is made from.
type Options struct {
	Self    PeerInfo
	Port    int      // on which control nodes listen for one another
	Seeds   []string // addresses of control nodes to contact first
	Storage Storage
	Client  *rpc.Client // for small messages and calls
	Network rpc.Network // for connections of the host's own, which carry large messages
	Log     *logging.Logger
	Hooks   Hooks
}

// Host runs the replicas of one node.
type Host struct {
	Self PeerInfo // never changes

	port      int
	storage   Storage
	log       *logging.Logger
	client    *rpc.Client
	start     time.Time
	hooks     Hooks
	loop      *eventLoop
	transport *transport
	peers     *peerTable

	// The fields below belong to the event loop.

	replicas  map[string]*hostedReplica  // by cell
	addresses map[paxos.ReplicaID]string // where replicas are
	seeds     []string
	stability stability

	proposalWaiters map[string]chan paxos.Outcome // by transaction ID
	readWaiters     map[uint64]chan uint64        // by read ID
	lastReadID      uint64

	lastHelloAt time.Duration
	lastTickAt  time.Duration
	resumedAt   time.Duration // when this node last resumed after a stall; see stallThreshold
}

// hostedReplica is a replica and the host's bookkeeping of it.
type hostedReplica struct {
	replica  *paxos.Replica
	role     paxos.Role // as last logged
	openedAt time.Duration
}

// New makes a host without replicas. Run starts it.
func New(options Options) *Host {
	h := &Host{
		Self:            options.Self,
		port:            options.Port,
		storage:         options.Storage,
		log:             options.Log,
		client:          options.Client,
		start:           time.Now(),
		hooks:           options.Hooks.withDefaults(),
		loop:            newEventLoop(),
		peers:           newPeerTable(),
		replicas:        map[string]*hostedReplica{},
		addresses:       map[paxos.ReplicaID]string{},
		seeds:           options.Seeds,
		proposalWaiters: map[string]chan paxos.Outcome{},
		readWaiters:     map[uint64]chan uint64{},
	}
	h.transport = newTransport(options.Network, options.Client, options.Port, h.newBatch)
	return h
}

// Run is the event loop. It returns after Stop.
func (h *Host) Run() error {
	h.loop.run(tickInterval, h.tick)
	return nil
}

// Stop ends Run, and each sender after its current send.
func (h *Host) Stop() {
	h.loop.stop()
	h.transport.stop()
}

// Wait waits, after Stop, until all senders have ended.
func (h *Host) Wait() { h.transport.wait() }

// Enqueue queues a function for the event loop and returns without waiting for it to run.
func (h *Host) Enqueue(task func()) { h.loop.enqueue(task) }

// now is the time since the host was made. It is the only clock of the replicas.
func (h *Host) now() time.Duration { return time.Since(h.start) }

// SetSeeds replaces the addresses of control nodes to contact first.
func (h *Host) SetSeeds(seeds []string) {
	h.Enqueue(func() { h.seeds = seeds })
}

// CallPeer makes an RPC to the control node at an IP address.
func (h *Host) CallPeer(ctx context.Context, address, path string, request, response any) error {
	return h.client.Call(ctx, net.JoinHostPort(address, strconv.Itoa(h.port)), path, request, response)
}

// Open starts this node's replica of a cell, unless it runs already. If the initial voters
// include this node and nothing of the cell is stored, the replica starts as a voter of the
// new cell. It must be called before Run or on the event loop.
func (h *Host) Open(cell string, initialVoters []paxos.Voter) {
	if h.replicas[cell] != nil {
		return
	}
	saved, found, err := h.storage.LoadReplica(cell)
	if err != nil {
		// A replica that cannot be read must not vote, so it stays closed.
		h.log.Error(logging.ReplicaCorrupt).
			Str("cell", cell).
			Err(err).
			Msg("the replica on this disk cannot be read; it stays closed")
		return
	}
	if !found && (paxos.Membership{Voters: initialVoters}).Contains(h.Self.ID) {
		saved.Snapshot = initialSnapshot(initialVoters)
		h.storage.Submit(cell, paxos.Writes{Snapshot: saved.Snapshot}, func() {})
	}
	now := h.now()
	replica := paxos.NewReplica(replicaConfig(cell, h.Self.ID), saved, now)
	h.replicas[cell] = &hostedReplica{replica: replica, openedAt: now}
	h.log.Info(logging.ReplicaOpened).
		Str("cell", cell).
		Bool("voter", replica.IsVoter()).
		Uint64("applied", replica.AppliedIndex()).
		Msg("replica opened")
	h.recordVoterAddresses(replica)
	h.hooks.OnApply(cell, paxos.ChangedKeys{All: true})
}

// Close ends this node's replica of a cell that was removed. It must be called on the event
// loop.
func (h *Host) Close(cell string) { delete(h.replicas, cell) }

func replicaConfig(cell string, self paxos.ReplicaID) paxos.Config {
	config := paxos.Config{
		Cell:              cell,
		Self:              self,
		Alpha:             Alpha,
		MaxQueue:          maxQueuedTransactions,
		MaxBatch:          maxTransactionsPerEntry,
		RetainedEntries:   retainedLogEntries,
		HeartbeatInterval: heartbeatInterval,
		ElectionTimeout:   electionTimeout,
		Jitter:            mrand.Float64,
	}
	if cell != schema.MetaCell {
		config.HeartbeatInterval = indexHeartbeatInterval
		config.ElectionTimeout = indexElectionTimeout
	}
	return config
}

func (h *Host) tick() {
	now := h.now()
	if now-h.lastTickAt > stallThreshold {
		h.resumedAt = now
	}
	h.lastTickAt = now
	h.reportUnreachableLeaders(now)
	for cell, hosted := range h.replicas {
		hosted.replica.Tick(now)
		h.processReady(cell, hosted)
	}
	h.observeStability(now)
	h.sendHellos(now)
}

// sendHellos sends a hello to all peers every helloInterval, or half as often from a voter
// that knows the leader.
func (h *Host) sendHellos(now time.Duration) {
	interval := helloInterval
	if meta := h.Replica(schema.MetaCell); meta != nil && meta.IsVoter() && meta.Leader() != "" {
		interval = 2 * helloInterval
	}
	if now-h.lastHelloAt < interval {
		return
	}
	h.lastHelloAt = now
	h.refreshLearners()
	for _, address := range h.PeerAddresses() {
		h.transport.send(address, nil)
	}
}
