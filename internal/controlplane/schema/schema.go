package schema

import (
	"bytes"
	"fmt"
	"math/big"
	"net/http"
	"sort"
	"strconv"
	"strings"

	"comethold/internal/distribution"
	"comethold/internal/outbox"
	"comethold/internal/paxos"
	"comethold/internal/paxos/statemachine"
	"comethold/internal/routing"
	"comethold/internal/rpc"
)

// MetaCell holds what is not any one index's: the operator's
// configuration, the directory of nodes, the list of index cells and the
// leases of duties.
const MetaCell = "exchange"

// Keys of the exchange cell.
const (
	ConfigVersionKey = "config/version"
	ConfigDataKey    = "config/raw"
	ReceiptKeyPrefix = "receipt/" // + idempotency key: notice.Receipt
	// What is swept of the receipts is kept in short: + first version: archive.
	ReceiptArchiveKeyPrefix = "receipt-archive/"
	ReceiptsForgottenKey    = "receipt-forgotten" // what was taken up to this version is not known any more
	NodeKeyPrefix           = "node/"             // + name: feed.Node
	IndexKeyPrefix          = "index/"            // + name: indexRecord
	NextIndexIDKey          = "index-next"
	LeaseKeyPrefix          = "duty/"        // + name: dutyRecord
	PurgeKeyPrefix          = "recall/"      // + log position and transaction: []feed.Recall
	PurgeCompactedKey       = "recall-floor" // recalls up to this position are forgotten
	RateSharesKey           = "shares"       // map of node to feed.Share, for the rates of services
	QuotaSharesKey          = "quota-shares" // the same for the tenants' quotas

	UsageReportKeyPrefix = "usage/"      // + window: notice.Row with the report
	OutboxKeyPrefix      = "outbox/"     // + log position and transaction: notice.Row
	QuarantineKeyPrefix  = "quarantine/" // + event id: quarantined
	RedriveKeyPrefix     = "redrive/"    // + number: redrive
)

// Keys of an index cell.
const (
	ShardSetKey       = "cut"   // cutRecord
	EjectionKeyPrefix = "mark/" // + leaf: feed.Mark
)

type IndexRecord struct {
	Voters   []paxos.Voter `cbor:"1,keyasint"` // the founders of its cell
	Routes   []string      `cbor:"2,keyasint"`
	Services []string      `cbor:"3,keyasint"`
}

type ShardSetRecord struct {
	Version  uint64   `cbor:"1,keyasint"`
	Services []string `cbor:"2,keyasint"`
	Routes   []string `cbor:"3,keyasint"`
}

// ReceiptKey is the idempotency key of an order for a configuration: the operator sends
// none, so it is worked out from the version and the one that it builds on.
func ReceiptKey(version, base uint64) string {
	return fmt.Sprintf("%s%s/%020d/%d", ReceiptKeyPrefix, outbox.AggregateConfiguration, version, base)
}

// ReadReceipt returns the receipt under a key, or nil.
func ReadReceipt(m *paxos.Replica, key string) *outbox.Receipt {
	var r outbox.Receipt
	if v, ok := m.Get(key); ok && rpc.Unmarshal(v.Bytes, &r) == nil {
		return &r
	}
	return nil
}

// Bounds of the memory of orders: it reaches back over keepReceipts and
// archiveSize·(keepArchives-1) changes at least; see TestOldOrders for its size.
const (
	MaxReceipts        = 128
	ReceiptsPerArchive = 64 // receipts that are archived together
	MaxReceiptArchives = 64
)

// ArchivedReceipt is what is kept of a receipt in the end.
type ArchivedReceipt struct {
	_           struct{} `cbor:",toarray"`
	Version     uint64
	Base        uint64
	Fingerprint []byte // the first archivedBytes of it
}

const archivedFingerprintBytes = 8

