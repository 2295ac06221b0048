package storage

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"comethold/internal/paxos"
	"comethold/internal/simulation"
)

// TestDiskFaults: a store can't be opened on a full disk, or while another process has the file open, and the file is
// not renamed as corrupt; Close does not wait for a write that hangs.
func TestDiskFaults(t *testing.T) { synctest.Test(t, testDiskFaults) }

func testDiskFaults(t *testing.T) {
	dir := t.TempDir()
	disk := &simulation.FaultyDisk{Base: LocalDisk{}, Random: func() float64 { return 0 }}
	noFault := func(err error) { t.Error(err) }
	disk.SetFault(simulation.Full)
	for range 3 {
		if _, err := Open(dir, disk, noFault); !errors.Is(err, simulation.ErrDiskFull) {
			t.Fatalf("opened on a full disk: %v", err)
		}
	}
	disk.SetFault(simulation.NoFault)
	store, err := Open(dir, disk, func(err error) {
		if !errors.Is(err, simulation.ErrPowerLost) {
			t.Error(err)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Open(dir, disk, noFault); err == nil || errors.Is(err, ErrCorrupt) || HasCorruptFile(dir) {
		t.Fatalf("a file that another process holds: %v", err)
	}

	disk.SetFault(simulation.Hanging)
	writes := paxos.Writes{Promised: &paxos.ProposalNumber{Term: 1}}
	store.Submit("c", writes, func() { t.Error("synced by a disk that hangs") })
	for committing := false; !committing; time.Sleep(time.Millisecond) {
		store.commits.mu.Lock()
		committing = store.commits.committing
		store.commits.mu.Unlock()
	}
	// bbolt writes under a lock that readers need, so LoadReplica must not read the file for a new cell.
	if _, found, err := new(Store).LoadReplica("new"); found || err != nil {
		t.Errorf("a new cell: found %v, %v", found, err)
	}
	if err := store.Close(); !errors.Is(err, ErrUnresponsive) {
		t.Fatalf("closed: %v", err)
	}
	disk.EndProcess()
	disk.SetFault(simulation.NoFault)
	<-store.commits.stopped
}
