// Package registrar is the control plane: it hosts the cells of a node, takes
// the operator's configurations and feeds the switches.
package replicahost

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	mrand "math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"comethold/internal/controlplane/schema"
	"comethold/internal/distribution"
	"comethold/internal/logging"
	"comethold/internal/paxos"
	"comethold/internal/rpc"
	"comethold/internal/storage"
)

// Errors of this layer.
var (
	ErrNoQuorum       = errors.New("registrar: the cell has no proposer that answers")
	ErrBusy           = errors.New("registrar: the cell refuses more work")
	ErrOutcomeUnknown = errors.New("registrar: what became of the change is not known")
)

// Timing of the cells. Ours; see docs/design.md.
const (
	tickInterval            = 50 * time.Millisecond
	heartbeatInterval       = 250 * time.Millisecond
	electionTimeout         = 900 * time.Millisecond
	indexHeartbeatInterval  = 500 * time.Millisecond
	indexElectionTimeout    = 1800 * time.Millisecond
	Alpha                   = 3
	maxQueuedTransactions   = 24
	maxTransactionsPerEntry = 8
	logEntriesKept          = 64
	helloInterval           = 500 * time.Millisecond
	LearnerTimeout          = 10 * time.Second // a registrar unheard for longer is not kept current
	stallThreshold          = time.Second      // a pause between ticks after which silence proves nothing
	MinReplicaAge           = time.Second      // of a cell, before its seats move
	CandidateTimeout        = 3 * time.Second  // a registrar unheard for longer is given no seat
	sendersPerPeer          = 3
	maxRetryBackoff         = 300 * time.Millisecond
	noLeaderBackoff         = 60 * time.Millisecond
	IdentityKey             = "identity" // in the vault
)

// Host runs the cells of one node. All cell state belongs to the goroutine of
// Run; others get at it with do.
type Host struct {
	Self       PeerInfo
	Port       int
	Storage    *storage.Store
	Log        *logging.Logger
	Client     *rpc.Client
	bulkClient *rpc.Client // for large messages
	start      time.Time

	tasks     chan func()
	quit      chan struct{}
	Replicas  map[string]*paxos.Replica
	roles     map[string]paxos.Role
	Addresses map[paxos.ReplicaID]string // where members live
	Seeds     []string

	proposalWaiters map[string]chan paxos.Outcome
	readWaiters     map[uint64]chan uint64
	lastReadID      uint64

	peersMu          sync.Mutex
	peers            map[string]*peer
	replacedReplicas map[paxos.ReplicaID]bool // members whose disk was lost

	// OnApply is called on the loop when a cell's state moved.
	OnApply func(name string, what paxos.ChangedKeys)
	// EndpointListVersion is the stamp of the leaf list held here; seen is told of others'.
	EndpointListVersion func() distribution.Revision
	OnPeerEndpointList  func(addr string, at distribution.Revision)
	RegisteredAddresses func() []string // addresses of the registrars in the directory
	ReadClocks          func() (wall, agreed int64)
	OnPeerClocks        func(addr string, wall, agreed int64)
	lastHelloAt         time.Duration
	lastTickAt          time.Duration
	resumedAt           time.Duration // this node stood still until then and heard nobody
	OpenedAt            map[string]time.Duration

	// Of the exchange cell: who led and who had seats at the last look, and when either
	// was another last, or a registrar came, or the majority was out of touch; and when
	// it got a further seat.
	lastLeader   paxos.ReplicaID
	lastVoters   []paxos.Voter
	DisturbedAt  time.Duration
	VoterAddedAt time.Duration
}

// NewHost opens the node's cells from its vault.
func NewHost(self PeerInfo, port int, seeds []string, v *storage.Store, n rpc.Network, log *logging.Logger) *Host {
	return &Host{Self: self, Port: port, Storage: v, Log: log, Client: rpc.NewClient(n), bulkClient: rpc.NewClientWithLimits(rpc.WithSendBuffer(n, bulkUnsentBytes), 2*time.Second, bulkSilenceTimeout, 1), start: time.Now(),
		tasks: make(chan func(), 256), quit: make(chan struct{}), Replicas: map[string]*paxos.Replica{},
		roles: map[string]paxos.Role{}, Addresses: map[paxos.ReplicaID]string{}, proposalWaiters: map[string]chan paxos.Outcome{},
		readWaiters: map[uint64]chan uint64{}, peers: map[string]*peer{}, replacedReplicas: map[paxos.ReplicaID]bool{}, Seeds: seeds,
		OpenedAt: map[string]time.Duration{}, OnApply: func(string, paxos.ChangedKeys) {},
		EndpointListVersion: func() distribution.Revision { return distribution.Revision{} }, OnPeerEndpointList: func(string, distribution.Revision) {},
		RegisteredAddresses: func() []string { return nil },
		ReadClocks:          func() (int64, int64) { return 0, 0 }, OnPeerClocks: func(string, int64, int64) {}}
}

