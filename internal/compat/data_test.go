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

// Names of the recorded data directory of a control machine.
const (
	dataFile = "vault.db"
	address  = "10.0.0.1"
)

// The configurations in the recorded data directory, and a new one.
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

// recordedReadings are the answers that an operator reads from the recorded data directory.
type recordedReadings struct {
	Configuration any `json:"configuration"`
	Quarantine    any `json:"quarantine"`
	Redrives      any `json:"redrives"`
	Decided       any `json:"decided"`
	Purges        any `json:"purges"`
	Marks         any `json:"marks"`
	Endpoints     any `json:"endpoints"`
	Nodes         any `json:"nodes"`
}

func hasMarks(n distribution.Update) bool {
	return slices.ContainsFunc(n.EjectionMarks, func(m distribution.EjectionMarks) bool { return len(m.Ejected) > 0 })
}

// writeData makes a data directory that holds every kind of stored record.
func writeData(t *testing.T, dir string) {
	t.Helper()
	platform := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/instances" {
			_, _ = io.WriteString(w, `{"instances":[{"instanceId":"i1","service":"s1","address":"10.9.0.1:80",`+
				`"availabilityZone":"z1","capacitySlots":2,"state":"ready"}],"nextPageToken":null}`)
		}
	}))
	defer platform.Close()
	c := start(t, dir, true, platform)
	defer c.stop()
	c.want(http.StatusOK, "/Configuration.Replace", "0", firstConfiguration)
	c.want(http.StatusOK, "/Configuration.Amend", "3", firstAmendment)
	c.want(
		http.StatusPreconditionFailed,
		"/Configuration.Replace",
		"0",
		strings.Replace(firstConfiguration, "1000", "2000", 1),
	)
	c.want(http.StatusOK, "/purge", "", `{"hostname":"h.example","path":"/old"}`)
	c.want(http.StatusOK, "/purge", "", `{"label":"l1"}`)
	c.until("list", func(n distribution.Update) bool { return n.Endpoints != nil && len(n.Endpoints.Endpoints) == 1 })
	for _, name := range []string{"n1/switch", "n2/switch"} {
		c.update(distribution.UpdateRequest{
			Node:      distribution.Node{Name: name, Addr: address, Zone: "z1"},
			Immediate: true,
			Reports:   []distribution.HealthReport{{EndpointID: "i1", Service: "s1"}},
		})
	}
	c.claim(distribution.RateShares, 1)
	c.claim(distribution.QuotaShares, 1)
	c.until("marks", hasMarks)
	c.want(
		http.StatusOK,
		"/Notices.Redrive",
		"",
		`{"eventId":"configuration/5","operator":"o","correlationId":"c","action":"resend"}`,
	)
	c.count()
	for i := range uint64(120) { // so that the log is cut and a snapshot is written
		c.claim(distribution.RateShares, i+2)
	}
	time.Sleep(time.Second)
}

// readings reads the part of the recorded data that does not depend on the current lease holders.
func (c *control) readings() recordedReadings {
	c.t.Helper()
	var r recordedReadings
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
	decode(c.want(http.StatusOK, "/Configuration.Read", "", ""), &r.Configuration)
	n := c.until("state", func(n distribution.Update) bool {
		for _, marks := range n.EjectionMarks {
			if len(marks.Services) == 0 {
				return false // this index cell is not ready yet
			}
		}
		return hasMarks(n) && len(n.EjectionMarks) == 2 &&
			n.Config != nil && n.Purges != nil && n.Nodes != nil && n.Endpoints != nil
	})
	slices.SortFunc(
		n.EjectionMarks,
		func(a, b distribution.EjectionMarks) int { return strings.Compare(a.IndexName, b.IndexName) },
	)
	slices.SortFunc(n.Nodes.Nodes, func(a, b distribution.Node) int { return strings.Compare(a.Name, b.Name) })
	decode(c.want(http.StatusOK, "/Notices.Read", "", ""), &notices)
	r.Quarantine, r.Redrives, r.Decided = notices.Quarantine, notices.Redrives, notices.Decided
	// Log indexes rise with every start.
	n.Nodes.LogIndex = 0
	for i := range n.EjectionMarks {
		n.EjectionMarks[i].LogIndex = 0
	}
	part := func(v any) any {
		raw, err := rpc.Marshal(v)
		if err != nil {
			c.t.Fatal(err)
		}
		return compat.Readable(c.t, raw)
	}
	r.Purges = part(n.Purges.Purges)
	r.Marks = part(n.EjectionMarks)
	r.Endpoints = part(n.Endpoints.Endpoints)
	r.Nodes = part(n.Nodes.Nodes)
	return r
}

