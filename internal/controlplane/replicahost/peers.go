package replicahost

import (
	"context"
	"net"
	"strconv"
	"time"

	"comethold/internal/controlplane/schema"
	"comethold/internal/distribution"
	"comethold/internal/paxos"
	"comethold/internal/rpc"
)

// PeerInfo introduces a registrar to the others.
type PeerInfo struct {
	ID   paxos.ReplicaID `cbor:"1,keyasint"`
	Addr string          `cbor:"2,keyasint"`
	Zone string          `cbor:"3,keyasint"`
	Name string          `cbor:"4,keyasint"`
}

// Batch is what one registrar sends another.
type Batch struct {
	Sender       PeerInfo              `cbor:"1,keyasint"`
	Messages     []paxos.Message       `cbor:"2,keyasint,omitempty"`
	EndpointList distribution.Revision `cbor:"3,keyasint"` // of the leaf list that the sender holds
	// The sender's time of day and the time that it agrees on, where that matters.
	WallTime   int64 `cbor:"4,keyasint,omitempty"`
	AgreedTime int64 `cbor:"5,keyasint,omitempty"`
}

// Sending. Ours; see docs/design.md.
const (
	sendTimeoutBase    = 1500 * time.Millisecond // a batch may take so long, and
	minSendRate        = 16 << 10                // a second more for so many bytes
	minBulkSendRate    = 4 << 10                 // of a large message; a peer that is dead is noticed sooner
	maxSendTimeout     = time.Minute
	bulkThresholdBytes = 32 << 10 // a message of this size goes by itself
	maxBatchBytes      = 64 << 10
	maxQueueBytes      = 1 << 20 // that wait for a peer
	maxClockBatchBytes = 4 << 10 // bytes of a batch that tells times
	maxBulkMessages    = 64
	bulkUnsentBytes    = 32 << 10 // bytes of it that wait in this machine
	bulkSilenceTimeout = 6 * time.Second
)

// sendTimeout is how long a body of so many bytes may be under way.
func sendTimeout(bytes int, rate float64) time.Duration {
	return min(maxSendTimeout, sendTimeoutBase+time.Duration(float64(bytes)/rate*float64(time.Second)))
}

type peer struct {
	info        PeerInfo
	lastHeard   time.Duration
	queue       []paxos.Message
	queuedBytes int // of the queue
	wake        chan struct{}
	bulk        bulkQueue
}

// bulkQueue holds the large messages to one peer, which go one at a time, so that greetings and
// beats need not wait behind them.
type bulkQueue struct {
	messages []paxos.Message
	inFlight *paxos.Message // the one that is under way
	wake     chan struct{}
}

// enqueue queues a large message. What is under way, or waits, is not sent a second time: a
// snapshot of a cell, or the same message. What is left of one that went without its
// snapshot is handed back.
func (l *bulkQueue) enqueue(msg paxos.Message) *paxos.Message {
	has := func(f func(*paxos.Message) bool) bool {
		if l.inFlight != nil && f(l.inFlight) {
			return true
		}
		for i := range l.messages {
			if f(&l.messages[i]) {
				return true
			}
		}
		return false
	}
	if msg.Snapshot != nil && has(func(o *paxos.Message) bool { return o.Cell == msg.Cell && o.Snapshot != nil }) {
		if msg.Kind == paxos.CatchUpResponse {
			return nil
		}
		msg.Snapshot = nil // a promise that cannot be counted yet still tells how far its sender is
		if msg.Size() < bulkThresholdBytes {
			return &msg
		}
	}
	if len(l.messages) >= maxBulkMessages || has(func(o *paxos.Message) bool {
		return o.Cell == msg.Cell && o.Kind == msg.Kind && o.ProposalNumber == msg.ProposalNumber && (msg.Kind != paxos.Accept || o.Entries[0].Index == msg.Entries[0].Index)
	}) {
		return nil
	}
	l.messages = append(l.messages, msg)
	select {
	case l.wake <- struct{}{}:
	default:
	}
	return nil
}

// next hands out the next message; what was under way is no more.
func (l *bulkQueue) next() *paxos.Message {
	l.inFlight = nil
	if len(l.messages) > 0 {
		msg := l.messages[0]
		l.messages, l.inFlight = l.messages[1:], &msg
	}
	return l.inFlight
}

