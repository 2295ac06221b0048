package storage

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"comethold/internal/paxos"
)

// openStore opens a store on the local disk. empty is true if the store holds no identity of the node.
func openStore(t *testing.T, dir string) (store *Store, empty bool) {
	t.Helper()
	store, err := Open(dir, LocalDisk{}, func(err error) { t.Log(err) })
	if err != nil {
		t.Fatal(err)
	}
	return store, store.NodeValue("identity") == nil
}

func closeStore(t *testing.T, store *Store) {
	t.Helper()
	if err := store.Close(); err != nil {
		t.Fatal(err)
	}
}

// submitAndWait submits writes and returns after they are synced.
func (s *Store) submitAndWait(cell string, writes paxos.Writes) {
	synced := make(chan struct{})
	if !s.Submit(cell, writes, func() { close(synced) }) {
		<-synced
	}
}

// TestReopen checks that a reopened store holds all synced data, that a snapshot replaces the log entries that it
// covers, and that a corrupt file is renamed and replaced by an empty one.
func TestReopen(t *testing.T) {
	dir := t.TempDir()
	store, empty := openStore(t, dir)
	if !empty {
		t.Fatal("Open in an empty directory returned a store with an identity, want none")
	}
	if err := store.SetNodeValue("identity", []byte("me")); err != nil {
		t.Fatal(err)
	}
	number := paxos.ProposalNumber{Term: 2, Proposer: "a"}
	entry := func(index uint64) paxos.Entry {
		return paxos.Entry{Index: index, ProposalNumber: number, Txns: []paxos.Txn{{ID: "t"}}}
	}
	store.submitAndWait("c", paxos.Writes{
		Promised:    &number,
		Entries:     []paxos.Entry{entry(1), entry(2), entry(3)},
		CommitIndex: 2,
	})
	store.submitAndWait("c", paxos.Writes{
		Snapshot:    &paxos.Snapshot{AppliedIndex: 2, State: map[string]paxos.Value{"k": paxos.Int(7)}},
		TruncateTo:  2,
		CommitIndex: 2,
	})
	store.submitAndWait("d", paxos.Writes{Entries: []paxos.Entry{entry(9)}})
	closeStore(t, store)

	store, empty = openStore(t, dir)
	state, found, err := store.LoadReplica("c")
	if err != nil || !found || empty || string(store.NodeValue("identity")) != "me" {
		t.Fatalf("reopened: found %v, store empty %v, error %v; want true, false, nil and identity me", found, empty, err)
	}
	if state.Promised.Term != 2 || state.CommitIndex != 2 || len(state.Entries) != 1 || state.Entries[0].Index != 3 ||
		!state.Snapshot.State["k"].Equal(paxos.Int(7)) {
		t.Fatalf("LoadReplica returned %+v, want term 2, commit index 2, only entry 3, and k = 7 in the snapshot", state)
	}
	if _, found, _ := store.LoadReplica("unknown"); found {
		t.Fatal("LoadReplica of a cell that was never stored returned found true, want false")
	}
	closeStore(t, store)

	if err := os.WriteFile(filepath.Join(dir, fileName), []byte("not a database"), 0o600); err != nil {
		t.Fatal(err)
	}
	var fault error
	store, err = Open(dir, LocalDisk{}, func(err error) { fault = err })
	if err != nil || !errors.Is(fault, ErrCorrupt) || !HasCorruptFile(dir) {
		t.Fatalf("Open of a corrupt file returned %v and reported %v, want nil, ErrCorrupt and a renamed file", err, fault)
	}
	if store.NodeValue("identity") != nil {
		t.Fatal("the store that replaces a corrupt file has an identity, want none")
	}
	closeStore(t, store)
}

// TestFileNames guards against a change of the file names, after which a new version would not find existing data.
func TestFileNames(t *testing.T) {
	if fileName != "vault.db" || corruptFileName != "vault.db.damaged" {
		t.Errorf("the files are named %s and %s, want vault.db and vault.db.damaged", fileName, corruptFileName)
	}
}

// TestQueuedNodeValues checks that a queued value replaces an older one that is not written yet, that it is durable
// once a write submitted later is synced, and that a closed store discards new values.
func TestQueuedNodeValues(t *testing.T) {
	dir := t.TempDir()
	store, _ := openStore(t, dir)
	for _, value := range []string{"1", "2", "3"} {
		store.QueueNodeValue("list", []byte(value))
	}
	store.submitAndWait("c", paxos.Writes{Promised: &paxos.ProposalNumber{Term: 1}})
	closeStore(t, store)
	store.QueueNodeValue("list", []byte("after the close"))
	store, _ = openStore(t, dir)
	if got := string(store.NodeValue("list")); got != "3" {
		t.Errorf("after reopening the value is %q, want 3", got)
	}
	if err := store.Close(); err != nil {
		t.Fatal(err)
	}
}

// TestSubmitEmptyWrites checks that empty writes need no sync if the queue is empty, and that a closed store does not
// report writes as durable.
func TestSubmitEmptyWrites(t *testing.T) {
	store, _ := openStore(t, t.TempDir())
	never := func() { t.Error("done was called, want no call") }
	if !store.Submit("c", paxos.Writes{CommitIndex: 7}, never) {
		t.Error("Submit of empty writes returned false, want true: there is no sync to wait for")
	}
	closeStore(t, store)
	if store.Submit("c", paxos.Writes{CommitIndex: 8}, never) {
		t.Error("Submit to a closed store returned true, want false")
	}
}
