package compat_test

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	bolt "go.etcd.io/bbolt"

	"comethold/internal/compat"
	"comethold/internal/distribution"
	"comethold/internal/rpc"
	"comethold/internal/storage"
)

// The file in the recorded data directory of a control node, and the node's address.
const (
	dataFile = "vault.db"
	address  = "10.0.0.1"
)

// The configuration and the amendment that are committed in the recorded data directory, and a new
// amendment.
const (
	firstConfiguration = `{"version":3,` +
		`"routes":[{"name":"r1","hostname":"h.example","pathPrefix":"/","routeKind":"safe",` +
		`"timeoutMs":1000,"service":"s1","maxAttempts":2}],` +
		`"services":[{"name":"s1","connectionLimit":40}],"limits":{}}`
	firstAmendment = `{"version":5,"upsert":{"services":[{"name":"s2","connectionLimit":7}],` +
		`"routes":[{"name":"r2","hostname":"h.example","pathPrefix":"/b/","routeKind":"safe",` +
		`"timeoutMs":500,"service":"s2","maxAttempts":1}],` +
		`"tenants":[{"name":"t","apiKeys":["k"],"ratePerS":20,"burstSize":40}]}}`
	nextAmendment = `{"version":6,"remove":{"routes":["r2"]}}`
)

// servedState is the state that a control node serves to operators and, in updates, to nodes.
type servedState struct {
	Configuration any `json:"configuration"`
	Quarantine    any `json:"quarantine"`
	Redrives      any `json:"redrives"`
	Decided       any `json:"decided"`
	Purges        any `json:"purges"`
	Marks         any `json:"marks"`
	Endpoints     any `json:"endpoints"`
	Nodes         any `json:"nodes"`
}

func hasMarks(u distribution.Update) bool {
	return slices.ContainsFunc(u.EjectionMarks, func(m distribution.EjectionMarks) bool { return len(m.Ejected) > 0 })
}

// writeData writes a data directory that contains every kind of stored record.
func writeData(t *testing.T, dir string) {
	t.Helper()
	platform := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/instances" {
			_, _ = io.WriteString(w, `{"instances":[{"instanceId":"i1","service":"s1","address":"10.9.0.1:80",`+
				`"availabilityZone":"z1","capacitySlots":2,"state":"ready"}],"nextPageToken":null}`)
		}
	}))
	defer platform.Close()
	c := startControlNode(t, dir, true, platform)
	defer c.stop()
	c.wantStatus(http.StatusOK, "/Configuration.Replace", "0", firstConfiguration)
	c.wantStatus(http.StatusOK, "/Configuration.Amend", "3", firstAmendment)
	c.wantStatus(
		http.StatusPreconditionFailed,
		"/Configuration.Replace",
		"0",
		strings.Replace(firstConfiguration, "1000", "2000", 1),
	)
	c.wantStatus(http.StatusOK, "/purge", "", `{"hostname":"h.example","path":"/old"}`)
	c.wantStatus(http.StatusOK, "/purge", "", `{"label":"l1"}`)
	c.waitForUpdate("one endpoint", func(u distribution.Update) bool {
		return u.Endpoints != nil && len(u.Endpoints.Endpoints) == 1
	})
	for _, name := range []string{"n1/switch", "n2/switch"} {
		c.requestUpdate(distribution.UpdateRequest{
			Node:      distribution.Node{Name: name, Addr: address, Zone: "z1"},
			Immediate: true,
			Reports:   []distribution.HealthReport{{EndpointID: "i1", Service: "s1"}},
		})
	}
	c.claimShare(distribution.RateShares, 1)
	c.claimShare(distribution.QuotaShares, 1)
	c.waitForUpdate("ejection marks", hasMarks)
	c.wantStatus(
		http.StatusOK,
		"/Notices.Redrive",
		"",
		`{"eventId":"configuration/5","operator":"o","correlationId":"c","action":"resend"}`,
	)
	c.sendUsageCounts()
	for i := range uint64(120) { // enough entries for the log to be compacted to a snapshot
		c.claimShare(distribution.RateShares, i+2)
	}
	time.Sleep(time.Second)
}

