package compat_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"comethold/internal/compat"
	"comethold/internal/controlplane"
	"comethold/internal/distribution"
	"comethold/internal/logging"
	"comethold/internal/rpc"
	"comethold/internal/settings"
	"comethold/internal/storage"
	"comethold/internal/usage"

	bolt "go.etcd.io/bbolt"
)

// Names of the recorded data directory of a control machine.
const (
	dataFile = "vault.db"
	address  = "10.0.0.1"
)

// The configurations that the recorded data directory was given, and one that is new.
const (
	firstConfiguration = `{"version":3,"routes":[{"name":"r1","hostname":"h.example","pathPrefix":"/","routeKind":"safe","timeoutMs":1000,"service":"s1","maxAttempts":2}],"services":[{"name":"s1","connectionLimit":40}],"limits":{}}`
	firstAmendment     = `{"version":5,"upsert":{"services":[{"name":"s2","connectionLimit":7}],"routes":[{"name":"r2","hostname":"h.example","pathPrefix":"/b/","routeKind":"safe","timeoutMs":500,"service":"s2","maxAttempts":1}],"tenants":[{"name":"t","apiKeys":["k"],"ratePerS":20,"burstSize":40}]}}`
	nextAmendment      = `{"version":6,"remove":{"routes":["r2"]}}`
)

// recordedReadings is what the operator reads from the recorded data directory.
type recordedReadings struct {
	Configuration any `json:"configuration"`
	Quarantine    any `json:"quarantine"`
	Redrives      any `json:"redrives"`
	Decided       any `json:"decided"`
	Purges        any `json:"purges"`
	Marks         any `json:"marks"`
	Leafs         any `json:"leafs"`
	Nodes         any `json:"nodes"`
}

// control is the control plane of one machine, alone.
type control struct {
	t        *testing.T
	set      *settings.Settings
	process  *controlplane.Server
	operator *httptest.Server
	inner    *httptest.Server
	cast     net.PacketConn
}

