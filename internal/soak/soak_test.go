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

// TestRaceBuiltPrograms guards against races, panics and ends of their own of real programs under series of signals.
func TestRaceBuiltPrograms(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "comethold")
	build := exec.CommandContext(t.Context(), "go", "build", "-race", "-o", binary, "../../cmd/comethold")
	if output, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, output)
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
		t.Fatal(err)
	}
	for _, b := range report.Violations {
		t.Errorf("%s at %v: %s", b.Rule, b.At, b.Description)
	}
	if report.Served == 0 || report.Versions < 2 || report.Starts <= size.units() {
		t.Errorf("nothing was played: %s", report.Summary)
	}
}

// TestDraw: a seed gives the same plan each time, and another seed another one.
func TestDraw(t *testing.T) {
	size := Size{ControlNodes: 3, Proxies: 2, ObjectCaches: 1, Clients: 1}
	plan := GeneratePlan(7, time.Minute, size)
	again, other := GeneratePlan(7, time.Minute, size), GeneratePlan(8, time.Minute, size)
	if !reflect.DeepEqual(plan, again) || reflect.DeepEqual(plan.Events, other.Events) {
		t.Error("the plan does not follow from the seed")
	}
	if len(plan.Events) < 60 {
		t.Errorf("%d events in a minute", len(plan.Events))
	}
	for _, e := range plan.Events {
		if e.Unit >= size.units() || e.Count < 1 || e.At >= time.Minute {
			t.Errorf("event %+v", e)
		}
	}
}

// TestCheckEnd: a process may end by SIGKILL, by SIGTERM with a last line, and by a signal before its first line.
func TestCheckEnd(t *testing.T) {
	const stopped = `{"event":101}` + "\n" + `{"event":103}` + "\n"
	early := func(number syscall.Signal) life { return life{earlySignals: map[syscall.Signal]bool{number: true}} }
	cases := []struct {
		end  endOfProcess
		want bool // it breaks the rule
	}{
		{endOfProcess{life: life{terminated: true}, log: stopped}, false},
		{endOfProcess{life: life{killed: true}, code: -1, signal: syscall.SIGKILL}, false},
		{endOfProcess{life: early(syscall.SIGHUP), code: -1, signal: syscall.SIGHUP}, false},
		{endOfProcess{life: early(syscall.SIGHUP), code: -1, signal: syscall.SIGPIPE}, true},
		{endOfProcess{life: early(syscall.SIGHUP), code: 1, log: `{"event":107}`}, true},
		{endOfProcess{code: 0, log: stopped}, true},
		{endOfProcess{life: life{terminated: true}, code: 1, log: stopped}, true},
		{endOfProcess{life: life{terminated: true}, log: `{"event":102}`}, true},
		{endOfProcess{life: life{terminated: true}, log: "WARNING: DATA RACE\n" + stopped}, true},
		{endOfProcess{life: life{killed: true}, log: "panic: broken\n"}, true},
	}
	for _, test := range cases {
		r := newRecord()
		checkEnd(r, test.end)
		if got := len(r.breaks) > 0; got != test.want {
			t.Errorf("%+v: broken %t", test.end, got)
		}
	}
}

// TestRequestRules: each rule on requests is broken by one history and held by one like it.
func TestRequestRules(t *testing.T) {
	cases := []struct {
		name string
		play func(r *record)
		want []Rule
	}{
		{"served", func(r *record) {
			r.sent("a", false)
			r.ran("a", true)
			r.answered("a", 200, true, answerBody("a"))
		}, nil},
		{"run without a client", func(r *record) { r.ran("a", true) }, []Rule{ruleUnasked}},
		{"changed", func(r *record) { r.sent("a", true); r.ran("a", false) }, []Rule{ruleUnasked}},
		{"repeatable twice", func(r *record) { r.sent("a", true); r.ran("a", true); r.ran("a", true) }, nil},
		{"twice", func(r *record) { r.sent("a", false); r.ran("a", true); r.ran("a", true) }, []Rule{ruleTwice}},
		{"other answer", func(r *record) {
			r.sent("a", true)
			r.ran("a", true)
			r.answered("a", 200, true, answerBody("b"))
		}, []Rule{ruleMixed}},
		{"no stamp", func(r *record) {
			r.sent("a", true)
			r.ran("a", true)
			r.answered("a", 200, false, answerBody("a"))
		}, []Rule{ruleMixed}},
		{"refused", func(r *record) { r.sent("a", false); r.answered("a", 503, false, "") }, nil},
		{"refused after it ran", func(r *record) {
			r.sent("a", false)
			r.ran("a", true)
			r.answered("a", 503, false, "")
		}, []Rule{ruleRefused}},
		{"run after it was refused", func(r *record) {
			r.sent("a", false)
			r.answered("a", 503, false, "")
			r.ran("a", true)
		}, []Rule{ruleRefused}},
		{"failed after it ran", func(r *record) {
			r.sent("a", false)
			r.ran("a", true)
			r.answered("a", 502, false, "")
		}, nil},
	}
	for _, test := range cases {
		r := newRecord()
		test.play(r)
		var got []Rule
		for _, b := range r.breaks {
			got = append(got, b.Rule)
		}
		if fmt.Sprint(got) != fmt.Sprint(test.want) {
			t.Errorf("%s: broken %v, want %v", test.name, got, test.want)
		}
	}
}
