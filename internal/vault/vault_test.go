package vault

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"comethold/internal/cell"
)

func open2(t *testing.T, dir string) (*Vault, bool) {
	t.Helper()
	v, err := Open(dir, Files{}, func(err error) { t.Log(err) })
	if err != nil {
		t.Fatal(err)
	}
	return v, v.Node("identity") == nil
}

func (v *Vault) synced(name string, w cell.Writes) {
	done := make(chan struct{})
	if !v.Submit(name, w, func() { close(done) }) {
		<-done
	}
}

// TestVault: what was synced is found again, a snapshot takes the place of the
// log below it, and a file that cannot be read is put aside.
func TestVault(t *testing.T) {
	dir := t.TempDir()
	v, empty := open2(t, dir)
	if !empty {
		t.Fatal("a new vault is not empty")
	}
	if err := v.SetNode("identity", []byte("me")); err != nil {
		t.Fatal(err)
	}
	entry := func(slot uint64) cell.Entry {
		return cell.Entry{Slot: slot, Ballot: cell.Ballot{Round: 2, By: "a"}, Txns: []cell.Txn{{ID: "t"}}}
	}
	v.synced("c", cell.Writes{Promised: &cell.Ballot{Round: 2, By: "a"}, Entries: []cell.Entry{entry(1), entry(2), entry(3)}, Chosen: 2})
	v.synced("c", cell.Writes{Snap: &cell.Snapshot{Applied: 2, State: map[string]cell.Value{"k": cell.Int(7)}}, DropTo: 2, Chosen: 2})
	v.synced("d", cell.Writes{Entries: []cell.Entry{entry(9)}})
	if err := v.Close(); err != nil {
		t.Fatal(err)
	}

	v, empty = open2(t, dir)
	s, found, err := v.Load("c")
	if err != nil || !found || empty || string(v.Node("identity")) != "me" {
		t.Fatalf("found %v, empty %v: %v", found, empty, err)
	}
	if s.Promised.Round != 2 || s.Chosen != 2 || len(s.Entries) != 1 || s.Entries[0].Slot != 3 || !s.Snap.State["k"].Equal(cell.Int(7)) {
		t.Fatalf("loaded %+v", s)
	}
	if _, found, _ := v.Load("nobody's"); found {
		t.Fatal("a cell that was never there is found")
	}
	if err := v.Close(); err != nil {
		t.Fatal(err)
	}

	if err := os.WriteFile(filepath.Join(dir, "vault.db"), []byte("not a vault"), 0o600); err != nil {
		t.Fatal(err)
	}
	var told error
	v, err = Open(dir, Files{}, func(err error) { told = err })
	if err != nil || !errors.Is(told, ErrDamaged) || !SetAside(dir) {
		t.Fatalf("opened with %v, told %v", err, told)
	}
	defer v.Close()
	if v.Node("identity") != nil {
		t.Fatal("a damaged vault is not taken for an empty one")
	}
}