// start runs a control plane on a data directory. What it calls is the platform alone.
func start(t *testing.T, dir string, first bool, platform *httptest.Server) *control {
	t.Helper()
	set := &settings.Settings{NodeName: "n1", IPAddress: address, AvailabilityZone: "z1", RegionName: "r", HeartbeatMs: 1200,
		InternalPortRange: []int{7120, 7135}, SeedNodes: []string{address + ":7120"}, FirstStart: first, DataDirectory: dir,
		Bounds: settings.Bounds{DrainMs: 3000, GracePeriodS: 6, QuotaWindowS: 5, QuotaOvershoot: 0.1, QuotaSlack: 20}}
	var dial rpc.Network = func(time.Duration, time.Duration) func(context.Context, string, string) (net.Conn, error) {
		return func(context.Context, string, string) (net.Conn, error) { return nil, net.ErrClosed }
	}
	if platform != nil {
		set.Platform = settings.Platform{Address: "10.200.0.1:80", RatePerS: 50, Duties: []string{settings.UsageReportingDuty}, DutiesPerS: 50}
		set.Bounds.LeaseMs, set.Bounds.UsageWindowS, set.Bounds.UsageDelayS = 3000, 1, 4
		dial = func(time.Duration, time.Duration) func(context.Context, string, string) (net.Conn, error) {
			return func(ctx context.Context, network, addr string) (net.Conn, error) {
				if addr != set.Platform.Address {
					return nil, net.ErrClosed
				}
				return (&net.Dialer{}).DialContext(ctx, network, platform.Listener.Addr().String())
			}
		}
	}
	c := &control{t: t, set: set, process: controlplane.New(set, logging.Nop(), dial, storage.LocalDisk{})}
	c.operator, c.inner = httptest.NewServer(c.process.OperatorHandler()), httptest.NewServer(c.process.InternalHandler())
	var err error
	if c.cast, err = net.ListenPacket("udp4", "127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	go func() { _ = c.process.Run() }()
	go func() { _ = c.process.ServeDatagrams(c.cast) }()
	return c
}

func (c *control) stop() {
	c.process.Stop()
	c.operator.Close()
	c.inner.Close()
	_ = c.cast.Close()
}

// order makes an operator's call until the control plane is ready for it.
func (c *control) order(path, base, body string) (status int, answer []byte) {
	c.t.Helper()
	for range 600 {
		method := http.MethodPost
		if body == "" {
			method = http.MethodGet
		}
		req, err := http.NewRequestWithContext(c.t.Context(), method, c.operator.URL+path, strings.NewReader(body))
		if err != nil {
			c.t.Fatal(err)
		}
		req.Header.Set("X-Comethold-Base-Version", base)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			c.t.Fatal(err)
		}
		answer, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil {
			c.t.Fatal(err)
		}
		if status = resp.StatusCode; status != http.StatusServiceUnavailable {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	return status, answer
}

// want makes an operator's call that must have this status.
func (c *control) want(status int, path, base, body string) []byte {
	c.t.Helper()
	got, answer := c.order(path, base, body)
	if got != status {
		c.t.Fatalf("%s %s: %d %s, not %d", path, body, got, answer, status)
	}
	return answer
}

// news is what the control plane tells a node that holds nothing.
func (c *control) news(call distribution.UpdateRequest) distribution.Update {
	c.t.Helper()
	body, err := rpc.EncodeRequest(&call)
	if err != nil {
		c.t.Fatal(err)
	}
	resp, err := http.Post(c.inner.URL+"/feed", rpc.ContentType, bytes.NewReader(body))
	if err != nil {
		c.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var out distribution.Update
	if err := rpc.DecodeRequest(resp.Body, &out); err != nil {
		c.t.Fatalf("%d %v", resp.StatusCode, err)
	}
	return out
}

// until waits for news that fit.
func (c *control) until(what string, fits func(distribution.Update) bool) distribution.Update {
	c.t.Helper()
	var n distribution.Update
	for range 600 {
		if n = c.news(distribution.UpdateRequest{Node: distribution.Node{Zone: "z1"}, Immediate: true}); fits(n) {
			return n
		}
		time.Sleep(50 * time.Millisecond)
	}
	c.t.Fatalf("no %s: %+v", what, n)
	return n
}

func marked(n distribution.Update) bool {
	return slices.ContainsFunc(n.EjectionMarks, func(m distribution.EjectionMarks) bool { return len(m.Ejected) > 0 })
}

// writeData makes a data directory with something of everything that is stored.
func writeData(t *testing.T, dir string) {
	platform := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/instances" {
			_, _ = io.WriteString(w, `{"instances":[{"instanceId":"i1","service":"s1","address":"10.9.0.1:80","availabilityZone":"z1","capacitySlots":2,"state":"ready"}],"nextPageToken":null}`)
		}
	}))
	defer platform.Close()
	c := start(t, dir, true, platform)
	defer c.stop()
	c.want(http.StatusOK, "/Configuration.Replace", "0", firstConfiguration)
	c.want(http.StatusOK, "/Configuration.Amend", "3", firstAmendment)
	c.want(http.StatusPreconditionFailed, "/Configuration.Replace", "0", strings.Replace(firstConfiguration, "1000", "2000", 1))
	c.want(http.StatusOK, "/purge", "", `{"hostname":"h.example","path":"/old"}`)
	c.want(http.StatusOK, "/purge", "", `{"label":"l1"}`)
	c.until("list", func(n distribution.Update) bool { return n.Endpoints != nil && len(n.Endpoints.Endpoints) == 1 })
	for _, name := range []string{"n1/switch", "n2/switch"} {
		c.news(distribution.UpdateRequest{Node: distribution.Node{Name: name, Addr: address, Zone: "z1"}, Immediate: true, Reports: []distribution.HealthReport{{EndpointID: "i1", Service: "s1"}}})
	}
	c.claim(distribution.RateShares, 1)
	c.claim(distribution.QuotaShares, 1)
	c.until("marks", marked)
	c.want(http.StatusOK, "/Notices.Redrive", "", `{"eventId":"configuration/5","operator":"o","correlationId":"c","action":"resend"}`)
	c.count()
	for i := range uint64(120) { // so that the log is cut and a snapshot is written
		c.claim(distribution.RateShares, i+2)
	}
	time.Sleep(time.Second)
}

// claim renews the share of a node.
func (c *control) claim(of distribution.ShareTable, turn uint64) {
	c.t.Helper()
	body, err := rpc.EncodeRequest(&distribution.ShareRequest{Node: "n2", HoldsNone: true, Table: of, Number: distribution.RequestNumber{Incarnation: 9, Sequence: turn}})
	if err != nil {
		c.t.Fatal(err)
	}
	resp, err := http.Post(c.inner.URL+"/claim", rpc.ContentType, bytes.NewReader(body))
	if err != nil {
		c.t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		c.t.Fatalf("a claim: %d", resp.StatusCode)
	}
}

