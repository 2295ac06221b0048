package paxos

import (
	"testing"
	"time"
)

// TestTeachingPaced: a member that comes no further is asked for, and sent, fewer and
// fewer snapshots; one that comes further is taught at once. A snapshot that comes with a
// promise for a bid that is over is learnt all the same.
func TestTeachingPaced(t *testing.T) {
	seats := []Voter{{ID: "a"}, {ID: "b"}, {ID: "c"}}
	snap := func(at uint64) *Snapshot {
		return &Snapshot{AppliedIndex: at, State: map[string]Value{"k": Int(1)}, Memberships: []Membership{{EffectiveFrom: 1, Voters: seats}}}
	}
	p := Config{Cell: "c", Self: "a", Alpha: 3, RetainedEntries: 16, HeartbeatInterval: 100 * time.Millisecond, ElectionTimeout: time.Hour, Jitter: func() float64 { return 0 }}
	count := func(m *Replica, kind MessageKind) (n int) {
		for _, msg := range m.Ready().Messages {
			if msg.Kind == kind {
				n++
			}
		}
		return n
	}
	teacher, learner := NewReplica(p, PersistedState{Snapshot: snap(100)}, 0), NewReplica(p, PersistedState{Snapshot: snap(5)}, 0)
	taught, asked := 0, 0
	const beats = 100
	for i := range beats {
		now := time.Duration(i) * p.HeartbeatInterval
		teacher.Step(now, Message{Cell: "c", Kind: CatchUpRequest, From: "b", To: "a", Index: 5})
		taught += count(teacher, CatchUpResponse)
		learner.Step(now, Message{Cell: "c", Kind: Heartbeat, From: "b", To: "a", ProposalNumber: ProposalNumber{Term: 1, Proposer: "b"}, CommitIndex: 100})
		asked += count(learner, CatchUpRequest)
	}
	for what, n := range map[string]int{"taught": taught, "asked": asked} {
		if least, most := beats/maxBackoffHeartbeats, beats/maxBackoffHeartbeats+6; n < least || n > most {
			t.Errorf("%s %d times in %d beats, not %d to %d", what, n, beats, least, most)
		}
	}
	now := beats * p.HeartbeatInterval
	teacher.Step(now, Message{Cell: "c", Kind: CatchUpRequest, From: "b", To: "a", Index: 6})
	if count(teacher, CatchUpResponse) != 1 {
		t.Error("a member that has come further is not taught")
	}
	bidder := NewReplica(p, PersistedState{Snapshot: snap(5)}, 0)
	bidder.campaign(now)
	bidder.Step(now, Message{Cell: "c", Kind: Promise, From: "b", To: "a", ProposalNumber: ProposalNumber{Term: 0, Proposer: "a"}, CommitIndex: 100, Snapshot: snap(100)})
	if bidder.AppliedIndex() != 100 {
		t.Errorf("a late snapshot is not learnt: at %d", bidder.AppliedIndex())
	}
}

// TestFewLacking: a member that lacks no more than the pipeline holds asks with each beat,
// and is taught each time if that is small; what is large is paced by who sends it.
func TestFewLacking(t *testing.T) {
	seats := []Voter{{ID: "a"}, {ID: "b"}, {ID: "c"}}
	p := Config{Cell: "c", Self: "a", Alpha: 3, RetainedEntries: 16, HeartbeatInterval: 100 * time.Millisecond, ElectionTimeout: time.Hour, Jitter: func() float64 { return 0 }}
	const beats = 100
	for what, c := range map[string]struct{ bytes, least, most int }{"small": {100, beats, beats}, "large": {2 * smallTransferBytes, beats / maxBackoffHeartbeats, beats/maxBackoffHeartbeats + 6}} {
		saved := PersistedState{Snapshot: &Snapshot{AppliedIndex: 5, State: map[string]Value{}, Memberships: []Membership{{EffectiveFrom: 1, Voters: seats}}}}
		learner := NewReplica(p, saved, 0)
		put := Txn{ID: "t", Ops: []Op{{Kind: OpPut, Key: "k", Value: Bytes(make([]byte, c.bytes))}}}
		saved.Entries, saved.CommitIndex = []Entry{{Index: 6, Txns: []Txn{put}}, {Index: 7}, {Index: 8}}, 8
		teacher := NewReplica(p, saved, 0)
		asked, taught := 0, 0
		for i := range beats {
			now := time.Duration(i) * p.HeartbeatInterval
			learner.Step(now, Message{Cell: "c", Kind: Heartbeat, From: "b", To: "a", ProposalNumber: ProposalNumber{Term: 1, Proposer: "b"}, CommitIndex: 8})
			for _, msg := range learner.Ready().Messages {
				if msg.Kind == CatchUpRequest {
					asked++
					teacher.Step(now, Message{Cell: "c", Kind: CatchUpRequest, From: "b", To: "a", Index: msg.Index})
				}
			}
			for _, msg := range teacher.Ready().Messages {
				if msg.Kind == CatchUpResponse {
					taught++
				}
			}
		}
		if asked != beats || taught < c.least || taught > c.most {
			t.Errorf("%s: in %d beats asked %d times, taught %d times, not %d to %d", what, beats, asked, taught, c.least, c.most)
		}
	}
}
