package paxos

import (
	"slices"
	"testing"
	"time"
)

// TestTaughtProposer: a new proposer that hears late, in one more promise, that
// what it is proposing again had been chosen already goes on. Giving way would
// leave the cell without a proposer for a whole patience.
func TestTaughtProposer(t *testing.T) {
	ids := []ReplicaID{"a", "b", "c", "d", "e"}
	var seats []Voter
	for _, id := range ids {
		seats = append(seats, Voter{ID: id, Addr: string(id)})
	}
	old := ProposalNumber{Term: 1, Proposer: "c"}
	entry := Entry{Index: 1, ProposalNumber: old, Txns: []Txn{{ID: "t", Ops: []Op{{Kind: OpPut, Key: "k", Value: Int(7)}}}}}
	members := map[ReplicaID]*Replica{}
	for _, id := range ids {
		sv := PersistedState{Promised: old, Snapshot: &Snapshot{State: map[string]Value{}, Memberships: []Membership{{EffectiveFrom: 1, Voters: seats}}}}
		switch id {
		case "c":
			sv.Entries = []Entry{entry}
		case "d", "e":
			sv.Entries, sv.CommitIndex = []Entry{entry}, 1
		}
		members[id] = NewReplica(Config{Cell: "c", Self: id, Alpha: 3, MaxQueue: 8, MaxBatch: 4, RetainedEntries: 16,
			HeartbeatInterval: 100 * time.Millisecond, ElectionTimeout: 400 * time.Millisecond, Jitter: func() float64 { return 0.5 }}, sv, 0)
	}
	a := members["a"]
	now := time.Duration(0)
	// deliver carries the messages to those named; the others' are lost.
	deliver := func(to ...ReplicaID) {
		for round := 0; round < 20; round++ {
			var all []Message
			for _, id := range ids {
				out := members[id].Ready()
				all = append(all, append(out.Messages, out.MessagesAfterSync...)...)
			}
			for _, msg := range all {
				for _, id := range to {
					if msg.To == id {
						members[id].Step(now, msg)
					}
				}
			}
		}
	}
	for a.Role() != PersistingTerm {
		now += 50 * time.Millisecond
		a.Tick(now)
	}
	prepare := Message{Cell: "c", Kind: Prepare, From: "a", To: "d", ProposalNumber: a.proposalNumber}
	deliver("b", "a") // its ballot is on its disk; b alone is no majority
	if a.Role() != Candidate {
		t.Fatalf("it is %v with two promises of five", a.Role())
	}
	p := prepare
	p.To = "c"
	members["c"].Step(now, p)
	for _, msg := range members["c"].Ready().MessagesAfterSync {
		a.Step(now, msg)
	}
	deliver("a") // its own promise comes last
	if a.Role() != Leader || a.AppliedIndex() != 0 {
		t.Fatalf("it is %v and has applied %d", a.Role(), a.AppliedIndex())
	}
	members["d"].Step(now, prepare)
	for _, msg := range members["d"].Ready().MessagesAfterSync {
		a.Step(now, msg) // the late promise, which teaches position 1
	}
	if a.Role() != Leader || a.AppliedIndex() != 1 {
		t.Fatalf("taught what it had adopted, it is %v and has applied %d", a.Role(), a.AppliedIndex())
	}
	if err := a.Propose(now, Txn{ID: "u", Ops: []Op{{Kind: OpPut, Key: "l", Value: Int(8)}}}); err != nil {
		t.Fatal(err)
	}
	for range 20 {
		now += 50 * time.Millisecond
		a.Tick(now)
		deliver(ids...)
	}
	for _, id := range ids {
		k, _ := members[id].Get("k")
		l, _ := members[id].Get("l")
		if !k.Equal(Int(7)) || !l.Equal(Int(8)) {
			t.Errorf("%s holds %v and %v", id, k, l)
		}
	}
	// A member that has just started and lacks what its proposer says is chosen
	// does not pass for current.
	late := NewReplica(a.config, PersistedState{Snapshot: &Snapshot{State: map[string]Value{}, Memberships: []Membership{{EffectiveFrom: 1, Voters: seats}}}}, 0)
	late.config.Self = "b"
	late.Step(now, Message{Cell: "c", Kind: Heartbeat, From: "a", To: "b", ProposalNumber: a.proposalNumber, HeartbeatSequence: 99, CommitIndex: a.AppliedIndex()})
	if late.Leader() != "a" || late.Staleness(now) < time.Hour {
		t.Errorf("behind %q it seems %v old", late.Leader(), late.Staleness(now))
	}
	// What was chosen under a newer ballot shows that it has been replaced.
	newer := Entry{Index: a.AppliedIndex() + 1, ProposalNumber: ProposalNumber{Term: a.proposalNumber.Term + 1, Proposer: "e"}}
	a.Step(now, Message{Cell: "c", Kind: CatchUpResponse, From: "e", To: "a", CommitIndex: newer.Index, Entries: []Entry{newer}})
	if a.Role() == Leader {
		t.Error("replaced, it still leads")
	}
}

