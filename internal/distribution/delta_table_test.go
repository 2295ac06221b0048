package distribution

import (
	"fmt"
	"maps"
	"math/rand"
	"testing"
)

func keepAll(Endpoint) bool { return true }

func endpointID(e Endpoint) string { return e.ID }

// testSender is a control node that sends endpoint lists from its DeltaTable.
type testSender struct {
	table  DeltaTable[Endpoint]
	stored Revision // the revision that it loads when it restarts
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

// nextRevision returns a revision after last. One time in 20 it begins a new term, as if another
// node had become the holder of the singleton role that makes the lists.
func nextRevision(rng *rand.Rand, last Revision) Revision {
	if rng.Intn(20) == 0 {
		return Revision{Term: last.Term + 1, Sequence: 1}
	}
	return Revision{Term: last.Term, Sequence: last.Sequence + 1}
}

// advance makes the sender restart, receive the newest list, or miss it.
func (s *testSender) advance(rng *rand.Rand, newest Revision, lists map[Revision]map[string]Endpoint) {
	switch {
	case rng.Intn(25) == 0: // the sender restarts
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

// listFor returns the sender's response to a receiver that holds the revision held.
func (s *testSender) listFor(held Revision) *EndpointList {
	list := &EndpointList{Revision: s.table.Revision(), Base: held}
	list.Endpoints, list.Removed, list.Delta = s.table.ChangesSince(held, keepAll)
	return list
}

// apply applies the list if AppliesTo allows it, and reports whether it did.
func (r *testReceiver) apply(list *EndpointList) bool {
	if !list.AppliesTo(r.revision, r.endpoints != nil) {
		return false
	}
	r.revision = list.Revision
	r.endpoints = ApplyChanges(r.endpoints, list.Endpoints, list.Removed, list.Delta, endpointID)
	return true
}

// TestDeltaTableConverges: a receiver of a revision holds exactly the list of that revision.
// Guards against deltas that are wrong because a sender missed lists or restarted with a stored
// one, or because a receiver switched senders or got a response late.
func TestDeltaTableConverges(t *testing.T) {
	for seed := range int64(30) {
		rng := rand.New(rand.NewSource(seed))
		lists := map[Revision]map[string]Endpoint{}
		current := map[string]Endpoint{}
		newest := Revision{Term: 1}
		senders := []*testSender{{}, {}, {}}
		receivers := []*testReceiver{{}, {}, {}, {}}
		late := []*EndpointList{} // delayed responses to the first receiver
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
					t.Fatalf("seed %d step %d: receiver %d holds %v at revision %v, want %v",
						seed, step, i, r.endpoints, r.revision, lists[r.revision])
				}
			}
		}
	}
}

// TestDeltaTableDropsOldRevisions: ChangesSince returns a delta only since the last
// maxKnownRevisions revisions.
func TestDeltaTableDropsOldRevisions(t *testing.T) {
	var table DeltaTable[Endpoint]
	for i := range uint64(maxKnownRevisions + 5) {
		table.Set(Revision{Sequence: i + 1}, map[string]Endpoint{"a": {ID: fmt.Sprint(i)}})
	}
	if _, _, delta := table.ChangesSince(Revision{Sequence: 2}, keepAll); delta {
		t.Error("ChangesSince returned a delta since a dropped revision, want the full table")
	}
	changed, _, delta := table.ChangesSince(Revision{Sequence: maxKnownRevisions}, keepAll)
	if !delta || len(changed) != 1 {
		t.Errorf("ChangesSince returned %v, delta %v; want a delta of one change", changed, delta)
	}
}
