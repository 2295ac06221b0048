package storage

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"testing"

	bolt "go.etcd.io/bbolt"

	"comethold/internal/paxos"
	"comethold/internal/simulation"
)

// powerLossRun is one run of TestPowerLossAtOpen: a node is started several times on a directory whose disk loses
// power.
type powerLossRun struct {
	t    *testing.T
	name string
	dir  string
	disk *simulation.FaultyDisk

	identity string // the newest durable identity, which other nodes may have received
	promised uint64 // the highest term that was promised under it
}

const startsPerRun = 4 // the disk has no faults in the last one

// TestPowerLossAtOpen guards against the loss of an identity, or of promises made under it, after other nodes may have
// received them. The power fails at any disk operation of a start, Open included; each change of a file name that was
// not synced is then kept or reverted at random. The directory is empty at first or holds files of an earlier process.
func TestPowerLossAtOpen(t *testing.T) {
	const lastStep = 11 // no start performs more operations of those that LosePowerAfter counts
	complete := completeFile(t)
	garbage := bytes.Repeat([]byte{7}, 20000)
	for _, start := range []struct {
		name       string
		seedOffset int // added to the seed, so that not all cases have the same random sequence
		files      map[string][]byte
	}{
		{"empty", 5, map[string][]byte{}},
		{"never synced", 12, map[string][]byte{fileName: nil}},
		{"half created", 9, map[string][]byte{temporaryFileName: complete[:9000]}},
		{"corrupt", 4, map[string][]byte{fileName: garbage}},
		{"truncated", 5, map[string][]byte{fileName: complete[:4096]}},
		{"corrupt, renamed file exists", 16, map[string][]byte{fileName: garbage, corruptFileName: complete}},
		{
			"complete, other files exist", 15,
			map[string][]byte{fileName: complete, temporaryFileName: complete, corruptFileName: nil},
		},
	} {
		for seed := range simulation.SeedCount(1) {
			for step := 1; step <= lastStep; step++ {
				random := rand.New(rand.NewSource(int64(seed*10000 + step*100 + start.seedOffset)))
				run := &powerLossRun{
					t:    t,
					name: fmt.Sprintf("%s, seed %d, step %d", start.name, seed, step),
					dir:  t.TempDir(),
					disk: &simulation.FaultyDisk{Base: LocalDisk{}, Random: random.Float64, SyncFailureRate: 0.4},
				}
				writeFiles(t, run.dir, start.files)
				run.runStarts(step)
			}
		}
	}
}

// completeFile returns the content of a database file that holds an identity.
func completeFile(t *testing.T) []byte {
	t.Helper()
	dir := t.TempDir()
	store, _ := openStore(t, dir)
	if err := store.Bootstrap("identity", []byte("old"), "c", paxos.Writes{}); err != nil {
		t.Fatal(err)
	}
	if err := store.Close(); err != nil {
		t.Fatal(err)
	}
	raw, err := os.ReadFile(filepath.Join(dir, fileName))
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

func writeFiles(t *testing.T, dir string, files map[string][]byte) {
	t.Helper()
	for name, raw := range files {
		if err := os.WriteFile(filepath.Join(dir, name), raw, 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

// runStarts starts the node several times. The power fails at the given disk operation of each start but the last.
func (r *powerLossRun) runStarts(step int) {
	for startNumber := 1; startNumber <= startsPerRun; startNumber++ {
		last := startNumber == startsPerRun
		r.disk.LosePowerAfter(step)
		if last {
			r.disk.LosePowerAfter(0)
			r.disk.SyncFailureRate = 0
		}
		store, err := Open(r.dir, r.disk, func(error) {})
		if err != nil && last {
			r.t.Fatalf("%s: Open on a disk without faults returned %v, want nil", r.name, err)
		}
		if err == nil {
			r.checkAndWrite(store, startNumber)
			if err := store.Close(); err != nil {
				r.t.Fatal(err)
			}
		}
		r.disk.EndProcess()
		r.disk.LosePower()
	}
	if r.identity == "" || r.promised == 0 {
		r.t.Fatalf("%s: no identity or no promise was stored, want both after the last start", r.name)
	}
}

// checkAndWrite checks the stored state, and then writes to the store as a control node does.
func (r *powerLossRun) checkAndWrite(store *Store, startNumber int) {
	identity := string(store.NodeValue("identity"))
	state, _, err := store.LoadReplica("c")
	if r.identity != "" && (identity != r.identity || state.Promised.Term < r.promised || err != nil) {
		r.t.Fatalf("%s, start %d: want identity %q with term %d or later, got %q with %d, error %v", r.name, startNumber,
			r.identity, r.promised, identity, state.Promised.Term, err)
	}
	if identity == "" {
		identity = strconv.Itoa(startNumber)
		err = store.Bootstrap("identity", []byte(identity), "c", paxos.Writes{})
	}
	if err != nil {
		return
	}
	r.identity = identity
	next := paxos.Writes{Promised: &paxos.ProposalNumber{Term: r.promised + 1}}
	err = store.disk.Update(store.db, func(tx *bolt.Tx) error { return putReplicaWrites(tx, "c", &next) })
	if err == nil {
		r.promised++
	}
}

// TestTruncatedFile checks that a file that is truncated, or has a page of zeros, is reported as corrupt. Without the
// check in LocalDisk.Open, the process can crash when bbolt reads the page.
func TestTruncatedFile(t *testing.T) {
	dir := t.TempDir()
	store, _ := openStore(t, dir)
	large := map[string]paxos.Value{"k": paxos.Bytes(make([]byte, 40000))}
	store.submitAndWait("c", paxos.Writes{Snapshot: &paxos.Snapshot{State: large}})
	err := store.Bootstrap("identity", []byte("a"), "c", paxos.Writes{})
	if err != nil || store.Close() != nil {
		t.Fatal(err)
	}
	complete, err := os.ReadFile(filepath.Join(dir, fileName))
	if err != nil {
		t.Fatal(err)
	}
	corruptCount, pageSize := 0, os.Getpagesize()
	for offset := 2 * pageSize; offset < len(complete); offset += pageSize {
		truncated := complete[:offset:offset]
		withZeroPage := slices.Concat(complete[:offset], make([]byte, pageSize), complete[offset+pageSize:])
		for _, raw := range [][]byte{truncated, withZeroPage} {
			if openDamaged(t, raw, offset/pageSize) {
				corruptCount++
			}
		}
	}
	if corruptCount == 0 {
		t.Error("Open reported none of the damaged files, want ErrCorrupt for some")
	}
}

// openDamaged opens a file with a missing page and reports whether Open found it to be corrupt. If Open did not, the
// identity must still be readable: the page may be unused.
func openDamaged(t *testing.T, raw []byte, page int) (corrupt bool) {
	t.Helper()
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, fileName), raw, 0o600); err != nil {
		t.Fatal(err)
	}
	var fault error
	store, err := Open(dir, LocalDisk{}, func(err error) { fault = err })
	if err != nil || (fault == nil) != (store.NodeValue("identity") != nil) ||
		fault != nil && !errors.Is(fault, ErrCorrupt) {
		t.Fatalf("file of %d bytes, damaged page %d: Open returned %v and reported %v, want ErrCorrupt or no loss",
			len(raw), page, err, fault)
	}
	if err := store.Close(); err != nil {
		t.Fatal(err)
	}
	return fault != nil
}
