package replicahost

import (
	"sync"

	"comethold/internal/paxos"
)

// Limits of the queues to one peer.
const (
	maxBatchBytes  = 64 << 10
	maxQueueBytes  = 1 << 20
	sendersPerPeer = 3
	// bulkThresholdBytes is the size at or above which a message goes through the bulkQueue
	// and is sent in a call without other messages.
	bulkThresholdBytes = 32 << 10
	maxBulkMessages    = 64
)

// sendQueue holds the small messages to one peer and sends them in batches. When it is full,
// the oldest messages are dropped, because newer ones supersede them.
type sendQueue struct {
	wake chan struct{} // signals that a batch is due, at most once per sender

	mu       sync.Mutex // guards the fields below
	messages []paxos.Message
	bytes    int // total size of messages
}

func newSendQueue() *sendQueue {
	return &sendQueue{wake: make(chan struct{}, sendersPerPeer)}
}

// push appends messages and signals that a batch is due. A batch without messages is a hello.
func (q *sendQueue) push(messages []paxos.Message) {
	q.mu.Lock()
	for i := range messages {
		q.messages = append(q.messages, messages[i])
		q.bytes += messages[i].Size()
	}
	for q.bytes > maxQueueBytes {
		q.bytes -= q.messages[0].Size()
		q.messages = q.messages[1:]
	}
	q.mu.Unlock()
	q.signal()
}

// nextBatch removes and returns the oldest messages until their total size reaches maxBatchBytes.
func (q *sendQueue) nextBatch() []paxos.Message {
	q.mu.Lock()
	defer q.mu.Unlock()
	count := 0
	bytes := 0
	for count < len(q.messages) && (count == 0 || bytes < maxBatchBytes) {
		bytes += q.messages[count].Size()
		count++
	}
	batch := q.messages[:count:count]
	q.messages = q.messages[count:]
	q.bytes -= bytes
	if len(q.messages) > 0 {
		q.signal()
	}
	return batch
}

func (q *sendQueue) signal() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// bulkQueue holds the large messages to one peer. They are sent one at a time on a separate
// connection, so that heartbeats don't wait behind them.
type bulkQueue struct {
	wake chan struct{}

	mu       sync.Mutex // guards the fields below
	messages []paxos.Message
	inFlight *paxos.Message // the message being sent, or nil
}

func newBulkQueue() *bulkQueue {
	return &bulkQueue{wake: make(chan struct{}, 1)}
}

// enqueue adds a large message, unless a duplicate is queued or in flight or the queue is full.
// If a snapshot of the same cell is queued or in flight, a CatchUpResponse is dropped, and any
// other message loses its snapshot. If the message is then small, enqueue returns it for the
// sendQueue. In all other cases it returns nil.
func (q *bulkQueue) enqueue(message paxos.Message) *paxos.Message {
	q.mu.Lock()
	defer q.mu.Unlock()
	if message.Snapshot != nil && q.hasSnapshotLocked(message.Cell) {
		if message.Kind == paxos.CatchUpResponse {
			return nil
		}
		// The recipient can't count a promise without its snapshot yet, but learns the sender's
		// progress from it.
		message.Snapshot = nil
		if message.Size() < bulkThresholdBytes {
			return &message
		}
	}
	if len(q.messages) >= maxBulkMessages {
		return nil
	}
	if q.containsLocked(func(other *paxos.Message) bool { return isDuplicate(other, &message) }) {
		return nil
	}
	q.messages = append(q.messages, message)
	select {
	case q.wake <- struct{}{}:
	default:
	}
	return nil
}

// isDuplicate reports whether two large messages have the same content. Within a cell, the kind,
// the proposal number and, for an Accept, the first log index identify the content.
func isDuplicate(a, b *paxos.Message) bool {
	if a.Cell != b.Cell || a.Kind != b.Kind || a.ProposalNumber != b.ProposalNumber {
		return false
	}
	return b.Kind != paxos.Accept || a.Entries[0].Index == b.Entries[0].Index
}

func (q *bulkQueue) hasSnapshotLocked(cell string) bool {
	return q.containsLocked(func(other *paxos.Message) bool {
		return other.Cell == cell && other.Snapshot != nil
	})
}

func (q *bulkQueue) containsLocked(matches func(*paxos.Message) bool) bool {
	if q.inFlight != nil && matches(q.inFlight) {
		return true
	}
	for i := range q.messages {
		if matches(&q.messages[i]) {
			return true
		}
	}
	return false
}

// next removes and returns the oldest message, which counts as in flight until the next call.
// It returns nil if the queue is empty.
func (q *bulkQueue) next() *paxos.Message {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.inFlight = nil
	if len(q.messages) == 0 {
		return nil
	}
	message := q.messages[0]
	q.messages = q.messages[1:]
	q.inFlight = &message
	return q.inFlight
}
