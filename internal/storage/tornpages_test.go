package storage

import (
	"fmt"
	"math/rand"
	"os"
	"path/filepath"
	"testing"

	"comethold/internal/paxos"
)

const (
	syncs         = 60
	snapshotEvery = 20
	sectorBytes   = 512 // a disk writes a sector completely or not at all
	metaPages     = 2   // at the start of the file; they point to the root of the tree
)

// TestTornPages guards against the loss of acknowledged data when the power fails between two syncs. Each sector that
// was written since the last sync is then either on the disk or not. bbolt writes a meta page only after all other
// pages are synced, so either only meta pages are torn, or only other pages.
func TestTornPages(t *testing.T) {
	rng := rand.New(rand.NewSource(1))
	contents := contentsAfterSyncs(t, rng)
	for i := 0; i+1 < len(contents); i++ {
		for _, metaTorn := range []bool{false, true} {
			torn := tornContent(rng, contents[i], contents[i+1], metaTorn)
			checkTornFile(t, torn, uint64(i+1), metaTorn)
		}
	}
}

// contentsAfterSyncs returns the content of the file after each submitted write is synced.
func contentsAfterSyncs(t *testing.T, rng *rand.Rand) (contents [][]byte) {
	t.Helper()
	dir := t.TempDir()
	store, err := Open(dir, LocalDisk{}, func(err error) { t.Error("the store reported a fault, want none:", err) })
	if err != nil {
		t.Fatal(err)
	}
	if err := store.SetNodeValue("identity", []byte("a")); err != nil {
		t.Fatal(err)
	}
	for index := uint64(1); index <= syncs; index++ {
		value := paxos.Bytes(make([]byte, rng.Intn(9000)))
		txn := paxos.Txn{ID: fmt.Sprint(index), Ops: []paxos.Op{{Kind: paxos.OpPut, Key: "k", Value: value}}}
		writes := paxos.Writes{
			Promised:    &paxos.ProposalNumber{Term: index, Proposer: "a"},
			Entries:     []paxos.Entry{{Index: index, Txns: []paxos.Txn{txn}}},
			CommitIndex: index - 1,
		}
		if index%snapshotEvery == 0 { // the snapshot replaces the entries before index
			state := map[string]paxos.Value{"k": paxos.Bytes(make([]byte, 30000))}
			writes.Snapshot = &paxos.Snapshot{AppliedIndex: index - 1, State: state}
			writes.TruncateTo = index - 1
		}
		store.submitAndWait("c", writes)
		raw, err := os.ReadFile(filepath.Join(dir, fileName))
		if err != nil {
			t.Fatal(err)
		}
		contents = append(contents, raw)
	}
	if err := store.Close(); err != nil {
		t.Fatal(err)
	}
	return contents
}

// tornContent returns a possible content of the file after a loss of power between two syncs: the new content with some
// old sectors. With metaTorn only sectors of the meta pages may be old; without it, all meta pages are old, and sectors
// of other pages may be.
func tornContent(rng *rand.Rand, before, after []byte, metaTorn bool) []byte {
	metaBytes := metaPages * os.Getpagesize()
	torn := append([]byte(nil), after...)
	for at := 0; at < len(torn); at += sectorBytes {
		old := rng.Intn(2) == 0
		if isMeta := at < metaBytes; isMeta != metaTorn {
			old = isMeta
		}
		if !old {
			continue
		}
		end := min(at+sectorBytes, len(torn))
		clear(torn[at:end])
		if at < len(before) {
			copy(torn[at:end], before[at:min(end, len(before))])
		}
	}
	return torn
}

// checkTornFile opens a torn file and checks that it holds all acknowledged data: the identity, and the last synced
// entry and promise. acknowledged is both the index of that entry and the term of that promise.
func checkTornFile(t *testing.T, torn []byte, acknowledged uint64, metaTorn bool) {
	t.Helper()
	name := fmt.Sprintf("after sync %d, meta pages torn %v", acknowledged, metaTorn)
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, fileName), torn, 0o600); err != nil {
		t.Fatal(err)
	}
	store, err := Open(dir, LocalDisk{}, func(err error) { t.Errorf("%s: Open reported %v, want no fault", name, err) })
	if err != nil || string(store.NodeValue("identity")) != "a" {
		t.Fatalf("%s: Open returned %v, want nil and identity a", name, err)
	}
	state, found, err := store.LoadReplica("c")
	held := state.Snapshot != nil && state.Snapshot.AppliedIndex >= acknowledged
	for _, entry := range state.Entries {
		held = held || entry.Index == acknowledged
	}
	if err != nil || !found || !held || state.Promised.Term < acknowledged {
		t.Fatalf("%s: found %v, entry held %v, promised term %d, error %v; want all acknowledged data", name, found, held,
			state.Promised.Term, err)
	}
	if err := store.Close(); err != nil {
		t.Fatal(err)
	}
}
