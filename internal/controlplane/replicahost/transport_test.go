package replicahost

import (
	"context"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"comethold/internal/paxos"
	"comethold/internal/rpc"
)

func largeSnapshot() *paxos.Snapshot {
	state := map[string]paxos.Value{"k": paxos.Bytes(make([]byte, bulkThresholdBytes))}
	return &paxos.Snapshot{State: state}
}

// entriesOf returns one log entry of at least the given number of bytes.
func entriesOf(index uint64, bytes int) []paxos.Entry {
	return []paxos.Entry{{Index: index, Txns: []paxos.Txn{{ID: strings.Repeat("x", bytes)}}}}
}

// TestBulkQueueDropsDuplicates guards against large messages that are sent again while they are
// queued or in flight. A promise is returned without its snapshot while a snapshot of the same cell
// is in flight.
func TestBulkQueueDropsDuplicates(t *testing.T) {
	queue := newBulkQueue()
	snapshot := paxos.Message{Cell: "a", Kind: paxos.CatchUpResponse, Snapshot: largeSnapshot()}
	accept := func(index uint64) paxos.Message {
		return paxos.Message{Cell: "a", Kind: paxos.Accept, Entries: entriesOf(index, bulkThresholdBytes)}
	}
	queue.enqueue(snapshot)
	if sent := queue.next(); sent == nil || sent.Snapshot == nil {
		t.Fatalf("next returned %v, want the message with the snapshot", sent)
	}
	for range 3 {
		queue.enqueue(snapshot)
		queue.enqueue(accept(7))
	}
	number := paxos.ProposalNumber{Term: 2}
	promise := paxos.Message{Cell: "a", Kind: paxos.Promise, ProposalNumber: number, Snapshot: largeSnapshot()}
	if rest := queue.enqueue(promise); rest == nil || rest.Snapshot != nil || rest.ProposalNumber.Term != 2 {
		t.Errorf("enqueue with a snapshot in flight returned %v, want the promise of term 2 without a snapshot", rest)
	}
	queue.enqueue(paxos.Message{Cell: "b", Kind: paxos.CatchUpResponse, Snapshot: largeSnapshot()})
	queue.enqueue(accept(8))
	var sent []string
	for message := queue.next(); message != nil; message = queue.next() {
		sent = append(sent, fmt.Sprint(message.Cell, message.Kind, len(message.Entries)))
	}
	want := fmt.Sprint([]string{
		fmt.Sprint("a", paxos.Accept, 1),
		fmt.Sprint("b", paxos.CatchUpResponse, 0),
		fmt.Sprint("a", paxos.Accept, 1),
	})
	if fmt.Sprint(sent) != want {
		t.Errorf("next returned %v, want %v", sent, want)
	}
	queue.enqueue(snapshot)
	if queue.next() == nil {
		t.Error("next returned nil for a snapshot that was queued while nothing was in flight, want the message")
	}
}

// TestSendQueueBounds guards against a queue that is too small for the messages of one tick of many
// cells, and against a full queue that exceeds its limit or drops the newest messages instead of
// the oldest.
func TestSendQueueBounds(t *testing.T) {
	const cells = 1000
	queues := newPeerQueues()
	sender := &transport{peers: map[string]*peerQueues{"b": queues}}
	queue := queues.small
	sender.send("b", make([]paxos.Message, cells))
	if len(queue.messages) != cells {
		t.Errorf("queue holds %d messages, want %d", len(queue.messages), cells)
	}
	message := paxos.Message{Entries: entriesOf(0, bulkThresholdBytes/2)}
	for i := range 2 * maxQueueBytes / message.Size() {
		message.HeartbeatSequence = uint64(i)
		sender.send("b", []paxos.Message{message})
	}
	count := len(queue.messages)
	last := queue.messages[count-1].HeartbeatSequence
	if queue.bytes > maxQueueBytes || count < maxQueueBytes/message.Size() || last != message.HeartbeatSequence {
		t.Errorf("full queue: %d messages, %d bytes, last message %d, want nearly maxQueueBytes, last message %d",
			count, queue.bytes, last, message.HeartbeatSequence)
	}
}