// LivePeers lists the registrars heard in the last while, this one among them.
func (h *Host) LivePeers(within time.Duration) map[string]PeerInfo {
	now := h.Now()
	out := map[string]PeerInfo{h.Self.Addr: h.Self}
	h.peersMu.Lock()
	defer h.peersMu.Unlock()
	for a, p := range h.peers {
		if p.info.ID != "" && now-p.lastHeard < within {
			out[a] = p.info
		}
	}
	return out
}

// SilenceOf is how long a registrar has been silent, as far as this node was in
// a state to hear it.
func (h *Host) SilenceOf(addr string) time.Duration {
	if addr == h.Self.Addr {
		return 0
	}
	since := h.resumedAt
	h.peersMu.Lock()
	defer h.peersMu.Unlock()
	if p := h.peers[addr]; p != nil {
		since = max(since, p.lastHeard)
	}
	return h.Now() - since
}

// IncarnationEnded reports whether a member's life has ended: its machine is live under another
// name, so its disk was lost. This node may have started since and never have heard
// the former name; then its seat tells where it lived.
func (h *Host) IncarnationEnded(id paxos.ReplicaID) (yes bool) {
	live := h.LivePeers(LearnerTimeout)
	h.peersMu.Lock()
	yes = h.replacedReplicas[id]
	h.peersMu.Unlock()
	h.Do(func() {
		if ex := h.Replicas[schema.MetaCell]; ex != nil {
			seats, _ := ex.Voters()
			for _, s := range seats {
				if now, ok := live[s.Addr]; ok && s.ID == id && now.ID != id {
					yes = true
				}
			}
		}
	})
	return yes
}

// PeerAddresses lists where other registrars may be. One that comes back knows seats of long
// ago, and those who have the seats now need not be among the seeds: those in the directory
// are greeted as well, also while they are down, and all who are heard, or nobody might
// teach it.
func (h *Host) PeerAddresses() []string {
	seen := map[string]bool{h.Self.Addr: true}
	var out []string
	add := func(a string) {
		if a != "" && !seen[a] {
			seen[a] = true
			out = append(out, a)
		}
	}
	if ex := h.Replicas[schema.MetaCell]; ex != nil {
		seats, _ := ex.Voters()
		for _, s := range seats {
			add(s.Addr)
		}
	}
	for _, a := range h.Seeds {
		add(a)
	}
	for _, a := range h.RegisteredAddresses() {
		add(a)
	}
	for a := range h.LivePeers(LearnerTimeout) {
		add(a)
	}
	return out
}

// refreshLearners keeps registrars without a vote current.
func (h *Host) refreshLearners() {
	live := h.LivePeers(LearnerTimeout)
	for _, m := range h.Replicas {
		seats, _ := m.Voters()
		var out []paxos.ReplicaID
		for _, p := range live {
			if p.ID != h.Self.ID && !(paxos.Membership{Voters: seats}).Contains(p.ID) {
				out = append(out, p.ID)
			}
		}
		m.SetLearners(out)
	}
}

// sendToPeers sends messages and hands back those to this node itself.
func (h *Host) sendToPeers(msgs []paxos.Message) []paxos.Message {
	var own []paxos.Message
	byAddr := map[string][]paxos.Message{}
	for _, msg := range msgs {
		if msg.To == h.Self.ID {
			own = append(own, msg)
		} else if a := h.Addresses[msg.To]; a != "" && a != h.Self.Addr {
			byAddr[a] = append(byAddr[a], msg)
		}
	}
	for a, list := range byAddr {
		h.enqueueForPeer(a, list)
	}
	return own
}

func (h *Host) enqueueForPeer(addr string, msgs []paxos.Message) {
	h.peersMu.Lock()
	p := h.peers[addr]
	if p == nil {
		p = &peer{wake: make(chan struct{}, sendersPerPeer), bulk: bulkQueue{wake: make(chan struct{}, 1)}}
		h.peers[addr] = p
		for range sendersPerPeer {
			go h.sendLoop(addr, p)
		}
		go h.bulkLoop(addr, p)
	}
	for i := range msgs {
		small := &msgs[i]
		if small.Size() >= bulkThresholdBytes {
			small = p.bulk.enqueue(*small)
		}
		if small != nil {
			p.queue = append(p.queue, *small)
			p.queuedBytes += small.Size()
		}
	}
	for p.queuedBytes > maxQueueBytes {
		p.queuedBytes -= p.queue[0].Size() // what is newer counts more
		p.queue = p.queue[1:]
	}
	h.peersMu.Unlock()
	p.wakeSender()
}

