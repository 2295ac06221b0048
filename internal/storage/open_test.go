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

	identity string // the newest that was given out
	promised uint64 // the newest term that was promised under it
}

const incarnations = 4 // starts of a run; in the last one the disk works

// TestPowerLossAtOpen: the power fails at any step from opening on, and each name that was not synced is kept or
// lost. An identity that was sent, and the promises under it, are found again, whatever the directory held at first.
func TestPowerLossAtOpen(t *testing.T) {
	const lastStep = 11 // later ones are never reached
	complete := completeFile(t)
	garbage := bytes.Repeat([]byte{7}, 20000)
	for _, start := range []struct {
		name  string
		salt  int // of the random source
		files map[string][]byte
	}{
		{"empty", 5, map[string][]byte{}},
		{"never synced", 12, map[string][]byte{fileName: nil}},
		{"half created", 9, map[string][]byte{temporaryFileName: complete[:9000]}},
		{"torn", 4, map[string][]byte{fileName: garbage}},
		{"short", 5, map[string][]byte{fileName: complete[:4096]}},
		{"renamed before", 16, map[string][]byte{fileName: garbage, corruptFileName: complete}},
		{
			"complete with leftovers", 15,
			map[string][]byte{fileName: complete, temporaryFileName: complete, corruptFileName: nil},
		},
	} {
		for seed := range simulation.SeedCount(1) {
			for step := 1; step <= lastStep; step++ {
				random := rand.New(rand.NewSource(int64(seed*10000 + step*100 + start.salt)))
				run := &powerLossRun{
					t:    t,
					name: fmt.Sprintf("%s, seed %d, step %d", start.name, seed, step),
					dir:  t.TempDir(),
					disk: &simulation.FaultyDisk{Base: LocalDisk{}, Random: random.Float64, SyncFailureRate: 0.4},
				}
				writeFiles(t, run.dir, start.files)
				run.play(step)
			}
		}
	}
}

// completeFile returns the content of a file with an identity.
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

// play starts the node several times; the power fails at the given step of each start but the last.
func (r *powerLossRun) play(step int) {
	for incarnation := 1; incarnation <= incarnations; incarnation++ {
		last := incarnation == incarnations
		r.disk.LosePowerAfter(step)
		if last {
			r.disk.LosePowerAfter(0)
			r.disk.SyncFailureRate = 0
		}
		store, err := Open(r.dir, r.disk, func(error) {})
		if err != nil && last {
			r.t.Fatalf("%s: a disk that works: %v", r.name, err)
		}
		if err == nil {
			r.use(store, incarnation)
			if err := store.Close(); err != nil {
				r.t.Fatal(err)
			}
		}
		r.disk.EndProcess()
		r.disk.LosePower()
	}
	if r.identity == "" || r.promised == 0 {
		r.t.Fatalf("%s: the last start gave out no identity", r.name)
	}
}

// use checks the stored state, and then writes to the store as a control node does.
func (r *powerLossRun) use(store *Store, incarnation int) {
	identity := string(store.NodeValue("identity"))
	state, _, err := store.LoadReplica("c")
	if r.identity != "" && (identity != r.identity || state.Promised.Term < r.promised || err != nil) {
		r.t.Fatalf("%s, start %d: given out was %q with %d, found is %q with %d, %v", r.name, incarnation,
			r.identity, r.promised, identity, state.Promised.Term, err)
	}
	if identity == "" {
		identity = strconv.Itoa(incarnation)
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

// TestTruncatedFile: a file that is truncated, or lacks the content of a page, is reported as corrupt without a crash.
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
	found, page := 0, os.Getpagesize()
	for at := 2 * page; at < len(complete); at += page {
		truncated := complete[:at:at]
		withHole := slices.Concat(complete[:at], make([]byte, page), complete[at+page:])
		for _, raw := range [][]byte{truncated, withHole} {
			if openDamaged(t, raw, at/page) {
				found++
			}
		}
	}
	if found == 0 {
		t.Error("no damage was found")
	}
}

// openDamaged opens a file that lacks a page; it reports whether the file was found to be corrupt. If it was not, no
// data may be missing.
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
		t.Fatalf("%d bytes, page %d: opened with %v, reported is %v", len(raw), page, err, fault)
	}
	if err := store.Close(); err != nil {
		t.Fatal(err)
	}
	return fault != nil
}