// TestSendQueueBatches guards against messages that are reordered or lost between batches of
// maxBatchBytes, and against messages that stay queued because no sender is woken for the rest.
func TestSendQueueBatches(t *testing.T) {
	queue := newSendQueue()
	message := paxos.Message{Entries: entriesOf(0, maxBatchBytes/4)}
	var messages []paxos.Message
	for i := range 10 {
		message.HeartbeatSequence = uint64(i)
		messages = append(messages, message)
	}
	queue.push(messages)
	next := uint64(0)
	for range messages {
		select {
		case <-queue.wake:
		default:
			if next != uint64(len(messages)) {
				t.Fatalf("no sender is woken after %d messages were sent, want one for the rest of the queue", next)
			}
			continue
		}
		batch := queue.nextBatch()
		if len(batch) == 0 || len(batch) > 4 {
			t.Errorf("nextBatch returned %d messages, want 1 to 4", len(batch))
		}
		for _, sent := range batch {
			if sent.HeartbeatSequence != next {
				t.Errorf("nextBatch returned message %d, want message %d", sent.HeartbeatSequence, next)
			}
			next++
		}
	}
	if next != uint64(len(messages)) || queue.bytes != 0 {
		t.Errorf("%d messages were sent and %d bytes are left in the queue, want 10 messages and 0 bytes", next, queue.bytes)
	}
	queue.push(nil)
	if <-queue.wake; len(queue.nextBatch()) != 0 {
		t.Error("nextBatch for a hello returned messages, want none")
	}
}

// TestLargeBatchCarriesNoClocks guards against clocks that are outdated when they arrive: a large
// batch may be in transit for long, and the peer takes the clocks as of the time of arrival.
func TestLargeBatchCarriesNoClocks(t *testing.T) {
	host := New(Options{Hooks: Hooks{ReadClocks: func() (int64, int64) { return 7, 8 }}, Network: unreachable})
	if batch := host.newBatch([]paxos.Message{{}}); batch.WallTime != 7 || batch.AgreedTime != 8 {
		t.Errorf("small batch has WallTime %d and AgreedTime %d, want 7 and 8", batch.WallTime, batch.AgreedTime)
	}
	large := paxos.Message{Snapshot: largeSnapshot()}
	if batch := host.newBatch([]paxos.Message{large}); batch.WallTime != 0 || batch.AgreedTime != 0 {
		t.Errorf("batch with a snapshot has WallTime %d and AgreedTime %d, want 0 and 0", batch.WallTime, batch.AgreedTime)
	}
}

// TestStopAbortsSends guards against a host that waits at its end for the full timeout of a send
// to a peer that does not answer, and against senders that are started after Stop.
func TestStopAbortsSends(t *testing.T) {
	dialing := make(chan struct{}, sendersPerPeer)
	hangingNetwork := func(time.Duration, time.Duration) func(context.Context, string, string) (net.Conn, error) {
		return func(ctx context.Context, _, _ string) (net.Conn, error) {
			dialing <- struct{}{}
			<-ctx.Done()
			return nil, ctx.Err()
		}
	}
	host := New(Options{Network: hangingNetwork, Client: rpc.NewClient(hangingNetwork)})
	host.transport.send("10.0.0.2", nil)
	<-dialing
	host.Stop()
	stopped := time.Now()
	host.Wait()
	if took := time.Since(stopped); took > sendTimeoutBase/2 {
		t.Errorf("Wait returned %v after Stop, want at most half of sendTimeoutBase", took)
	}
	host.transport.send("10.0.0.3", nil)
	if host.transport.hasPeer("10.0.0.3") {
		t.Error("send after Stop created queues for a new peer, want none")
	}
}
