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

// entriesOf returns a log entry of at least so many bytes.
func entriesOf(index uint64, bytes int) []paxos.Entry {
	return []paxos.Entry{{Index: index, Txns: []paxos.Txn{{ID: strings.Repeat("x", bytes)}}}}
}

// TestBulkQueueSendsNothingTwice: of what is large, nothing is sent a second time while it is
// in flight, and a promise is sent without the snapshot that is.
func TestBulkQueueSendsNothingTwice(t *testing.T) {
	queue := newBulkQueue()
	snapshot := paxos.Message{Cell: "a", Kind: paxos.CatchUpResponse, Snapshot: largeSnapshot()}
	accept := func(index uint64) paxos.Message {
		return paxos.Message{Cell: "a", Kind: paxos.Accept, Entries: entriesOf(index, bulkThresholdBytes)}
	}
	queue.enqueue(snapshot)
	if sent := queue.next(); sent == nil || sent.Snapshot == nil {
		t.Fatalf("the snapshot is not sent: %v", sent)
	}
	for range 3 {
		queue.enqueue(snapshot)
		queue.enqueue(accept(7))
	}
	number := paxos.ProposalNumber{Term: 2}
	promise := paxos.Message{Cell: "a", Kind: paxos.Promise, ProposalNumber: number, Snapshot: largeSnapshot()}
	if rest := queue.enqueue(promise); rest == nil || rest.Snapshot != nil || rest.ProposalNumber.Term != 2 {
		t.Errorf("what is left of the promise is %v", rest)
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
		t.Errorf("sent are %v, not %v", sent, want)
	}
	queue.enqueue(snapshot)
	if queue.next() == nil {
		t.Error("nothing is in flight, and the snapshot is not sent")
	}
}

// TestSendQueueBounds: there is room for what one tick sends in many cells, and the oldest
// messages make room for the newest.
func TestSendQueueBounds(t *testing.T) {
	const cells = 1000
	queues := newPeerQueues()
	sender := &transport{peers: map[string]*peerQueues{"b": queues}}
	queue := queues.small
	sender.send("b", make([]paxos.Message, cells))
	if len(queue.messages) != cells {
		t.Errorf("%d of %d messages wait", len(queue.messages), cells)
	}
	message := paxos.Message{Entries: entriesOf(0, bulkThresholdBytes/2)}
	for i := range 2 * maxQueueBytes / message.Size() {
		message.HeartbeatSequence = uint64(i)
		sender.send("b", []paxos.Message{message})
	}
	count := len(queue.messages)
	last := queue.messages[count-1].HeartbeatSequence
	if queue.bytes > maxQueueBytes || count < maxQueueBytes/message.Size() || last != message.HeartbeatSequence {
		t.Errorf("%d messages, %d bytes, the last %d of %d", count, queue.bytes, last, message.HeartbeatSequence)
	}
}

// TestSendQueueBatches: messages are sent in order, in batches of maxBatchBytes, and each
// batch that is due wakes a sender.
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
				t.Fatalf("nobody is woken for what is left after %d messages", next)
			}
			continue
		}
		batch := queue.nextBatch()
		if len(batch) == 0 || len(batch) > 4 {
			t.Errorf("a batch has %d messages", len(batch))
		}
		for _, sent := range batch {
			if sent.HeartbeatSequence != next {
				t.Errorf("message %d is sent in the place of %d", sent.HeartbeatSequence, next)
			}
			next++
		}
	}
	if next != uint64(len(messages)) || queue.bytes != 0 {
		t.Errorf("%d messages were sent, %d bytes are left", next, queue.bytes)
	}
	queue.push(nil)
	if <-queue.wake; len(queue.nextBatch()) != 0 {
		t.Error("a hello has messages")
	}
}

// TestLargeBatchCarriesNoClocks: what may be long under way carries no time of day, which
// would be taken for that of its arrival.
func TestLargeBatchCarriesNoClocks(t *testing.T) {
	host := New(Options{Hooks: Hooks{ReadClocks: func() (int64, int64) { return 7, 8 }}, Network: unreachable})
	if batch := host.newBatch([]paxos.Message{{}}); batch.WallTime != 7 || batch.AgreedTime != 8 {
		t.Errorf("a small batch says %d and %d", batch.WallTime, batch.AgreedTime)
	}
	large := paxos.Message{Snapshot: largeSnapshot()}
	if batch := host.newBatch([]paxos.Message{large}); batch.WallTime != 0 || batch.AgreedTime != 0 {
		t.Errorf("a snapshot says %d and %d", batch.WallTime, batch.AgreedTime)
	}
}

// TestStopAbortsSends: a send to a peer that does not answer ends soon after the host does,
// and nothing is sent to a new peer then.
func TestStopAbortsSends(t *testing.T) {
	dialing := make(chan struct{}, sendersPerPeer)
	hangs := func(time.Duration, time.Duration) func(context.Context, string, string) (net.Conn, error) {
		return func(ctx context.Context, _, _ string) (net.Conn, error) {
			dialing <- struct{}{}
			<-ctx.Done()
			return nil, ctx.Err()
		}
	}
	host := New(Options{Network: hangs, Client: rpc.NewClient(hangs)})
	host.transport.send("10.0.0.2", nil)
	<-dialing
	host.Stop()
	stopped := time.Now()
	host.Wait()
	if took := time.Since(stopped); took > sendTimeoutBase/2 {
		t.Errorf("it took %v", took)
	}
	host.transport.send("10.0.0.3", nil)
	if host.transport.knows("10.0.0.3") {
		t.Error("a peer is taken in after the end")
	}
}
