package storage

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"comethold/internal/paxos"
)

// openStore opens a store on the local disk; empty means that it must hold no identity of the node.
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

// submitAndWait returns after writes are synced.
func (s *Store) submitAndWait(cell string, writes paxos.Writes) {
	synced := make(chan struct{})
	if !s.Submit(cell, writes, func() { close(synced) }) {
		<-synced
	}
}

// TestReopen: synced data is found again, a snapshot replaces the log entries that it covers, and a file that cannot
// be read is renamed and replaced by an empty one.
func TestReopen(t *testing.T) {
	dir := t.TempDir()
	store, empty := openStore(t, dir)
	if !empty {
		t.Fatal("a new store is not empty")
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
		t.Fatalf("found %v, empty %v: %v", found, empty, err)
	}
	if state.Promised.Term != 2 || state.CommitIndex != 2 || len(state.Entries) != 1 || state.Entries[0].Index != 3 ||
		!state.Snapshot.State["k"].Equal(paxos.Int(7)) {
		t.Fatalf("loaded %+v", state)
	}
	if _, found, _ := store.LoadReplica("unknown"); found {
		t.Fatal("a cell that was never there is found")
	}
	closeStore(t, store)

	if err := os.WriteFile(filepath.Join(dir, fileName), []byte("not a database"), 0o600); err != nil {
		t.Fatal(err)
	}
	var fault error
	store, err = Open(dir, LocalDisk{}, func(err error) { fault = err })
	if err != nil || !errors.Is(fault, ErrCorrupt) || !HasCorruptFile(dir) {
		t.Fatalf("opened with %v, reported is %v", err, fault)
	}
	if store.NodeValue("identity") != nil {
		t.Fatal("the store that replaces a corrupt file is not empty")
	}
	closeStore(t, store)
}

// TestFileNames: the name of the file never changes; a new version finds the data of the old one by it.
func TestFileNames(t *testing.T) {
	if fileName != "vault.db" || corruptFileName != "vault.db.damaged" {
		t.Errorf("the files are %s and %s", fileName, corruptFileName)
	}
}

// TestQueuedNodeValues: a queued value replaces an older one that is not written yet, and is durable once a write
// submitted later is synced.
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
		t.Errorf("the value is %q", got)
	}
	if err := store.Close(); err != nil {
		t.Fatal(err)
	}
}

// TestNothingToWaitFor: empty writes need no sync if the queue is empty, and a closed store accepts no writes.
func TestNothingToWaitFor(t *testing.T) {
	store, _ := openStore(t, t.TempDir())
	never := func() { t.Error("done is called") }
	if !store.Submit("c", paxos.Writes{CommitIndex: 7}, never) {
		t.Error("empty writes wait for a sync")
	}
	closeStore(t, store)
	if store.Submit("c", paxos.Writes{CommitIndex: 8}, never) {
		t.Error("a closed store reports writes as durable")
	}
}
