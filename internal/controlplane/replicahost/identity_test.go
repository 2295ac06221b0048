package replicahost

import (
	"os"
	"path/filepath"
	"testing"

	"comethold/internal/controlplane/schema"
	"comethold/internal/paxos"
	"comethold/internal/storage"
)

// TestInitialVoterIdentity guards against an initial voter whose ID is stored without the initial
// snapshot of the meta cell, and against the reuse of an ID that may have voted: after a corrupt
// file is renamed, the node must get a new ID even at the first start of the system.
func TestInitialVoterIdentity(t *testing.T) {
	initialVoters := []paxos.Voter{{ID: "a", Addr: "a"}, {ID: "b", Addr: "b"}, {ID: "c", Addr: "c"}}
	start := func(dir string, firstStart bool) (paxos.ReplicaID, bool) {
		store, err := storage.Open(dir, storage.LocalDisk{}, func(error) {})
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = store.Close() }()
		id, _, err := LoadOrCreateIdentity(store, IdentityOptions{
			Address:        "a",
			FirstStart:     firstStart,
			HasCorruptFile: storage.HasCorruptFile(dir),
			InitialVoters:  initialVoters,
		})
		if err != nil {
			t.Fatal(err)
		}
		state, found, err := store.LoadReplica(schema.MetaCell)
		if err != nil || !found || state.Snapshot == nil {
			return id, false
		}
		return id, paxos.Membership{Voters: state.Snapshot.Memberships[0].Voters}.Contains(id)
	}
	dir := t.TempDir()
	for _, firstStart := range []bool{true, false} {
		if id, isVoter := start(dir, firstStart); id != "a" || !isVoter {
			t.Errorf("start with FirstStart %v: got ID %q, stored as voter %v, want ID \"a\" and true", firstStart, id, isVoter)
		}
	}
	dir = t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "vault.db"), []byte("not a database"), 0o600); err != nil {
		t.Fatal(err)
	}
	if id, isVoter := start(dir, true); id == "a" || isVoter {
		t.Errorf("start with a corrupt file: got ID %q, stored as voter %v, want a new ID and false", id, isVoter)
	}
}
