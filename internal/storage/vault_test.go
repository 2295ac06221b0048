package storage

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"comethold/internal/paxos"
)

func openStore(t *testing.T, dir string) (*Store, bool) {
	t.Helper()
	v, err := Open(dir, LocalDisk{}, func(err error) { t.Log(err) })
	if err != nil {
		t.Fatal(err)
	}
	return v, v.NodeValue("identity") == nil
}

func (v *Store) submitAndWait(name string, w paxos.Writes) {
	done := make(chan struct{})
	if !v.Submit(name, w, func() { close(done) }) {
		<-done
	}
}

// TestReopen: what was synced is found again, a snapshot takes the place of the
// log below it, and a file that cannot be read is put aside.
func TestReopen(t *testing.T) {
	dir := t.TempDir()
	v, empty := openStore(t, dir)
	if !empty {
		t.Fatal("a new vault is not empty")
	}
	if err := v.SetNodeValue("identity", []byte("me")); err != nil {
		t.Fatal(err)
	}
	entry := func(slot uint64) paxos.Entry {
		return paxos.Entry{
			Index:          slot,
			ProposalNumber: paxos.ProposalNumber{Term: 2, Proposer: "a"},
			Txns:           []paxos.Txn{{ID: "t"}},
		}
	}
	v.submitAndWait("c", paxos.Writes{
		Promised:    &paxos.ProposalNumber{Term: 2, Proposer: "a"},
		Entries:     []paxos.Entry{entry(1), entry(2), entry(3)},
		CommitIndex: 2,
	})
	v.submitAndWait("c", paxos.Writes{
		Snapshot:    &paxos.Snapshot{AppliedIndex: 2, State: map[string]paxos.Value{"k": paxos.Int(7)}},
		TruncateTo:  2,
		CommitIndex: 2,
	})
	v.submitAndWait("d", paxos.Writes{Entries: []paxos.Entry{entry(9)}})
	if err := v.Close(); err != nil {
		t.Fatal(err)
	}

	v, empty = openStore(t, dir)
	s, found, err := v.LoadReplica("c")
	if err != nil || !found || empty || string(v.NodeValue("identity")) != "me" {
		t.Fatalf("found %v, empty %v: %v", found, empty, err)
	}
	if s.Promised.Term != 2 || s.CommitIndex != 2 || len(s.Entries) != 1 || s.Entries[0].Index != 3 || !s.Snapshot.State["k"].Equal(paxos.Int(7)) {
		t.Fatalf("loaded %+v", s)
	}
	if _, found, _ := v.LoadReplica("nobody's"); found {
		t.Fatal("a cell that was never there is found")
	}
	if err := v.Close(); err != nil {
		t.Fatal(err)
	}

	if err := os.WriteFile(filepath.Join(dir, "vault.db"), []byte("not a vault"), 0o600); err != nil {
		t.Fatal(err)
	}
	var told error
	v, err = Open(dir, LocalDisk{}, func(err error) { told = err })
	if err != nil || !errors.Is(told, ErrCorrupt) || !HasCorruptFile(dir) {
		t.Fatalf("opened with %v, told %v", err, told)
	}
	defer v.Close()
	if v.NodeValue("identity") != nil {
		t.Fatal("a damaged vault is not taken for an empty one")
	}
}