// CheckReplay says what is known of an order: whether it was taken, or one that contradicts
// it. forgotten: it is too old for that.
func CheckReplay(m *paxos.Replica, version, base uint64, sum []byte) (replay outbox.KeyUse, forgotten bool) {
	if rec := ReadReceipt(m, ReceiptKey(version, base)); rec != nil {
		return rec.Compare(sum), false
	}
	if current, _ := ReadConfig(m); version > current {
		return outbox.KeyUnused, false
	}
	if v, ok := m.Get(ReceiptsForgottenKey); ok && v.Int != nil && v.Int.Uint64() >= version {
		return outbox.KeyUnused, true
	}
	keys := m.KeysWithPrefix(ReceiptArchiveKeyPrefix, ReceiptArchiveKeyPrefix)
	at := sort.SearchStrings(keys, ReceiptArchiveKey(version+1))
	if at == 0 {
		return outbox.KeyUnused, false
	}
	for _, a := range readReceiptArchive(m, keys[at-1]) {
		if a.Version == version && a.Base == base {
			return (&outbox.Receipt{Fingerprint: a.Fingerprint}).Compare(sum[:archivedFingerprintBytes]), false
		}
	}
	return outbox.KeyUnused, false
}

func ReceiptArchiveKey(first uint64) string {
	return fmt.Sprintf("%s%020d", ReceiptArchiveKeyPrefix, first)
}

func readReceiptArchive(m *paxos.Replica, key string) (list []ArchivedReceipt) {
	if v, ok := m.Get(key); ok && rpc.Unmarshal(v.Bytes, &list) != nil {
		return nil
	}
	return list
}

// compactReceipts archives the oldest receipts once there are enough of them, and forgets
// the oldest archive where there are too many. It goes with a change that is conditioned
// on the version, and these tables move only with the version.
func compactReceipts(m *paxos.Replica) (ops []paxos.Op) {
	receipts := m.KeysWithPrefix(ReceiptKeyPrefix, ReceiptKeyPrefix)
	if len(receipts) < MaxReceipts+ReceiptsPerArchive {
		return nil
	}
	var list []ArchivedReceipt
	for _, k := range receipts[:ReceiptsPerArchive] {
		ops = append(ops, paxos.Op{Kind: paxos.OpDelete, Key: k})
		rec := ReadReceipt(m, k)
		_, base, _ := strings.Cut(strings.TrimPrefix(k, ReceiptKeyPrefix+outbox.AggregateConfiguration+"/"), "/")
		n, err := strconv.ParseUint(base, 10, 64)
		if rec != nil && err == nil && len(rec.Fingerprint) >= archivedFingerprintBytes {
			list = append(list, ArchivedReceipt{Version: rec.Version, Base: n, Fingerprint: rec.Fingerprint[:archivedFingerprintBytes]})
		}
	}
	if len(list) > 0 {
		ops = append(ops, paxos.Op{Kind: paxos.OpPut, Key: ReceiptArchiveKey(list[0].Version), Value: MustEncode(list)})
	}
	archives := m.KeysWithPrefix(ReceiptArchiveKeyPrefix, ReceiptArchiveKeyPrefix)
	if len(archives) < MaxReceiptArchives {
		return ops
	}
	ops = append(ops, paxos.Op{Kind: paxos.OpDelete, Key: archives[0]})
	if gone := readReceiptArchive(m, archives[0]); len(gone) > 0 {
		last := gone[len(gone)-1].Version
		ops = append(ops, paxos.Op{Kind: paxos.OpPut, Key: ReceiptsForgottenKey, Value: UintValue(last)})
	}
	return ops
}

func MustEncode(v any) paxos.Value {
	b, err := rpc.Marshal(v)
	if err != nil {
		panic(err) // our own records always encode
	}
	return paxos.Bytes(b)
}

func UintValue(n uint64) paxos.Value { return paxos.Value{Int: new(big.Int).SetUint64(n)} }

func ReadConfig(m *paxos.Replica) (uint64, []byte) {
	v, ok := m.Get(ConfigVersionKey)
	if !ok || v.Int == nil {
		return 0, nil
	}
	raw, _ := m.Get(ConfigDataKey)
	return v.Int.Uint64(), raw.Bytes
}

