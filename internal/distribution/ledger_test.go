package distribution

import (
	"fmt"
	"maps"
	"math/rand"
	"testing"
)

// TestDeltaTableConverges: registrars hear of some of the lists that the poller makes, start
// again with one stored from before, and holders change between them at any time.
// Whoever holds a stamp holds the list of that stamp, to the entry.
func TestDeltaTableConverges(t *testing.T) {
	for seed := range int64(30) {
		rng := rand.New(rand.NewSource(seed))
		truth := map[Revision]map[string]Endpoint{}
		cur := map[string]Endpoint{}
		at := Revision{Term: 1}
		type registrar struct {
			l    DeltaTable[Endpoint]
			disk Revision
		}
		type holder struct {
			at    Revision
			table map[string]Endpoint
		}
		regs := []*registrar{{}, {}, {}}
		holders := []*holder{{}, {}, {}, {}}
		late := []*EndpointList{} // an answer that comes after another
		for step := range 400 {
			at.Sequence++
			if rng.Intn(20) == 0 {
				at = Revision{Term: at.Term + 1, Sequence: 1} // the poller's duty changed hands
			}
			for range rng.Intn(3) {
				id := fmt.Sprint("l", rng.Intn(12))
				if _, ok := cur[id]; ok && rng.Intn(2) == 0 {
					delete(cur, id)
				} else {
					cur[id] = Endpoint{ID: id, Draining: rng.Intn(2) == 0}
				}
			}
			truth[at] = maps.Clone(cur)
			for _, r := range regs {
				switch {
				case rng.Intn(25) == 0: // it starts again at once
					old := r.disk
					*r = registrar{disk: old}
					if old != (Revision{}) {
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
				if !h.at.Less(r.l.Revision()) {
					continue
				}
				msg := &EndpointList{Revision: r.l.Revision(), Base: h.at}
				msg.Endpoints, msg.Removed, msg.Delta = r.l.ChangesSince(h.at, func(Endpoint) bool { return true })
				if i == 0 && rng.Intn(3) == 0 {
					late = append(late, msg)
					continue
				}
				if len(late) > 0 && i == 0 {
					late, msg = late[1:], late[0]
				}
				if !msg.AppliesTo(h.at, h.table != nil) {
					continue
				}
				h.at = msg.Revision
				h.table = ApplyChanges(h.table, msg.Endpoints, msg.Removed, msg.Delta, func(l Endpoint) string { return l.ID })
				if !maps.Equal(h.table, truth[h.at]) {
					t.Fatalf("seed %d step %d: holder %d has %v at %v, the list was %v", seed, step, i, h.table, h.at, truth[h.at])
				}
			}
		}
	}
}

// TestDeltaTableForgetsOldRevisions: changes are told to holders of recent tables only.
func TestDeltaTableForgetsOldRevisions(t *testing.T) {
	var l DeltaTable[Endpoint]
	for i := range uint64(maxKnownRevisions + 5) {
		l.Set(Revision{Sequence: i + 1}, map[string]Endpoint{"a": {ID: fmt.Sprint(i)}})
	}
	if _, _, delta := l.ChangesSince(Revision{Sequence: 2}, func(Endpoint) bool { return true }); delta {
		t.Error("changes are told since a table that is forgotten")
	}
	if c, _, delta := l.ChangesSince(Revision{Sequence: maxKnownRevisions}, func(Endpoint) bool { return true }); !delta || len(c) != 1 {
		t.Errorf("%v, delta %v", c, delta)
	}
}
