package replicahost

import (
	"os"
	"path/filepath"
	"testing"

	"comethold/internal/controlplane/schema"
	"comethold/internal/paxos"
	"comethold/internal/storage"
)

// TestFounderIdentity: the ID of a founder and its part of the first cell are on the disk
// together, and an ID that may have voted before a file was put aside is not used again.
func TestFounderIdentity(t *testing.T) {
	founders := []paxos.Voter{{ID: "a", Addr: "a"}, {ID: "b", Addr: "b"}, {ID: "c", Addr: "c"}}
	start := func(dir string, first bool) (paxos.ReplicaID, bool) {
		v, err := storage.Open(dir, storage.LocalDisk{}, func(error) {})
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = v.Close() }()
		id, _, err := LoadOrCreateIdentity(v, IdentityOptions{
			Address:        "a",
			FirstStart:     first,
			HasCorruptFile: storage.HasCorruptFile(dir),
			InitialVoters:  founders,
		})
		if err != nil {
			t.Fatal(err)
		}
		s, found, err := v.LoadReplica(schema.MetaCell)
		if err != nil || !found || s.Snapshot == nil {
			return id, false
		}
		return id, paxos.Membership{Voters: s.Snapshot.Memberships[0].Voters}.Contains(id)
	}
	dir := t.TempDir()
	for _, first := range []bool{true, false} {
		if id, voter := start(dir, first); id != "a" || !voter {
			t.Errorf("first start %v: %s, voter %v", first, id, voter)
		}
	}
	dir = t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "vault.db"), []byte("no vault"), 0o600); err != nil {
		t.Fatal(err)
	}
	if id, voter := start(dir, true); id == "a" || voter {
		t.Errorf("after damage: %s, voter %v", id, voter)
	}
}
