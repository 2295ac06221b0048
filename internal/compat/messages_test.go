package compat_test

import (
	"math/big"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"comethold/internal/cell"
	"comethold/internal/compat"
	"comethold/internal/estimate"
	"comethold/internal/feed"
	"comethold/internal/notice"
	"comethold/internal/numbering"
	"comethold/internal/quota"
	"comethold/internal/registrar"
	"comethold/internal/usage"
)

// transaction has every kind of operation, and values of every type.
func transaction() cell.Txn {
	yes := true
	return cell.Txn{
		ID: "a.1.2",
		Conditions: []cell.Condition{
			{Key: "config/version", Equals: cell.Int(41)},
			{Key: "receipt/x", Absent: true},
		},
		Ops: []cell.Op{
			{Kind: cell.OpPut, Key: "put", Value: cell.Bytes([]byte{0, 1, 2})},
			{Kind: cell.OpDelete, Key: "delete"},
			{Kind: cell.OpAdd, Key: "add", Value: cell.Value{Int: new(big.Int).Lsh(big.NewInt(3), 70)}},
			{Kind: cell.OpPatch, Key: "patch", Value: cell.Bytes([]byte{9})},
			{Kind: cell.OpSeats, Seats: []cell.Seat{{ID: "10.0.0.1~f", Addr: "10.0.0.1", Zone: "z1"}}},
			{Kind: cell.OpAppend, Key: "append/", Value: cell.Value{Bool: &yes}},
		},
	}
}

func entry() cell.Entry {
	return cell.Entry{Slot: 12, Ballot: cell.Ballot{Round: 3, By: "a"}, Txns: []cell.Txn{transaction()}}
}

func snapshot() *cell.Snapshot {
	return &cell.Snapshot{
		Applied:     11,
		State:       map[string]cell.Value{"k": cell.Bytes([]byte("v")), "n": cell.Int(-7)},
		Memberships: []cell.Membership{{From: 1, Seats: []cell.Seat{{ID: "a", Addr: "10.0.0.1", Zone: "z1"}, {ID: "b", Addr: "10.0.0.2", Zone: "z2"}}}},
	}
}

// TestConsensusMessages: one recorded message of each kind between replicas, and what
// stands in their log.
func TestConsensusMessages(t *testing.T) {
	ballot := cell.Ballot{Round: 4, By: "a"}
	compat.CheckMessages(t, []compat.Message{
		{Name: "ballot", Value: ballot},
		{Name: "transaction", Value: transaction()},
		{Name: "log-entry", Value: entry()},
		{Name: "snapshot", Value: *snapshot()},
		{Name: "prepare", Value: cell.Message{Cell: "c", Kind: cell.Prepare, From: "a", To: "b", Ballot: ballot, Slot: 12, Over: cell.Ballot{Round: 2, By: "z"}}},
		{Name: "promise", Value: cell.Message{Cell: "c", Kind: cell.Promise, From: "b", To: "a", Ballot: ballot, Slot: 12, Chosen: 11, Entries: []cell.Entry{entry()}, Snap: snapshot(), Echo: 99}},
		{Name: "reject", Value: cell.Message{Cell: "c", Kind: cell.Reject, From: "b", To: "a", Ballot: ballot, Seq: 5}},
		{Name: "accept", Value: cell.Message{Cell: "c", Kind: cell.Accept, From: "a", To: "b", Ballot: ballot, Chosen: 11, Entries: []cell.Entry{entry()}}},
		{Name: "accepted", Value: cell.Message{Cell: "c", Kind: cell.Accepted, From: "b", To: "a", Ballot: ballot, Slots: []uint64{12, 13}, Echo: 98}},
		{Name: "heartbeat", Value: cell.Message{Cell: "c", Kind: cell.Beat, From: "a", To: "b", Ballot: ballot, Chosen: 12, Seq: 6, Echo: 97, Age: 250, Settled: 8}},
		{Name: "heartbeat-answer", Value: cell.Message{Cell: "c", Kind: cell.BeatAck, From: "b", To: "a", Ballot: ballot, Chosen: 11, Seq: 6, Echo: 96}},
		{Name: "catch-up-request", Value: cell.Message{Cell: "c", Kind: cell.Ask, From: "b", To: "a", Slot: 10, Chosen: 9, Fresh: true}},
		{Name: "catch-up", Value: cell.Message{Cell: "c", Kind: cell.Teach, From: "a", To: "b", Slot: 10, Chosen: 12, Entries: []cell.Entry{entry()}, Snap: snapshot(), Settled: 8}},
		{Name: "term-kept", Value: cell.Message{Cell: "c", Kind: cell.Reserved, From: "a", To: "b", Ballot: ballot, Seq: 7}},
		{Name: "entries-kept", Value: cell.Message{Cell: "c", Kind: cell.Held, From: "a", To: "b", Ballot: ballot, Slots: []uint64{12}}},
		{Name: "leadership-transfer", Value: cell.Message{Cell: "c", Kind: cell.HandOver, From: "a", To: "b", Ballot: ballot}},
		{Name: "batch", Value: registrar.Batch{
			Hello:    registrar.Hello{ID: "10.0.0.1~f", Addr: "10.0.0.1", Zone: "z1", Name: "n1"},
			Messages: []cell.Message{{Cell: "c", Kind: cell.Accepted, From: "b", To: "a", Ballot: ballot, Slots: []uint64{12}}},
			List:     feed.Stamp{Term: 5, Rev: 77},
			Wall:     1700000000000000001, Agreed: 1700000000000000002,
		}},
	})
}

