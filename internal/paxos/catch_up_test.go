package paxos

import (
	"testing"
	"time"
)

// heartbeatCount is the number of heartbeats in each catch-up test.
const heartbeatCount = 100

// catchUpConfig returns the configuration of replica "a". Its long election timeout keeps it from
// campaigning during a test.
func catchUpConfig() Config {
	config := testConfig("a", func() float64 { return 0 })
	config.ElectionTimeout = time.Hour
	return config
}

// newReplicaAt starts replica "a" from a snapshot at the given index, in which key "k" has the given
// value. The entries that follow the snapshot are committed.
func newReplicaAt(index uint64, value Value, entries ...Entry) *Replica {
	snapshot := initialSnapshot(votersOf("a", "b", "c"))
	snapshot.AppliedIndex = index
	snapshot.State["k"] = value
	commitIndex := index + uint64(len(entries))
	return NewReplica(catchUpConfig(), PersistedState{Snapshot: snapshot, Entries: entries, CommitIndex: commitIndex}, 0)
}

// takeMessagesOfKind returns the messages of one kind from the next Ready of a replica, and drops the others.
func takeMessagesOfKind(r *Replica, kind MessageKind) []Message {
	var found []Message
	for _, msg := range r.Ready().Messages {
		if msg.Kind == kind {
			found = append(found, msg)
		}
	}
	return found
}

// heartbeatFromB returns a heartbeat that announces a commit index to replica "a".
func heartbeatFromB(commitIndex uint64) Message {
	return Message{
		Cell: testCell, Kind: Heartbeat, From: "b", To: "a",
		ProposalNumber: ProposalNumber{Term: 1, Proposer: "b"}, CommitIndex: commitIndex,
	}
}

// catchUpRequestFromB returns a request to replica "a" for the entries after an index.
func catchUpRequestFromB(index uint64) Message {
	return Message{Cell: testCell, Kind: CatchUpRequest, From: "b", To: "a", Index: index}
}

// TestCatchUpBacksOffWithoutProgress guards against repeated snapshot transfers to a replica that
// makes no progress: both its requests and the answers must back off. A replica that has made
// progress must be answered at once, and a snapshot in a promise for another campaign must be
// applied.
func TestCatchUpBacksOffWithoutProgress(t *testing.T) {
	sender := newReplicaAt(100, Int(1))
	learner := newReplicaAt(5, Int(1))
	interval := catchUpConfig().HeartbeatInterval
	responses := 0
	requests := 0
	for i := range heartbeatCount {
		now := time.Duration(i) * interval
		sender.Step(now, catchUpRequestFromB(5))
		responses += len(takeMessagesOfKind(sender, CatchUpResponse))
		learner.Step(now, heartbeatFromB(100))
		requests += len(takeMessagesOfKind(learner, CatchUpRequest))
	}
	const least, most = heartbeatCount / maxBackoffHeartbeats, heartbeatCount/maxBackoffHeartbeats + 6
	for kind, count := range map[string]int{"responses": responses, "requests": requests} {
		if count < least || count > most {
			t.Errorf("replica without progress: got %d %s in %d heartbeats, want %d to %d",
				count, kind, heartbeatCount, least, most)
		}
	}
	now := heartbeatCount * interval
	sender.Step(now, catchUpRequestFromB(6))
	if len(takeMessagesOfKind(sender, CatchUpResponse)) != 1 {
		t.Error("request after progress from index 5 to 6 was not answered with exactly one CatchUpResponse")
	}
	candidate := newReplicaAt(5, Int(1))
	candidate.campaign(now)
	candidate.Step(now, Message{
		Cell: testCell, Kind: Promise, From: "b", To: "a", ProposalNumber: ProposalNumber{Term: 0, Proposer: "a"},
		CommitIndex: 100, Snapshot: sender.state.Snapshot(100),
	})
	if candidate.AppliedIndex() != 100 {
		t.Errorf("applied index is %d after a promise for another campaign with a snapshot at 100, want 100",
			candidate.AppliedIndex())
	}
}

// TestCatchUpOfFewEntriesIsNotDelayed guards against a backoff after the loss of a single message.
// A replica that lacks at most Alpha entries must send a request on each heartbeat. The sender must
// answer each request if the answer is small, and back off if it is large.
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
			for _, request := range takeMessagesOfKind(learner, CatchUpRequest) {
				requests++
				sender.Step(now, catchUpRequestFromB(request.Index))
			}
			responses += len(takeMessagesOfKind(sender, CatchUpResponse))
		}
		if requests != heartbeatCount || responses < test.least || responses > test.most {
			t.Errorf("%s entries: in %d heartbeats got %d requests, want one each; got %d responses, want %d to %d",
				name, heartbeatCount, requests, responses, test.least, test.most)
		}
	}
}
