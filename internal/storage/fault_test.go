package storage

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"comethold/internal/paxos"
	"comethold/internal/simulation"
)

// TestDiskFaults checks that Open fails on a full disk and on a file that is locked, without renaming the file as
// corrupt, and that Close does not wait for a write that hangs.
func TestDiskFaults(t *testing.T) { synctest.Test(t, testDiskFaults) }

func testDiskFaults(t *testing.T) {
	dir := t.TempDir()
	disk := &simulation.FaultyDisk{Base: LocalDisk{}, Random: func() float64 { return 0 }}
	failOnFault := func(err error) { t.Error("Open reported a fault, want none:", err) }
	disk.SetFault(simulation.DiskFull)
	for range 3 {
		if _, err := Open(dir, disk, failOnFault); !errors.Is(err, simulation.ErrDiskFull) {
			t.Fatalf("Open on a full disk returned %v, want ErrDiskFull", err)
		}
	}
	disk.SetFault(simulation.NoFault)
	store, err := Open(dir, disk, func(err error) {
		if !errors.Is(err, simulation.ErrPowerLost) {
			t.Error("the store reported a fault, want only ErrPowerLost:", err)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Open(dir, disk, failOnFault); err == nil || errors.Is(err, ErrCorrupt) || HasCorruptFile(dir) {
		t.Fatalf("Open of a locked file returned %v, want an error other than ErrCorrupt and no renamed file", err)
	}

	disk.SetFault(simulation.DiskHanging)
	writes := paxos.Writes{Promised: &paxos.ProposalNumber{Term: 1}}
	store.Submit("c", writes, func() { t.Error("done was called while the disk hangs, want no call") })
	for committing := false; !committing; time.Sleep(time.Millisecond) {
		store.commits.mu.Lock()
		committing = store.commits.committing
		store.commits.mu.Unlock()
	}
	// bbolt writes under a lock that readers need, so LoadReplica must not read the file for a new cell. The Store here
	// has no database: an access to it would panic.
	if _, found, err := new(Store).LoadReplica("new"); found || err != nil {
		t.Errorf("LoadReplica of a new cell returned found %v and error %v, want false and nil", found, err)
	}
	if err := store.Close(); !errors.Is(err, ErrUnresponsive) {
		t.Fatalf("Close on a hanging disk returned %v, want ErrUnresponsive", err)
	}
	disk.EndProcess()
	disk.SetFault(simulation.NoFault)
	<-store.commits.stopped
}
