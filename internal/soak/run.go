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

// Durations of the phases of a run before and after the disruptions, and of the progress lines.
const (
	startTimeout     = 60 * time.Second // until the first configuration is acknowledged
	recoveryTimeout  = 60 * time.Second // until the system serves again after the last disruption
	progressInterval = 5 * time.Second
)

// Report is the result of a run.
type Report struct {
	Seed       uint64      `json:"seed"`
	Events     int         `json:"events"`
	Starts     int         `json:"starts"` // process starts, including restarts
	Requests   int         `json:"requests"`
	Served     int         `json:"served"`   // requests answered with 200
	Versions   uint64      `json:"versions"` // newest acknowledged version of the configuration
	Violations []Violation `json:"breaks"`
	Summary    string      `json:"summary"`

	Peak map[string]resourceUsage `json:"peak"` // highest usage of a process, by program
}

// Run executes a plan with the given binary. It writes settings, data, logs and the plan below dir, and calls progress
// with a summary line every few seconds. It returns an error if the run cannot be started or ctx ends early.
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
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	o.commitNext(startCtx)
	cancel()
	if o.acknowledgedVersion.Load() == 0 {
		f.recorder.addViolation(ruleFault, "first configuration was not acknowledged within %v", startTimeout)
	}
	f.runDisruptions(ctx, o, progress)
	f.awaitRecovery(ctx, o)
	interrupted := ctx.Err() // an interruption during the shutdown is not an error
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

// runDisruptions executes the events of the plan while clients send requests and the operator changes the
// configuration.
func (f *Fleet) runDisruptions(ctx context.Context, o *operator, progress func(string)) {
	trafficCtx, stopTraffic := context.WithCancel(ctx)
	var background sync.WaitGroup
	background.Go(func() { o.run(trafficCtx) })
	background.Go(func() { f.watchResources(trafficCtx) })
	for number := range f.plan.Size.Clients {
		background.Go(func() { newClient(f, number).run(trafficCtx) })
	}
	background.Go(func() {
		for trafficCtx.Err() == nil {
			progress(f.summary())
			select {
			case <-time.After(progressInterval):
			case <-trafficCtx.Done():
			}
		}
	})
	start := time.Now()
	for _, e := range f.plan.Events {
		select {
		case <-time.After(time.Until(start.Add(e.At))):
		case <-ctx.Done():
		}
		if ctx.Err() != nil {
			break
		}
		f.execute(ctx, e)
		f.recorder.mu.Lock()
		f.recorder.events++
		f.recorder.mu.Unlock()
	}
	stopTraffic()
	background.Wait()
}

// awaitRecovery checks rule RECOVER: within recoveryTimeout after the last disruption, a control node answers a read
// and all proxies become ready. It also checks rule LOST.
func (f *Fleet) awaitRecovery(ctx context.Context, o *operator) {
	recoveryCtx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	o.checkReadBack(recoveryCtx)
	for i := range f.plan.Size.Proxies {
		proxy := f.hostIP(1 + f.plan.Size.ControlNodes + i)
		for !isReady(recoveryCtx, hostPort(proxy, readinessPort)) {
			if recoveryCtx.Err() != nil {
				f.recorder.addViolation(ruleRecover, "%s did not become ready within %v after the last disruption",
					proxy, recoveryTimeout)
				break
			}
			time.Sleep(operatorInterval)
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
	r := &Report{Seed: f.plan.Seed, Versions: o.acknowledgedVersion.Load(), Summary: f.summary()}
	for _, u := range f.units {
		r.Starts += u.starts
	}
	f.recorder.mu.Lock()
	defer f.recorder.mu.Unlock()
	r.Events, r.Requests, r.Violations = f.recorder.events, len(f.recorder.requests), f.recorder.violations
	r.Peak = f.recorder.peakResources
	for _, q := range f.recorder.requests {
		if q.status == http.StatusOK {
			r.Served++
		}
	}
	return r
}
