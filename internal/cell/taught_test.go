package cell

import (
	"slices"
	"testing"
	"time"
)

// TestTaughtProposer: a new proposer that hears late, in one more promise, that
// what it is proposing again had been chosen already goes on. Giving way would
// leave the cell without a proposer for a whole patience.
func TestTaughtProposer(t *testing.T) {
	ids := []MemberID{"a", "b", "c", "d", "e"}
	var seats []Seat
	for _, id := range ids {
		seats = append(seats, Seat{ID: id, Addr: string(id)})
	}
	old := Ballot{Round: 1, By: "c"}
	entry := Entry{Slot: 1, Ballot: old, Txns: []Txn{{ID: "t", Ops: []Op{{Kind: OpPut, Key: "k", Value: Int(7)}}}}}
	members := map[MemberID]*Member{}
	for _, id := range ids {
		sv := Saved{Promised: old, Snap: &Snapshot{State: map[string]Value{}, Memberships: []Membership{{From: 1, Seats: seats}}}}
		switch id {
		case "c":
			sv.Entries = []Entry{entry}
		case "d", "e":
			sv.Entries, sv.Chosen = []Entry{entry}, 1
		}
		members[id] = New(Params{Cell: "c", Self: id, Alpha: 3, MaxQueue: 8, MaxBatch: 4, KeepLog: 16,
			Beat: 100 * time.Millisecond, Patience: 400 * time.Millisecond, Jitter: func() float64 { return 0.5 }}, sv, 0)
	}
	a := members["a"]
	now := time.Duration(0)
	// deliver carries the messages to those named; the others' are lost.
	deliver := func(to ...MemberID) {
		for round := 0; round < 20; round++ {
			var all []Message
			for _, id := range ids {
				out := members[id].Take()
				all = append(all, append(out.Send, out.SendSynced...)...)
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
	for a.Role() != Reserving {
		now += 50 * time.Millisecond
		a.Tick(now)
	}
	prepare := Message{Cell: "c", Kind: Prepare, From: "a", To: "d", Ballot: a.ballot}
	deliver("b", "a") // its ballot is on its disk; b alone is no majority
	if a.Role() != Bidding {
		t.Fatalf("it is %v with two promises of five", a.Role())
	}
	p := prepare
	p.To = "c"
	members["c"].Step(now, p)
	for _, msg := range members["c"].Take().SendSynced {
		a.Step(now, msg)
	}
	deliver("a") // its own promise comes last
	if a.Role() != Leading || a.Applied() != 0 {
		t.Fatalf("it is %v and has applied %d", a.Role(), a.Applied())
	}
	members["d"].Step(now, prepare)
	for _, msg := range members["d"].Take().SendSynced {
		a.Step(now, msg) // the late promise, which teaches position 1
	}
	if a.Role() != Leading || a.Applied() != 1 {
		t.Fatalf("taught what it had adopted, it is %v and has applied %d", a.Role(), a.Applied())
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
	late := New(a.p, Saved{Snap: &Snapshot{State: map[string]Value{}, Memberships: []Membership{{From: 1, Seats: seats}}}}, 0)
	late.p.Self = "b"
	late.Step(now, Message{Cell: "c", Kind: Beat, From: "a", To: "b", Ballot: a.ballot, Seq: 99, Chosen: a.Applied()})
	if late.Leader() != "a" || late.Fresh(now) < time.Hour {
		t.Errorf("behind %q it seems %v old", late.Leader(), late.Fresh(now))
	}
	// What was chosen under a newer ballot shows that it has been replaced.
	newer := Entry{Slot: a.Applied() + 1, Ballot: Ballot{Round: a.ballot.Round + 1, By: "e"}}
	a.Step(now, Message{Cell: "c", Kind: Teach, From: "e", To: "a", Chosen: newer.Slot, Entries: []Entry{newer}})
	if a.Role() == Leading {
		t.Error("replaced, it still leads")
	}
}

// TestReadAfterSeats: a new proposer that was elected by those who vote on the next
// positions has not asked those who vote after a change of seats. Until a majority of these
// has promised, the others may hold what was acknowledged.
func TestReadAfterSeats(t *testing.T) {
	seats := func(ids ...MemberID) (out []Seat) {
		for _, id := range ids {
			out = append(out, Seat{ID: id, Addr: string(id)})
		}
		return out
	}
	old := Ballot{Round: 1, By: "b"}
	entries := []Entry{{Slot: 1, Ballot: old, Txns: []Txn{{Ops: []Op{{Kind: OpSeats, Seats: seats("b", "c", "d", "e", "f")}}}}},
		{Slot: 2, Ballot: old}, {Slot: 3, Ballot: old}, {Slot: 4, Ballot: old, Txns: []Txn{{Ops: []Op{{Kind: OpPut, Key: "k", Value: Int(7)}}}}}}
	members := map[MemberID]*Member{}
	ids := []MemberID{"a", "c", "d", "e", "f"}
	for _, id := range ids { // b led, and c and f have what it acknowledged
		sv := Saved{Promised: old, Snap: &Snapshot{State: map[string]Value{}, Memberships: []Membership{{From: 1, Seats: seats("a", "b", "c", "d", "e")}}}}
		switch id {
		case "c", "f":
			sv.Entries, sv.Chosen = entries, 3
		case "d":
			sv.Entries = entries[:3]
		}
		members[id] = New(Params{Cell: "c", Self: id, Alpha: 3, MaxQueue: 8, MaxBatch: 4, KeepLog: 16,
			Beat: 100 * time.Millisecond, Patience: 400 * time.Millisecond, Jitter: func() float64 { return 0.5 }}, sv, 0)
	}
	d, now := members["d"], time.Duration(0)
	d.deadline = 0
	var reads []uint64
	// play lets time pass; prepares to those named are lost.
	play := func(lost ...MemberID) {
		for range 40 {
			var all []Message
			for _, id := range ids {
				if id == "d" {
					d.Tick(now)
				}
				out := members[id].Take()
				reads = append(reads, out.Reads...)
				all = append(all, append(out.Send, out.SendSynced...)...)
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
	if d.Role() != Leading || d.Applied() != 3 {
		t.Fatalf("it is %v and has applied %d", d.Role(), d.Applied())
	}
	err := d.Read(now, 1)
	if play("c", "f"); err == nil && len(reads) > 0 {
		t.Errorf("a read was confirmed at %d, though 4 was acknowledged", d.Applied())
	}
	for _, id := range []MemberID{"d", "e"} {
		if f := members[id].Fresh(now); f < time.Hour {
			t.Errorf("%s takes itself to be %v old at %d, though 4 was acknowledged", id, f, members[id].Applied())
		}
	}
	play()
	err = d.Read(now, 2)
	play()
	if k, _ := d.Get("k"); err != nil || !slices.Contains(reads, 2) || !k.Equal(Int(7)) {
		t.Errorf("a read at %d: %v, confirmed %v, %v", d.Applied(), err, reads, k)
	}
}
