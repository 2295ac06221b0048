package registrar

import (
	"fmt"
	"math/big"
	"net/http"
	"sort"
	"strconv"
	"strings"

	"comethold/internal/cell"
	"comethold/internal/feed"
	"comethold/internal/notice"
	"comethold/internal/numbering"
	"comethold/internal/wire"
)

// ExchangeCell holds what is not any one index's: the operator's
// configuration, the directory of nodes, the list of index cells and the
// leases of duties.
const ExchangeCell = "exchange"

// Keys of the exchange cell.
const (
	keyVersion = "config/version"
	keyRaw     = "config/raw"
	keyReceipt = "receipt/" // + idempotency key: notice.Receipt
	// What is swept of the receipts is kept in short: + first version: archive.
	keyArchive   = "receipt-archive/"
	keyForgotten = "receipt-forgotten" // what was taken up to this version is not known any more
	keyNode      = "node/"             // + name: feed.Node
	keyIndex     = "index/"            // + name: indexRecord
	keyNextID    = "index-next"
	keyDuty      = "duty/"        // + name: dutyRecord
	keyRecall    = "recall/"      // + log position and transaction: []feed.Recall
	keyFloor     = "recall-floor" // recalls up to this position are forgotten
	keyShares    = "shares"       // map of node to feed.Share, for the rates of services
	keyQuotas    = "quota-shares" // the same for the tenants' quotas

	keyUsage      = "usage/"      // + window: notice.Row with the report
	keyOutbox     = "outbox/"     // + log position and transaction: notice.Row
	keyQuarantine = "quarantine/" // + event id: quarantined
	keyRedrive    = "redrive/"    // + number: redrive
)

// Keys of an index cell.
const (
	keyCut  = "cut"   // cutRecord
	keyMark = "mark/" // + leaf: feed.Mark
)

type indexRecord struct {
	Seats  []cell.Seat `cbor:"1,keyasint"` // the founders of its cell
	Routes []string    `cbor:"2,keyasint"`
	Cut    []string    `cbor:"3,keyasint"`
}

type cutRecord struct {
	Version uint64   `cbor:"1,keyasint"`
	Cut     []string `cbor:"2,keyasint"`
	Routes  []string `cbor:"3,keyasint"`
}

// receiptKey is the idempotency key of an order for a configuration: the operator sends
// none, so it is worked out from the version and the one that it builds on.
func receiptKey(version, base uint64) string {
	return fmt.Sprintf("%s%s/%020d/%d", keyReceipt, notice.Configuration, version, base)
}

// receiptOf returns the receipt under a key, or nil.
func receiptOf(m *cell.Member, key string) *notice.Receipt {
	var r notice.Receipt
	if v, ok := m.Get(key); ok && wire.Unmarshal(v.Bytes, &r) == nil {
		return &r
	}
	return nil
}

// Bounds of the memory of orders: it reaches back over keepReceipts and
// archiveSize·(keepArchives-1) changes at least; see TestOldOrders for its size.
const (
	keepReceipts = 128
	archiveSize  = 64 // receipts that are archived together
	keepArchives = 64
)

// archived is what is kept of a receipt in the end.
type archived struct {
	_           struct{} `cbor:",toarray"`
	Version     uint64
	Base        uint64
	Fingerprint []byte // the first archivedBytes of it
}

const archivedBytes = 8

// replayOf says what is known of an order: whether it was taken, or one that contradicts
// it. forgotten: it is too old for that.
func replayOf(m *cell.Member, version, base uint64, sum []byte) (replay notice.Replay, forgotten bool) {
	if rec := receiptOf(m, receiptKey(version, base)); rec != nil {
		return rec.Look(sum), false
	}
	if current, _ := configOf(m); version > current {
		return notice.Fresh, false
	}
	if v, ok := m.Get(keyForgotten); ok && v.Int != nil && v.Int.Uint64() >= version {
		return notice.Fresh, true
	}
	keys := m.KeysFrom(keyArchive, keyArchive)
	at := sort.SearchStrings(keys, archiveKey(version+1))
	if at == 0 {
		return notice.Fresh, false
	}
	for _, a := range archiveOf(m, keys[at-1]) {
		if a.Version == version && a.Base == base {
			return (&notice.Receipt{Fingerprint: a.Fingerprint}).Look(sum[:archivedBytes]), false
		}
	}
	return notice.Fresh, false
}

func archiveKey(first uint64) string { return fmt.Sprintf("%s%020d", keyArchive, first) }

func archiveOf(m *cell.Member, key string) (list []archived) {
	if v, ok := m.Get(key); ok && wire.Unmarshal(v.Bytes, &list) != nil {
		return nil
	}
	return list
}

