package registrar

import (
	"strings"

	"comethold/internal/cell"
	"comethold/internal/numbering"
	"comethold/internal/wire"
)

// config reads the configuration in force, or nil.
func (r *Registrar) config() *numbering.Configuration {
	var raw []byte
	r.host.ask(func() {
		if m := r.host.cells[ExchangeCell]; m != nil {
			_, raw = configOf(m)
		}
	})
	if raw == nil {
		return nil
	}
	cfg, err := numbering.Read(raw)
	if err != nil {
		return nil
	}
	return cfg
}

// cutDesk makes the index cells follow the committed configuration.
func (r *Registrar) cutDesk(done *uint64) {
	var version uint64
	var raw []byte
	var old map[string]indexRecord
	var next cell.Value
	var seats []cell.Seat
	r.host.ask(func() {
		if m := r.host.cells[ExchangeCell]; m != nil {
			version, raw = configOf(m)
			old = indexesOf(m)
			next, _ = m.Get(keyNextID)
			seats, _ = m.Seats()
		}
	})
	if version == 0 || version == *done {
		return
	}
	cfg, err := numbering.Read(raw)
	if err != nil {
		return
	}
	groups := cutOf(cfg)
	kept, fresh, gone := recut(old, groups)
	var t cell.Txn
	t.Conditions = []cell.Condition{{Key: keyVersion, Equals: cell.Int(int64(version))}}
	cut := func(group string) []string { return strings.Split(group, "\x00") }
	records := map[string]indexRecord{}
	for ix, g := range kept {
		rec := indexRecord{Seats: old[ix].Seats, Routes: groups[g], Cut: cut(g)}
		records[ix] = rec
		if !same(rec, old[ix]) {
			t.Ops = append(t.Ops, cell.Op{Kind: cell.OpPut, Key: keyIndex + ix, Value: encode(rec)})
		}
	}
	n := int64(0)
	if next.Int != nil {
		n = next.Int.Int64()
		t.Conditions = append(t.Conditions, cell.Condition{Key: keyNextID, Equals: next})
	} else {
		t.Conditions = append(t.Conditions, cell.Condition{Key: keyNextID, Absent: true})
	}
	for _, g := range fresh {
		n++
		ix := indexName(n)
		records[ix] = indexRecord{Seats: seats, Routes: groups[g], Cut: cut(g)}
		t.Ops = append(t.Ops, cell.Op{Kind: cell.OpPut, Key: keyIndex + ix, Value: encode(records[ix])})
	}
	for _, ix := range gone {
		t.Ops = append(t.Ops, cell.Op{Kind: cell.OpDelete, Key: keyIndex + ix})
	}
	if len(t.Ops) > 0 {
		if len(fresh) > 0 {
			t.Ops = append(t.Ops, cell.Op{Kind: cell.OpPut, Key: keyNextID, Value: cell.Int(n)})
		}
		if !r.propose(ExchangeCell, t) {
			return
		}
	}
	for ix, rec := range records {
		want := cutRecord{Version: version, Cut: rec.Cut, Routes: rec.Routes}
		var have cutRecord
		cond := cell.Condition{Key: keyCut, Absent: true}
		if v, ok := r.host.Get(ix, keyCut); ok {
			cond = cell.Condition{Key: keyCut, Equals: v}
			if wire.Unmarshal(v.Bytes, &have) == nil {
				if have.Version > version {
					continue // another holder knows a newer configuration
				}
				have.Version = version
				if same(have, want) {
					continue
				}
			}
		}
		if !r.propose(ix, cell.Txn{Conditions: []cell.Condition{cond}, Ops: []cell.Op{{Kind: cell.OpPut, Key: keyCut, Value: encode(want)}}}) {
			return // the cell lags; the configuration is in force all the same
		}
	}
	*done = version
}