func configuration() *feed.Config {
	priority := int64(3)
	return &feed.Config{
		Version: 8, Base: 7,
		Routes: []numbering.Route{{
			Name: "r", Hostname: "h.example", PathPrefix: "/a/", RouteKind: numbering.Cacheable, TimeoutMs: 1000, TargetLatencyMs: 50,
			Priority: 2, MaxAttempts: 4, CacheTtlS: 1.5, Service: "s", WeightedServices: []numbering.Weighted{{Service: "s1", Weight: 9}},
			FanoutServices: []string{"f1", "f2"}, ResultCount: 10, MinimumShardShare: 0.75, LookupClass: "urgent", Public: true,
		}},
		Services:   []numbering.Service{{Name: "s", HealthPath: "/health", ConnectionLimit: 40, RatePerS: 2.5, Protocol: "h1", TLSEnabled: true}},
		Limits:     numbering.Limits{MaxHeaderBytes: 1, MaxBodyBytes: 2, HeaderTimeoutMs: 3, IdleTimeoutMs: 4},
		Tenants:    []numbering.Tenant{{Name: "t", APIKeys: []string{"k1", "k2"}, RatePerS: 10, BurstSize: 20, Priority: &priority}},
		GoneRoutes: []string{"old-route"}, GoneServices: []string{"old-service"}, GoneTenants: []string{"old-tenant"},
	}
}

func change() notice.Notice {
	return notice.Notice{EventID: "configuration/8", TenantID: "t", Aggregate: notice.Configuration, Version: 8, After: 7, Payload: []byte{1, 2}, Digest: []byte{3, 4}}
}

// TestUpdateMessages: what nodes and the control plane tell one another.
func TestUpdateMessages(t *testing.T) {
	node := feed.Node{Name: "n1", Addr: "10.0.0.1", Zone: "z1", Control: true, Down: true, Cache: true}
	leaf := feed.Leaf{ID: "i1", Service: "s", Addr: "10.0.1.1:80", Zone: "z2", Slots: 6, Draining: true, Cold: true}
	list := feed.List{Stamp: feed.Stamp{Term: 5, Rev: 78}, Leafs: []feed.Leaf{leaf}, Delta: true, Gone: []string{"i0"}, Base: feed.Stamp{Term: 4, Rev: 77}}
	purges := feed.Recalls{Pos: 31, All: []feed.Recall{{Pos: 30, Host: "h.example", Path: "/a", Label: "l"}}, Reset: true}
	notices := feed.Notices{Pos: 33, All: []feed.Notice{{Pos: 32, Notice: change()}}, Reset: true, Base: map[string]uint64{"purges": 29}}
	marks := feed.Marks{Index: "x1", Slot: 21, Cut: []string{"s"}, Drained: map[string]feed.Mark{"i1": {Why: feed.WhySilent, By: "n2"}}}
	nodes := feed.Nodes{Slot: 14, All: []feed.Node{node}, Delta: true, Gone: []string{"n0"}, Switches: 9, Base: 13}
	turn := feed.Turn{Life: 1 << 63, N: 4}
	compat.CheckMessages(t, []compat.Message{
		{Name: "update-call", Value: feed.Call{
			Node:    node,
			Have:    feed.Have{Config: 7, List: feed.Stamp{Term: 5, Rev: 76}, Marks: map[string]uint64{"x1": 20}, Nodes: 12, Switches: 8, Recall: 29, Notice: 28, MarksSum: 1 << 62},
			Reports: []feed.Report{{Leaf: "i1", Service: "s", Well: true}}, Suspects: []string{"n3"}, Now: true,
		}},
		{Name: "update-answer", Value: feed.News{
			Stale: true, Config: configuration(), List: &list, Marks: []feed.Marks{marks}, Nodes: &nodes,
			Gone: []string{"x0"}, Recalls: &purges, Notices: &notices, NeedMarks: true,
		}},
		{Name: "configuration", Value: *configuration()},
		{Name: "endpoint-list", Value: list},
		{Name: "list-version", Value: list.Stamp},
		{Name: "node", Value: node},
		{Name: "mark", Value: marks.Drained["i1"]},
		{Name: "purge-list", Value: purges.All},
		{Name: "share-table", Value: map[string]feed.Share{"n1": {Permille: 250, Beat: 6, Turn: turn}}},
		{Name: "share-claim", Value: feed.Claim{Node: "n1", Permille: 250, Fresh: true, Of: feed.SharesOfQuotas, Turn: turn}},
		{Name: "share-claim-of-rates", Value: feed.Claim{Node: "n1", Permille: 1, Of: feed.SharesOfRates}},
		{Name: "share-grant", Value: feed.Grant{Permille: 251, Fair: 333, Granted: true, Kept: true}},
		{Name: "estimates-request", Value: feed.EstimatesAsk{Service: "s", Class: "bulk"}},
	})
}

