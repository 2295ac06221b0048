package paxos_test

import (
	"fmt"
	"slices"
	"time"

	"comethold/internal/paxos"
)

// owner is a minimal owner of a replica: it performs the I/O that Ready asks for.
type owner struct {
	replica *paxos.Replica
	now     time.Duration
}

// advance lets time pass.
func (o *owner) advance(duration time.Duration) {
	o.now += duration
	o.replica.Tick(o.now)
	o.handleReady()
}

// handleReady performs everything that the replica asks for until there is nothing left.
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
		// Here a real owner sends ready.Messages to the other replicas, syncs ready.Writes to
		// its disk, and only then sends ready.MessagesAfterSync. In a cell of one voter all of
		// them go to the replica itself.
		messages := slices.Concat(ready.Messages, ready.MessagesAfterSync)
		if len(messages) == 0 {
			return
		}
		for _, msg := range messages {
			o.replica.Step(o.now, msg)
		}
	}
}

// A cell of one voter elects it, commits a transaction and answers a read.
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
	o.advance(config.HeartbeatInterval) // the next heartbeat confirms it

	// Output:
	// leader: a
	// transaction t1 committed: true
	// linearizable read: hello
}