func (p *peer) wakeSender() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

func (h *Host) sendLoop(addr string, p *peer) {
	for {
		select {
		case <-p.wake:
		case <-h.quit:
			return
		}
		h.peersMu.Lock()
		n, bytes := 0, 0
		for n < len(p.queue) && (n == 0 || bytes < maxBatchBytes) {
			bytes += p.queue[n].Size()
			n++
		}
		msgs := p.queue[:n:n]
		p.queue, p.queuedBytes = p.queue[n:], p.queuedBytes-bytes
		if len(p.queue) > 0 {
			p.wakeSender()
		}
		h.peersMu.Unlock()
		h.sendBatch(h.Client, minSendRate, addr, msgs)
	}
}

func (h *Host) bulkLoop(addr string, p *peer) {
	for {
		h.peersMu.Lock()
		msg := p.bulk.next()
		h.peersMu.Unlock()
		if msg != nil {
			h.sendBatch(h.bulkClient, minBulkSendRate, addr, []paxos.Message{*msg})
			continue
		}
		select {
		case <-p.bulk.wake:
		case <-h.quit:
			return
		}
	}
}

func (h *Host) sendBatch(by *rpc.Client, rate float64, addr string, msgs []paxos.Message) {
	body, err := rpc.EncodeRequest(h.newBatch(msgs))
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), sendTimeout(len(body), rate))
	defer cancel()
	_ = by.CallEncoded(ctx, net.JoinHostPort(addr, strconv.Itoa(h.Port)), "/cells", body, nil)
}

// newBatch makes what goes to a peer. What may be long under way tells no times: by its
// arrival they are wrong.
func (h *Host) newBatch(msgs []paxos.Message) *Batch {
	b := &Batch{Sender: h.Self, Messages: msgs, EndpointList: h.EndpointListVersion()}
	bytes := 0
	for i := range msgs {
		bytes += msgs[i].Size()
	}
	if bytes <= maxClockBatchBytes {
		b.WallTime, b.AgreedTime = h.ReadClocks()
	}
	return b
}

// Receive takes in what another registrar sent.
func (h *Host) Receive(b *Batch) {
	h.Enqueue(func() {
		now := h.Now()
		if b.Sender.Addr == "" || b.Sender.ID == "" {
			return
		}
		h.Addresses[b.Sender.ID] = b.Sender.Addr
		h.peersMu.Lock()
		p := h.peers[b.Sender.Addr]
		h.peersMu.Unlock()
		if p == nil {
			h.enqueueForPeer(b.Sender.Addr, nil)
			h.peersMu.Lock()
			p = h.peers[b.Sender.Addr]
			h.peersMu.Unlock()
		}
		h.peersMu.Lock()
		delete(h.replacedReplicas, b.Sender.ID)
		fresh := p.info.ID != b.Sender.ID
		former := p.info.ID
		if former != "" && fresh {
			h.replacedReplicas[former] = true
		}
		if fresh || now-p.lastHeard > CandidateTimeout {
			h.DisturbedAt = now
		}
		p.info, p.lastHeard = b.Sender, now
		h.peersMu.Unlock()
		if fresh {
			h.refreshLearners() // a newcomer is taught from now on, not from the next round of greetings
		}
		if fresh && former != "" {
			for name, m := range h.Replicas {
				m.ReportReplicaLost(now, former)
				h.processReady(name, m)
			}
		}
		h.OnPeerEndpointList(b.Sender.Addr, b.EndpointList)
		if b.WallTime != 0 {
			h.OnPeerClocks(b.Sender.Addr, b.WallTime, b.AgreedTime)
		}
		touched := map[string]*paxos.Replica{}
		for _, msg := range b.Messages {
			if m := h.Replicas[msg.Cell]; m != nil {
				m.Step(now, msg)
				touched[msg.Cell] = m
			}
		}
		for name, m := range touched {
			h.processReady(name, m)
		}
	})
}
