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

// Batch carries messages from one control node to another. A batch without messages is a hello.
type Batch struct {
	Sender   PeerInfo        `cbor:"1,keyasint"`
	Messages []paxos.Message `cbor:"2,keyasint,omitempty"`
	// EndpointList is the revision of the sender's endpoint list.
	EndpointList distribution.Revision `cbor:"3,keyasint"`
	// WallTime and AgreedTime are the sender's wall clock time and the time agreed with its
	// peers, in nanoseconds since 1970; 0 if unknown or not sent.
	WallTime   int64 `cbor:"4,keyasint,omitempty"`
	AgreedTime int64 `cbor:"5,keyasint,omitempty"`
}

// Limits of sending. The reasons for these values are in docs/design.md.
const (
	sendTimeoutBase = 1500 * time.Millisecond
	minSendRate     = 16 << 10 // bytes per second; see sendTimeout
	minBulkSendRate = 4 << 10  // for bulk messages; bulkAckTimeout detects an unreachable peer earlier
	maxSendTimeout  = time.Minute
	bulkDialTimeout = 2 * time.Second
	bulkAckTimeout  = 6 * time.Second
	bulkSendBuffer  = 32 << 10 // bytes buffered in the kernel for each connection
	bulkIdleConns   = 1
	// maxClockBatchBytes is the maximum size of a batch that carries clocks.
	maxClockBatchBytes = 4 << 10
	// sendGrace is how long sends may continue after wait is called.
	sendGrace = 100 * time.Millisecond
)

// sendTimeout returns the time allowed for sending a body of the given size at a minimum rate in
// bytes per second, up to maxSendTimeout.
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

	quit        chan struct{}      // closed by stop
	sendCtx     context.Context    // the context of all sends
	cancelSends context.CancelFunc // cancels sendCtx
	senders     sync.WaitGroup

	mu      sync.Mutex // guards the fields below
	stopped bool
	peers   map[string]*peerQueues // by address
}

// deliverFunc sends messages to a peer. The send is aborted if it is slower than a minimum rate in
// bytes per second; see sendTimeout.
type deliverFunc func(client *rpc.Client, rate float64, address string, messages []paxos.Message)

type peerQueues struct {
	small *sendQueue
	bulk  *bulkQueue
}

func newPeerQueues() *peerQueues {
	return &peerQueues{small: newSendQueue(), bulk: newBulkQueue()}
}

func newTransport(network rpc.Network, client *rpc.Client, port int, newBatch func([]paxos.Message) *Batch) *transport {
	sendCtx, cancelSends := context.WithCancel(context.Background())
	bulkNetwork := rpc.WithSendBuffer(network, bulkSendBuffer)
	t := &transport{
		client:      client,
		bulkClient:  rpc.NewClientWithLimits(bulkNetwork, bulkDialTimeout, bulkAckTimeout, bulkIdleConns),
		port:        port,
		newBatch:    newBatch,
		quit:        make(chan struct{}),
		sendCtx:     sendCtx,
		cancelSends: cancelSends,
		peers:       map[string]*peerQueues{},
	}
	t.deliver = t.sendBatch
	return t
}

// send queues messages to the peer at an address; without messages it queues a hello. It takes
// ownership of the slice.
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

// hasPeer reports whether there are queues to an address.
func (t *transport) hasPeer(address string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.peers[address] != nil
}

// queuesFor returns the queues to an address. The first call for an address creates the queues
// and starts their senders; after stop it returns nil instead.
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

// wait waits until the senders have ended. It must be called after stop. Sends that take longer
// than sendGrace are aborted.
func (t *transport) wait() {
	graceTimer := time.AfterFunc(sendGrace, t.cancelSends)
	defer graceTimer.Stop()
	t.senders.Wait()
	t.cancelSends()
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

// sendBatch is the default deliverFunc: it sends the messages in one call. Errors are ignored
// because replicas resend lost messages.
func (t *transport) sendBatch(client *rpc.Client, rate float64, address string, messages []paxos.Message) {
	body, err := rpc.EncodeRequest(t.newBatch(messages))
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(t.sendCtx, sendTimeout(len(body), rate))
	defer cancel()
	_ = client.CallEncoded(ctx, net.JoinHostPort(address, strconv.Itoa(t.port)), PathMessages, body, nil)
}
