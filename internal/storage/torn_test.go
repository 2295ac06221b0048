package storage

import (
	"fmt"
	"math/rand"
	"os"
	"path/filepath"
	"testing"

	"comethold/internal/paxos"
)

// TestTornPages: power fails between two syncs. Of what was written since the last one
// each sector is there or not; the pages that hold the roots are written after all
// others are synced, and may be torn. Everything that was acknowledged is found.
func TestTornPages(t *testing.T) {
	dir := t.TempDir()
	file := filepath.Join(dir, "vault.db")
	v, err := Open(dir, LocalDisk{}, func(err error) { t.Error(err) })
	if err != nil {
		t.Fatal(err)
	}
	if err := v.SetNodeValue("identity", []byte("a")); err != nil {
		t.Fatal(err)
	}
	rng := rand.New(rand.NewSource(1))
	var states [][]byte
	for slot := uint64(1); slot <= 60; slot++ {
		w := paxos.Writes{CommitIndex: slot - 1, Promised: &paxos.ProposalNumber{
			Term:     slot,
			Proposer: "a",
		}, Entries: []paxos.Entry{{
			Index: slot,
			Txns: []paxos.Txn{
				{
					ID:  fmt.Sprint(slot),
					Ops: []paxos.Op{{Kind: paxos.OpPut, Key: "k", Value: paxos.Bytes(make([]byte, rng.Intn(9000)))}},
				},
			},
		}}}
		if slot%20 == 0 { // a snapshot takes the place of what came before
			w.Snapshot, w.TruncateTo = &paxos.Snapshot{
				AppliedIndex: slot - 1,
				State:        map[string]paxos.Value{"k": paxos.Bytes(make([]byte, 30000))},
			}, slot-1
		}
		v.submitAndWait("c", w)
		raw, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		states = append(states, raw)
	}
	if err := v.Close(); err != nil {
		t.Fatal(err)
	}
	roots := 2 * os.Getpagesize()
	const sector = 512
	for i := 0; i+1 < len(states); i++ {
		for _, rootsToo := range []bool{false, true} {
			old, new := states[i], states[i+1]
			torn := append([]byte(nil), new...)
			for at := 0; at < len(torn); at += sector {
				kept := rng.Intn(2) == 0
				if at < roots != rootsToo { // roots change last, and only once all else is there
					kept = at < roots
				}
				if kept {
					end := min(at+sector, len(torn))
					clear(torn[at:end])
					if at < len(old) {
						copy(torn[at:end], old[at:min(end, len(old))])
					}
				}
			}
			where := t.TempDir()
			if err := os.WriteFile(filepath.Join(where, "vault.db"), torn, 0o600); err != nil {
				t.Fatal(err)
			}
			v, err := Open(where, LocalDisk{}, func(err error) { t.Errorf("after sync %d, roots %v: %v", i+1, rootsToo, err) })
			if err != nil || string(v.NodeValue("identity")) != "a" {
				t.Fatalf("after sync %d, roots %v: %v", i+1, rootsToo, err)
			}
			s, found, err := v.LoadReplica("c")
			slot := uint64(i + 1)
			held := s.Snapshot != nil && s.Snapshot.AppliedIndex >= slot
			for _, e := range s.Entries {
				held = held || e.Index == slot
			}
			if err != nil || !found || !held || s.Promised.Term < slot {
				t.Fatalf(
					"after sync %d, roots %v: found %v, held %v, promised %d, %v",
					slot,
					rootsToo,
					found,
					held,
					s.Promised.Term,
					err,
				)
			}
			if err := v.Close(); err != nil {
				t.Fatal(err)
			}
		}
	}
}
