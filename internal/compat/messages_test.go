package compat_test

import (
	"math/big"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"comethold/internal/compat"
	"comethold/internal/controlplane/replicahost"
	"comethold/internal/distribution"
	"comethold/internal/latencyestimate"
	"comethold/internal/outbox"
	"comethold/internal/paxos"
	"comethold/internal/quota"
	"comethold/internal/routing"
	"comethold/internal/usage"
)

// transaction has every kind of operation, and values of every type.
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
	return paxos.Entry{Index: 12, ProposalNumber: paxos.ProposalNumber{Term: 3, Proposer: "a"}, Txns: []paxos.Txn{transaction()}}
}

func snapshot() *paxos.Snapshot {
	return &paxos.Snapshot{
		AppliedIndex: 11,
		State:        map[string]paxos.Value{"k": paxos.Bytes([]byte("v")), "n": paxos.Int(-7)},
		Memberships:  []paxos.Membership{{EffectiveFrom: 1, Voters: []paxos.Voter{{ID: "a", Addr: "10.0.0.1", Zone: "z1"}, {ID: "b", Addr: "10.0.0.2", Zone: "z2"}}}},
	}
}

// TestConsensusMessages: one recorded message of each kind between replicas, and what
// stands in their log.
func TestConsensusMessages(t *testing.T) {
	ballot := paxos.ProposalNumber{Term: 4, Proposer: "a"}
	compat.CheckMessages(t, []compat.Message{
		{Name: "ballot", Value: ballot},
		{Name: "transaction", Value: transaction()},
		{Name: "log-entry", Value: entry()},
		{Name: "snapshot", Value: *snapshot()},
		{Name: "prepare", Value: paxos.Message{Cell: "c", Kind: paxos.Prepare, From: "a", To: "b", ProposalNumber: ballot, Index: 12, EndedLeadership: paxos.ProposalNumber{Term: 2, Proposer: "z"}}},
		{Name: "promise", Value: paxos.Message{Cell: "c", Kind: paxos.Promise, From: "b", To: "a", ProposalNumber: ballot, Index: 12, CommitIndex: 11, Entries: []paxos.Entry{entry()}, Snapshot: snapshot(), EchoTimestamp: 99}},
		{Name: "reject", Value: paxos.Message{Cell: "c", Kind: paxos.Reject, From: "b", To: "a", ProposalNumber: ballot, HeartbeatSequence: 5}},
		{Name: "accept", Value: paxos.Message{Cell: "c", Kind: paxos.Accept, From: "a", To: "b", ProposalNumber: ballot, CommitIndex: 11, Entries: []paxos.Entry{entry()}}},
		{Name: "accepted", Value: paxos.Message{Cell: "c", Kind: paxos.Accepted, From: "b", To: "a", ProposalNumber: ballot, AcceptedIndexes: []uint64{12, 13}, EchoTimestamp: 98}},
		{Name: "heartbeat", Value: paxos.Message{Cell: "c", Kind: paxos.Heartbeat, From: "a", To: "b", ProposalNumber: ballot, CommitIndex: 12, HeartbeatSequence: 6, EchoTimestamp: 97, QuorumContactAgeMillis: 250, CompletedMembershipIndex: 8}},
		{Name: "heartbeat-answer", Value: paxos.Message{Cell: "c", Kind: paxos.HeartbeatAck, From: "b", To: "a", ProposalNumber: ballot, CommitIndex: 11, HeartbeatSequence: 6, EchoTimestamp: 96}},
		{Name: "catch-up-request", Value: paxos.Message{Cell: "c", Kind: paxos.CatchUpRequest, From: "b", To: "a", Index: 10, CommitIndex: 9, NeedsSnapshot: true}},
		{Name: "catch-up", Value: paxos.Message{Cell: "c", Kind: paxos.CatchUpResponse, From: "a", To: "b", Index: 10, CommitIndex: 12, Entries: []paxos.Entry{entry()}, Snapshot: snapshot(), CompletedMembershipIndex: 8}},
		{Name: "term-kept", Value: paxos.Message{Cell: "c", Kind: paxos.TermPersisted, From: "a", To: "b", ProposalNumber: ballot, HeartbeatSequence: 7}},
		{Name: "entries-kept", Value: paxos.Message{Cell: "c", Kind: paxos.CommitPersisted, From: "a", To: "b", ProposalNumber: ballot, AcceptedIndexes: []uint64{12}}},
		{Name: "leadership-transfer", Value: paxos.Message{Cell: "c", Kind: paxos.LeadershipTransfer, From: "a", To: "b", ProposalNumber: ballot}},
		{Name: "batch", Value: replicahost.Batch{
			Sender:       replicahost.PeerInfo{ID: "10.0.0.1~f", Addr: "10.0.0.1", Zone: "z1", Name: "n1"},
			Messages:     []paxos.Message{{Cell: "c", Kind: paxos.Accepted, From: "b", To: "a", ProposalNumber: ballot, AcceptedIndexes: []uint64{12}}},
			EndpointList: distribution.Revision{Term: 5, Sequence: 77},
			WallTime:     1700000000000000001, AgreedTime: 1700000000000000002,
		}},
	})
}

