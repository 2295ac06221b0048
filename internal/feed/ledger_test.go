package feed

import (
	"fmt"
	"maps"
	"math/rand"
	"testing"
)

// TestLedgers: registrars hear of some of the lists that the poller makes, start
// again with one stored from before, and holders change between them at any time.
// Whoever holds a stamp holds the list of that stamp, to the entry.
func TestLedgers(t *testing.T) {
	for seed := range int64(30) {
		rng := rand.New(rand.NewSource(seed))
		truth := map[Stamp]map[string]Leaf{}
		cur := map[string]Leaf{}
		at := Stamp{Term: 1}
		type registrar struct {
			l    Ledger[Leaf]
			disk Stamp
		}
		type holder struct {
			at    Stamp
			table map[string]Leaf
		}
		regs := []*registrar{{}, {}, {}}
		holders := []*holder{{}, {}, {}, {}}
		late := []*List{} // an answer that comes after another
		for step := range 400 {
			at.Rev++
			if rng.Intn(20) == 0 {
				at = Stamp{Term: at.Term + 1, Rev: 1} // the poller's duty changed hands
			}
			for range rng.Intn(3) {
				id := fmt.Sprint("l", rng.Intn(12))
				if _, ok := cur[id]; ok && rng.Intn(2) == 0 {
					delete(cur, id)
				} else {
					cur[id] = Leaf{ID: id, Draining: rng.Intn(2) == 0}
				}
			}
			truth[at] = maps.Clone(cur)
			for _, r := range regs {
				switch {
				case rng.Intn(25) == 0: // it starts again at once
					old := r.disk
					*r = registrar{disk: old}
					if old != (Stamp{}) {
						r.l.Set(old, truth[old])
					}
				case rng.Intn(3) > 0:
					r.l.Set(at, truth[at])
					if rng.Intn(3) == 0 {
						r.disk = at
					}
				}
			}
			for i, h := range holders {
				r := regs[rng.Intn(len(regs))]
				if !h.at.Less(r.l.At()) {
					continue
				}
				msg := &List{Stamp: r.l.At(), Base: h.at}
				msg.Leafs, msg.Gone, msg.Delta = r.l.Since(h.at, func(Leaf) bool { return true })
				if i == 0 && rng.Intn(3) == 0 {
					late = append(late, msg)
					continue
				}
				if len(late) > 0 && i == 0 {
					late, msg = late[1:], late[0]
				}
				if !msg.Fits(h.at, h.table != nil) {
					continue
				}
				h.at = msg.Stamp
				h.table = Merge(h.table, msg.Leafs, msg.Gone, msg.Delta, func(l Leaf) string { return l.ID })
				if !maps.Equal(h.table, truth[h.at]) {
					t.Fatalf("seed %d step %d: holder %d has %v at %v, the list was %v", seed, step, i, h.table, h.at, truth[h.at])
				}
			}
		}
	}
}

// TestLedgerForgets: changes are told to holders of recent tables only.
func TestLedgerForgets(t *testing.T) {
	var l Ledger[Leaf]
	for i := range uint64(keepStamps + 5) {
		l.Set(Stamp{Rev: i + 1}, map[string]Leaf{"a": {ID: fmt.Sprint(i)}})
	}
	if _, _, delta := l.Since(Stamp{Rev: 2}, func(Leaf) bool { return true }); delta {
		t.Error("changes are told since a table that is forgotten")
	}
	if c, _, delta := l.Since(Stamp{Rev: keepStamps}, func(Leaf) bool { return true }); !delta || len(c) != 1 {
		t.Errorf("%v, delta %v", c, delta)
	}
}
