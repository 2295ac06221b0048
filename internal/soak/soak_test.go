package soak

import (
	"context"
	"fmt"
	"os/exec"
	"path/filepath"
	"reflect"
	"syscall"
	"testing"
	"time"
)

// TestRaceBuiltPrograms guards against data races, panics, unexpected exits and violations of the other rules while
// real processes receive series of signals.
func TestRaceBuiltPrograms(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "comethold")
	build := exec.CommandContext(t.Context(), "go", "build", "-race", "-o", binary, "../../cmd/comethold")
	if output, err := build.CombinedOutput(); err != nil {
		t.Fatalf("go build failed: %v: %s", err, output)
	}
	const (
		seed     = 1
		duration = 20 * time.Second
	)
	size := Size{ControlNodes: 3, Proxies: 3, ObjectCaches: 1, Clients: 4}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Minute)
	defer cancel()
	plan := GeneratePlan(seed, duration, size)
	plan.RaceBuilt = true
	report, err := Run(ctx, plan, binary, t.TempDir(), func(line string) { t.Log(line) })
	if err != nil {
		t.Fatal("Run returned an error, want none:", err)
	}
	for _, b := range report.Violations {
		t.Errorf("rule %s was violated %v after the start of the run: %s", b.Rule, b.At, b.Description)
	}
	if report.Served == 0 || report.Versions < 2 || report.Starts <= size.units() {
		t.Errorf("run had no effect: %s; want served requests, at least 2 versions and restarts", report.Summary)
	}
}

// TestGeneratePlan guards against plans that cannot be reproduced from their seed or do not depend on it, and against
// events out of range.
func TestGeneratePlan(t *testing.T) {
	size := Size{ControlNodes: 3, Proxies: 2, ObjectCaches: 1, Clients: 1}
	plan := GeneratePlan(7, time.Minute, size)
	again, other := GeneratePlan(7, time.Minute, size), GeneratePlan(8, time.Minute, size)
	if !reflect.DeepEqual(plan, again) || reflect.DeepEqual(plan.Events, other.Events) {
		t.Error("GeneratePlan returned different plans for seed 7, or the same events for seeds 7 and 8")
	}
	if len(plan.Events) < 60 {
		t.Errorf("GeneratePlan returned %d events for a minute, want at least 60", len(plan.Events))
	}
	for _, e := range plan.Events {
		if e.Unit >= size.units() || e.Count < 1 || e.At >= time.Minute {
			t.Errorf("event %+v has a unit, count or time out of range", e)
		}
	}
}

// TestCheckExit guards against a check that misses a forbidden exit, or reports an allowed one: after SIGKILL, after
// SIGTERM with event 103 logged, or by a signal before the first log line.
func TestCheckExit(t *testing.T) {
	const stopped = `{"event":101}` + "\n" + `{"event":103}` + "\n"
	early := func(number syscall.Signal) signalHistory {
		return signalHistory{earlySignals: map[syscall.Signal]bool{number: true}}
	}
	cases := []struct {
		exit processExit
		want bool // whether a violation is expected
	}{
		{processExit{history: signalHistory{terminated: true}, log: stopped}, false},
		{processExit{history: signalHistory{killed: true}, code: -1, signal: syscall.SIGKILL}, false},
		{processExit{history: early(syscall.SIGHUP), code: -1, signal: syscall.SIGHUP}, false},
		{processExit{history: early(syscall.SIGHUP), code: -1, signal: syscall.SIGPIPE}, true},
		{processExit{history: early(syscall.SIGHUP), code: 1, log: `{"event":107}`}, true},
		{processExit{code: 0, log: stopped}, true},
		{processExit{history: signalHistory{terminated: true}, code: 1, log: stopped}, true},
		{processExit{history: signalHistory{terminated: true}, log: `{"event":102}`}, true},
		{processExit{history: signalHistory{terminated: true}, log: "WARNING: DATA RACE\n" + stopped}, true},
		{processExit{history: signalHistory{killed: true}, log: "panic: broken\n"}, true},
	}
	for _, test := range cases {
		r := newRecorder()
		checkExit(r, test.exit)
		if got := len(r.violations) > 0; got != test.want {
			t.Errorf("checkExit(%+v) reported a violation: %t, want %t", test.exit, got, test.want)
		}
	}
}

// TestRequestRules guards against rules on requests that miss a violation or report a valid history. Each violating
// history has a similar valid one.
func TestRequestRules(t *testing.T) {
	cases := []struct {
		name   string
		record func(r *recorder)
		want   []Rule
	}{
		{"served", func(r *recorder) {
			r.requestSent("a", false)
			r.requestExecuted("a", true)
			r.responseReceived("a", 200, true, responseBody("a"))
		}, nil},
		{"executed without a client", func(r *recorder) { r.requestExecuted("a", true) }, []Rule{ruleUnasked}},
		{"changed", func(r *recorder) { r.requestSent("a", true); r.requestExecuted("a", false) }, []Rule{ruleUnasked}},
		{"repeatable, executed twice", func(r *recorder) {
			r.requestSent("a", true)
			r.requestExecuted("a", true)
			r.requestExecuted("a", true)
		}, nil},
		{"twice", func(r *recorder) {
			r.requestSent("a", false)
			r.requestExecuted("a", true)
			r.requestExecuted("a", true)
		}, []Rule{ruleTwice}},
		{"response to another request", func(r *recorder) {
			r.requestSent("a", true)
			r.requestExecuted("a", true)
			r.responseReceived("a", 200, true, responseBody("b"))
		}, []Rule{ruleMixed}},
		{"no stamp", func(r *recorder) {
			r.requestSent("a", true)
			r.requestExecuted("a", true)
			r.responseReceived("a", 200, false, responseBody("a"))
		}, []Rule{ruleMixed}},
		{"refused", func(r *recorder) { r.requestSent("a", false); r.responseReceived("a", 503, false, "") }, nil},
		{"refused after execution", func(r *recorder) {
			r.requestSent("a", false)
			r.requestExecuted("a", true)
			r.responseReceived("a", 503, false, "")
		}, []Rule{ruleRefused}},
		{"executed after refusal", func(r *recorder) {
			r.requestSent("a", false)
			r.responseReceived("a", 503, false, "")
			r.requestExecuted("a", true)
		}, []Rule{ruleRefused}},
		{"failed after execution", func(r *recorder) {
			r.requestSent("a", false)
			r.requestExecuted("a", true)
			r.responseReceived("a", 502, false, "")
		}, nil},
	}
	for _, test := range cases {
		r := newRecorder()
		test.record(r)
		var got []Rule
		for _, b := range r.violations {
			got = append(got, b.Rule)
		}
		if fmt.Sprint(got) != fmt.Sprint(test.want) {
			t.Errorf("%s: recorder reported violations of %v, want %v", test.name, got, test.want)
		}
	}
}