func configuration() *distribution.ConfigUpdate {
	priority := int64(3)
	return &distribution.ConfigUpdate{
		Version: 8, BaseVersion: 7,
		Routes: []routing.Route{{
			Name: "r", Hostname: "h.example", PathPrefix: "/a/", RouteKind: routing.KindCacheable, TimeoutMs: 1000, TargetLatencyMs: 50,
			Priority: 2, MaxAttempts: 4, CacheTTLSeconds: 1.5, Service: "s", WeightedServices: []routing.WeightedService{{Service: "s1", Weight: 9}},
			FanoutServices: []string{"f1", "f2"}, ResultCount: 10, MinimumShardShare: 0.75, LookupClass: "urgent", Public: true,
		}},
		Services:      []routing.Service{{Name: "s", HealthPath: "/health", ConnectionLimit: 40, RatePerSecond: 2.5, Protocol: "h1", TLSEnabled: true}},
		Limits:        routing.Limits{MaxHeaderBytes: 1, MaxBodyBytes: 2, HeaderTimeoutMs: 3, IdleTimeoutMs: 4},
		Tenants:       []routing.Tenant{{Name: "t", APIKeys: []string{"k1", "k2"}, RatePerSecond: 10, BurstSize: 20, Priority: &priority}},
		RemovedRoutes: []string{"old-route"}, RemovedServices: []string{"old-service"}, RemovedTenants: []string{"old-tenant"},
	}
}

func change() outbox.Notification {
	return outbox.Notification{EventID: "configuration/8", TenantID: "t", Aggregate: outbox.AggregateConfiguration, Version: 8, PreviousVersion: 7, Payload: []byte{1, 2}, Digest: []byte{3, 4}}
}

