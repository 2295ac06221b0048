package soak

import (
	"fmt"
	"sync"
	"time"
)

// Rule is the name of a rule that a run checks.
type Rule string

// The rules, named as in the documentation.
const (
	ruleFault   Rule = "Fault"
	ruleMixed   Rule = "MIXED"
	ruleUnasked Rule = "UNASKED"
	ruleTwice   Rule = "TWICE"
	ruleRefused Rule = "REFUSED"
	ruleLost    Rule = "LOST"
	ruleRecover Rule = "RECOVER"
	ruleHarness Rule = "harness" // failure of the test harness
)

// Violation is one observed violation of a rule.
type Violation struct {
	Rule        Rule          `json:"rule"`
	At          time.Duration `json:"at"` // since the start of the run, in nanoseconds
	Description string        `json:"what"`
}

// recorder collects the observations of a run. It is safe for concurrent use.
type recorder struct {
	startedAt time.Time

	mu            sync.Mutex // guards the fields below
	violations    []Violation
	requests      map[string]*request // by ID
	events        int
	peakResources map[string]resourceUsage // by program
}

// resourceUsage is the highest usage of a single process of a program.
type resourceUsage struct {
	MemoryMb    float64 `json:"memoryMb"`
	Descriptors int     `json:"descriptors"`
}

func newRecorder() *recorder {
	return &recorder{startedAt: time.Now(), requests: map[string]*request{}, peakResources: map[string]resourceUsage{}}
}

// addViolation records a violation of a rule.
func (r *recorder) addViolation(rule Rule, format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addViolationLocked(rule, format, arguments...)
}

// addViolationLocked is addViolation for callers that hold mu.
func (r *recorder) addViolationLocked(rule Rule, format string, arguments ...any) {
	description := fmt.Sprintf(format, arguments...)
	r.violations = append(r.violations, Violation{Rule: rule, At: time.Since(r.startedAt), Description: description})
}