// ConfigTxn makes the transaction that puts a configuration on top of base: the receipt
// of the order, the change and the notice of it become durable together, or none does.
// sum is the fingerprint of the order as it was sent.
func ConfigTxn(m *paxos.Replica, c *routing.Configuration, raw, sum []byte, changed []string) paxos.Txn {
	base, old := ReadConfig(m)
	key := ReceiptKey(c.Version, base)
	n, err := outbox.NewNotification(fmt.Sprintf("%s/%d", outbox.AggregateConfiguration, c.Version), outbox.AggregateConfiguration, c.Version, base, outbox.ConfigurationChange{Tenants: changed})
	if err != nil {
		panic(err) // our own records always encode
	}
	t := paxos.Txn{Ops: []paxos.Op{
		{Kind: paxos.OpPut, Key: key, Value: MustEncode(outbox.Receipt{Fingerprint: sum, Status: http.StatusOK, Version: c.Version})},
		{Kind: paxos.OpPut, Key: ConfigVersionKey, Value: UintValue(c.Version)},
		{Kind: paxos.OpAppend, Key: OutboxKeyPrefix, Value: MustEncode(outbox.Row{Notification: n, State: outbox.Pending})},
	}}
	if base == 0 {
		t.Conditions = []paxos.Condition{{Key: ConfigVersionKey, Absent: true}}
		t.Ops = append(t.Ops, paxos.Op{Kind: paxos.OpPut, Key: ConfigDataKey, Value: paxos.Bytes(raw)})
	} else {
		t.Conditions = []paxos.Condition{{Key: ConfigVersionKey, Equals: UintValue(base)}}
		t.Ops = append(t.Ops, paxos.Op{Kind: paxos.OpPatch, Key: ConfigDataKey, Value: paxos.Bytes(statemachine.MakePatch(old, raw))})
	}
	t.Ops = append(t.Ops, compactReceipts(m)...)
	// In a storm orders outrun the publisher, who sweeps the rows otherwise.
	rows := m.KeysWithPrefix(OutboxKeyPrefix, OutboxKeyPrefix)
	for i := 0; i+MaxOutboxRows <= len(rows); i++ {
		t.Ops = append(t.Ops, paxos.Op{Kind: paxos.OpDelete, Key: rows[i]})
	}
	return t
}

// ReadNodes lists the directory of nodes.
func ReadNodes(m *paxos.Replica) []distribution.Node {
	var out []distribution.Node
	for _, k := range m.Keys() {
		if strings.HasPrefix(k, NodeKeyPrefix) {
			var n distribution.Node
			if v, _ := m.Get(k); rpc.Unmarshal(v.Bytes, &n) == nil {
				out = append(out, n)
			}
		}
	}
	return out
}

func ReadIndexes(m *paxos.Replica) map[string]IndexRecord {
	out := map[string]IndexRecord{}
	for _, k := range m.Keys() {
		if strings.HasPrefix(k, IndexKeyPrefix) {
			var r IndexRecord
			if v, _ := m.Get(k); rpc.Unmarshal(v.Bytes, &r) == nil {
				out[strings.TrimPrefix(k, IndexKeyPrefix)] = r
			}
		}
	}
	return out
}

func ReadEjections(name string, m *paxos.Replica) distribution.EjectionMarks {
	out := distribution.EjectionMarks{IndexName: name, LogIndex: m.AppliedIndex(), Ejected: map[string]distribution.EjectionMark{}}
	for _, k := range m.Keys() {
		v, _ := m.Get(k)
		switch {
		case strings.HasPrefix(k, EjectionKeyPrefix):
			var mk distribution.EjectionMark
			if rpc.Unmarshal(v.Bytes, &mk) == nil {
				out.Ejected[strings.TrimPrefix(k, EjectionKeyPrefix)] = mk
			}
		case k == ShardSetKey:
			var c ShardSetRecord
			if rpc.Unmarshal(v.Bytes, &c) == nil {
				out.Services = c.Services
			}
		}
	}
	return out
}

// GroupRoutesByServices groups the routes of a configuration into indexes: the routes that
// name the same services. The key is the sorted services.
func GroupRoutesByServices(c *routing.Configuration) map[string][]string {
	out := map[string][]string{}
	for i := range c.Routes {
		names := append([]string(nil), c.Routes[i].ServiceNames()...)
		sort.Strings(names)
		key := strings.Join(names, "\x00")
		out[key] = append(out[key], c.Routes[i].Name)
	}
	for _, r := range out {
		sort.Strings(r)
	}
	return out
}

