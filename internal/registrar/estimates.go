package registrar

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

	"comethold/internal/estimate"
	"comethold/internal/event"
	"comethold/internal/feed"
	"comethold/internal/settings"

	"github.com/labstack/echo/v4"
)

// Bounds of the estimates' collection and export.
const (
	askersAtOnce = 16
	askerLimit   = 800 * time.Millisecond
	exportEvery  = 2 * time.Minute // sketches are of the last one to two minutes
	exportMost   = 4 << 20         // bytes of a file; the one before is kept
	exportName   = "estimates.jsonl"
)

// EstimatesView is what an operator sees of lookups.
type EstimatesView struct {
	At     time.Time       `json:"at"`
	Nodes  int             `json:"nodes"`      // switches that answered
	Silent int             `json:"unanswered"` // switches that did not
	Copies []CopyView      `json:"copies"`
	Slow   []estimate.Slow `json:"slow"` // oldest first
	Tally  estimate.Tally  `json:"tally"`
}

// CopyView is the estimate for one copy.
type CopyView struct {
	estimate.Key
	Estimate estimate.Estimate `json:"estimate"`
}

// collectEstimates asks the switches that fit and joins what they know.
func (r *Registrar) collectEstimates(ctx context.Context, ask feed.EstimatesAsk, fits func(feed.Node) bool) EstimatesView {
	v := EstimatesView{At: time.Now().UTC(), Copies: []CopyView{}, Slow: []estimate.Slow{}}
	var mu sync.Mutex
	var wg sync.WaitGroup
	var views []estimate.View
	gate := make(chan struct{}, askersAtOnce)
	for _, n := range r.board.directory() {
		if !n.Serves() || n.Down || !fits(n) {
			continue
		}
		gate <- struct{}{}
		wg.Go(func() {
			defer func() { <-gate }()
			ctx, cancel := context.WithTimeout(ctx, askerLimit)
			defer cancel()
			var one estimate.View
			err := r.host.call.Call(ctx, innerAddr(n.Addr, r.set.PortOf(settings.Switch)), "/estimates", ask, &one)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				v.Silent++
				return
			}
			v.Nodes++
			views = append(views, one)
		})
	}
	wg.Wait()
	all := estimate.Merge(views...)
	for _, k := range all.Sketches {
		v.Copies = append(v.Copies, CopyView{k.Key, k.Sketch.Estimate()})
	}
	sort.Slice(v.Copies, func(i, j int) bool {
		a, b := v.Copies[i].Key, v.Copies[j].Key
		switch {
		case a.Service != b.Service:
			return a.Service < b.Service
		case a.Class != b.Class:
			return a.Class < b.Class
		case a.Leaf != b.Leaf:
			return a.Leaf < b.Leaf
		}
		return a.Load < b.Load
	})
	v.Slow = append(v.Slow, all.Slow...)
	sort.Slice(v.Slow, func(i, j int) bool { return v.Slow[i].At.Before(v.Slow[j].At) })
	v.Tally = all.Tally
	return v
}

// readEstimates answers with what all switches know: of ?service= and ?class=, and of the
// last ?seconds= of slow lookups, where they are given.
func (r *Registrar) readEstimates(c echo.Context) error {
	ask := feed.EstimatesAsk{Service: c.QueryParam("service"), Class: c.QueryParam("class")}
	ctx, cancel := context.WithTimeout(c.Request().Context(), 4*time.Second)
	defer cancel()
	v := r.collectEstimates(ctx, ask, func(feed.Node) bool { return true })
	if span, err := time.ParseDuration(c.QueryParam("seconds") + "s"); err == nil {
		from := v.At.Add(-span)
		at := sort.Search(len(v.Slow), func(i int) bool { return v.Slow[i].At.After(from) })
		v.Slow = v.Slow[at:]
	}
	return c.JSON(http.StatusOK, v)
}

// savedEstimates answers with what this registrar has written, oldest first.
func (r *Registrar) savedEstimates(c echo.Context) error {
	out := []json.RawMessage{}
	for _, name := range []string{exportName + ".1", exportName} {
		raw, err := os.ReadFile(filepath.Join(r.set.DataDirectory, name))
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
func (r *Registrar) exportLoop() {
	if !r.set.Estimates.Enabled {
		return
	}
	var last time.Time
	for {
		select {
		case <-time.After(exportEvery):
		case <-r.quit:
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		v := r.collectEstimates(ctx, feed.EstimatesAsk{}, func(n feed.Node) bool { return n.Zone == r.set.AvailabilityZone })
		cancel()
		at := sort.Search(len(v.Slow), func(i int) bool { return v.Slow[i].At.After(last) })
		v.Slow, last = v.Slow[at:], v.At
		if err := r.saveEstimates(v); err != nil {
			r.log.Warn(event.ExportFailed).Err(err).Msg("the estimates could not be written")
		}
	}
}

// saveEstimates adds a line to the file, which is put aside when it is large. A line that
// was torn stays, and the next begins anew. Names are synced before what they hold counts.
func (r *Registrar) saveEstimates(v EstimatesView) error {
	dir := r.set.DataDirectory
	path := filepath.Join(dir, exportName)
	info, err := os.Stat(path)
	if err == nil && info.Size() > exportMost {
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
