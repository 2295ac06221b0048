// Package replicahost runs this node's replicas of the cells, the Paxos groups that hold
// the state of the control plane.
//
// A Host owns the replicas. Replicas do no I/O and need no locks: only the goroutine of
// Host.Run, the event loop, accesses them. The host passes ticks and messages from peers to
// the replicas, executes their writes and sends, and returns the outcomes of proposals and
// reads to the callers.
//
//	host := replicahost.New(replicahost.Options{Self: self, Storage: store, ...})
//	host.Open(schema.MetaCell, initialVoters)
//	go host.Run()
//	committed, err := host.Propose(ctx, schema.MetaCell, txn) // locally or by RPC to the leader
//	err = host.WaitLinearizable(ctx, schema.MetaCell)         // before a read that must be current
//	host.View(schema.MetaCell, func(replica *paxos.Replica) { ... })
//
// Propose and WaitLinearizable send a request to the leader of a cell, which may be on another
// node, and retry while there is no leader. View and Get read the state applied on this node,
// which may lag behind the leader.
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
	// ErrNoQuorum is returned when no leader of the cell answered in time. As far as this node
	// can tell, a majority of the cell's voters is unreachable. Nothing was changed.
	ErrNoQuorum = errors.New("replicahost: no leader of the cell answered in time")
	// ErrBusy is returned when the leader could not handle the request in time; see
	// ProposeResult.Busy. Nothing was changed.
	ErrBusy = errors.New("replicahost: the cell is busy")
	// ErrOutcomeUnknown is returned when the change may or may not have been committed.
	ErrOutcomeUnknown = errors.New("replicahost: the outcome of the change is unknown")
)

// Timing of the replicas. The reasons for these values are in docs/design.md.
const (
	tickInterval           = 50 * time.Millisecond
	heartbeatInterval      = 250 * time.Millisecond
	electionTimeout        = 900 * time.Millisecond
	indexHeartbeatInterval = 500 * time.Millisecond
	indexElectionTimeout   = 1800 * time.Millisecond
	helloInterval          = 500 * time.Millisecond
	// stallThreshold is the pause between two ticks above which this node is considered to
	// have been suspended. It received no messages during the pause, so the contact ages of
	// its peers are counted from the end of the pause.
	stallThreshold = time.Second
)

// Bounds of a replica's log and pipeline.
const (
	// Alpha is the number of log entries after which a membership change takes effect, and
	// the maximum number of entries in flight.
	Alpha                   = 3
	maxQueuedTransactions   = 24
	maxTransactionsPerEntry = 8
	retainedLogEntries      = 64
)

// Storage keeps the state of replicas on disk. *storage.Store implements it.
type Storage interface {
	// LoadReplica returns the stored state of a cell's replica; found is false if there is
	// none.
	LoadReplica(cell string) (state paxos.PersistedState, found bool, err error)
	// Submit stores writes and calls synced once they are durable. If the writes need no
	// sync, it returns true and doesn't call synced.
	Submit(cell string, writes paxos.Writes, synced func()) bool
}

// Hooks connect the host with the rest of the control plane: On... hooks receive events, the
// others return data for the host. Hooks that are nil are skipped.
type Hooks struct {
	// OnApply is called on the event loop when the applied state of a cell has changed.
	OnApply func(cell string, changed paxos.ChangedKeys)
	// EndpointRevision returns the revision of this node's endpoint list. It is sent to the
	// peers.
	EndpointRevision func() distribution.Revision
	// OnPeerEndpointRevision is called on the event loop with the revision of a peer's
	// endpoint list.
	OnPeerEndpointRevision func(address string, revision distribution.Revision)
	// RegisteredAddresses returns the addresses of the registered control nodes, including
	// those that are down.
	RegisteredAddresses func() []string
	// ReadClocks returns the wall clock time and the time agreed with the peers, both in
	// nanoseconds since 1970. The agreed time is 0 if it is not known.
	ReadClocks func() (wall, agreed int64)
	// OnPeerClocks is called on the event loop with the values of a peer's ReadClocks.
	OnPeerClocks func(address string, wall, agreed int64)
}