// AssignIndexes decides which index each group of routes belongs to. An index follows
// its routes: a group keeps the index with which it shares the most, then the
// one that has its services; what is left gets new ones or loses its index.
func AssignIndexes(old map[string]IndexRecord, groups map[string][]string) (kept map[string]string, fresh []string, gone []string) {
	kept = map[string]string{} // index -> group
	home := map[string]string{}
	for name, r := range old {
		for _, route := range r.Routes {
			home[route] = name
		}
	}
	type link struct {
		index, group string
		shared       int
	}
	var links []link
	for g, routes := range groups {
		n := map[string]int{}
		for _, r := range routes {
			if ix := home[r]; ix != "" {
				n[ix]++
			}
		}
		for ix, k := range n {
			links = append(links, link{ix, g, k * 2})
		}
		for ix, r := range old {
			if strings.Join(r.Services, "\x00") == g {
				links = append(links, link{ix, g, n[ix]*2 + 1})
			}
		}
	}
	sort.Slice(links, func(i, j int) bool {
		a, b := links[i], links[j]
		if a.shared != b.shared {
			return a.shared > b.shared
		}
		if a.index != b.index {
			return a.index < b.index
		}
		return a.group < b.group
	})
	done := map[string]bool{}
	for _, l := range links {
		if _, used := kept[l.index]; !used && !done[l.group] {
			kept[l.index] = l.group
			done[l.group] = true
		}
	}
	for g := range groups {
		if !done[g] {
			fresh = append(fresh, g)
		}
	}
	for ix := range old {
		if _, ok := kept[ix]; !ok {
			gone = append(gone, ix)
		}
	}
	sort.Strings(fresh)
	sort.Strings(gone)
	return kept, fresh, gone
}

type LeaseRecord struct {
	Holder   paxos.ReplicaID `cbor:"1,keyasint"`
	Term     uint64          `cbor:"2,keyasint"`
	Renewals uint64          `cbor:"3,keyasint"`
}

func IndexCellName(n int64) string { return "i" + strconv.FormatInt(n, 10) }

const (
	MaxPublishedRows = 128                                   // rows that were sent
	MaxUnsentRows    = 128                                   // and that were not; what those before speak of is in the state
	MaxOutboxRows    = MaxPublishedRows + MaxUnsentRows + 64 // in any state
)

// StoredRow is a row of the outbox under its key.
type StoredRow struct {
	Key string
	Raw []byte
	Row outbox.Row
}

// DecodeRow reads a row. What is appended at a log position gets its version and its event
// id from there.
func DecodeRow(key string, raw []byte) (StoredRow, bool) {
	k := StoredRow{Key: key, Raw: raw}
	if rpc.Unmarshal(raw, &k.Row) != nil {
		return k, false
	}
	if n := &k.Row.Notification; n.Aggregate == outbox.AggregatePurges {
		n.Version, n.EventID = LogIndexOfKey(key, OutboxKeyPrefix), outbox.AggregatePurges+"/"+strings.TrimPrefix(key, OutboxKeyPrefix)
	}
	return k, true
}

func OutboxRows(m *paxos.Replica) (rows []StoredRow) {
	for _, k := range m.KeysWithPrefix(OutboxKeyPrefix, OutboxKeyPrefix) {
		v, _ := m.Get(k)
		if r, ok := DecodeRow(k, v.Bytes); ok {
			rows = append(rows, r)
		}
	}
	return rows
}

// LogIndexOfKey reads the log position out of the key of an appended value.
func LogIndexOfKey(key, prefix string) uint64 {
	at, _, _ := strings.Cut(strings.TrimPrefix(key, prefix), "/")
	n, _ := strconv.ParseUint(at, 10, 64)
	return n
}

func UsageReportKey(window uint64) string {
	return fmt.Sprintf("%s%020d", UsageReportKeyPrefix, window)
}

func UsageReportRows(m *paxos.Replica) (rows []StoredRow) {
	for _, k := range m.KeysWithPrefix(UsageReportKeyPrefix, UsageReportKeyPrefix) {
		v, _ := m.Get(k)
		if row, ok := DecodeRow(k, v.Bytes); ok {
			rows = append(rows, row)
		}
	}
	return rows
}

func EqualEncoding(a, b any) bool {
	x, err1 := rpc.Marshal(a)
	y, err2 := rpc.Marshal(b)
	return err1 == nil && err2 == nil && bytes.Equal(x, y)
}
