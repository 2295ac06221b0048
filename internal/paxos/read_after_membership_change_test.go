package paxos

import (
	"slices"
	"testing"
	"time"
)

// membershipChangeCluster is a cell of "a" to "e" in which the leader "b" replaced the voter "a" with
// "f". The new voters vote on entry 4 and later. Entry 4 is acknowledged, and of the running
// replicas only "c" and "f" have it.
type membershipChangeCluster struct {
	*testCluster
	candidate *Replica // "d", which has entries 1 to 3
	confirmed []uint64
}

// newMembershipChangeCluster starts all replicas except "b". The election timeout of "d" has expired,
// so it campaigns on its first tick.
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

// run advances the time by 400 ms and delivers messages. Prepare messages to the replicas in
// unprepared are lost.
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

// TestReadWaitsForPromisesAfterMembershipChange guards against stale reads after a membership change.
// A new leader was elected by the voters from before the change. Until a majority of the voters from
// after the change has promised, these may have acknowledged entries that the leader lacks, so it
// must not confirm reads.
func TestReadWaitsForPromisesAfterMembershipChange(t *testing.T) {
	c := newMembershipChangeCluster()
	d := c.candidate
	c.run("c", "f")
	if d.Role() != Leader || d.AppliedIndex() != 3 {
		t.Fatalf("replica d has role %v and applied index %d after the election, want Leader and 3",
			d.Role(), d.AppliedIndex())
	}
	err := d.Read(c.now, 1)
	c.run("c", "f")
	if err == nil && len(c.confirmed) > 0 {
		t.Errorf("read was confirmed at applied index %d, want no confirmation before acknowledged entry 4 is applied",
			d.AppliedIndex())
	}
	for _, id := range []ReplicaID{"d", "e"} {
		replica := c.replicas[id]
		if staleness := replica.Staleness(c.now); staleness < time.Hour {
			t.Errorf("staleness of %s is %v at applied index %d, want at least 1 h before acknowledged entry 4 is applied",
				id, staleness, replica.AppliedIndex())
		}
	}
	c.run()
	err = d.Read(c.now, 2)
	c.run()
	if k, _ := d.Get("k"); err != nil || !slices.Contains(c.confirmed, 2) || !k.Equal(Int(7)) {
		t.Errorf("read at applied index %d returned %v, confirmed tickets %v, k=%v; want no error, ticket 2 and k=7",
			d.AppliedIndex(), err, c.confirmed, k)
	}
}