// TestUpdateMessages: what nodes and the control plane tell one another.
func TestUpdateMessages(t *testing.T) {
	node := distribution.Node{Name: "n1", Addr: "10.0.0.1", Zone: "z1", ControlPlane: true, Down: true, ObjectCache: true}
	leaf := distribution.Endpoint{ID: "i1", Service: "s", Addr: "10.0.1.1:80", Zone: "z2", Slots: 6, Draining: true, WarmingUp: true}
	list := distribution.EndpointList{Revision: distribution.Revision{Term: 5, Sequence: 78}, Endpoints: []distribution.Endpoint{leaf}, Delta: true, Removed: []string{"i0"}, Base: distribution.Revision{Term: 4, Sequence: 77}}
	purges := distribution.PurgeUpdate{LogIndex: 31, Purges: []distribution.Purge{{LogIndex: 30, Host: "h.example", Path: "/a", Label: "l"}}, Reset: true}
	notices := distribution.NotificationUpdate{LogIndex: 33, Notifications: []distribution.OutboxNotification{{LogIndex: 32, Notification: change()}}, Reset: true, BaseVersions: map[string]uint64{"purges": 29}}
	marks := distribution.EjectionMarks{IndexName: "x1", LogIndex: 21, Services: []string{"s"}, Ejected: map[string]distribution.EjectionMark{"i1": {Reason: distribution.ReasonUnresponsive, Reporter: "n2"}}}
	nodes := distribution.NodeList{LogIndex: 14, Nodes: []distribution.Node{node}, Delta: true, Removed: []string{"n0"}, DataPlaneCount: 9, Base: 13}
	turn := distribution.RequestNumber{Incarnation: 1 << 63, Sequence: 4}
	compat.CheckMessages(t, []compat.Message{
		{Name: "update-call", Value: distribution.UpdateRequest{
			Node:    node,
			Held:    distribution.HeldVersions{ConfigVersion: 7, EndpointRevision: distribution.Revision{Term: 5, Sequence: 76}, MarkIndexes: map[string]uint64{"x1": 20}, NodesIndex: 12, DataPlaneCount: 8, PurgeIndex: 29, NotificationIndex: 28, MarksDigest: 1 << 62},
			Reports: []distribution.HealthReport{{EndpointID: "i1", Service: "s", Healthy: true}}, Suspects: []string{"n3"}, Immediate: true,
		}},
		{Name: "update-answer", Value: distribution.Update{
			Stale: true, Config: configuration(), Endpoints: &list, EjectionMarks: []distribution.EjectionMarks{marks}, Nodes: &nodes,
			RemovedIndexes: []string{"x0"}, Purges: &purges, Notifications: &notices, NeedMarkIndexes: true,
		}},
		{Name: "configuration", Value: *configuration()},
		{Name: "endpoint-list", Value: list},
		{Name: "list-version", Value: list.Revision},
		{Name: "node", Value: node},
		{Name: "mark", Value: marks.Ejected["i1"]},
		{Name: "purge-list", Value: purges.Purges},
		{Name: "share-table", Value: map[string]distribution.ShareLease{"n1": {Permille: 250, Renewals: 6, Request: turn}}},
		{Name: "share-claim", Value: distribution.ShareRequest{Node: "n1", Permille: 250, HoldsNone: true, Table: distribution.QuotaShares, Number: turn}},
		{Name: "share-claim-of-rates", Value: distribution.ShareRequest{Node: "n1", Permille: 1, Table: distribution.RateShares}},
		{Name: "share-grant", Value: distribution.ShareGrant{Permille: 251, FairPermille: 333, Granted: true, Uninterrupted: true}},
		{Name: "estimates-request", Value: distribution.EstimatesRequest{Service: "s", Class: "bulk"}},
	})
}

// TestDatagrams: heartbeats, quota tokens and usage counts between nodes.
func TestDatagrams(t *testing.T) {
	compat.CheckMessages(t, []compat.Message{
		{Name: "datagram-heartbeat", Value: distribution.Datagram{Heartbeat: "n1"}},
		{Name: "datagram-quota-request", Value: distribution.Datagram{TokenRequest: &quota.TokenRequest{ID: 1 << 60, Demands: []quota.TenantDemand{{Tenant: "t", Required: 2, Prefetch: 5, MilliTokens: 1500}}, Loan: true}}},
		{Name: "datagram-quota-grant", Value: distribution.Datagram{TokenGrant: &quota.TokenGrant{ID: 1 << 60, Results: []quota.TenantGrant{{Granted: 2, RetryAfterMs: 40, NoShare: true, MilliTokens: 1400}}}}},
		{Name: "datagram-usage", Value: distribution.Datagram{UsageReport: &usage.CountReport{Incarnation: 6, Sequence: 7, Windows: usage.Windows{1234: usage.Counts{"t": 56}}}}},
		{Name: "datagram-usage-answer", Value: distribution.Datagram{UsageAck: &usage.CountAck{Sequence: 7, Incarnation: 8, UnixNanos: 1700000000000000003}}},
		{Name: "usage-counts", Value: usage.IncarnationCounts{6: usage.Counts{"t": 56}}},
	})
}

