package compat_test

import (
	"math/big"
	"testing"

	"comethold/internal/compat"
	"comethold/internal/controlplane/replicahost"
	"comethold/internal/distribution"
	"comethold/internal/paxos"
)

// transaction returns a transaction with every kind of operation and values of every type.
func transaction() paxos.Txn {
	yes := true
	return paxos.Txn{
		ID: "a.1.2",
		Conditions: []paxos.Condition{
			{Key: "config/version", Equals: paxos.Int(41)},
			{Key: "receipt/x", Absent: true},
		},
		Ops: []paxos.Op{
			{Kind: paxos.OpPut, Key: "put", Value: paxos.Bytes([]byte{0, 1, 2})},
			{Kind: paxos.OpDelete, Key: "delete"},
			{Kind: paxos.OpAdd, Key: "add", Value: paxos.Value{Int: new(big.Int).Lsh(big.NewInt(3), 70)}},
			{Kind: paxos.OpPatch, Key: "patch", Value: paxos.Bytes([]byte{9})},
			{Kind: paxos.OpSetVoters, Voters: []paxos.Voter{{ID: "10.0.0.1~f", Addr: "10.0.0.1", Zone: "z1"}}},
			{Kind: paxos.OpAppend, Key: "append/", Value: paxos.Value{Bool: &yes}},
		},
	}
}

func entry() paxos.Entry {
	return paxos.Entry{
		Index:          12,
		ProposalNumber: paxos.ProposalNumber{Term: 3, Proposer: "a"},
		Txns:           []paxos.Txn{transaction()},
	}
}

func snapshot() *paxos.Snapshot {
	return &paxos.Snapshot{
		AppliedIndex: 11,
		State:        map[string]paxos.Value{"k": paxos.Bytes([]byte("v")), "n": paxos.Int(-7)},
		Memberships: []paxos.Membership{
			{
				EffectiveFrom: 1,
				Voters:        []paxos.Voter{{ID: "a", Addr: "10.0.0.1", Zone: "z1"}, {ID: "b", Addr: "10.0.0.2", Zone: "z2"}},
			},
		},
	}
}

// proposalNumber returns the proposal number of the test messages.
func proposalNumber() paxos.ProposalNumber { return paxos.ProposalNumber{Term: 4, Proposer: "a"} }

// TestConsensusMessages guards against a change of encoding after which two versions can't exchange
// consensus messages, or this version can't decode the log and snapshots of an earlier one. It has one
// message of each kind.
func TestConsensusMessages(t *testing.T) {
	messages := []compat.Message{
		{Name: "ballot", Value: proposalNumber()},
		{Name: "transaction", Value: transaction()},
		{Name: "log-entry", Value: entry()},
		{Name: "snapshot", Value: *snapshot()},
		{Name: "batch", Value: replicahost.Batch{
			Sender: replicahost.PeerInfo{ID: "10.0.0.1~f", Addr: "10.0.0.1", Zone: "z1", Name: "n1"},
			Messages: []paxos.Message{
				{
					Cell:            "c",
					Kind:            paxos.Accepted,
					From:            "b",
					To:              "a",
					ProposalNumber:  proposalNumber(),
					AcceptedIndexes: []uint64{12},
				},
			},
			EndpointList: distribution.Revision{Term: 5, Sequence: 77},
			WallTime:     1700000000000000001, AgreedTime: 1700000000000000002,
		}},
	}
	messages = append(messages, electionMessages()...)
	messages = append(messages, replicationMessages()...)
	messages = append(messages, heartbeatMessages()...)
	messages = append(messages, catchUpMessages()...)
	compat.CheckMessages(t, messages)
}

