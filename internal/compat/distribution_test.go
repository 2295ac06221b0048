package compat_test

import (
	"testing"

	"comethold/internal/compat"
	"comethold/internal/distribution"
	"comethold/internal/outbox"
	"comethold/internal/routing"
)

func configuration() *distribution.ConfigUpdate {
	priority := int64(3)
	return &distribution.ConfigUpdate{
		Version:     8,
		BaseVersion: 7,
		Routes: []routing.Route{{
			Name:              "r",
			Hostname:          "h.example",
			PathPrefix:        "/a/",
			RouteKind:         routing.KindCacheable,
			TimeoutMs:         1000,
			TargetLatencyMs:   50,
			Priority:          2,
			MaxAttempts:       4,
			CacheTTLSeconds:   1.5,
			Service:           "s",
			WeightedServices:  []routing.WeightedService{{Service: "s1", Weight: 9}},
			FanoutServices:    []string{"f1", "f2"},
			ResultCount:       10,
			MinimumShardShare: 0.75,
			LookupClass:       "urgent",
			Public:            true,
		}},
		Services: []routing.Service{
			{Name: "s", HealthPath: "/health", ConnectionLimit: 40, RatePerSecond: 2.5, Protocol: "h1", TLSEnabled: true},
		},
		Limits: routing.Limits{MaxHeaderBytes: 1, MaxBodyBytes: 2, HeaderTimeoutMs: 3, IdleTimeoutMs: 4},
		Tenants: []routing.Tenant{
			{Name: "t", APIKeys: []string{"k1", "k2"}, RatePerSecond: 10, BurstSize: 20, Priority: &priority},
		},
		RemovedRoutes:   []string{"old-route"},
		RemovedServices: []string{"old-service"},
		RemovedTenants:  []string{"old-tenant"},
	}
}

func notification() outbox.Notification {
	return outbox.Notification{
		EventID:         "configuration/8",
		TenantID:        "t",
		Aggregate:       outbox.AggregateConfiguration,
		Version:         8,
		PreviousVersion: 7,
		Payload:         []byte{1, 2},
		Digest:          []byte{3, 4},
	}
}

func node() distribution.Node {
	return distribution.Node{Name: "n1", Addr: "10.0.0.1", Zone: "z1", ControlPlane: true, Down: true, ObjectCache: true}
}

func endpointList() distribution.EndpointList {
	return distribution.EndpointList{
		Revision: distribution.Revision{Term: 5, Sequence: 78},
		Endpoints: []distribution.Endpoint{{
			ID:        "i1",
			Service:   "s",
			Addr:      "10.0.1.1:80",
			Zone:      "z2",
			Slots:     6,
			Draining:  true,
			WarmingUp: true,
		}},
		Delta:   true,
		Removed: []string{"i0"},
		Base:    distribution.Revision{Term: 4, Sequence: 77},
	}
}

func purges() distribution.PurgeUpdate {
	return distribution.PurgeUpdate{
		LogIndex: 31,
		Purges:   []distribution.Purge{{LogIndex: 30, Host: "h.example", Path: "/a", Label: "l"}},
		Reset:    true,
	}
}

func mark() distribution.EjectionMark {
	return distribution.EjectionMark{Reason: distribution.ReasonUnresponsive, Reporter: "n2"}
}

// fullUpdate returns an update with all parts set.
func fullUpdate() distribution.Update {
	list, purges := endpointList(), purges()
	return distribution.Update{
		Stale:     true,
		Config:    configuration(),
		Endpoints: &list,
		EjectionMarks: []distribution.EjectionMarks{{
			IndexName: "x1",
			LogIndex:  21,
			Services:  []string{"s"},
			Ejected:   map[string]distribution.EjectionMark{"i1": mark()},
		}},
		Nodes: &distribution.NodeList{
			LogIndex:       14,
			Nodes:          []distribution.Node{node()},
			Delta:          true,
			Removed:        []string{"n0"},
			DataPlaneCount: 9,
			Base:           13,
		},
		RemovedSearchIndexes: []string{"x0"},
		Purges:               &purges,
		Notifications: &distribution.NotificationUpdate{
			LogIndex:      33,
			Notifications: []distribution.OutboxNotification{{LogIndex: 32, Notification: notification()}},
			Reset:         true,
			BaseVersions:  map[string]uint64{"purges": 29},
		},
		NeedMarkLogIndexes: true,
	}
}

// TestUpdateMessages guards against a change of encoding after which two versions can't exchange
// requests for updates and the updates.
func TestUpdateMessages(t *testing.T) {
	compat.CheckMessages(t, []compat.Message{
		{Name: "update-call", Value: distribution.UpdateRequest{
			Node: node(),
			Held: distribution.HeldVersions{
				ConfigVersion:     7,
				EndpointRevision:  distribution.Revision{Term: 5, Sequence: 76},
				MarkLogIndexes:    map[string]uint64{"x1": 20},
				NodesIndex:        12,
				DataPlaneCount:    8,
				PurgeIndex:        29,
				NotificationIndex: 28,
				MarksDigest:       1 << 62,
			},
			Reports:   []distribution.HealthReport{{EndpointID: "i1", Service: "s", Healthy: true}},
			Suspects:  []string{"n3"},
			Immediate: true,
		}},
		{Name: "update-answer", Value: fullUpdate()},
		{Name: "configuration", Value: *configuration()},
		{Name: "endpoint-list", Value: endpointList()},
		{Name: "list-version", Value: endpointList().Revision},
		{Name: "node", Value: node()},
		{Name: "mark", Value: mark()},
		{Name: "purge-list", Value: purges().Purges},
		{Name: "estimates-request", Value: distribution.EstimatesRequest{Service: "s", Class: "bulk"}},
	})
}

// TestShareMessages guards against a change of encoding after which this version can't decode the
// stored leases of rate and quota shares, or the requests and grants of another version.
func TestShareMessages(t *testing.T) {
	requestNumber := distribution.RequestNumber{Incarnation: 1 << 63, Sequence: 4}
	compat.CheckMessages(t, []compat.Message{
		{
			Name:  "share-table",
			Value: map[string]distribution.ShareLease{"n1": {Permille: 250, Renewals: 6, Request: requestNumber}},
		},
		{
			Name: "share-claim",
			Value: distribution.ShareRequest{
				Node:      "n1",
				Permille:  250,
				HoldsNone: true,
				Table:     distribution.QuotaShares,
				Number:    requestNumber,
			},
		},
		{
			Name:  "share-claim-of-rates",
			Value: distribution.ShareRequest{Node: "n1", Permille: 1, Table: distribution.RateShares},
		},
		{
			Name:  "share-grant",
			Value: distribution.ShareGrant{Permille: 251, FairPermille: 333, Granted: true, Uninterrupted: true},
		},
	})
}
