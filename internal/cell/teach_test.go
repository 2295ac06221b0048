package cell

import (
	"testing"
	"time"
)

// TestTeachingPaced: a member that comes no further is asked for, and sent, fewer and
// fewer snapshots; one that comes further is taught at once. A snapshot that comes with a
// promise for a bid that is over is learnt all the same.
func TestTeachingPaced(t *testing.T) {
	seats := []Seat{{ID: "a"}, {ID: "b"}, {ID: "c"}}
	snap := func(at uint64) *Snapshot {
		return &Snapshot{Applied: at, State: map[string]Value{"k": Int(1)}, Memberships: []Membership{{From: 1, Seats: seats}}}
	}
	p := Params{Cell: "c", Self: "a", Alpha: 3, KeepLog: 16, Beat: 100 * time.Millisecond, Patience: time.Hour, Jitter: func() float64 { return 0 }}
	count := func(m *Member, kind Kind) (n int) {
		for _, msg := range m.Take().Send {
			if msg.Kind == kind {
				n++
			}
		}
		return n
	}
	teacher, learner := New(p, Saved{Snap: snap(100)}, 0), New(p, Saved{Snap: snap(5)}, 0)
	taught, asked := 0, 0
	const beats = 100
	for i := range beats {
		now := time.Duration(i) * p.Beat
		teacher.Step(now, Message{Cell: "c", Kind: Ask, From: "b", To: "a", Slot: 5})
		taught += count(teacher, Teach)
		learner.Step(now, Message{Cell: "c", Kind: Beat, From: "b", To: "a", Ballot: Ballot{Round: 1, By: "b"}, Chosen: 100})
		asked += count(learner, Ask)
	}
	for what, n := range map[string]int{"taught": taught, "asked": asked} {
		if least, most := beats/mostWait, beats/mostWait+6; n < least || n > most {
			t.Errorf("%s %d times in %d beats, not %d to %d", what, n, beats, least, most)
		}
	}
	now := beats * p.Beat
	teacher.Step(now, Message{Cell: "c", Kind: Ask, From: "b", To: "a", Slot: 6})
	if count(teacher, Teach) != 1 {
		t.Error("a member that has come further is not taught")
	}
	bidder := New(p, Saved{Snap: snap(5)}, 0)
	bidder.bid(now)
	bidder.Step(now, Message{Cell: "c", Kind: Promise, From: "b", To: "a", Ballot: Ballot{Round: 0, By: "a"}, Chosen: 100, Snap: snap(100)})
	if bidder.Applied() != 100 {
		t.Errorf("a late snapshot is not learnt: at %d", bidder.Applied())
	}
}

// TestFewLacking: a member that lacks no more than the pipeline holds asks with each beat,
// and is taught each time if that is small; what is large is paced by who sends it.
func TestFewLacking(t *testing.T) {
	seats := []Seat{{ID: "a"}, {ID: "b"}, {ID: "c"}}
	p := Params{Cell: "c", Self: "a", Alpha: 3, KeepLog: 16, Beat: 100 * time.Millisecond, Patience: time.Hour, Jitter: func() float64 { return 0 }}
	const beats = 100
	for what, c := range map[string]struct{ bytes, least, most int }{"small": {100, beats, beats}, "large": {2 * smallTeach, beats / mostWait, beats/mostWait + 6}} {
		saved := Saved{Snap: &Snapshot{Applied: 5, State: map[string]Value{}, Memberships: []Membership{{From: 1, Seats: seats}}}}
		learner := New(p, saved, 0)
		put := Txn{ID: "t", Ops: []Op{{Kind: OpPut, Key: "k", Value: Bytes(make([]byte, c.bytes))}}}
		saved.Entries, saved.Chosen = []Entry{{Slot: 6, Txns: []Txn{put}}, {Slot: 7}, {Slot: 8}}, 8
		teacher := New(p, saved, 0)
		asked, taught := 0, 0
		for i := range beats {
			now := time.Duration(i) * p.Beat
			learner.Step(now, Message{Cell: "c", Kind: Beat, From: "b", To: "a", Ballot: Ballot{Round: 1, By: "b"}, Chosen: 8})
			for _, msg := range learner.Take().Send {
				if msg.Kind == Ask {
					asked++
					teacher.Step(now, Message{Cell: "c", Kind: Ask, From: "b", To: "a", Slot: msg.Slot})
				}
			}
			for _, msg := range teacher.Take().Send {
				if msg.Kind == Teach {
					taught++
				}
			}
		}
		if asked != beats || taught < c.least || taught > c.most {
			t.Errorf("%s: in %d beats asked %d times, taught %d times, not %d to %d", what, beats, asked, taught, c.least, c.most)
		}
	}
}