// LoadOrCreateIdentity returns the member name of this life of the disk, made and synced at its
// first start. Only the very first start of the system may use a name that the first
// membership counts on, and not where a file was put aside: that name may have voted.
// A founder's part of the first cell is synced with its name, so a founder that was
// stopped in between is one nevertheless.
func LoadOrCreateIdentity(v *storage.Store, addr string, first, setAside bool, founders []paxos.Voter) (id paxos.ReplicaID, fresh bool, err error) {
	if old := v.NodeValue(IdentityKey); len(old) > 0 {
		return paxos.ReplicaID(old), false, nil
	}
	if first && !setAside {
		id = paxos.ReplicaID(addr)
	} else {
		var b [6]byte
		if _, err := rand.Read(b[:]); err != nil {
			return "", false, err
		}
		id = paxos.ReplicaID(addr + "~" + hex.EncodeToString(b[:]))
	}
	var w paxos.Writes
	if (paxos.Membership{Voters: founders}).Contains(id) {
		w.Snapshot = foundingSnapshot(founders)
	}
	return id, true, v.Bootstrap(IdentityKey, []byte(id), schema.MetaCell, w)
}

// foundingSnapshot is the state of a cell at its beginning.
func foundingSnapshot(seats []paxos.Voter) *paxos.Snapshot {
	return &paxos.Snapshot{State: map[string]paxos.Value{}, Memberships: []paxos.Membership{{EffectiveFrom: 1, Voters: seats}}}
}

func (h *Host) Now() time.Duration { return time.Since(h.start) }

func (h *Host) replicaParams(name string) paxos.Config {
	p := paxos.Config{Cell: name, Self: h.Self.ID, Alpha: Alpha, MaxQueue: maxQueuedTransactions, MaxBatch: maxTransactionsPerEntry,
		RetainedEntries: logEntriesKept, HeartbeatInterval: heartbeatInterval, ElectionTimeout: electionTimeout, Jitter: mrand.Float64}
	if name != schema.MetaCell {
		p.HeartbeatInterval, p.ElectionTimeout = indexHeartbeatInterval, indexElectionTimeout
	}
	return p
}

// Open starts the member of a cell. founders, if it names this node and the
// disk knows nothing of the cell, makes it a voter of the new cell.
func (h *Host) Open(name string, founders []paxos.Voter) {
	if h.Replicas[name] != nil {
		return
	}
	saved, found, err := h.Storage.LoadReplica(name)
	if err != nil {
		// What cannot be read must not vote: the member stays away, the
		// others go on, and the node's log says so.
		h.Log.Error(logging.ReplicaCorrupt).Str("cell", name).Err(err).Msg("the cell on this disk cannot be read")
		return
	}
	if !found {
		for _, s := range founders {
			if s.ID == h.Self.ID {
				saved.Snapshot = foundingSnapshot(founders)
			}
		}
		if saved.Snapshot != nil {
			h.Storage.Submit(name, paxos.Writes{Snapshot: saved.Snapshot}, func() {})
		}
	}
	h.Replicas[name] = paxos.NewReplica(h.replicaParams(name), saved, h.Now())
	h.OpenedAt[name] = h.Now()
	h.Log.Info(logging.ReplicaOpened).Str("cell", name).Bool("voter", h.Replicas[name].IsVoter()).Uint64("applied", h.Replicas[name].AppliedIndex()).Msg("cell opened")
	h.recordVoterAddresses(name)
	h.OnApply(name, paxos.ChangedKeys{All: true})
}

// Close ends the member of a cell that is no more.
func (h *Host) Close(name string) { delete(h.Replicas, name); delete(h.roles, name) }

// Run is the loop that owns the cells.
func (h *Host) Run() error {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case f := <-h.tasks:
			f()
		case <-t.C:
			h.tick()
		case <-h.quit:
			return nil
		}
	}
}

// Stop ends Run.
func (h *Host) Stop() { close(h.quit) }