// electionMessages returns the messages of elections and of leadership transfers.
func electionMessages() []compat.Message {
	return []compat.Message{
		{
			Name: "prepare",
			Value: paxos.Message{
				Cell:            "c",
				Kind:            paxos.Prepare,
				From:            "a",
				To:              "b",
				ProposalNumber:  proposalNumber(),
				Index:           12,
				EndedLeadership: paxos.ProposalNumber{Term: 2, Proposer: "z"},
			},
		},
		{
			Name: "promise",
			Value: paxos.Message{
				Cell:           "c",
				Kind:           paxos.Promise,
				From:           "b",
				To:             "a",
				ProposalNumber: proposalNumber(),
				Index:          12,
				CommitIndex:    11,
				Entries:        []paxos.Entry{entry()},
				Snapshot:       snapshot(),
				EchoTimestamp:  99,
			},
		},
		{
			Name: "reject",
			Value: paxos.Message{
				Cell:              "c",
				Kind:              paxos.Reject,
				From:              "b",
				To:                "a",
				ProposalNumber:    proposalNumber(),
				HeartbeatSequence: 5,
			},
		},
		{
			Name: "term-kept",
			Value: paxos.Message{
				Cell:              "c",
				Kind:              paxos.TermPersisted,
				From:              "a",
				To:                "b",
				ProposalNumber:    proposalNumber(),
				HeartbeatSequence: 7,
			},
		},
		{
			Name: "leadership-transfer",
			Value: paxos.Message{
				Cell: "c", Kind: paxos.LeadershipTransfer, From: "a", To: "b", ProposalNumber: proposalNumber(),
			},
		},
	}
}

// replicationMessages returns the messages that replicate and commit entries.
func replicationMessages() []compat.Message {
	return []compat.Message{
		{
			Name: "accept",
			Value: paxos.Message{
				Cell:           "c",
				Kind:           paxos.Accept,
				From:           "a",
				To:             "b",
				ProposalNumber: proposalNumber(),
				CommitIndex:    11,
				Entries:        []paxos.Entry{entry()},
			},
		},
		{
			Name: "accepted",
			Value: paxos.Message{
				Cell:            "c",
				Kind:            paxos.Accepted,
				From:            "b",
				To:              "a",
				ProposalNumber:  proposalNumber(),
				AcceptedIndexes: []uint64{12, 13},
				EchoTimestamp:   98,
			},
		},
		{
			Name: "entries-kept",
			Value: paxos.Message{
				Cell:            "c",
				Kind:            paxos.CommitPersisted,
				From:            "a",
				To:              "b",
				ProposalNumber:  proposalNumber(),
				AcceptedIndexes: []uint64{12},
			},
		},
	}
}

// heartbeatMessages returns the messages that a leader and its followers exchange while there are no
// proposals.
func heartbeatMessages() []compat.Message {
	return []compat.Message{
		{
			Name: "heartbeat",
			Value: paxos.Message{
				Cell:                     "c",
				Kind:                     paxos.Heartbeat,
				From:                     "a",
				To:                       "b",
				ProposalNumber:           proposalNumber(),
				CommitIndex:              12,
				HeartbeatSequence:        6,
				EchoTimestamp:            97,
				QuorumContactAgeMillis:   250,
				CompletedMembershipIndex: 8,
			},
		},
		{
			Name: "heartbeat-answer",
			Value: paxos.Message{
				Cell:              "c",
				Kind:              paxos.HeartbeatAck,
				From:              "b",
				To:                "a",
				ProposalNumber:    proposalNumber(),
				CommitIndex:       11,
				HeartbeatSequence: 6,
				EchoTimestamp:     96,
			},
		},
	}
}

// catchUpMessages returns the messages by which a lagging replica gets the missing entries.
func catchUpMessages() []compat.Message {
	return []compat.Message{
		{
			Name: "catch-up-request",
			Value: paxos.Message{
				Cell:          "c",
				Kind:          paxos.CatchUpRequest,
				From:          "b",
				To:            "a",
				Index:         10,
				CommitIndex:   9,
				NeedsSnapshot: true,
			},
		},
		{
			Name: "catch-up",
			Value: paxos.Message{
				Cell:                     "c",
				Kind:                     paxos.CatchUpResponse,
				From:                     "a",
				To:                       "b",
				Index:                    10,
				CommitIndex:              12,
				Entries:                  []paxos.Entry{entry()},
				Snapshot:                 snapshot(),
				CompletedMembershipIndex: 8,
			},
		},
	}
}