// storedCell is the stored state of a cell, by cbor numbers.
type storedCell struct {
	Promised    any    `json:"promised"`
	Term        uint64 `json:"round"`
	CommitIndex uint64 `json:"chosen"`
	Entries     []any  `json:"entries"`
	Snapshot    any    `json:"snapshot"`
}

// stored reads a data directory without a control plane: values of the node by their keys, and
// cells by their names.
func stored(t *testing.T, dir string, keys, cells []string) any {
	t.Helper()
	v, err := storage.Open(dir, storage.LocalDisk{}, func(err error) { t.Error(err) })
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = v.Close() }()
	part := func(v any) any {
		raw, err := rpc.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		return compat.Readable(t, raw)
	}
	node, byName := map[string]any{}, map[string]storedCell{}
	for _, k := range keys {
		if raw := v.NodeValue(k); k == "identity" {
			node[k] = compat.Text(raw)
		} else if raw == nil {
			t.Errorf("the node has no %s", k)
		} else {
			node[k] = compat.Readable(t, raw)
		}
	}
	for _, name := range cells {
		s, found, err := v.LoadReplica(name)
		if err != nil || !found {
			t.Fatalf("cell %s: %v %v", name, found, err)
		}
		c := storedCell{
			Promised:    part(s.Promised),
			Term:        s.Term,
			CommitIndex: s.CommitIndex,
			Snapshot:    part(s.Snapshot),
		}
		for i := range s.Entries {
			c.Entries = append(c.Entries, part(s.Entries[i]))
		}
		byName[name] = c
	}
	return map[string]any{"node": node, "cells": byName}
}

// contents lists the keys of the node and the names of the cells in a data file, exactly as stored.
func contents(t *testing.T, path string) (keys, cells []string) {
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

// recordedData returns a copy of the recorded data directory.
func recordedData(t *testing.T) string {
	t.Helper()
	record := compat.Path("control-plane", dataFile+".gz")
	if compat.Updating() {
		dir := t.TempDir()
		writeData(t, dir)
		compat.Pack(t, filepath.Join(dir, dataFile), record)
	}
	dir := t.TempDir()
	compat.Unpack(t, record, filepath.Join(dir, dataFile))
	return dir
}

// TestRecordedData: this version reads all of a control machine's data directory that an earlier
// version wrote, and continues from it: it recognizes the changes that were committed, commits new
// ones and finds all of them again at its next start.
func TestRecordedData(t *testing.T) {
	dir := recordedData(t)
	keys, cells := contents(t, filepath.Join(dir, dataFile))
	for _, key := range []string{"identity", "list", "inbox"} {
		if !slices.Contains(keys, key) {
			t.Errorf("the record has no %s: %v", key, keys)
		}
	}
	if len(cells) < 2 {
		t.Errorf("the record has the cells %v", cells)
	}
	compat.CheckJSON(t, compat.Path("control-plane", "stored.json"), stored(t, dir, keys, cells))

	c := start(t, dir, false, nil)
	compat.CheckJSON(t, compat.Path("control-plane", "readings.json"), c.readings())
	c.waitForFences()
	c.want(http.StatusOK, "/Configuration.Replace", "0", firstConfiguration) // committed before
	c.want(http.StatusOK, "/Configuration.Amend", "3", firstAmendment)
	c.want(http.StatusPreconditionFailed, "/Configuration.Amend", "3", strings.Replace(firstAmendment, "500", "600", 1))
	c.want(http.StatusPreconditionFailed, "/Configuration.Amend", "3", nextAmendment)
	c.want(http.StatusOK, "/Configuration.Amend", "5", nextAmendment)
	c.want(http.StatusOK, "/purge", "", `{"label":"new"}`)
	c.stop()

	c = start(t, dir, false, nil)
	defer c.stop()
	var now struct {
		Version uint64                  `json:"version"`
		Routes  []struct{ Name string } `json:"routes"`
	}
	if err := json.Unmarshal(c.want(http.StatusOK, "/Configuration.Read", "", ""), &now); err != nil {
		t.Fatal(err)
	}
	if now.Version != 6 || len(now.Routes) != 1 || now.Routes[0].Name != "r1" {
		t.Errorf("after the next start the configuration is %+v", now)
	}
	n := c.until("marks", hasMarks)
	if last := n.Purges.Purges[len(n.Purges.Purges)-1]; last.Label != "new" {
		t.Errorf("after the next start the newest purge is %+v", last)
	}
}