// sweepReceipts archives the oldest receipts once there are enough of them, and forgets
// the oldest archive where there are too many. It goes with a change that is conditioned
// on the version, and these tables move only with the version.
func sweepReceipts(m *cell.Member) (ops []cell.Op) {
	receipts := m.KeysFrom(keyReceipt, keyReceipt)
	if len(receipts) < keepReceipts+archiveSize {
		return nil
	}
	var list []archived
	for _, k := range receipts[:archiveSize] {
		ops = append(ops, cell.Op{Kind: cell.OpDelete, Key: k})
		rec := receiptOf(m, k)
		_, base, _ := strings.Cut(strings.TrimPrefix(k, keyReceipt+notice.Configuration+"/"), "/")
		n, err := strconv.ParseUint(base, 10, 64)
		if rec != nil && err == nil && len(rec.Fingerprint) >= archivedBytes {
			list = append(list, archived{Version: rec.Version, Base: n, Fingerprint: rec.Fingerprint[:archivedBytes]})
		}
	}
	if len(list) > 0 {
		ops = append(ops, cell.Op{Kind: cell.OpPut, Key: archiveKey(list[0].Version), Value: encode(list)})
	}
	archives := m.KeysFrom(keyArchive, keyArchive)
	if len(archives) < keepArchives {
		return ops
	}
	ops = append(ops, cell.Op{Kind: cell.OpDelete, Key: archives[0]})
	if gone := archiveOf(m, archives[0]); len(gone) > 0 {
		last := gone[len(gone)-1].Version
		ops = append(ops, cell.Op{Kind: cell.OpPut, Key: keyForgotten, Value: uintValue(last)})
	}
	return ops
}

func encode(v any) cell.Value {
	b, err := wire.Marshal(v)
	if err != nil {
		panic(err) // our own records always encode
	}
	return cell.Bytes(b)
}

func uintValue(n uint64) cell.Value { return cell.Value{Int: new(big.Int).SetUint64(n)} }

func configOf(m *cell.Member) (uint64, []byte) {
	v, ok := m.Get(keyVersion)
	if !ok || v.Int == nil {
		return 0, nil
	}
	raw, _ := m.Get(keyRaw)
	return v.Int.Uint64(), raw.Bytes
}

// configTxn makes the transaction that puts a configuration on top of base: the receipt
// of the order, the change and the notice of it become durable together, or none does.
// sum is the fingerprint of the order as it was sent.
func configTxn(m *cell.Member, c *numbering.Configuration, raw, sum []byte, changed []string) cell.Txn {
	base, old := configOf(m)
	key := receiptKey(c.Version, base)
	n, err := notice.New(fmt.Sprintf("%s/%d", notice.Configuration, c.Version), notice.Configuration, c.Version, base, notice.Changed{Tenants: changed})
	if err != nil {
		panic(err) // our own records always encode
	}
	t := cell.Txn{Ops: []cell.Op{
		{Kind: cell.OpPut, Key: key, Value: encode(notice.Receipt{Fingerprint: sum, Status: http.StatusOK, Version: c.Version})},
		{Kind: cell.OpPut, Key: keyVersion, Value: uintValue(c.Version)},
		{Kind: cell.OpAppend, Key: keyOutbox, Value: encode(notice.Row{Notice: n, State: notice.Pending})},
	}}
	if base == 0 {
		t.Conditions = []cell.Condition{{Key: keyVersion, Absent: true}}
		t.Ops = append(t.Ops, cell.Op{Kind: cell.OpPut, Key: keyRaw, Value: cell.Bytes(raw)})
	} else {
		t.Conditions = []cell.Condition{{Key: keyVersion, Equals: uintValue(base)}}
		t.Ops = append(t.Ops, cell.Op{Kind: cell.OpPatch, Key: keyRaw, Value: cell.Bytes(cell.MakePatch(old, raw))})
	}
	t.Ops = append(t.Ops, sweepReceipts(m)...)
	// In a storm orders outrun the publisher, who sweeps the rows otherwise.
	rows := m.KeysFrom(keyOutbox, keyOutbox)
	for i := 0; i+mostRows <= len(rows); i++ {
		t.Ops = append(t.Ops, cell.Op{Kind: cell.OpDelete, Key: rows[i]})
	}
	return t
}

// nodesOf lists the directory of nodes.
func nodesOf(m *cell.Member) []feed.Node {
	var out []feed.Node
	for _, k := range m.Keys() {
		if strings.HasPrefix(k, keyNode) {
			var n feed.Node
			if v, _ := m.Get(k); wire.Unmarshal(v.Bytes, &n) == nil {
				out = append(out, n)
			}
		}
	}
	return out
}

func indexesOf(m *cell.Member) map[string]indexRecord {
	out := map[string]indexRecord{}
	for _, k := range m.Keys() {
		if strings.HasPrefix(k, keyIndex) {
			var r indexRecord
			if v, _ := m.Get(k); wire.Unmarshal(v.Bytes, &r) == nil {
				out[strings.TrimPrefix(k, keyIndex)] = r
			}
		}
	}
	return out
}

func marksOf(name string, m *cell.Member) feed.Marks {
	out := feed.Marks{Index: name, Slot: m.Applied(), Drained: map[string]feed.Mark{}}
	for _, k := range m.Keys() {
		v, _ := m.Get(k)
		switch {
		case strings.HasPrefix(k, keyMark):
			var mk feed.Mark
			if wire.Unmarshal(v.Bytes, &mk) == nil {
				out.Drained[strings.TrimPrefix(k, keyMark)] = mk
			}
		case k == keyCut:
			var c cutRecord
			if wire.Unmarshal(v.Bytes, &c) == nil {
				out.Cut = c.Cut
			}
		}
	}
	return out
}

// cutOf groups the routes of a configuration into indexes: the routes that
// name the same services. The key is the sorted services.
func cutOf(c *numbering.Configuration) map[string][]string {
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

// recut decides which index each group of routes belongs to. An index follows
// its routes: a group keeps the index with which it shares the most, then the
// one that has its services; what is left gets new ones or loses its index.
func recut(old map[string]indexRecord, groups map[string][]string) (kept map[string]string, fresh []string, gone []string) {
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
			if strings.Join(r.Cut, "\x00") == g {
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