// readServedState reads the part of the state that doesn't depend on the current lease holders.
func (c *controlNode) readServedState() servedState {
	c.t.Helper()
	var r servedState
	var notices struct {
		Quarantine any `json:"quarantine"`
		Redrives   any `json:"redrives"`
		Decided    any `json:"decided"`
	}
	decode := func(raw []byte, v any) {
		c.t.Helper()
		if err := json.Unmarshal(raw, v); err != nil {
			c.t.Fatal(err)
		}
	}
	decode(c.wantStatus(http.StatusOK, "/Configuration.Read", "", ""), &r.Configuration)
	u := c.waitForUpdate("all parts of the recorded state", func(u distribution.Update) bool {
		for _, marks := range u.EjectionMarks {
			if len(marks.Services) == 0 {
				return false // this index cell is not ready yet
			}
		}
		return hasMarks(u) && len(u.EjectionMarks) == 2 &&
			u.Config != nil && u.Purges != nil && u.Nodes != nil && u.Endpoints != nil
	})
	slices.SortFunc(
		u.EjectionMarks,
		func(a, b distribution.EjectionMarks) int { return strings.Compare(a.IndexName, b.IndexName) },
	)
	slices.SortFunc(u.Nodes.Nodes, func(a, b distribution.Node) int { return strings.Compare(a.Name, b.Name) })
	decode(c.wantStatus(http.StatusOK, "/Notices.Read", "", ""), &notices)
	r.Quarantine, r.Redrives, r.Decided = notices.Quarantine, notices.Redrives, notices.Decided
	// Every start adds log entries, so these log indexes can't be compared.
	u.Nodes.LogIndex = 0
	for i := range u.EjectionMarks {
		u.EjectionMarks[i].LogIndex = 0
	}
	readable := func(v any) any {
		raw, err := rpc.Marshal(v)
		if err != nil {
			c.t.Fatal(err)
		}
		return compat.Readable(c.t, raw)
	}
	r.Purges = readable(u.Purges.Purges)
	r.Marks = readable(u.EjectionMarks)
	r.Endpoints = readable(u.Endpoints.Endpoints)
	r.Nodes = readable(u.Nodes.Nodes)
	return r
}

// storedCell is the stored state of a cell. Its messages are keyed by CBOR field numbers.
type storedCell struct {
	Promised    any    `json:"promised"`
	Term        uint64 `json:"round"`
	CommitIndex uint64 `json:"chosen"`
	Entries     []any  `json:"entries"`
	Snapshot    any    `json:"snapshot"`
}

// readStoredState reads a data directory without starting a control plane. It returns the values of
// the node by key and the cells by name.
func readStoredState(t *testing.T, dir string, keys, cells []string) any {
	t.Helper()
	store, err := storage.Open(dir, storage.LocalDisk{}, func(err error) {
		t.Error("the store reported a fault, want none:", err)
	})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = store.Close() }()
	readable := func(v any) any {
		raw, err := rpc.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		return compat.Readable(t, raw)
	}
	node, byName := map[string]any{}, map[string]storedCell{}
	for _, k := range keys {
		if raw := store.NodeValue(k); k == "identity" {
			node[k] = compat.Text(raw)
		} else if raw == nil {
			t.Errorf("the data directory has no node value with the key %s", k)
		} else {
			node[k] = compat.Readable(t, raw)
		}
	}
	for _, name := range cells {
		s, found, err := store.LoadReplica(name)
		if err != nil || !found {
			t.Fatalf("loading the cell %s returned found %v and error %v, want a stored cell", name, found, err)
		}
		c := storedCell{
			Promised:    readable(s.Promised),
			Term:        s.Term,
			CommitIndex: s.CommitIndex,
			Snapshot:    readable(s.Snapshot),
		}
		for i := range s.Entries {
			c.Entries = append(c.Entries, readable(s.Entries[i]))
		}
		byName[name] = c
	}
	return map[string]any{"node": node, "cells": byName}
}