// TestDatagrams: heartbeats, quota tokens and usage counts between nodes.
func TestDatagrams(t *testing.T) {
	compat.CheckMessages(t, []compat.Message{
		{Name: "datagram-heartbeat", Value: feed.Datagram{Beat: "n1"}},
		{Name: "datagram-quota-request", Value: feed.Datagram{Ask: &quota.Ask{ID: 1 << 60, Wants: []quota.Want{{Tenant: "t", Need: 2, More: 5, Milli: 1500}}, Lend: true}}},
		{Name: "datagram-quota-grant", Value: feed.Datagram{Grant: &quota.Grant{ID: 1 << 60, Parts: []quota.Part{{Granted: 2, BackMs: 40, Unable: true, Milli: 1400}}}}},
		{Name: "datagram-usage", Value: feed.Datagram{Tally: &usage.Tally{Life: 6, Seq: 7, Parts: usage.Windows{1234: usage.Counts{"t": 56}}}}},
		{Name: "datagram-usage-answer", Value: feed.Datagram{Noted: &usage.Noted{Seq: 7, Life: 8, Now: 1700000000000000003}}},
		{Name: "usage-counts", Value: usage.Lives{6: usage.Counts{"t": 56}}},
	})
}

// TestOutboxRecords: notices, the rows of the outbox in each state, receipts and the inbox.
func TestOutboxRecords(t *testing.T) {
	compat.CheckMessages(t, []compat.Message{
		{Name: "notices", Value: []notice.Notice{change(), {EventID: "p", Aggregate: notice.Purges, Version: 2, Digest: []byte{5}}}},
		{Name: "notices-answer", Value: []bool{true, false}},
		{Name: "notice-payload", Value: notice.Changed{Tenants: []string{"t", "u"}}},
		{Name: "outbox-pending", Value: notice.Row{Notice: change(), State: notice.Pending}},
		{Name: "outbox-claimed", Value: notice.Row{Notice: change(), State: notice.Claimed, Owner: "p/1", Tries: 2}},
		{Name: "outbox-published", Value: notice.Row{Notice: change(), State: notice.Published, Tries: 3}},
		{Name: "outbox-retry", Value: notice.Row{Notice: change(), State: notice.RetryWait, Tries: 4}},
		{Name: "usage-report", Value: notice.Row{Notice: notice.Notice{EventID: "usage/9", Aggregate: notice.Usage, Version: 9, After: 8,
			Payload: usage.Report(9, usage.Counts{"t": 5, "u": 6}), Digest: []byte{6}}}},
		{Name: "receipt", Value: notice.Receipt{Fingerprint: []byte{7, 8}, Status: 200, Version: 8}},
		{Name: "inbox", Value: notice.Inbox{Done: map[string]uint64{"configuration": 8}, Seen: []notice.Seen{{EventID: "e", TenantID: "t", Digest: []byte{9}, Version: 8}}}},
	})
}

// TestEstimateMessages: what a node tells of the latencies of lookups.
func TestEstimateMessages(t *testing.T) {
	key := estimate.Key{Service: "s", Leaf: "i1", Class: "urgent", Load: estimate.Busy}
	compat.CheckMessages(t, []compat.Message{
		{Name: "estimates-answer", Value: estimate.View{
			Sketches: []estimate.Keyed{{Key: key}},
			Slow: []estimate.Slow{{At: time.Unix(1700000000, 0), Key: key, Took: time.Second, Cut: true, Others: []estimate.Other{
				{Leaf: "i2", Estimate: estimate.Estimate{Median: 2, Low: 1, High: 3, Open: true, Samples: 30, Cut: 5, Unknown: "w"}, Real: 4, Part: "p"}}}},
			Tally: estimate.Tally{Compared: 1, Covered: 2, Parts: map[string]uint64{"i1 order": 3}, Dropped: 4},
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
