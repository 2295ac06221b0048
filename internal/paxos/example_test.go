package paxos_test

import (
	"fmt"
	"slices"
	"time"

	"comethold/internal/paxos"
)

// owner is a minimal owner of a replica: it performs the I/O that Ready returns.
type owner struct {
	replica *paxos.Replica
	now     time.Duration
}

// advance moves the clock forward and handles the results.
func (o *owner) advance(duration time.Duration) {
	o.now += duration
	o.replica.Tick(o.now)
	o.handleReady()
}

// handleReady calls Ready and performs its I/O until the replica sends no more messages.
func (o *owner) handleReady() {
	for {
		ready := o.replica.Ready()
		for _, outcome := range ready.Outcomes {
			fmt.Printf("transaction %s committed: %v\n", outcome.TxnID, outcome.Committed)
		}
		for range ready.ConfirmedReads {
			value, _ := o.replica.Get("greeting")
			fmt.Printf("linearizable read: %s\n", value.Bytes)
		}
		// A real owner sends ready.Messages to the other replicas here, syncs ready.Writes to
		// its disk, and only then sends ready.MessagesAfterSync. In a cell of one voter, all
		// messages are addressed to the replica itself.
		messages := slices.Concat(ready.Messages, ready.MessagesAfterSync)
		if len(messages) == 0 {
			return
		}
		for _, msg := range messages {
			o.replica.Step(o.now, msg)
		}
	}
}

// ExampleReplica runs a cell of one voter, which is elected, commits a transaction and answers a
// linearizable read.
func ExampleReplica() {
	config := paxos.Config{
		Cell: "example", Self: "a",
		Alpha: 3, MaxQueue: 8, MaxBatch: 4, RetainedEntries: 16,
		HeartbeatInterval: 100 * time.Millisecond,
		ElectionTimeout:   400 * time.Millisecond,
		Jitter:            func() float64 { return 0.5 },
	}
	initial := &paxos.Snapshot{Memberships: []paxos.Membership{
		{EffectiveFrom: 1, Voters: []paxos.Voter{{ID: "a"}}},
	}}
	o := &owner{replica: paxos.NewReplica(config, paxos.PersistedState{Snapshot: initial}, 0)}

	for o.replica.Role() != paxos.Leader {
		o.advance(50 * time.Millisecond)
	}
	fmt.Println("leader:", o.replica.Leader())

	put := paxos.Op{Kind: paxos.OpPut, Key: "greeting", Value: paxos.Bytes([]byte("hello"))}
	if err := o.replica.Propose(o.now, paxos.Txn{ID: "t1", Ops: []paxos.Op{put}}); err != nil {
		fmt.Println(err)
	}
	o.handleReady()

	if err := o.replica.Read(o.now, 1); err != nil {
		fmt.Println(err)
	}
	o.advance(config.HeartbeatInterval) // the answer to the next heartbeat confirms the read

	// Output:
	// leader: a
	// transaction t1 committed: true
	// linearizable read: hello
}
