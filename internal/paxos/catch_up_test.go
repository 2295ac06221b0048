package paxos

import (
	"testing"
	"time"
)

// heartbeatCount is the length of the catch-up tests in heartbeats.
const heartbeatCount = 100

// catchUpConfig is that of replica "a", which never campaigns.
func catchUpConfig() Config {
	config := testConfig("a", func() float64 { return 0 })
	config.ElectionTimeout = time.Hour
	return config
}

// newReplicaAt starts replica "a" from a snapshot at an index, and entries after it.
func newReplicaAt(index uint64, value Value, entries ...Entry) *Replica {
	snapshot := initialSnapshot(votersOf("a", "b", "c"))
	snapshot.AppliedIndex = index
	snapshot.State["k"] = value
	commitIndex := index + uint64(len(entries))
	return NewReplica(catchUpConfig(), PersistedState{Snapshot: snapshot, Entries: entries, CommitIndex: commitIndex}, 0)
}

// takeKind returns the messages of one kind that a replica sends.
func takeKind(r *Replica, kind MessageKind) []Message {
	var found []Message
	for _, msg := range r.Ready().Messages {
		if msg.Kind == kind {
			found = append(found, msg)
		}
	}
	return found
}

// heartbeatFromB announces a commit index to replica "a".
func heartbeatFromB(commitIndex uint64) Message {
	return Message{
		Cell: testCell, Kind: Heartbeat, From: "b", To: "a",
		ProposalNumber: ProposalNumber{Term: 1, Proposer: "b"}, CommitIndex: commitIndex,
	}
}

// catchUpRequestFromB asks replica "a" for the entries after an index.
func catchUpRequestFromB(index uint64) Message {
	return Message{Cell: testCell, Kind: CatchUpRequest, From: "b", To: "a", Index: index}
}

// TestCatchUpBacksOffWithoutProgress: a replica that makes no progress requests, and is sent,
// snapshots less and less often; one that makes progress is answered at once. A snapshot in a
// promise for another campaign is applied nevertheless.
func TestCatchUpBacksOffWithoutProgress(t *testing.T) {
	sender := newReplicaAt(100, Int(1))
	learner := newReplicaAt(5, Int(1))
	interval := catchUpConfig().HeartbeatInterval
	responses := 0
	requests := 0
	for i := range heartbeatCount {
		now := time.Duration(i) * interval
		sender.Step(now, catchUpRequestFromB(5))
		responses += len(takeKind(sender, CatchUpResponse))
		learner.Step(now, heartbeatFromB(100))
		requests += len(takeKind(learner, CatchUpRequest))
	}
	const least, most = heartbeatCount / maxBackoffHeartbeats, heartbeatCount/maxBackoffHeartbeats + 6
	for what, count := range map[string]int{"responses": responses, "requests": requests} {
		if count < least || count > most {
			t.Errorf("%d %s in %d heartbeats, not %d to %d", count, what, heartbeatCount, least, most)
		}
	}
	now := heartbeatCount * interval
	sender.Step(now, catchUpRequestFromB(6))
	if len(takeKind(sender, CatchUpResponse)) != 1 {
		t.Error("a replica that has made progress is not answered")
	}
	candidate := newReplicaAt(5, Int(1))
	candidate.campaign(now)
	candidate.Step(now, Message{
		Cell: testCell, Kind: Promise, From: "b", To: "a", ProposalNumber: ProposalNumber{Term: 0, Proposer: "a"},
		CommitIndex: 100, Snapshot: sender.state.Snapshot(100),
	})
	if candidate.AppliedIndex() != 100 {
		t.Errorf("a late snapshot is not learned: at %d", candidate.AppliedIndex())
	}
}

// TestCatchUpOfFewEntriesIsNotDelayed: a replica that lacks no more than the pipeline holds
// asks with each heartbeat, and is answered each time if the answer is small; the sender backs
// off with large answers.
func TestCatchUpOfFewEntriesIsNotDelayed(t *testing.T) {
	for name, test := range map[string]struct{ bytes, least, most int }{
		"small": {100, heartbeatCount, heartbeatCount},
		"large": {
			2 * smallTransferBytes,
			heartbeatCount / maxBackoffHeartbeats, heartbeatCount/maxBackoffHeartbeats + 6,
		},
	} {
		put := Txn{ID: "t", Ops: []Op{{Kind: OpPut, Key: "k", Value: Bytes(make([]byte, test.bytes))}}}
		sender := newReplicaAt(5, Int(0), Entry{Index: 6, Txns: []Txn{put}}, Entry{Index: 7}, Entry{Index: 8})
		learner := newReplicaAt(5, Int(0))
		requests := 0
		responses := 0
		for i := range heartbeatCount {
			now := time.Duration(i) * catchUpConfig().HeartbeatInterval
			learner.Step(now, heartbeatFromB(8))
			for _, request := range takeKind(learner, CatchUpRequest) {
				requests++
				sender.Step(now, catchUpRequestFromB(request.Index))
			}
			responses += len(takeKind(sender, CatchUpResponse))
		}
		if requests != heartbeatCount || responses < test.least || responses > test.most {
			t.Errorf("%s: in %d heartbeats %d requests, %d responses, not %d to %d",
				name, heartbeatCount, requests, responses, test.least, test.most)
		}
	}
}
