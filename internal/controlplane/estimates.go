package controlplane

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"os"
	"path/filepath"
	"sort"
	"sync"
	"time"

	"comethold/internal/distribution"
	"comethold/internal/latencyestimate"
	"comethold/internal/logging"
	"comethold/internal/settings"

	"github.com/labstack/echo/v4"
)

// Bounds of the estimates' collection and export.
const (
	maxConcurrentQueries = 16
	queryTimeout         = 800 * time.Millisecond
	exportInterval       = 2 * time.Minute // sketches are of the last one to two minutes
	maxExportFileSize    = 4 << 20         // bytes of a file; the one before is kept
	exportFileName       = "estimates.jsonl"
)

// EstimatesView is what an operator sees of lookups.
type EstimatesView struct {
	At         time.Time                    `json:"at"`
	Nodes      int                          `json:"nodes"`      // switches that answered
	Unanswered int                          `json:"unanswered"` // switches that did not
	Replicas   []ReplicaEstimate            `json:"copies"`
	Slow       []latencyestimate.SlowLookup `json:"slow"` // oldest first
	Counters   latencyestimate.Counters     `json:"tally"`
}

// ReplicaEstimate is the estimate for one copy.
type ReplicaEstimate struct {
	latencyestimate.Key
	Estimate latencyestimate.Estimate `json:"estimate"`
}

// collectEstimates asks the switches that fit and joins what they know.
func (r *Server) collectEstimates(ctx context.Context, ask distribution.EstimatesRequest, fits func(distribution.Node) bool) EstimatesView {
	v := EstimatesView{At: time.Now().UTC(), Replicas: []ReplicaEstimate{}, Slow: []latencyestimate.SlowLookup{}}
	var mu sync.Mutex
	var wg sync.WaitGroup
	var views []latencyestimate.Snapshot
	gate := make(chan struct{}, maxConcurrentQueries)
	for _, n := range r.board.Nodes() {
		if !n.ServesClients() || n.Down || !fits(n) {
			continue
		}
		gate <- struct{}{}
		wg.Go(func() {
			defer func() { <-gate }()
			ctx, cancel := context.WithTimeout(ctx, queryTimeout)
			defer cancel()
			var one latencyestimate.Snapshot
			err := r.client.Call(ctx, internalAddress(n.Addr, r.settings.PortOf(settings.DataPlane)), "/estimates", ask, &one)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				v.Unanswered++
				return
			}
			v.Nodes++
			views = append(views, one)
		})
	}
	wg.Wait()
	all := latencyestimate.MergeSnapshots(views...)
	for _, k := range all.Sketches {
		v.Replicas = append(v.Replicas, ReplicaEstimate{k.Key, k.Sketch.Estimate()})
	}
	sort.Slice(v.Replicas, func(i, j int) bool {
		a, b := v.Replicas[i].Key, v.Replicas[j].Key
		switch {
		case a.Service != b.Service:
			return a.Service < b.Service
		case a.Class != b.Class:
			return a.Class < b.Class
		case a.Endpoint != b.Endpoint:
			return a.Endpoint < b.Endpoint
		}
		return a.Load < b.Load
	})
	v.Slow = append(v.Slow, all.SlowLookups...)
	sort.Slice(v.Slow, func(i, j int) bool { return v.Slow[i].At.Before(v.Slow[j].At) })
	v.Counters = all.Counters
	return v
}

// readEstimates answers with what all switches know: of ?service= and ?class=, and of the
// last ?seconds= of slow lookups, where they are given.
func (r *Server) readEstimates(c echo.Context) error {
	ask := distribution.EstimatesRequest{Service: c.QueryParam("service"), Class: c.QueryParam("class")}
	ctx, cancel := context.WithTimeout(c.Request().Context(), 4*time.Second)
	defer cancel()
	v := r.collectEstimates(ctx, ask, func(distribution.Node) bool { return true })
	if span, err := time.ParseDuration(c.QueryParam("seconds") + "s"); err == nil {
		from := v.At.Add(-span)
		at := sort.Search(len(v.Slow), func(i int) bool { return v.Slow[i].At.After(from) })
		v.Slow = v.Slow[at:]
	}
	return c.JSON(http.StatusOK, v)
}

// readSavedEstimates answers with what this registrar has written, oldest first.
func (r *Server) readSavedEstimates(c echo.Context) error {
	out := []json.RawMessage{}
	for _, name := range []string{exportFileName + ".1", exportFileName} {
		raw, err := os.ReadFile(filepath.Join(r.settings.DataDirectory, name))
		if err != nil {
			continue
		}
		for line := range bytes.Lines(raw) {
			if json.Valid(line) { // one may be torn
				out = append(out, json.RawMessage(line))
			}
		}
	}
	return c.JSON(http.StatusOK, out)
}

// exportLoop writes down, now and then, what the switches of this zone know, for those
// who read it in the morning.
func (r *Server) exportLoop() {
	if !r.settings.Estimates.Enabled {
		return
	}
	var last time.Time
	for {
		select {
		case <-time.After(exportInterval):
		case <-r.quit:
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		v := r.collectEstimates(ctx, distribution.EstimatesRequest{}, func(n distribution.Node) bool { return n.Zone == r.settings.AvailabilityZone })
		cancel()
		at := sort.Search(len(v.Slow), func(i int) bool { return v.Slow[i].At.After(last) })
		v.Slow, last = v.Slow[at:], v.At
		if err := r.appendEstimates(v); err != nil {
			r.log.Warn(logging.EstimateExportFailed).Err(err).Msg("the estimates could not be written")
		}
	}
}

// appendEstimates adds a line to the file, which is put aside when it is large. A line that
// was torn stays, and the next begins anew. Names are synced before what they hold counts.
func (r *Server) appendEstimates(v EstimatesView) error {
	dir := r.settings.DataDirectory
	path := filepath.Join(dir, exportFileName)
	info, err := os.Stat(path)
	if err == nil && info.Size() > maxExportFileSize {
		if err := r.disk.Rename(path, path+".1"); err != nil {
			return err
		}
		info = nil
	}
	raw, err := json.Marshal(v)
	if err != nil {
		return err
	}
	f, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	raw = append(raw, '\n')
	last := []byte{'\n'}
	if info != nil && info.Size() > 0 {
		_, _ = f.ReadAt(last, info.Size()-1)
	}
	if last[0] != '\n' {
		raw = append([]byte{'\n'}, raw...)
	}
	_, err = f.Write(raw)
	if err = errors.Join(err, f.Sync(), f.Close()); err != nil {
		return err
	}
	return r.disk.SyncDir(dir)
}
