package registrar

import (
	"testing"

	"comethold/internal/cell"
	"comethold/internal/compat"
	"comethold/internal/feed"
	"comethold/internal/notice"
	"comethold/internal/usage"
)

// TestCompatibleRecords: what is stored in cells and on the node's disk, and what
// registrars ask one another, decodes from the bytes of an earlier version.
func TestCompatibleRecords(t *testing.T) {
	yes := true
	seat := cell.Seat{ID: "10.0.0.1~f", Addr: "10.0.0.1", Zone: "z1"}
	n := notice.Notice{EventID: "configuration/8", TenantID: "t", Aggregate: notice.Configuration, Version: 8, After: 7, Payload: []byte{1, 2}, Digest: []byte{3, 4}}
	compat.CheckMessages(t, []compat.Message{
		{Name: "index", Value: indexRecord{Seats: []cell.Seat{seat}, Routes: []string{"r1", "r2"}, Cut: []string{"s1"}}},
		{Name: "index-cut", Value: cutRecord{Version: 8, Cut: []string{"s1"}, Routes: []string{"r1"}}},
		{Name: "receipt-archive", Value: []archived{{Version: 8, Base: 7, Fingerprint: []byte{1, 2, 3, 4, 5, 6, 7, 8}}}},
		{Name: "duty-lease", Value: dutyRecord{Holder: "10.0.0.1~f", Term: 3, Beat: 44}},
		{Name: "quarantine", Value: quarantined{Notice: n, Why: "no event id", By: "n1"}},
		{Name: "redrive", Value: redrive{EventID: "configuration/8", Operator: "o", CorrelationID: "c", Action: actionResend}},
		{Name: "redrive-close", Value: redrive{EventID: "configuration/9", Operator: "o", CorrelationID: "c", Action: actionClose}},
		{Name: "quota-floors", Value: map[string]float64{"t": 12.5}},
		{Name: "kept-usage", Value: keptBook{Window: 1234, Lives: usage.Lives{6: usage.Counts{"t": 56}}}},
		{Name: "usage-request", Value: usageAsk{Window: 1234}},
		{Name: "proposal", Value: proposal{Cell: "exchange", Txn: cell.Txn{ID: "a.1",
			Conditions: []cell.Condition{{Key: "k", Equals: cell.Int(1)}, {Key: "l", Absent: true}},
			Ops: []cell.Op{{Kind: cell.OpPut, Key: "k", Value: cell.Bytes([]byte("v"))}, {Kind: cell.OpPut, Key: "b", Value: cell.Value{Bool: &yes}},
				{Kind: cell.OpSeats, Seats: []cell.Seat{seat}}}}}},
		{Name: "verdict", Value: verdict{Committed: true, Busy: true, Unclear: true, NoLeader: true, Slot: 12,
			Grant: feed.Grant{Permille: 251, Fair: 333, Granted: true, Kept: true}}},
		{Name: "move", Value: moveOrder{Cell: "x1", Out: "10.0.0.9", In: seat}},
	})
}

// TestStoredNames: keys of cells and of the node's own values, and names of files, are
// what data directories hold.
func TestStoredNames(t *testing.T) {
	for name, want := range map[string]string{
		ExchangeCell: "exchange", exportName: "estimates.jsonl",
		keyVersion: "config/version", keyRaw: "config/raw", keyReceipt: "receipt/", keyArchive: "receipt-archive/",
		keyForgotten: "receipt-forgotten", keyNode: "node/", keyIndex: "index/", keyNextID: "index-next", keyDuty: "duty/",
		keyRecall: "recall/", keyFloor: "recall-floor", keyShares: "shares", keyQuotas: "quota-shares", keyUsage: "usage/",
		keyOutbox: "outbox/", keyQuarantine: "quarantine/", keyRedrive: "redrive/", keyCut: "cut", keyMark: "mark/",
		identityNote: "identity", inboxNote: "inbox", floorNote: "quota-floors", keptKey(keptWindows + 3): "usage/3",
		receiptKey(5, 3): "receipt/configuration/00000000000000000005/3", archiveKey(7): "receipt-archive/00000000000000000007",
		usageKey(9):                             "usage/00000000000000000009",
		cell.AppendedKey(keyRecall, 6, "a.b-c"): "recall/00000000000000000006/a.b-c",
	} {
		if name != want {
			t.Errorf("stored under %q, and before under %q", name, want)
		}
	}
}
