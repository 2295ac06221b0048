package controlplane

import (
	"testing"

	"comethold/internal/compat"
	"comethold/internal/controlplane/allocation"
	"comethold/internal/controlplane/latency"
	"comethold/internal/controlplane/metering"
	"comethold/internal/controlplane/outboxpublisher"
	"comethold/internal/controlplane/placement"
	"comethold/internal/controlplane/replicahost"
	"comethold/internal/controlplane/schema"
	"comethold/internal/distribution"
	"comethold/internal/outbox"
	"comethold/internal/paxos"
	"comethold/internal/usage"
)

// TestCompatibleRecords guards against a change of encoding after which this version can't
// decode what an earlier version stored in cells and on the node's disk, or what a control
// node of that version sends.
func TestCompatibleRecords(t *testing.T) {
	isSet := true
	voter := paxos.Voter{ID: "10.0.0.1~f", Addr: "10.0.0.1", Zone: "z1"}
	notification := outbox.Notification{
		EventID: "configuration/8", TenantID: "t", Aggregate: outbox.AggregateConfiguration,
		Version: 8, PreviousVersion: 7, Payload: []byte{1, 2}, Digest: []byte{3, 4},
	}
	fingerprint := []byte{1, 2, 3, 4, 5, 6, 7, 8}
	txn := paxos.Txn{
		ID:         "a.1",
		Conditions: []paxos.Condition{{Key: "k", Equals: paxos.Int(1)}, {Key: "l", Absent: true}},
		Ops: []paxos.Op{
			{Kind: paxos.OpPut, Key: "k", Value: paxos.Bytes([]byte("v"))},
			{Kind: paxos.OpPut, Key: "b", Value: paxos.Value{Bool: &isSet}},
			{Kind: paxos.OpSetVoters, Voters: []paxos.Voter{voter}},
		},
	}
	compat.CheckMessages(t, []compat.Message{
		{Name: "index", Value: schema.IndexRecord{
			Voters: []paxos.Voter{voter}, Routes: []string{"r1", "r2"}, Services: []string{"s1"},
		}},
		{Name: "index-cut", Value: schema.ShardSetRecord{
			Version: 8, Services: []string{"s1"}, Routes: []string{"r1"},
		}},
		{Name: "receipt-archive", Value: []schema.ArchivedReceipt{{Version: 8, Base: 7, Fingerprint: fingerprint}}},
		{Name: "duty-lease", Value: schema.LeaseRecord{Owner: "10.0.0.1~f", Term: 3, Renewals: 44}},
		{Name: "quarantine", Value: schema.QuarantineRecord{
			Notification: notification, Reason: "no event id", ReportedBy: "n1",
		}},
		{Name: "redrive", Value: schema.RedriveRequest{
			EventID: "configuration/8", Operator: "o", CorrelationID: "c", Action: schema.RedriveResend,
		}},
		{Name: "redrive-close", Value: schema.RedriveRequest{
			EventID: "configuration/9", Operator: "o", CorrelationID: "c", Action: schema.RedriveClose,
		}},
		{Name: "quota-floors", Value: map[string]float64{"t": 12.5}},
		{Name: "kept-usage", Value: metering.PersistedWindow{
			Window: 1234, Counts: usage.IncarnationCounts{6: usage.Counts{"t": 56}},
		}},
		{Name: "usage-request", Value: metering.WindowRequest{Window: 1234}},
		{Name: "proposal", Value: replicahost.ProposeRequest{Cell: "exchange", Txn: txn}},
		{Name: "verdict", Value: replicahost.ProposeResult{
			Committed: true, Busy: true, Unknown: true, NoLeader: true, Index: 12,
			Grant: distribution.ShareGrant{Permille: 251, FairPermille: 333, Granted: true, Uninterrupted: true},
		}},
		{Name: "move", Value: placement.MoveRequest{Cell: "x1", Remove: "10.0.0.9", Add: voter}},
	})
}

// TestStoredNames guards against a changed key or file name, under which this version would
// not find what an earlier version stored in the data directory.
func TestStoredNames(t *testing.T) {
	for name, want := range map[string]string{
		schema.MetaCell:                 "exchange",
		latency.ExportFileName:          "estimates.jsonl",
		schema.ConfigVersionKey:         "config/version",
		schema.ConfigDataKey:            "config/raw",
		schema.ReceiptKeyPrefix:         "receipt/",
		schema.ReceiptArchiveKeyPrefix:  "receipt-archive/",
		schema.ReceiptsDeletedKey:       "receipt-forgotten",
		schema.NodeKeyPrefix:            "node/",
		schema.IndexKeyPrefix:           "index/",
		schema.LastIndexIDKey:           "index-next",
		schema.LeaseKeyPrefix:           "duty/",
		schema.PurgeKeyPrefix:           "recall/",
		schema.PurgeCompactedKey:        "recall-floor",
		schema.RateSharesKey:            "shares",
		schema.QuotaSharesKey:           "quota-shares",
		schema.UsageReportKeyPrefix:     "usage/",
		schema.OutboxKeyPrefix:          "outbox/",
		schema.QuarantineKeyPrefix:      "quarantine/",
		schema.RedriveKeyPrefix:         "redrive/",
		schema.ShardSetKey:              "cut",
		schema.EjectionKeyPrefix:        "mark/",
		replicahost.IdentityKey:         "identity",
		outboxpublisher.InboxStorageKey: "inbox",
		allocation.WatermarkStorageKey:  "quota-floors",
		metering.PersistedWindowKey(metering.PersistedWindows + 3): "usage/3",
		schema.ReceiptKey(5, 3):                              "receipt/configuration/00000000000000000005/3",
		schema.ReceiptArchiveKey(7):                          "receipt-archive/00000000000000000007",
		schema.UsageReportKey(9):                             "usage/00000000000000000009",
		paxos.AppendedKey(schema.PurgeKeyPrefix, 6, "a.b-c"): "recall/00000000000000000006/a.b-c",
	} {
		if name != want {
			t.Errorf("stored name is %q, want %q as in earlier versions", name, want)
		}
	}
}