// TestReadAfterSeats: a new proposer that was elected by those who vote on the next
// positions has not asked those who vote after a change of seats. Until a majority of these
// has promised, the others may hold what was acknowledged.
func TestReadAfterSeats(t *testing.T) {
	seats := func(ids ...ReplicaID) (out []Voter) {
		for _, id := range ids {
			out = append(out, Voter{ID: id, Addr: string(id)})
		}
		return out
	}
	old := ProposalNumber{Term: 1, Proposer: "b"}
	entries := []Entry{{Index: 1, ProposalNumber: old, Txns: []Txn{{Ops: []Op{{Kind: OpSetVoters, Voters: seats("b", "c", "d", "e", "f")}}}}},
		{Index: 2, ProposalNumber: old}, {Index: 3, ProposalNumber: old}, {Index: 4, ProposalNumber: old, Txns: []Txn{{Ops: []Op{{Kind: OpPut, Key: "k", Value: Int(7)}}}}}}
	members := map[ReplicaID]*Replica{}
	ids := []ReplicaID{"a", "c", "d", "e", "f"}
	for _, id := range ids { // b led, and c and f have what it acknowledged
		sv := PersistedState{Promised: old, Snapshot: &Snapshot{State: map[string]Value{}, Memberships: []Membership{{EffectiveFrom: 1, Voters: seats("a", "b", "c", "d", "e")}}}}
		switch id {
		case "c", "f":
			sv.Entries, sv.CommitIndex = entries, 3
		case "d":
			sv.Entries = entries[:3]
		}
		members[id] = NewReplica(Config{Cell: "c", Self: id, Alpha: 3, MaxQueue: 8, MaxBatch: 4, RetainedEntries: 16,
			HeartbeatInterval: 100 * time.Millisecond, ElectionTimeout: 400 * time.Millisecond, Jitter: func() float64 { return 0.5 }}, sv, 0)
	}
	d, now := members["d"], time.Duration(0)
	d.electionDeadline = 0
	var reads []uint64
	// play lets time pass; prepares to those named are lost.
	play := func(lost ...ReplicaID) {
		for range 40 {
			var all []Message
			for _, id := range ids {
				if id == "d" {
					d.Tick(now)
				}
				out := members[id].Ready()
				reads = append(reads, out.ConfirmedReads...)
				all = append(all, append(out.Messages, out.MessagesAfterSync...)...)
			}
			for _, msg := range all {
				if m := members[msg.To]; m != nil && !(msg.Kind == Prepare && slices.Contains(lost, msg.To)) {
					m.Step(now, msg)
				}
			}
			now += 10 * time.Millisecond
		}
	}
	play("c", "f")
	if d.Role() != Leader || d.AppliedIndex() != 3 {
		t.Fatalf("it is %v and has applied %d", d.Role(), d.AppliedIndex())
	}
	err := d.Read(now, 1)
	if play("c", "f"); err == nil && len(reads) > 0 {
		t.Errorf("a read was confirmed at %d, though 4 was acknowledged", d.AppliedIndex())
	}
	for _, id := range []ReplicaID{"d", "e"} {
		if f := members[id].Staleness(now); f < time.Hour {
			t.Errorf("%s takes itself to be %v old at %d, though 4 was acknowledged", id, f, members[id].AppliedIndex())
		}
	}
	play()
	err = d.Read(now, 2)
	play()
	if k, _ := d.Get("k"); err != nil || !slices.Contains(reads, 2) || !k.Equal(Int(7)) {
		t.Errorf("a read at %d: %v, confirmed %v, %v", d.AppliedIndex(), err, reads, k)
	}
}