// TestOutboxRecords: notices, the rows of the outbox in each state, receipts and the inbox.
func TestOutboxRecords(t *testing.T) {
	compat.CheckMessages(t, []compat.Message{
		{Name: "notices", Value: []outbox.Notification{change(), {EventID: "p", Aggregate: outbox.AggregatePurges, Version: 2, Digest: []byte{5}}}},
		{Name: "notices-answer", Value: []bool{true, false}},
		{Name: "notice-payload", Value: outbox.ConfigurationChange{Tenants: []string{"t", "u"}}},
		{Name: "outbox-pending", Value: outbox.Row{Notification: change(), State: outbox.Pending}},
		{Name: "outbox-claimed", Value: outbox.Row{Notification: change(), State: outbox.Claimed, Owner: "p/1", Attempts: 2}},
		{Name: "outbox-published", Value: outbox.Row{Notification: change(), State: outbox.Published, Attempts: 3}},
		{Name: "outbox-retry", Value: outbox.Row{Notification: change(), State: outbox.RetryWait, Attempts: 4}},
		{Name: "usage-report", Value: outbox.Row{Notification: outbox.Notification{EventID: "usage/9", Aggregate: outbox.AggregateUsage, Version: 9, PreviousVersion: 8,
			Payload: usage.EncodeReport(9, usage.Counts{"t": 5, "u": 6}), Digest: []byte{6}}}},
		{Name: "receipt", Value: outbox.Receipt{Fingerprint: []byte{7, 8}, Status: 200, Version: 8}},
		{Name: "inbox", Value: outbox.Inbox{AppliedVersions: map[string]uint64{"configuration": 8}, Decided: []outbox.DecidedNotification{{EventID: "e", TenantID: "t", Digest: []byte{9}, Version: 8}}}},
	})
}

// TestEstimateMessages: what a node tells of the latencies of lookups.
func TestEstimateMessages(t *testing.T) {
	key := latencyestimate.Key{Service: "s", Endpoint: "i1", Class: "urgent", Load: latencyestimate.Busy}
	compat.CheckMessages(t, []compat.Message{
		{Name: "estimates-answer", Value: latencyestimate.Snapshot{
			Sketches: []latencyestimate.KeyedSketch{{Key: key}},
			SlowLookups: []latencyestimate.SlowLookup{{At: time.Unix(1700000000, 0), Key: key, Duration: time.Second, Censored: true, Replicas: []latencyestimate.ReplicaEstimate{
				{Endpoint: "i2", Estimate: latencyestimate.Estimate{Median: 2, Low: 1, High: 3, HighOpen: true, Samples: 30, Censored: 5, UnknownReason: "w"}, Actual: 4, Difference: "p"}}}},
			Counters: latencyestimate.Counters{Compared: 1, Covered: 2, Differences: map[string]uint64{"i1 order": 3}, Dropped: 4},
		}},
	})
}

// TestEveryRecordIsChecked: no record is left behind when tests move.
func TestEveryRecordIsChecked(t *testing.T) {
	var tests strings.Builder
	err := filepath.WalkDir(filepath.Join("..", ".."), func(path string, _ os.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		raw, err := os.ReadFile(path)
		tests.Write(raw)
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	records, err := filepath.Glob(compat.Path("messages", "*.json"))
	if err != nil || len(records) == 0 {
		t.Fatal("there are no records", err)
	}
	for _, path := range records {
		if name := strings.TrimSuffix(filepath.Base(path), ".json"); !strings.Contains(tests.String(), `Name: "`+name+`"`) {
			t.Errorf("no test reads the record %s", name)
		}
	}
}