func (h Hooks) withDefaults() Hooks {
	if h.OnApply == nil {
		h.OnApply = func(string, paxos.ChangedKeys) {}
	}
	if h.EndpointRevision == nil {
		h.EndpointRevision = func() distribution.Revision { return distribution.Revision{} }
	}
	if h.OnPeerEndpointRevision == nil {
		h.OnPeerEndpointRevision = func(string, distribution.Revision) {}
	}
	if h.RegisteredAddresses == nil {
		h.RegisteredAddresses = func() []string { return nil }
	}
	if h.ReadClocks == nil {
		h.ReadClocks = func() (int64, int64) { return 0, 0 }
	}
	if h.OnPeerClocks == nil {
		h.OnPeerClocks = func(string, int64, int64) {}
	}
	return h
}

// Options configures a Host.
type Options struct {
	Self    PeerInfo
	Port    int      // on which control nodes listen for calls from other control nodes
	Seeds   []string // addresses of control nodes to contact first
	Storage Storage
	Client  *rpc.Client // for small messages and calls
	Network rpc.Network // for the separate connections that carry large messages
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

	// The fields below are accessed only on the event loop.

	replicas  map[string]*hostedReplica  // by cell
	addresses map[paxos.ReplicaID]string // node addresses of replicas
	seeds     []string
	stability stability

	proposalWaiters map[string]chan paxos.Outcome // by transaction ID
	readWaiters     map[uint64]chan uint64        // by read ID
	lastReadID      uint64

	lastHelloAt time.Duration
	lastTickAt  time.Duration
	resumedAt   time.Duration // when this node last resumed after a stall; see stallThreshold
}

// hostedReplica is a replica with the state that the host keeps about it.
type hostedReplica struct {
	replica  *paxos.Replica
	role     paxos.Role // as last logged
	openedAt time.Duration
}

// New returns a host without replicas. Run starts its event loop.
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

// Run runs the event loop until Stop is called. It always returns nil.
func (h *Host) Run() error {
	h.loop.run(tickInterval, h.tick)
	return nil
}

// Stop ends Run after the current task, and each sender goroutine after its current send.
func (h *Host) Stop() {
	h.loop.stop()
	h.transport.stop()
}

// Wait blocks until all sender goroutines have ended. It must be called after Stop. Sends that
// take longer than sendGrace are aborted.
func (h *Host) Wait() { h.transport.wait() }

// Enqueue queues a function for the event loop and returns without waiting for it to run.
func (h *Host) Enqueue(task func()) { h.loop.enqueue(task) }

// now returns the time since the host was created. The replicas use no other clock.
func (h *Host) now() time.Duration { return time.Since(h.start) }

// SetSeeds replaces the addresses of control nodes to contact first.
func (h *Host) SetSeeds(seeds []string) {
	h.Enqueue(func() { h.seeds = seeds })
}

// CallPeer makes an RPC to the control node at an IP address.
func (h *Host) CallPeer(ctx context.Context, address, path string, request, response any) error {
	return h.client.Call(ctx, net.JoinHostPort(address, strconv.Itoa(h.port)), path, request, response)
}

// Open starts this node's replica of a cell, unless it already runs. If the initial voters
// include this node and no state of the cell is stored, the replica starts as a voter of the
// new cell. A replica whose stored state cannot be read is not started. Open must be called
// before Run or on the event loop.
func (h *Host) Open(cell string, initialVoters []paxos.Voter) {
	if h.replicas[cell] != nil {
		return
	}
	saved, found, err := h.storage.LoadReplica(cell)
	if err != nil {
		// A replica whose state cannot be read must not vote, so it is not opened.
		h.log.Error(logging.ReplicaCorrupt).
			Str("cell", cell).
			Err(err).
			Msg("stored state of the replica cannot be read; not opening the replica")
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

// sendHellos sends a hello to all peers every helloInterval. A voter of the meta cell that
// knows the leader sends them half as often.
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
