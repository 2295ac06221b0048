package replicahost

import (
	"sync"
	"time"

	"comethold/internal/controlplane/schema"
	"comethold/internal/paxos"
)

// PeerInfo identifies a control node to its peers.
type PeerInfo struct {
	ID   paxos.ReplicaID `cbor:"1,keyasint"`
	Addr string          `cbor:"2,keyasint"` // IP address
	Zone string          `cbor:"3,keyasint"`
	Name string          `cbor:"4,keyasint"` // of the node, as in its settings
}

// Time-outs of peers, counted from the last message received from them.
const (
	// LearnerTimeout is the time after which a peer without a vote is no longer a learner and
	// receives no more updates.
	LearnerTimeout = 10 * time.Second
	// leaderTimeout is the time without a message from the leader's node after which the
	// followers of the leader campaign. Without this limit, elections of some index cells would
	// start later, because these cells have long heartbeat intervals and election timeouts.
	leaderTimeout = 2 * time.Second
	// ReturnTimeout is the time after which the next message of a peer counts as its return.
	ReturnTimeout = 3 * time.Second
	// DownTimeout is the time after which a control node is registered as down.
	DownTimeout = 5 * time.Second
)

// peerTable records when each control node last sent a message. Times are counted from the
// creation of the host.
type peerTable struct {
	mu       sync.Mutex               // guards the fields below
	peers    map[string]peerState     // by address
	replaced map[paxos.ReplicaID]bool // replicas whose node now uses another ID
}

type peerState struct {
	info        PeerInfo
	lastContact time.Duration
}

func newPeerTable() *peerTable {
	return &peerTable{
		peers:    map[string]peerState{},
		replaced: map[paxos.ReplicaID]bool{},
	}
}

// contact describes a message from a peer in relation to the previous messages of that peer.
type contact struct {
	isNew      bool            // the first message under this ID
	replaced   paxos.ReplicaID // the former ID of the peer, or empty
	contactAge time.Duration   // since the previous message, or since the creation of the host if there is none
}

// record stores the time of a message from a peer and compares it with the previous messages.
func (t *peerTable) record(info PeerInfo, now time.Duration) contact {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.replaced, info.ID)
	known := t.peers[info.Addr]
	found := contact{
		isNew:      known.info.ID != info.ID,
		contactAge: now - known.lastContact,
	}
	if found.isNew && known.info.ID != "" {
		found.replaced = known.info.ID
		t.replaced[known.info.ID] = true
	}
	t.peers[info.Addr] = peerState{info: info, lastContact: now}
	return found
}

// contactsSince returns, by address, the peers that sent a message after a time.
func (t *peerTable) contactsSince(since time.Duration) map[string]PeerInfo {
	t.mu.Lock()
	defer t.mu.Unlock()
	contacted := map[string]PeerInfo{}
	for address, peer := range t.peers {
		if peer.lastContact > since {
			contacted[address] = peer.info
		}
	}
	return contacted
}

// silentSince returns the addresses of the peers that have sent no message since a time.
func (t *peerTable) silentSince(since time.Duration) map[string]bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	silent := map[string]bool{}
	for address, peer := range t.peers {
		if peer.lastContact <= since {
			silent[address] = true
		}
	}
	return silent
}

// lastContact returns when the peer at an address last sent a message; 0 if it never did.
func (t *peerTable) lastContact(address string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.peers[address].lastContact
}

// isReplaced reports whether the node of a replica has since sent a message under another ID.
func (t *peerTable) isReplaced(id paxos.ReplicaID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.replaced[id]
}

// LivePeers returns, by address, this node and the control nodes that sent a message within the
// given time.
func (h *Host) LivePeers(within time.Duration) map[string]PeerInfo {
	live := h.peers.contactsSince(h.now() - within)
	if _, isListed := live[h.Self.Addr]; !isListed {
		live[h.Self.Addr] = h.Self
	}
	return live
}

// ContactAge returns the time since the last message of a control node, or since this node last
// resumed after a stall if that is later. It must be called on the event loop, for example from
// View.
func (h *Host) ContactAge(address string) time.Duration {
	if address == h.Self.Addr {
		return 0
	}
	return h.now() - max(h.resumedAt, h.peers.lastContact(address))
}

// IsReplicaLost reports whether a replica is permanently lost: its node sends messages under
// another ID, so the replica's disk was lost. If this node never received a message under the
// former ID, because it started later, it takes the address of that ID from the voters of the
// meta cell.
func (h *Host) IsReplicaLost(id paxos.ReplicaID) bool {
	live := h.LivePeers(LearnerTimeout)
	isLost := h.peers.isReplaced(id)
	h.View(schema.MetaCell, func(replica *paxos.Replica) {
		voters, _ := replica.Voters()
		for _, voter := range voters {
			if current, isLive := live[voter.Addr]; isLive && voter.ID == id && current.ID != id {
				isLost = true
			}
		}
	})
	return isLost
}

// PeerAddresses returns the possible addresses of other control nodes: the voters of the meta
// cell, the seeds, the registered nodes, including those that are down, and the live nodes.
// Nodes that are down are included because a node that returns after a long time may know only
// former voters, and its seeds need not include the current ones. It catches up only after
// another node has contacted it. PeerAddresses must be called on the event loop, for example
// from View.
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

// reportUnreachableLeaders calls ReportLeaderUnreachable on each replica whose leader's node has
// sent no message for leaderTimeout. It does nothing until leaderTimeout after a stall, because
// this node received no messages during the stall.
func (h *Host) reportUnreachableLeaders(now time.Duration) {
	if now-h.resumedAt <= leaderTimeout {
		return
	}
	silent := h.peers.silentSince(now - leaderTimeout)
	if len(silent) == 0 {
		return
	}
	for _, hosted := range h.replicas {
		if silent[h.addresses[hosted.replica.Leader()]] {
			hosted.replica.ReportLeaderUnreachable(now)
		}
	}
}

// refreshLearners sets the live control nodes that are not voters of a cell as the learners of
// this node's replica of it.
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

// Receive queues a batch from another control node for the event loop.
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
	if !h.transport.hasPeer(sender.Addr) {
		h.transport.send(sender.Addr, nil)
	}
	found := h.peers.record(sender, now)
	if found.isNew || found.contactAge > ReturnTimeout {
		h.stability.unstableAt = now
	}
	if found.isNew {
		h.refreshLearners() // don't wait for the next sendHellos
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

// stepMessages passes messages to their replicas, then processes the replicas' output.
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
