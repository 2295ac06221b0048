package replicahost

import (
	"sync"

	"comethold/internal/paxos"
)

// Bounds of the queues to one peer.
const (
	maxBatchBytes  = 64 << 10
	maxQueueBytes  = 1 << 20
	sendersPerPeer = 3
	// bulkThresholdBytes is the size from which a message is sent by itself.
	bulkThresholdBytes = 32 << 10
	maxBulkMessages    = 64
)

// sendQueue holds the small messages to one peer and sends them in batches. When it is full,
// the oldest messages are dropped, because newer ones supersede them.
type sendQueue struct {
	wake chan struct{} // a signal for each batch that is due

	mu       sync.Mutex // guards the fields below
	messages []paxos.Message
	bytes    int // total size of messages
}

func newSendQueue() *sendQueue {
	return &sendQueue{wake: make(chan struct{}, sendersPerPeer)}
}

// push appends messages and signals that a batch is due. Without messages the batch is a
// hello.
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

// nextBatch removes the oldest messages, up to maxBatchBytes of them.
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

// bulkQueue holds the large messages to one peer. They go one at a time on a connection of
// their own, so that heartbeats need not wait behind them.
type bulkQueue struct {
	wake chan struct{}

	mu       sync.Mutex // guards the fields below
	messages []paxos.Message
	inFlight *paxos.Message // the message that is being sent, or nil
}

func newBulkQueue() *bulkQueue {
	return &bulkQueue{wake: make(chan struct{}, 1)}
}

// enqueue adds a large message unless the same one, or a snapshot of the same cell, is
// queued or in flight. If the message is useful and small without its snapshot, it returns
// it so for the sendQueue; otherwise it returns nil.
func (q *bulkQueue) enqueue(message paxos.Message) *paxos.Message {
	q.mu.Lock()
	defer q.mu.Unlock()
	if message.Snapshot != nil && q.hasSnapshotLocked(message.Cell) {
		if message.Kind == paxos.CatchUpResponse {
			return nil
		}
		// A promise that can't be counted yet still carries the sender's progress.
		message.Snapshot = nil
		if message.Size() < bulkThresholdBytes {
			return &message
		}
	}
	if len(q.messages) >= maxBulkMessages {
		return nil
	}
	if q.containsLocked(func(other *paxos.Message) bool { return isSameProposal(other, &message) }) {
		return nil
	}
	q.messages = append(q.messages, message)
	select {
	case q.wake <- struct{}{}:
	default:
	}
	return nil
}

// isSameProposal reports whether two large messages have the same content.
func isSameProposal(a, b *paxos.Message) bool {
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

// next removes the oldest message, which is in flight until the following call. It returns
// nil when there is none.
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
