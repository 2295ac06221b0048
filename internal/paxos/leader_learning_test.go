package paxos

import (
	"slices"
	"testing"
	"time"
)

// A testCluster runs a few replicas without a simulated network: the test delivers each message.
type testCluster struct {
	ids      []ReplicaID
	replicas map[ReplicaID]*Replica
	now      time.Duration
}

// fixedJitter takes the place of random numbers.
func fixedJitter() float64 { return 0.5 }

// votersOf returns voters with the given names.
func votersOf(ids ...ReplicaID) []Voter {
	var voters []Voter
	for _, id := range ids {
		voters = append(voters, Voter{ID: id, Addr: string(id)})
	}
	return voters
}

// putInt is a transaction that sets a key to an integer.
func putInt(id, key string, value int64) Txn {
	return Txn{ID: id, Ops: []Op{{Kind: OpPut, Key: key, Value: Int(value)}}}
}

// newTestCluster starts replicas from what their disks hold.
func newTestCluster(ids []ReplicaID, diskOf func(id ReplicaID) PersistedState) *testCluster {
	c := &testCluster{ids: ids, replicas: map[ReplicaID]*Replica{}}
	for _, id := range ids {
		c.replicas[id] = NewReplica(testConfig(id, fixedJitter), diskOf(id), 0)
	}
	return c
}

// takeMessages returns the messages that the replicas send, in the order of the replicas.
func (c *testCluster) takeMessages() []Message {
	var messages []Message
	for _, id := range c.ids {
		messages = append(messages, allMessages(c.replicas[id].Ready())...)
	}
	return messages
}

// allMessages returns all messages of a Ready, as if its writes were synced.
func allMessages(ready Ready) []Message {
	return slices.Concat(ready.Messages, ready.MessagesAfterSync)
}

// deliver delivers messages and the answers to them among the named replicas; messages to others
// are lost.
func (c *testCluster) deliver(recipients ...ReplicaID) {
	const rounds = 20
	for range rounds {
		for _, msg := range c.takeMessages() {
			if slices.Contains(recipients, msg.To) {
				c.replicas[msg.To].Step(c.now, msg)
			}
		}
	}
}

// exchange hands a message to its recipient, and the synced answers back to the sender.
func (c *testCluster) exchange(msg Message) {
	recipient := c.replicas[msg.To]
	recipient.Step(c.now, msg)
	for _, answer := range recipient.Ready().MessagesAfterSync {
		c.replicas[msg.From].Step(c.now, answer)
	}
}

// newLeaderOfOldEntry returns a cluster in which "a" has just been elected with the promises of
// a, b and c, and "c" reported an entry of an older leader, which "d" and "e" know to be
// committed already.
func newLeaderOfOldEntry(t *testing.T) *testCluster {
	t.Helper()
	ids := []ReplicaID{"a", "b", "c", "d", "e"}
	oldLeader := ProposalNumber{Term: 1, Proposer: "c"}
	entry := Entry{Index: 1, ProposalNumber: oldLeader, Txns: []Txn{putInt("t", "k", 7)}}
	c := newTestCluster(ids, func(id ReplicaID) PersistedState {
		persisted := PersistedState{Promised: oldLeader, Snapshot: initialSnapshot(votersOf(ids...))}
		switch id {
		case "c":
			persisted.Entries = []Entry{entry}
		case "d", "e":
			persisted.Entries = []Entry{entry}
			persisted.CommitIndex = 1
		}
		return persisted
	})
	a := c.replicas["a"]
	for a.Role() != PersistingTerm {
		c.now += 50 * time.Millisecond
		a.Tick(c.now)
	}
	c.deliver("b", "a") // its term is on its disk; b alone is no majority
	if a.Role() != Candidate {
		t.Fatalf("it is %v with two promises of five", a.Role())
	}
	c.exchange(c.prepareTo("c"))
	c.deliver("a") // its own promise comes last
	if a.Role() != Leader || a.AppliedIndex() != 0 {
		t.Fatalf("it is %v and has applied %d", a.Role(), a.AppliedIndex())
	}
	return c
}

// prepareTo is the Prepare of the campaign of "a".
func (c *testCluster) prepareTo(to ReplicaID) Message {
	return Message{Cell: testCell, Kind: Prepare, From: "a", To: to, ProposalNumber: c.replicas["a"].proposer.number}
}

// TestLeaderLearnsAdoptedEntryAndStays: a new leader learns late, from one more promise, that an
// entry which it proposes again was already committed. It must stay leader: stepping down would
// leave the cell without a leader for an election timeout.
func TestLeaderLearnsAdoptedEntryAndStays(t *testing.T) {
	c := newLeaderOfOldEntry(t)
	a := c.replicas["a"]
	c.exchange(c.prepareTo("d")) // the late promise, which brings entry 1
	if a.Role() != Leader || a.AppliedIndex() != 1 {
		t.Fatalf("having learned what it had adopted, it is %v and has applied %d", a.Role(), a.AppliedIndex())
	}
	if err := a.Propose(c.now, putInt("u", "l", 8)); err != nil {
		t.Fatal(err)
	}
	for range 20 {
		c.now += 50 * time.Millisecond
		a.Tick(c.now)
		c.deliver(c.ids...)
	}
	for _, id := range c.ids {
		k, _ := c.replicas[id].Get("k")
		l, _ := c.replicas[id].Get("l")
		if !k.Equal(Int(7)) || !l.Equal(Int(8)) {
			t.Errorf("%s holds %v and %v", id, k, l)
		}
	}
	checkStartedFollowerIsNotCurrent(t, c)
	checkDeposedLeaderStepsDown(t, c)
}

// checkStartedFollowerIsNotCurrent: a replica that has just started and lacks entries up to its
// leader's commit index does not report its state as current.
func checkStartedFollowerIsNotCurrent(t *testing.T, c *testCluster) {
	t.Helper()
	a := c.replicas["a"]
	started := NewReplica(testConfig("b", fixedJitter), PersistedState{Snapshot: initialSnapshot(votersOf(c.ids...))}, 0)
	started.Step(c.now, Message{
		Cell: testCell, Kind: Heartbeat, From: "a", To: "b", ProposalNumber: a.proposer.number,
		HeartbeatSequence: 99, CommitIndex: a.AppliedIndex(),
	})
	if started.Leader() != "a" || started.Staleness(c.now) < time.Hour {
		t.Errorf("behind %q it seems %v old", started.Leader(), started.Staleness(c.now))
	}
}

// checkDeposedLeaderStepsDown: a leader steps down when it learns an entry that was committed
// under a newer proposal number.
func checkDeposedLeaderStepsDown(t *testing.T, c *testCluster) {
	t.Helper()
	a := c.replicas["a"]
	newer := Entry{
		Index:          a.AppliedIndex() + 1,
		ProposalNumber: ProposalNumber{Term: a.proposer.number.Term + 1, Proposer: "e"},
	}
	a.Step(c.now, Message{
		Cell: testCell, Kind: CatchUpResponse, From: "e", To: "a",
		CommitIndex: newer.Index, Entries: []Entry{newer},
	})
	if a.Role() == Leader {
		t.Error("deposed, it still leads")
	}
}
