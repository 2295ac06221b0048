package replicahost

import (
	"sync"
	"time"

	"comethold/internal/controlplane/schema"
	"comethold/internal/paxos"
)

// PeerInfo introduces a control node to the others.
type PeerInfo struct {
	ID   paxos.ReplicaID `cbor:"1,keyasint"`
	Addr string          `cbor:"2,keyasint"` // IP address
	Zone string          `cbor:"3,keyasint"`
	Name string          `cbor:"4,keyasint"` // of the node, as in its settings
}

// Time-outs after which a peer that is not heard counts for less.
const (
	// LearnerTimeout is the silence after which a peer without a vote is no longer kept up
	// to date.
	LearnerTimeout = 10 * time.Second
	// CandidateTimeout is the silence after which a peer is not made a voter.
	CandidateTimeout = 3 * time.Second
	// DownTimeout is the silence after which a voter is replaced, and a control node is
	// registered as down.
	DownTimeout = 5 * time.Second
)

// peerTable knows which control nodes were heard and when. Times are those since the host
// was made.
type peerTable struct {
	mu       sync.Mutex               // guards the fields below
	peers    map[string]peerState     // by address
	replaced map[paxos.ReplicaID]bool // replicas whose node has come back under another ID
}

type peerState struct {
	info      PeerInfo
	lastHeard time.Duration
}

func newPeerTable() *peerTable {
	return &peerTable{
		peers:    map[string]peerState{},
		replaced: map[paxos.ReplicaID]bool{},
	}
}

// contact is what a message from a peer reveals about it.
type contact struct {
	// isNew says that the peer was not known under its ID.
	isNew bool
	// replaced is the ID under which the peer was known before, or empty.
	replaced paxos.ReplicaID
	// silence is how long the peer had not been heard.
	silence time.Duration
}

// record notes that a peer was heard.
func (t *peerTable) record(info PeerInfo, now time.Duration) contact {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.replaced, info.ID)
	known := t.peers[info.Addr]
	found := contact{
		isNew:   known.info.ID != info.ID,
		silence: now - known.lastHeard,
	}
	if found.isNew && known.info.ID != "" {
		found.replaced = known.info.ID
		t.replaced[known.info.ID] = true
	}
	t.peers[info.Addr] = peerState{info: info, lastHeard: now}
	return found
}

// heardSince lists the peers that were heard after a time, by address.
func (t *peerTable) heardSince(since time.Duration) map[string]PeerInfo {
	t.mu.Lock()
	defer t.mu.Unlock()
	heard := map[string]PeerInfo{}
	for address, peer := range t.peers {
		if peer.lastHeard > since {
			heard[address] = peer.info
		}
	}
	return heard
}

// lastHeard is when the peer at an address was heard last; 0 if it never was.
func (t *peerTable) lastHeard(address string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.peers[address].lastHeard
}

// isReplaced reports whether the node of a replica was heard under another ID since.
func (t *peerTable) isReplaced(id paxos.ReplicaID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.replaced[id]
}

// LivePeers lists, by address, the control nodes heard within a time, this one among them.
func (h *Host) LivePeers(within time.Duration) map[string]PeerInfo {
	live := h.peers.heardSince(h.now() - within)
	if _, isListed := live[h.Self.Addr]; !isListed {
		live[h.Self.Addr] = h.Self
	}
	return live
}

// SilenceOf is how long a control node has been silent, as far as this node was in a state
// to hear it. It must be called on the event loop, as from View.
func (h *Host) SilenceOf(address string) time.Duration {
	if address == h.Self.Addr {
		return 0
	}
	return h.now() - max(h.resumedAt, h.peers.lastHeard(address))
}

// IncarnationEnded reports whether a replica is gone for good: its node is live under
// another ID, so its disk was lost. This node may have started since and never have heard
// the former ID; then the voters of the meta cell tell where it was.
func (h *Host) IncarnationEnded(id paxos.ReplicaID) bool {
	live := h.LivePeers(LearnerTimeout)
	ended := h.peers.isReplaced(id)
	h.View(schema.MetaCell, func(replica *paxos.Replica) {
		voters, _ := replica.Voters()
		for _, voter := range voters {
			if now, isLive := live[voter.Addr]; isLive && voter.ID == id && now.ID != id {
				ended = true
			}
		}
	})
	return ended
}

// PeerAddresses lists where other control nodes may be. A node that comes back knows the
// voters of long ago, and those of now need not be among the seeds: hence registered nodes
// are listed too, even while they are down, and all that are heard. Otherwise nobody might
// bring it up to date. It must be called on the event loop, as from View.
func (h *Host) PeerAddresses() []string {
	listed := map[string]bool{h.Self.Addr: true}
	var addresses []string
	add := func(address string) {
		if address != "" && !listed[address] {
			listed[address] = true
			addresses = append(addresses, address)
		}
	}
	if meta := h.replicas[schema.MetaCell]; meta != nil {
		voters, _ := meta.replica.Voters()
		for _, voter := range voters {
			add(voter.Addr)
		}
	}
	for _, address := range h.seeds {
		add(address)
	}
	for _, address := range h.hooks.RegisteredAddresses() {
		add(address)
	}
	for address := range h.LivePeers(LearnerTimeout) {
		add(address)
	}
	return addresses
}

// refreshLearners has the replicas here keep live control nodes without a vote up to date.
func (h *Host) refreshLearners() {
	live := h.LivePeers(LearnerTimeout)
	for _, hosted := range h.replicas {
		voters, _ := hosted.replica.Voters()
		membership := paxos.Membership{Voters: voters}
		var learners []paxos.ReplicaID
		for _, peer := range live {
			if peer.ID != h.Self.ID && !membership.Contains(peer.ID) {
				learners = append(learners, peer.ID)
			}
		}
		hosted.replica.SetLearners(learners)
	}
}

// Receive takes in what another control node sent.
func (h *Host) Receive(batch *Batch) {
	h.Enqueue(func() { h.handleBatch(batch) })
}

func (h *Host) handleBatch(batch *Batch) {
	sender := batch.Sender
	if sender.Addr == "" || sender.ID == "" {
		return
	}
	now := h.now()
	h.addresses[sender.ID] = sender.Addr
	if !h.transport.knows(sender.Addr) {
		h.transport.send(sender.Addr, nil)
	}
	found := h.peers.record(sender, now)
	if found.isNew || found.silence > CandidateTimeout {
		h.stability.disturbedAt = now
	}
	if found.isNew {
		h.refreshLearners() // it is caught up from now on, not from the next hello
	}
	if found.replaced != "" {
		for cell, hosted := range h.replicas {
			hosted.replica.ReportReplicaLost(now, found.replaced)
			h.processReady(cell, hosted)
		}
	}
	h.hooks.OnPeerEndpointRevision(sender.Addr, batch.EndpointList)
	if batch.WallTime != 0 {
		h.hooks.OnPeerClocks(sender.Addr, batch.WallTime, batch.AgreedTime)
	}
	h.stepMessages(now, batch.Messages)
}

// stepMessages hands messages to their replicas, then does what these want done.
func (h *Host) stepMessages(now time.Duration, messages []paxos.Message) {
	stepped := map[string]*hostedReplica{}
	for _, message := range messages {
		if hosted := h.replicas[message.Cell]; hosted != nil {
			hosted.replica.Step(now, message)
			stepped[message.Cell] = hosted
		}
	}
	for cell, hosted := range stepped {
		h.processReady(cell, hosted)
	}
}
