package compat_test

import (
	"testing"
	"time"

	"comethold/internal/compat"
	"comethold/internal/distribution"
	"comethold/internal/latencyestimate"
	"comethold/internal/outbox"
	"comethold/internal/quota"
	"comethold/internal/usage"
)

// TestDatagrams guards against a change of encoding after which two versions can't decode each
// other's datagrams: heartbeats, quota tokens and usage counts.
func TestDatagrams(t *testing.T) {
	compat.CheckMessages(t, []compat.Message{
		{Name: "datagram-heartbeat", Value: distribution.Datagram{Heartbeat: "n1"}},
		{
			Name: "datagram-quota-request",
			Value: distribution.Datagram{
				TokenRequest: &quota.TokenRequest{
					ID:      1 << 60,
					Demands: []quota.TenantDemand{{Tenant: "t", Required: 2, Prefetch: 5, MilliTokens: 1500}},
					Loan:    true,
				},
			},
		},
		{
			Name: "datagram-quota-grant",
			Value: distribution.Datagram{
				TokenGrant: &quota.TokenGrant{
					ID:      1 << 60,
					Results: []quota.TenantGrant{{Granted: 2, RetryAfterMs: 40, NoShare: true, MilliTokens: 1400}},
				},
			},
		},
		{
			Name: "datagram-usage",
			Value: distribution.Datagram{
				UsageReport: &usage.CountReport{Incarnation: 6, Sequence: 7, Windows: usage.Windows{1234: usage.Counts{"t": 56}}},
			},
		},
		{
			Name:  "datagram-usage-answer",
			Value: distribution.Datagram{UsageAck: &usage.CountAck{Sequence: 7, Incarnation: 8, UnixNanos: 1700000000000000003}},
		},
		{Name: "usage-counts", Value: usage.IncarnationCounts{6: usage.Counts{"t": 56}}},
	})
}

// TestOutboxRecords guards against a change of encoding after which this version can't decode the
// notifications, outbox rows, receipts and inboxes of an earlier one. It has an outbox row in each
// state.
func TestOutboxRecords(t *testing.T) {
	compat.CheckMessages(t, []compat.Message{
		{
			Name: "notices",
			Value: []outbox.Notification{
				notification(),
				{EventID: "p", Aggregate: outbox.AggregatePurges, Version: 2, Digest: []byte{5}},
			},
		},
		{Name: "notices-answer", Value: []bool{true, false}},
		{Name: "notice-payload", Value: outbox.ConfigurationChange{Tenants: []string{"t", "u"}}},
		{Name: "outbox-pending", Value: outbox.Row{Notification: notification(), State: outbox.Pending}},
		{
			Name:  "outbox-claimed",
			Value: outbox.Row{Notification: notification(), State: outbox.Claimed, Owner: "p/1", Attempts: 2},
		},
		{Name: "outbox-published", Value: outbox.Row{Notification: notification(), State: outbox.Published, Attempts: 3}},
		{Name: "outbox-retry", Value: outbox.Row{Notification: notification(), State: outbox.RetryWait, Attempts: 4}},
		{Name: "usage-report", Value: outbox.Row{Notification: outbox.Notification{
			EventID:         "usage/9",
			Aggregate:       outbox.AggregateUsage,
			Version:         9,
			PreviousVersion: 8,
			Payload:         usage.EncodeReport(9, usage.Counts{"t": 5, "u": 6}),
			Digest:          []byte{6},
		}}},
		{Name: "receipt", Value: outbox.Receipt{Fingerprint: []byte{7, 8}, Status: 200, Version: 8}},
		{
			Name: "inbox",
			Value: outbox.Inbox{
				AppliedVersions: map[string]uint64{"configuration": 8},
				Decided:         []outbox.DecidedNotification{{EventID: "e", TenantID: "t", Digest: []byte{9}, Version: 8}},
			},
		},
	})
}

// TestEstimateMessages guards against a change of encoding after which two versions can't exchange
// the lookup latencies that a node reports.
func TestEstimateMessages(t *testing.T) {
	key := latencyestimate.Key{Service: "s", Endpoint: "i1", Class: "urgent", Load: latencyestimate.Busy}
	replica := latencyestimate.ReplicaEstimate{
		Endpoint: "i2",
		Estimate: latencyestimate.Estimate{
			Median:        2,
			Low:           1,
			High:          3,
			HighOpen:      true,
			Samples:       30,
			Censored:      5,
			UnknownReason: "w",
		},
		Actual:     4,
		Difference: "p",
	}
	compat.CheckMessages(t, []compat.Message{
		{Name: "estimates-answer", Value: latencyestimate.Snapshot{
			Sketches: []latencyestimate.KeyedSketch{{Key: key}},
			SlowLookups: []latencyestimate.SlowLookup{{
				At:       time.Unix(1700000000, 0),
				Key:      key,
				Duration: time.Second,
				Censored: true,
				Replicas: []latencyestimate.ReplicaEstimate{replica},
			}},
			Counters: latencyestimate.Counters{
				Compared:    1,
				Covered:     2,
				Differences: map[string]uint64{"i1 order": 3},
				Dropped:     4,
			},
		}},
	})
}