// count sends counts of a tenant as a node does, until they were written to the disk.
func (c *control) count() {
	c.t.Helper()
	conn, err := net.Dial("udp4", c.cast.LocalAddr().String())
	if err != nil {
		c.t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	for seq := range uint64(20) {
		window := usage.WindowAt(time.Now(), c.set.Bounds.UsageWindow())
		msg, err := rpc.Marshal(&distribution.Datagram{UsageReport: &usage.CountReport{Incarnation: 9, Sequence: seq + 1, Windows: usage.Windows{window: usage.Counts{"t": seq + 1}}}})
		if err != nil {
			c.t.Fatal(err)
		}
		if _, err := conn.Write(msg); err != nil {
			c.t.Fatal(err)
		}
		time.Sleep(300 * time.Millisecond)
	}
}

// readings reads what the recorded data must give, whoever holds the leases now.
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
		cut := !slices.ContainsFunc(n.EjectionMarks, func(m distribution.EjectionMarks) bool { return len(m.Services) == 0 })
		return marked(n) && cut && len(n.EjectionMarks) == 2 && n.Config != nil && n.Purges != nil && n.Nodes != nil && n.Endpoints != nil
	})
	slices.SortFunc(n.EjectionMarks, func(a, b distribution.EjectionMarks) int { return strings.Compare(a.IndexName, b.IndexName) })
	slices.SortFunc(n.Nodes.Nodes, func(a, b distribution.Node) int { return strings.Compare(a.Name, b.Name) })
	decode(c.want(http.StatusOK, "/Notices.Read", "", ""), &notices)
	r.Quarantine, r.Redrives, r.Decided = notices.Quarantine, notices.Redrives, notices.Decided
	// Positions of the log go on with every start.
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
	r.Purges, r.Marks, r.Leafs, r.Nodes = part(n.Purges.Purges), part(n.EjectionMarks), part(n.Endpoints.Endpoints), part(n.Nodes.Nodes)
	return r
}

// waitForFences waits until leases were taken over under fencing tokens that go on from
// the recorded ones.
func (c *control) waitForFences() {
	c.t.Helper()
	var v struct {
		Duties []struct {
			Duty  string `json:"duty"`
			Fence uint64 `json:"fence"`
		} `json:"duties"`
	}
	for range 600 {
		if err := json.Unmarshal(c.want(http.StatusOK, "/Duties.Read", "", ""), &v); err != nil {
			c.t.Fatal(err)
		}
		on := 0
		for _, d := range v.Duties {
			if d.Fence > 1 && d.Duty != settings.UsageReportingDuty {
				on++
			}
		}
		if on == 2 {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	c.t.Errorf("the fencing tokens don't go on: %+v", v)
}

// storedCell is what is on the disk of a cell, by cbor numbers.
type storedCell struct {
	Promised any    `json:"promised"`
	Round    uint64 `json:"round"`
	Chosen   uint64 `json:"chosen"`
	Entries  []any  `json:"entries"`
	Snapshot any    `json:"snapshot"`
}

// stored reads a data directory below the control plane: values of the node by their
// keys, and cells by their names.
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
		c := storedCell{Promised: part(s.Promised), Round: s.Term, Chosen: s.CommitIndex, Snapshot: part(s.Snapshot)}
		for i := range s.Entries {
			c.Entries = append(c.Entries, part(s.Entries[i]))
		}
		byName[name] = c
	}
	return map[string]any{"node": node, "cells": byName}
}

// contents lists the keys of the node and the names of the cells in a file of data, as
// they stand in it.
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

// TestRecordedData: a data directory of a control machine that an earlier version wrote
// is read whole, and the control plane goes on from there: it knows the orders that it
// took, takes new ones and finds all of it again at its next start.
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
	c.want(http.StatusOK, "/Configuration.Replace", "0", firstConfiguration) // taken before
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
	n := c.until("marks", marked)
	if last := n.Purges.Purges[len(n.Purges.Purges)-1]; last.Label != "new" {
		t.Errorf("after the next start the newest purge is %+v", last)
	}
}