// listContents returns the keys of the node's values and the names of the cells in a data file. It
// reads the database directly, so the names are exactly as stored.
func listContents(t *testing.T, path string) (keys, cells []string) {
	t.Helper()
	db, err := bolt.Open(path, 0o600, &bolt.Options{ReadOnly: true})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = db.Close() }()
	if err := db.View(func(tx *bolt.Tx) error {
		return tx.ForEach(func(name []byte, b *bolt.Bucket) error {
			if cell, ok := strings.CutPrefix(string(name), "cell/"); ok {
				cells = append(cells, cell)
				return nil
			}
			return b.ForEach(func(k, _ []byte) error {
				keys = append(keys, string(k))
				return nil
			})
		})
	}); err != nil {
		t.Fatal(err)
	}
	return keys, cells
}

// recordedData returns a copy of the recorded data directory. If Updating returns true, it
// writes a new record first.
func recordedData(t *testing.T) string {
	t.Helper()
	recordPath := compat.Path("control-plane", dataFile+".gz")
	if compat.Updating() {
		dir := t.TempDir()
		writeData(t, dir)
		compat.Pack(t, filepath.Join(dir, dataFile), recordPath)
	}
	dir := t.TempDir()
	compat.Unpack(t, recordPath, filepath.Join(dir, dataFile))
	return dir
}

// TestRecordedData guards against a change of a stored format that loses data in an upgrade. A control
// node starts with the data directory that an earlier version wrote. It must read all of it, recognize
// repeated changes that are already committed, reject conflicting ones, commit new ones, and still have
// them after a restart.
func TestRecordedData(t *testing.T) {
	dir := recordedData(t)
	keys, cells := listContents(t, filepath.Join(dir, dataFile))
	for _, key := range []string{"identity", "list", "inbox"} {
		if !slices.Contains(keys, key) {
			t.Errorf("the recorded data file has no value with the key %s, only %v", key, keys)
		}
	}
	if len(cells) < 2 {
		t.Errorf("the recorded data file has the cells %v, want at least two", cells)
	}
	compat.CheckJSON(t, compat.Path("control-plane", "stored.json"), readStoredState(t, dir, keys, cells))

	c := startControlNode(t, dir, false, nil)
	compat.CheckJSON(t, compat.Path("control-plane", "readings.json"), c.readServedState())
	c.waitForFencingTokens()
	c.wantStatus(http.StatusOK, "/Configuration.Replace", "0", firstConfiguration) // already committed
	c.wantStatus(http.StatusOK, "/Configuration.Amend", "3", firstAmendment)
	c.wantStatus(
		http.StatusPreconditionFailed,
		"/Configuration.Amend",
		"3",
		strings.Replace(firstAmendment, "500", "600", 1),
	)
	c.wantStatus(http.StatusPreconditionFailed, "/Configuration.Amend", "3", nextAmendment)
	c.wantStatus(http.StatusOK, "/Configuration.Amend", "5", nextAmendment)
	c.wantStatus(http.StatusOK, "/purge", "", `{"label":"new"}`)
	c.stop()

	c = startControlNode(t, dir, false, nil)
	defer c.stop()
	var config struct {
		Version uint64                  `json:"version"`
		Routes  []struct{ Name string } `json:"routes"`
	}
	if err := json.Unmarshal(c.wantStatus(http.StatusOK, "/Configuration.Read", "", ""), &config); err != nil {
		t.Fatal(err)
	}
	if config.Version != 6 || len(config.Routes) != 1 || config.Routes[0].Name != "r1" {
		t.Errorf("after the restart the configuration is %+v, want version 6 with only the route r1", config)
	}
	u := c.waitForUpdate("ejection marks", hasMarks)
	if last := u.Purges.Purges[len(u.Purges.Purges)-1]; last.Label != "new" {
		t.Errorf("after the restart the newest purge is %+v, want the label new", last)
	}
}
