package paxos

import (
	"slices"
	"testing"
	"time"
)

// A testCluster contains a few replicas without a simulated network: the test delivers each message.
type testCluster struct {
	ids      []ReplicaID
	replicas map[ReplicaID]*Replica
	now      time.Duration
}

// fixedJitter is a Config.Jitter that makes timeouts deterministic.
func fixedJitter() float64 { return 0.5 }

// votersOf returns voters with the given IDs.
func votersOf(ids ...ReplicaID) []Voter {
	var voters []Voter
	for _, id := range ids {
		voters = append(voters, Voter{ID: id, Addr: string(id)})
	}
	return voters
}

// putInt returns a transaction that sets a key to an integer.
func putInt(id, key string, value int64) Txn {
	return Txn{ID: id, Ops: []Op{{Kind: OpPut, Key: key, Value: Int(value)}}}
}

// newTestCluster starts replicas from the state that diskOf returns for each of them.
func newTestCluster(ids []ReplicaID, diskOf func(id ReplicaID) PersistedState) *testCluster {
	c := &testCluster{ids: ids, replicas: map[ReplicaID]*Replica{}}
	for _, id := range ids {
		c.replicas[id] = NewReplica(testConfig(id, fixedJitter), diskOf(id), 0)
	}
	return c
}

// takeMessages returns the messages from the next Ready of each replica, in the order of ids.
func (c *testCluster) takeMessages() []Message {
	var messages []Message
	for _, id := range c.ids {
		messages = append(messages, allMessages(c.replicas[id].Ready())...)
	}
	return messages
}

// allMessages returns all messages of a Ready, as if its writes were already synced.
func allMessages(ready Ready) []Message {
	return slices.Concat(ready.Messages, ready.MessagesAfterSync)
}

// deliver delivers messages, and the answers to them, to the listed recipients. Messages to other
// replicas are lost.
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

// exchange delivers a message to its recipient, and delivers the answers that the recipient sends
// after a sync to the sender.
func (c *testCluster) exchange(msg Message) {
	recipient := c.replicas[msg.To]
	recipient.Step(c.now, msg)
	for _, answer := range recipient.Ready().MessagesAfterSync {
		c.replicas[msg.From].Step(c.now, answer)
	}
}

// newClusterWithAdoptedEntry returns a cluster in which "a" has just been elected with the promises of
// "a", "b" and "c". The promise of "c" reported entry 1 of an older leader, which "a" adopted. On
// "d" and "e" this entry is already committed.
func newClusterWithAdoptedEntry(t *testing.T) *testCluster {
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
	c.deliver("b", "a") // "a" persists its term; it then has the promise of "b" and not yet its own
	if a.Role() != Candidate {
		t.Fatalf("replica a has role %v before a majority has promised, want Candidate", a.Role())
	}
	c.exchange(c.prepareTo("c"))
	c.deliver("a") // the own promise of "a" arrives last
	if a.Role() != Leader || a.AppliedIndex() != 0 {
		t.Fatalf("replica a has role %v and applied index %d after three promises, want Leader and 0",
			a.Role(), a.AppliedIndex())
	}
	return c
}

// prepareTo returns a Prepare of the campaign of "a".
func (c *testCluster) prepareTo(to ReplicaID) Message {
	return Message{Cell: testCell, Kind: Prepare, From: "a", To: to, ProposalNumber: c.replicas["a"].proposer.number}
}

// TestLeaderRemainsLeaderAfterLearningAdoptedEntry guards against an unnecessary step-down, which
// leaves the cell without a leader for an election timeout. A new leader proposes an adopted entry
// again, and a further promise arrives late and shows that this entry was already committed.
func TestLeaderRemainsLeaderAfterLearningAdoptedEntry(t *testing.T) {
	c := newClusterWithAdoptedEntry(t)
	a := c.replicas["a"]
	c.exchange(c.prepareTo("d")) // the late promise contains entry 1 as committed
	if a.Role() != Leader || a.AppliedIndex() != 1 {
		t.Fatalf("after the late promise replica a has role %v and applied index %d, want Leader and 1",
			a.Role(), a.AppliedIndex())
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
			t.Errorf("replica %s has k=%v and l=%v, want 7 and 8", id, k, l)
		}
	}
	checkStartedFollowerIsNotCurrent(t, c)
	checkDeposedLeaderStepsDown(t, c)
}

// checkStartedFollowerIsNotCurrent checks that a replica does not report its state as current if it
// has just started and lacks entries up to the commit index of its leader.
func checkStartedFollowerIsNotCurrent(t *testing.T, c *testCluster) {
	t.Helper()
	a := c.replicas["a"]
	started := NewReplica(testConfig("b", fixedJitter), PersistedState{Snapshot: initialSnapshot(votersOf(c.ids...))}, 0)
	started.Step(c.now, Message{
		Cell: testCell, Kind: Heartbeat, From: "a", To: "b", ProposalNumber: a.proposer.number,
		HeartbeatSequence: 99, CommitIndex: a.AppliedIndex(),
	})
	if started.Leader() != "a" || started.Staleness(c.now) < time.Hour {
		t.Errorf("started replica b has leader %q and staleness %v, want leader a and at least 1 h",
			started.Leader(), started.Staleness(c.now))
	}
}

// checkDeposedLeaderStepsDown checks that a leader steps down when it learns an entry that was
// committed under a newer proposal number.
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
		t.Error("replica a is still the leader after it learned an entry with a newer proposal number, want another role")
	}
}