// Enqueue runs f on the loop, without waiting for it.
func (h *Host) Enqueue(f func()) {
	select {
	case h.tasks <- f:
	case <-h.quit:
	}
}

// Do runs f on the loop and waits for it. Once the node ends, f has either run whole by
// the time ask returns or never will: what f sets may be looked at.
func (h *Host) Do(f func()) {
	var taken atomic.Bool
	done := make(chan struct{})
	h.Enqueue(func() {
		if taken.CompareAndSwap(false, true) {
			f()
			close(done)
		}
	})
	select {
	case <-done:
	case <-h.quit:
		if !taken.CompareAndSwap(false, true) {
			<-done
		}
	}
}

func (h *Host) tick() {
	now := h.Now()
	if now-h.lastTickAt > stallThreshold {
		h.resumedAt = now
	}
	h.lastTickAt = now
	for name, m := range h.Replicas {
		m.Tick(now)
		h.processReady(name, m)
	}
	h.ObserveStability(now)
	every := helloInterval
	if ex := h.Replicas[schema.MetaCell]; ex != nil && ex.IsVoter() && ex.Leader() != "" {
		every = 2 * helloInterval
	}
	if now-h.lastHelloAt >= every {
		h.lastHelloAt = now
		h.refreshLearners()
		for _, a := range h.PeerAddresses() {
			h.enqueueForPeer(a, nil)
		}
	}
}

// ObserveStability notes when the exchange cell was not at rest, as far as this node knows.
func (h *Host) ObserveStability(now time.Duration) {
	m := h.Replicas[schema.MetaCell]
	if m == nil {
		return
	}
	seats, _ := m.Voters()
	if m.Leader() == "" || m.Leader() != h.lastLeader || m.Staleness(now) > StaleAfter || !slices.Equal(seats, h.lastVoters) {
		if len(seats) > len(h.lastVoters) {
			h.VoterAddedAt = now
		}
		h.lastLeader, h.lastVoters, h.DisturbedAt = m.Leader(), slices.Clone(seats), now
	}
}

// IsVoter reports whether this node votes in the exchange cell: only those who
// do hear every registrar.
func (h *Host) IsVoter() (yes bool) {
	h.Do(func() {
		m := h.Replicas[schema.MetaCell]
		yes = m != nil && m.IsVoter()
	})
	return yes
}

func (h *Host) recordVoterAddresses(name string) {
	if m := h.Replicas[name]; m != nil {
		seats, _ := m.Voters()
		for _, s := range seats {
			h.Addresses[s.ID] = s.Addr
		}
	}
}

// processReady carries out what a member wants done.
func (h *Host) processReady(name string, m *paxos.Replica) {
	for {
		out := m.Ready()
		if out.StateChanged {
			h.recordVoterAddresses(name)
		}
		after := out.MessagesAfterSync
		loop := h.sendToPeers(out.Messages)
		if len(after) > 0 || !out.Writes.Empty() {
			synced := h.Storage.Submit(name, out.Writes, func() {
				h.Enqueue(func() {
					if h.Replicas[name] != m {
						return
					}
					for _, own := range h.sendToPeers(after) {
						m.Step(h.Now(), own)
					}
					h.processReady(name, m)
				})
			})
			if synced {
				loop = append(loop, h.sendToPeers(after)...)
			}
		}
		for _, d := range out.Outcomes {
			if w := h.proposalWaiters[d.TxnID]; w != nil {
				delete(h.proposalWaiters, d.TxnID)
				w <- d
			}
		}
		for _, r := range out.ConfirmedReads {
			if w := h.readWaiters[r]; w != nil {
				delete(h.readWaiters, r)
				w <- m.AppliedIndex()
			}
		}
		if r := m.Role(); r != h.roles[name] {
			h.roles[name] = r
			h.Log.Info(logging.ReplicaRoleChanged).Str("cell", name).Stringer("role", r).Uint64("applied", m.AppliedIndex()).Msg("role changed")
		}
		if out.StateChanged {
			h.OnApply(name, out.ChangedKeys)
		}
		if len(loop) == 0 {
			return
		}
		for _, own := range loop {
			m.Step(h.Now(), own)
		}
	}
}

// Get reads a key of the applied state.
func (h *Host) Get(name, key string) (v paxos.Value, ok bool) {
	h.Do(func() {
		if m := h.Replicas[name]; m != nil {
			v, ok = m.Get(key)
		}
	})
	return v, ok
}

const (
	StaleAfter = 2 * time.Second // since a majority surely followed the proposer; others know it a beat or two later
)
