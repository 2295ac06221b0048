package soak

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Times of the parts of a run that are not its disruptions.
const (
	startTimeout    = 60 * time.Second // until the first configuration is acknowledged
	recoveryTimeout = 60 * time.Second // until all serve again after the last disruption
	progressPause   = 5 * time.Second
)

// Report is what a run has shown.
type Report struct {
	Seed       uint64      `json:"seed"`
	Events     int         `json:"events"`
	Starts     int         `json:"starts"` // of processes
	Requests   int         `json:"requests"`
	Served     int         `json:"served"`
	Versions   uint64      `json:"versions"` // configurations acknowledged
	Violations []Violation `json:"breaks"`
	Summary    string      `json:"summary"`

	Peak map[string]resources `json:"peak"` // by program
}

// Run plays a plan with a binary. Settings, data, logs and the plan are written below dir. progress gets a line every
// few seconds.
func Run(ctx context.Context, plan Plan, binary, dir string, progress func(string)) (*Report, error) {
	f := newFleet(plan, binary, dir)
	if err := writePlan(plan, dir); err != nil {
		return nil, err
	}
	if err := f.start(ctx); err != nil {
		f.stop()
		return nil, err
	}
	o := newOperator(f)
	starting, cancel := context.WithTimeout(ctx, startTimeout)
	o.commitNext(starting)
	cancel()
	if o.acked.Load() == 0 {
		f.record.broken(ruleFault, "the first configuration was not acknowledged in %v", startTimeout)
	}
	f.disrupt(ctx, o, progress)
	f.recover(ctx, o)
	interrupted := ctx.Err() // what an interrupt ends is not judged
	f.stop()
	return f.report(o), interrupted
}

func writePlan(plan Plan, dir string) error {
	raw, err := json.MarshalIndent(plan, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, "plan.json"), raw, 0o600)
}

// disrupt plays the events beside the traffic and the changes.
func (f *Fleet) disrupt(ctx context.Context, o *operator, progress func(string)) {
	traffic, stopTraffic := context.WithCancel(ctx)
	var callers sync.WaitGroup
	callers.Go(func() { o.run(traffic) })
	callers.Go(func() { f.watchResources(traffic) })
	for number := range f.plan.Size.Clients {
		callers.Go(func() { newClient(f, number).run(traffic) })
	}
	callers.Go(func() {
		for traffic.Err() == nil {
			progress(f.describe())
			select {
			case <-time.After(progressPause):
			case <-traffic.Done():
			}
		}
	})
	began := time.Now()
	for _, e := range f.plan.Events {
		select {
		case <-time.After(time.Until(began.Add(e.At))):
		case <-ctx.Done():
		}
		if ctx.Err() != nil {
			break
		}
		f.play(ctx, e)
		f.record.mu.Lock()
		f.record.events++
		f.record.mu.Unlock()
	}
	stopTraffic()
	callers.Wait()
}

// recover judges RECOVER: after the last disruption the system serves again; and LOST.
func (f *Fleet) recover(ctx context.Context, o *operator) {
	recovering, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	o.awaitReadBack(recovering)
	for i := range f.plan.Size.Proxies {
		proxy := f.host(1 + f.plan.Size.ControlNodes + i)
		for !isReady(recovering, at(proxy, readinessPort)) {
			if recovering.Err() != nil {
				f.record.broken(ruleRecover, "%s is not ready %v after the last disruption", proxy, recoveryTimeout)
				break
			}
			time.Sleep(operatorPause)
		}
	}
}

func isReady(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/readiness", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (f *Fleet) report(o *operator) *Report {
	r := &Report{Seed: f.plan.Seed, Versions: o.acked.Load(), Summary: f.describe()}
	for _, u := range f.units {
		r.Starts += u.starts
	}
	f.record.mu.Lock()
	defer f.record.mu.Unlock()
	r.Events, r.Requests, r.Violations = f.record.events, len(f.record.requests), f.record.breaks
	r.Peak = f.record.peak
	for _, q := range f.record.requests {
		if q.status == http.StatusOK {
			r.Served++
		}
	}
	return r
}
