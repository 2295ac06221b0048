package storage

import (
	"bytes"
	"errors"
	"math/rand"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"comethold/internal/paxos"
	"comethold/internal/simulation"

	bolt "go.etcd.io/bbolt"
)

// TestPowerLossAtOpen: the power fails at any step from opening on, and of the names that were
// not synced each is kept or lost. A name that was told, and what was promised under it,
// is found again, whatever stood in the folder at first.
func TestPowerLossAtOpen(t *testing.T) {
	whole := filepath.Join(t.TempDir(), "whole")
	if err := os.Mkdir(whole, 0o700); err != nil {
		t.Fatal(err)
	}
	v, _ := openStore(t, whole)
	if err := v.Bootstrap("identity", []byte("old"), "c", paxos.Writes{}); err != nil {
		t.Fatal(err)
	}
	if err := v.Close(); err != nil {
		t.Fatal(err)
	}
	old, err := os.ReadFile(filepath.Join(whole, fileName))
	if err != nil {
		t.Fatal(err)
	}
	begin := map[string]map[string][]byte{
		"empty":            {},
		"never synced":     {fileName: nil},
		"half made":        {temporaryFileName: old[:9000]},
		"torn":             {fileName: bytes.Repeat([]byte{7}, 20000)},
		"short":            {fileName: old[:4096]},
		"put aside before": {fileName: bytes.Repeat([]byte{7}, 20000), corruptFileName: old},
		"whole and other":  {fileName: old, temporaryFileName: old, corruptFileName: nil},
	}
	for what, files := range begin {
		for seed := range simulation.SeedCount(1) {
			for stop := 1; stop <= 11; stop++ {
				dir := t.TempDir()
				for name, raw := range files {
					if err := os.WriteFile(filepath.Join(dir, name), raw, 0o600); err != nil {
						t.Fatal(err)
					}
				}
				d := &simulation.FaultyDisk{
					Base:            LocalDisk{},
					Random:          rand.New(rand.NewSource(int64(seed*10000 + stop*100 + len(what)))).Float64,
					SyncFailureRate: 0.4,
				}
				told, promised := "", uint64(0)
				for life := 1; life <= 4; life++ {
					d.LosePowerAfter(stop)
					if life == 4 {
						d.LosePowerAfter(0)
						d.SyncFailureRate = 0
					}
					v, err := Open(dir, d, func(error) {})
					if err != nil && life == 4 {
						t.Fatalf("%s, seed %d, stop %d: a sound disk: %v", what, seed, stop, err)
					}
					if err == nil {
						id := string(v.NodeValue("identity"))
						s, _, err := v.LoadReplica("c")
						if told != "" && (id != told || s.Promised.Term < promised || err != nil) {
							t.Fatalf(
								"%s, seed %d, stop %d, life %d: told was %q with %d, found is %q with %d, %v",
								what,
								seed,
								stop,
								life,
								told,
								promised,
								id,
								s.Promised.Term,
								err,
							)
						}
						if id == "" {
							id = strconv.Itoa(life)
							err = v.Bootstrap("identity", []byte(id), "c", paxos.Writes{})
						}
						if err == nil {
							told = id
							if v.disk.Update(v.db, func(tx *bolt.Tx) error {
								return putReplicaWrites(tx, "c", &paxos.Writes{Promised: &paxos.ProposalNumber{Term: promised + 1}})
							}) == nil {
								promised++
							}
						}
						if err := v.Close(); err != nil {
							t.Fatal(err)
						}
					}
					d.EndProcess()
					d.LosePower()
				}
				if told == "" || promised == 0 {
					t.Fatalf("%s, seed %d, stop %d: the last life told nothing", what, seed, stop)
				}
			}
		}
	}
}

// TestTruncatedFile: a file that ends before its pages do, or lacks the content of one, is
// damage and not the process's end.
func TestTruncatedFile(t *testing.T) {
	dir := t.TempDir()
	v, _ := openStore(t, dir)
	v.submitAndWait("c", paxos.Writes{
		Snapshot: &paxos.Snapshot{State: map[string]paxos.Value{"k": paxos.Bytes(make([]byte, 40000))}},
	})
	if err := v.Bootstrap("identity", []byte("a"), "c", paxos.Writes{}); err != nil || v.Close() != nil {
		t.Fatal(err)
	}
	whole, err := os.ReadFile(filepath.Join(dir, fileName))
	if err != nil {
		t.Fatal(err)
	}
	damaged, page := 0, os.Getpagesize()
	for at := 2 * page; at < len(whole); at += page {
		for _, raw := range [][]byte{whole[:at:at], slices.Concat(whole[:at], make([]byte, page), whole[at+page:])} {
			dir := t.TempDir()
			if err := os.WriteFile(filepath.Join(dir, fileName), raw, 0o600); err != nil {
				t.Fatal(err)
			}
			var told error
			v, err := Open(dir, LocalDisk{}, func(err error) { told = err })
			if err != nil || (told == nil) != (v.NodeValue("identity") != nil) || told != nil && !errors.Is(told, ErrCorrupt) {
				t.Fatalf("%d bytes, page %d: opened with %v, told %v", len(raw), at/page, err, told)
			}
			if err := v.Close(); err != nil {
				t.Fatal(err)
			}
			if told != nil {
				damaged++
			}
		}
	}
	if damaged == 0 {
		t.Error("no damage was seen")
	}
}

// TestDiskFaults: a disk that is full or does not sync names keeps a vault from being
// opened, and puts nothing aside; a write that hangs is not waited for at the end.
func TestDiskFaults(t *testing.T) { synctest.Test(t, testDiskFaults) }

func testDiskFaults(t *testing.T) {
	dir := t.TempDir()
	d := &simulation.FaultyDisk{Base: LocalDisk{}, Random: func() float64 { return 0 }}
	d.SetFault(true, false)
	for range 3 {
		if _, err := Open(dir, d, func(err error) { t.Error(err) }); !errors.Is(err, simulation.ErrDiskFull) {
			t.Fatalf("opened on a full disk: %v", err)
		}
	}
	d.SetFault(false, false)
	v, err := Open(dir, d, func(err error) {
		if !errors.Is(err, simulation.ErrPowerLost) {
			t.Error(err)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Open(
		dir,
		d,
		func(err error) { t.Error(err) },
	); err == nil || errors.Is(err, ErrCorrupt) || HasCorruptFile(dir) {
		t.Fatalf("a file that another process holds: %v", err)
	}
	d.SetFault(false, true)
	v.Submit("c", paxos.Writes{
		Promised: &paxos.ProposalNumber{Term: 1},
	}, func() { t.Error("synced by a disk that hangs") })
	for busy := false; !busy; time.Sleep(time.Millisecond) {
		v.commits.mu.Lock()
		busy = v.commits.committing
		v.commits.mu.Unlock()
	}
	// bbolt writes under a lock that its readers need: a new cell is opened without them.
	if _, found, err := new(Store).LoadReplica("new"); found || err != nil {
		t.Errorf("a new cell: found %v, %v", found, err)
	}
	if err := v.Close(); !errors.Is(err, ErrUnresponsive) {
		t.Fatalf("closed: %v", err)
	}
	d.EndProcess()
	d.SetFault(false, false)
	<-v.commits.stopped
}
