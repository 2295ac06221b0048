package distribution

import (
	"fmt"
	"maps"
	"math/rand"
	"testing"
)

func keepAll(Endpoint) bool { return true }

func endpointID(e Endpoint) string { return e.ID }

// testSender is a control node that sends endpoint lists out of its DeltaTable.
type testSender struct {
	table  DeltaTable[Endpoint]
	stored Revision // the revision that it starts again with
}

// testReceiver is a node that holds the endpoints of one revision.
type testReceiver struct {
	revision  Revision
	endpoints map[string]Endpoint
}

// changeEndpoints adds, changes or removes up to two endpoints.
func changeEndpoints(rng *rand.Rand, endpoints map[string]Endpoint) {
	for range rng.Intn(3) {
		id := fmt.Sprint("l", rng.Intn(12))
		if _, ok := endpoints[id]; ok && rng.Intn(2) == 0 {
			delete(endpoints, id)
		} else {
			endpoints[id] = Endpoint{ID: id, Draining: rng.Intn(2) == 0}
		}
	}
}

// nextRevision follows last; now and then another node makes the lists, in a new term.
func nextRevision(rng *rand.Rand, last Revision) Revision {
	if rng.Intn(20) == 0 {
		return Revision{Term: last.Term + 1, Sequence: 1}
	}
	return Revision{Term: last.Term, Sequence: last.Sequence + 1}
}

// advance has the sender restart, take the newest list, or miss it.
func (s *testSender) advance(rng *rand.Rand, newest Revision, lists map[Revision]map[string]Endpoint) {
	switch {
	case rng.Intn(25) == 0: // it restarts
		stored := s.stored
		*s = testSender{stored: stored}
		if stored != (Revision{}) {
			s.table.Set(stored, lists[stored])
		}
	case rng.Intn(3) > 0:
		s.table.Set(newest, lists[newest])
		if rng.Intn(3) == 0 {
			s.stored = newest
		}
	}
}

// listFor is the sender's answer to a receiver of the revision held.
func (s *testSender) listFor(held Revision) *EndpointList {
	list := &EndpointList{Revision: s.table.Revision(), Base: held}
	list.Endpoints, list.Removed, list.Delta = s.table.ChangesSince(held, keepAll)
	return list
}

// apply takes the list if it applies, and reports whether it did.
func (r *testReceiver) apply(list *EndpointList) bool {
	if !list.AppliesTo(r.revision, r.endpoints != nil) {
		return false
	}
	r.revision = list.Revision
	r.endpoints = ApplyChanges(r.endpoints, list.Endpoints, list.Removed, list.Delta, endpointID)
	return true
}

// TestDeltaTableConverges: senders get some of the lists, restart with one that they
// stored, and receivers move between them at any time. A receiver of a revision holds
// exactly the list of that revision.
func TestDeltaTableConverges(t *testing.T) {
	for seed := range int64(30) {
		rng := rand.New(rand.NewSource(seed))
		lists := map[Revision]map[string]Endpoint{}
		current := map[string]Endpoint{}
		newest := Revision{Term: 1}
		senders := []*testSender{{}, {}, {}}
		receivers := []*testReceiver{{}, {}, {}, {}}
		late := []*EndpointList{} // answers to the first receiver that arrive after a later one
		for step := range 400 {
			newest = nextRevision(rng, newest)
			changeEndpoints(rng, current)
			lists[newest] = maps.Clone(current)
			for _, s := range senders {
				s.advance(rng, newest, lists)
			}
			for i, r := range receivers {
				s := senders[rng.Intn(len(senders))]
				if !r.revision.Less(s.table.Revision()) {
					continue
				}
				list := s.listFor(r.revision)
				if i == 0 && rng.Intn(3) == 0 {
					late = append(late, list)
					continue
				}
				if len(late) > 0 && i == 0 {
					late, list = late[1:], late[0]
				}
				if r.apply(list) && !maps.Equal(r.endpoints, lists[r.revision]) {
					t.Fatalf("seed %d step %d: receiver %d holds %v at %v, the list was %v",
						seed, step, i, r.endpoints, r.revision, lists[r.revision])
				}
			}
		}
	}
}

// TestDeltaTableForgetsOldRevisions: changes are sent to receivers of recent revisions only.
func TestDeltaTableForgetsOldRevisions(t *testing.T) {
	var table DeltaTable[Endpoint]
	for i := range uint64(maxKnownRevisions + 5) {
		table.Set(Revision{Sequence: i + 1}, map[string]Endpoint{"a": {ID: fmt.Sprint(i)}})
	}
	if _, _, delta := table.ChangesSince(Revision{Sequence: 2}, keepAll); delta {
		t.Error("changes were sent since a revision that is forgotten")
	}
	changed, _, delta := table.ChangesSince(Revision{Sequence: maxKnownRevisions}, keepAll)
	if !delta || len(changed) != 1 {
		t.Errorf("got %v, delta %v; want one change", changed, delta)
	}
}
