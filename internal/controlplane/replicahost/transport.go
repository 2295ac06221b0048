package replicahost

import (
	"context"
	"net"
	"strconv"
	"sync"
	"time"

	"comethold/internal/distribution"
	"comethold/internal/paxos"
	"comethold/internal/rpc"
)

// PathMessages is the RPC path of batches.
const PathMessages = "/cells"

// Batch is what one control node sends another. Without messages it is a hello.
type Batch struct {
	Sender   PeerInfo        `cbor:"1,keyasint"`
	Messages []paxos.Message `cbor:"2,keyasint,omitempty"`
	// EndpointList is the revision of the endpoint list that the sender holds.
	EndpointList distribution.Revision `cbor:"3,keyasint"`
	// WallTime and AgreedTime are the sender's time of day and the time that it agrees on
	// with its peers, in nanoseconds since 1970; 0 where they are not known.
	WallTime   int64 `cbor:"4,keyasint,omitempty"`
	AgreedTime int64 `cbor:"5,keyasint,omitempty"`
}

// Time-outs of sending. Their reasons are in docs/design.md.
const (
	sendTimeoutBase    = 1500 * time.Millisecond
	minSendRate        = 16 << 10 // bytes a second; see sendTimeout
	minBulkSendRate    = 4 << 10  // of bulk messages, whose connections detect a dead peer sooner
	maxSendTimeout     = time.Minute
	bulkDialTimeout    = 2 * time.Second
	bulkSilenceTimeout = 6 * time.Second
	bulkUnsentBytes    = 32 << 10 // send buffer in the kernel
	bulkIdleConns      = 1
	// maxClockBatchBytes is the size up to which a batch carries clocks.
	maxClockBatchBytes = 4 << 10
	// sendGrace is how long the current sends may continue after stop.
	sendGrace = 100 * time.Millisecond
)

// sendTimeout returns the time-out of sending a body at a minimal rate in bytes a second.
func sendTimeout(bytes int, rate float64) time.Duration {
	transfer := time.Duration(float64(bytes) / rate * float64(time.Second))
	return min(maxSendTimeout, sendTimeoutBase+transfer)
}

// transport sends messages to the peers. Each peer has a queue for small messages, served
// by sendersPerPeer goroutines, and one for bulk messages, served by one.
type transport struct {
	client     *rpc.Client
	bulkClient *rpc.Client
	port       int
	newBatch   func([]paxos.Message) *Batch
	deliver    deliverFunc // sendBatch, unless a test replaces it

	quit    chan struct{}      // closed by stop
	sending context.Context    // of all sends
	abort   context.CancelFunc // cancels sending
	senders sync.WaitGroup

	mu      sync.Mutex // guards the fields below
	stopped bool
	peers   map[string]*peerQueues // by address
}

// deliverFunc sends messages to a peer, at a minimal rate in bytes a second.
type deliverFunc func(client *rpc.Client, rate float64, address string, messages []paxos.Message)

type peerQueues struct {
	small *sendQueue
	bulk  *bulkQueue
}

func newPeerQueues() *peerQueues {
	return &peerQueues{small: newSendQueue(), bulk: newBulkQueue()}
}

func newTransport(network rpc.Network, client *rpc.Client, port int, newBatch func([]paxos.Message) *Batch) *transport {
	sending, abort := context.WithCancel(context.Background())
	bulkNetwork := rpc.WithSendBuffer(network, bulkUnsentBytes)
	t := &transport{
		client:     client,
		bulkClient: rpc.NewClientWithLimits(bulkNetwork, bulkDialTimeout, bulkSilenceTimeout, bulkIdleConns),
		port:       port,
		newBatch:   newBatch,
		quit:       make(chan struct{}),
		sending:    sending,
		abort:      abort,
		peers:      map[string]*peerQueues{},
	}
	t.deliver = t.sendBatch
	return t
}

// send queues messages to the peer at an address. It takes ownership of the slice. Without
// messages it sends a hello.
func (t *transport) send(address string, messages []paxos.Message) {
	queues := t.queuesFor(address)
	if queues == nil {
		return
	}
	small := messages[:0]
	for i := range messages {
		message := &messages[i]
		if message.Size() >= bulkThresholdBytes {
			message = queues.bulk.enqueue(*message)
		}
		if message != nil {
			small = append(small, *message)
		}
	}
	queues.small.push(small)
}

// knows reports whether anything was sent to an address.
func (t *transport) knows(address string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.peers[address] != nil
}

// queuesFor returns the queues to an address, and starts their senders at its first use. It
// returns nil for a new address after stop.
func (t *transport) queuesFor(address string) *peerQueues {
	t.mu.Lock()
	defer t.mu.Unlock()
	if queues := t.peers[address]; queues != nil {
		return queues
	}
	if t.stopped {
		return nil
	}
	queues := newPeerQueues()
	t.peers[address] = queues
	for range sendersPerPeer {
		t.senders.Go(func() { t.sendLoop(address, queues.small) })
	}
	t.senders.Go(func() { t.bulkLoop(address, queues.bulk) })
	return queues
}

// stop ends each sender after its current send.
func (t *transport) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.stopped {
		t.stopped = true
		close(t.quit)
	}
}

// wait waits for the senders after stop. Sends that take longer than sendGrace are aborted.
func (t *transport) wait() {
	late := time.AfterFunc(sendGrace, t.abort)
	defer late.Stop()
	t.senders.Wait()
	t.abort()
}

func (t *transport) sendLoop(address string, queue *sendQueue) {
	for {
		select {
		case <-queue.wake:
		case <-t.quit:
			return
		}
		t.deliver(t.client, minSendRate, address, queue.nextBatch())
	}
}

func (t *transport) bulkLoop(address string, queue *bulkQueue) {
	for {
		if message := queue.next(); message != nil {
			t.deliver(t.bulkClient, minBulkSendRate, address, []paxos.Message{*message})
			continue
		}
		select {
		case <-queue.wake:
		case <-t.quit:
			return
		}
	}
}

// sendBatch makes one call. Errors are ignored, since replicas repeat lost messages.
func (t *transport) sendBatch(client *rpc.Client, rate float64, address string, messages []paxos.Message) {
	body, err := rpc.EncodeRequest(t.newBatch(messages))
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(t.sending, sendTimeout(len(body), rate))
	defer cancel()
	_ = client.CallEncoded(ctx, net.JoinHostPort(address, strconv.Itoa(t.port)), PathMessages, body, nil)
}
