package paxos

import (
	"slices"
	"testing"
	"time"
)

// membershipChangeCluster is a cell in which "b" led and was replaced by "f". Entry 4, the
// first that the new membership votes on, is acknowledged and known to "c" and "f" alone.
type membershipChangeCluster struct {
	*testCluster
	candidate *Replica // "d", which has entries 1 to 3
	confirmed []uint64
}

// newMembershipChangeCluster starts all but "b", with "d" about to campaign.
func newMembershipChangeCluster() *membershipChangeCluster {
	number := ProposalNumber{Term: 1, Proposer: "b"}
	change := Txn{Ops: []Op{{Kind: OpSetVoters, Voters: votersOf("b", "c", "d", "e", "f")}}}
	entries := []Entry{
		{Index: 1, ProposalNumber: number, Txns: []Txn{change}},
		{Index: 2, ProposalNumber: number},
		{Index: 3, ProposalNumber: number},
		{Index: 4, ProposalNumber: number, Txns: []Txn{putInt("", "k", 7)}},
	}
	c := newTestCluster([]ReplicaID{"a", "c", "d", "e", "f"}, func(id ReplicaID) PersistedState {
		initial := initialSnapshot(votersOf("a", "b", "c", "d", "e"))
		persisted := PersistedState{Promised: number, Snapshot: initial}
		switch id {
		case "c", "f":
			persisted.Entries = entries
			persisted.CommitIndex = 3
		case "d":
			persisted.Entries = entries[:3]
		}
		return persisted
	})
	candidate := c.replicas["d"]
	candidate.electionDeadline = 0
	return &membershipChangeCluster{testCluster: c, candidate: candidate}
}

// run lets time pass; Prepare messages to the named replicas are lost.
func (c *membershipChangeCluster) run(unprepared ...ReplicaID) {
	const steps = 40
	for range steps {
		for _, msg := range c.takeMessagesAndReads() {
			isLost := msg.Kind == Prepare && slices.Contains(unprepared, msg.To)
			if replica := c.replicas[msg.To]; replica != nil && !isLost {
				replica.Step(c.now, msg)
			}
		}
		c.now += 10 * time.Millisecond
	}
}

// takeMessagesAndReads ticks the candidate, records confirmed reads, and returns the messages that
// the replicas send.
func (c *membershipChangeCluster) takeMessagesAndReads() []Message {
	var messages []Message
	for _, id := range c.ids {
		replica := c.replicas[id]
		if replica == c.candidate {
			replica.Tick(c.now)
		}
		ready := replica.Ready()
		c.confirmed = append(c.confirmed, ready.ConfirmedReads...)
		messages = append(messages, allMessages(ready)...)
	}
	return messages
}

// TestReadWaitsForPromisesAfterMembershipChange: a new leader was elected by the voters of the next
// indexes, and has not asked the voters after a membership change. Until a majority of those has
// promised, they may hold acknowledged entries that the leader lacks, so it must not confirm reads.
func TestReadWaitsForPromisesAfterMembershipChange(t *testing.T) {
	c := newMembershipChangeCluster()
	d := c.candidate
	c.run("c", "f")
	if d.Role() != Leader || d.AppliedIndex() != 3 {
		t.Fatalf("it is %v and has applied %d", d.Role(), d.AppliedIndex())
	}
	err := d.Read(c.now, 1)
	c.run("c", "f")
	if err == nil && len(c.confirmed) > 0 {
		t.Errorf("a read was confirmed at %d, though 4 was acknowledged", d.AppliedIndex())
	}
	for _, id := range []ReplicaID{"d", "e"} {
		replica := c.replicas[id]
		if staleness := replica.Staleness(c.now); staleness < time.Hour {
			t.Errorf("%s takes itself to be %v old at %d, though 4 was acknowledged", id, staleness, replica.AppliedIndex())
		}
	}
	c.run()
	err = d.Read(c.now, 2)
	c.run()
	if k, _ := d.Get("k"); err != nil || !slices.Contains(c.confirmed, 2) || !k.Equal(Int(7)) {
		t.Errorf("a read at %d: %v, confirmed %v, %v", d.AppliedIndex(), err, c.confirmed, k)
	}
}
