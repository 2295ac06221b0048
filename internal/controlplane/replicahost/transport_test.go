package replicahost

import (
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"testing"

	"comethold/internal/controlplane/schema"
	"comethold/internal/paxos"
	"comethold/internal/storage"
)

// TestBulkQueueSendsNothingTwice: of what is large, nothing goes a second time while it is under way, and a
// promise goes without the snapshot that is.
func TestBulkQueueSendsNothingTwice(t *testing.T) {
	l := newBulkQueue()
	snap := func() *paxos.Snapshot {
		return &paxos.Snapshot{State: map[string]paxos.Value{"k": paxos.Bytes(make([]byte, bulkThresholdBytes))}}
	}
	large := func(slot uint64) []paxos.Entry {
		return []paxos.Entry{{Index: slot, Txns: []paxos.Txn{{ID: strings.Repeat("x", bulkThresholdBytes)}}}}
	}
	l.enqueue(paxos.Message{Cell: "a", Kind: paxos.CatchUpResponse, Snapshot: snap()})
	if m := l.next(); m == nil || m.Snapshot == nil {
		t.Fatalf("the snapshot is not sent: %v", m)
	}
	for range 3 {
		l.enqueue(paxos.Message{Cell: "a", Kind: paxos.CatchUpResponse, Snapshot: snap()})
		l.enqueue(paxos.Message{Cell: "a", Kind: paxos.Accept, Entries: large(7)})
	}
	number := paxos.ProposalNumber{Term: 2}
	promise := paxos.Message{Cell: "a", Kind: paxos.Promise, ProposalNumber: number, Snapshot: snap()}
	if rest := l.enqueue(promise); rest == nil || rest.Snapshot != nil || rest.ProposalNumber.Term != 2 {
		t.Errorf("of the promise goes %v", rest)
	}
	l.enqueue(paxos.Message{Cell: "b", Kind: paxos.CatchUpResponse, Snapshot: snap()})
	l.enqueue(paxos.Message{Cell: "a", Kind: paxos.Accept, Entries: large(8)})
	var got []string
	for m := l.next(); m != nil; m = l.next() {
		got = append(got, fmt.Sprint(m.Cell, m.Kind, len(m.Entries)))
	}
	want := fmt.Sprint([]string{
		fmt.Sprint("a", paxos.Accept, 1),
		fmt.Sprint("b", paxos.CatchUpResponse, 0),
		fmt.Sprint("a", paxos.Accept, 1),
	})
	if fmt.Sprint(got) != want {
		t.Errorf("sent are %v, not %v", got, want)
	}
	l.enqueue(paxos.Message{Cell: "a", Kind: paxos.CatchUpResponse, Snapshot: snap()})
	if l.next() == nil {
		t.Error("nothing is under way, and the snapshot is not sent")
	}
}

// TestSendQueueBounds: what one tick says in many cells finds room, and what is oldest makes
// room for what is newest.
func TestSendQueueBounds(t *testing.T) {
	queues := newPeerQueues()
	h := &transport{peers: map[string]*peerQueues{"b": queues}}
	p := queues.small
	const cells = 1000
	h.send("b", make([]paxos.Message, cells))
	if len(p.messages) != cells {
		t.Errorf("%d of %d messages wait", len(p.messages), cells)
	}
	half := paxos.Message{Entries: []paxos.Entry{{Txns: []paxos.Txn{{ID: strings.Repeat("x", bulkThresholdBytes/2)}}}}}
	for i := range 2 * maxQueueBytes / half.Size() {
		half.HeartbeatSequence = uint64(i)
		h.send("b", []paxos.Message{half})
	}
	n := len(p.messages)
	last := p.messages[n-1].HeartbeatSequence
	if p.bytes > maxQueueBytes || n < maxQueueBytes/half.Size() || last != half.HeartbeatSequence {
		t.Errorf("%d messages, %d bytes, the last %d of %d", n, p.bytes, last, half.HeartbeatSequence)
	}
}

// TestLargeBatchCarriesNoClocks: what may be long under way tells no time of day, which would be taken for
// that of its arrival.
func TestLargeBatchCarriesNoClocks(t *testing.T) {
	h := New(Options{Hooks: Hooks{ReadClocks: func() (int64, int64) { return 7, 8 }}, Network: unreachable})
	if b := h.newBatch([]paxos.Message{{}}); b.WallTime != 7 || b.AgreedTime != 8 {
		t.Errorf("a greeting says %d and %d", b.WallTime, b.AgreedTime)
	}
	state := map[string]paxos.Value{"k": paxos.Bytes(make([]byte, bulkThresholdBytes))}
	large := paxos.Message{Snapshot: &paxos.Snapshot{State: state}}
	if b := h.newBatch([]paxos.Message{large}); b.WallTime != 0 || b.AgreedTime != 0 {
		t.Errorf("a snapshot says %d and %d", b.WallTime, b.AgreedTime)
	}
}

// TestPeerAddresses: a registrar that knows no seats greets, besides its seeds, whoever greets it
// and whoever is listed: the proposer need not be a seed, and only it teaches.
func TestPeerAddresses(t *testing.T) {
	h := New(Options{
		Self:    PeerInfo{ID: "1~a", Addr: "1"},
		Seeds:   []string{"1", "2"},
		Hooks:   Hooks{RegisteredAddresses: func() []string { return []string{"3", "1"} }},
		Network: unreachable,
	})
	h.peers.record(PeerInfo{ID: "4", Addr: "4"}, 0)
	h.peers.record(PeerInfo{ID: "5", Addr: "5"}, -2*LearnerTimeout)
	got := h.PeerAddresses()
	sort.Strings(got)
	if fmt.Sprint(got) != "[2 3 4]" {
		t.Errorf("greets %v", got)
	}
}

// TestFounderIdentity: the name of a founder and its part of the first cell are on the disk
// together, and a name that may have voted before a file was put aside is not used again.
func TestFounderIdentity(t *testing.T) {
	seats := []paxos.Voter{{ID: "a", Addr: "a"}, {ID: "b", Addr: "b"}, {ID: "c", Addr: "c"}}
	life := func(dir string, first bool) (paxos.ReplicaID, bool) {
		v, err := storage.Open(dir, storage.LocalDisk{}, func(error) {})
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = v.Close() }()
		id, _, err := LoadOrCreateIdentity(v, NewNode{
			Address:    "a",
			FirstStart: first,
			SetAside:   storage.HasCorruptFile(dir),
			Founders:   seats,
		})
		if err != nil {
			t.Fatal(err)
		}
		s, found, err := v.LoadReplica(schema.MetaCell)
		if err != nil || !found || s.Snapshot == nil {
			return id, false
		}
		return id, paxos.Membership{Voters: s.Snapshot.Memberships[0].Voters}.Contains(id)
	}
	dir := t.TempDir()
	for _, first := range []bool{true, false} {
		if id, voter := life(dir, first); id != "a" || !voter {
			t.Errorf("first start %v: %s, voter %v", first, id, voter)
		}
	}
	dir = t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "vault.db"), []byte("no vault"), 0o600); err != nil {
		t.Fatal(err)
	}
	if id, voter := life(dir, true); id == "a" || voter {
		t.Errorf("after damage: %s, voter %v", id, voter)
	}
}
