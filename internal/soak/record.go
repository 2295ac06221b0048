package soak

import (
	"fmt"
	"sync"
	"time"
)

// Rule is a rule that the run judges.
type Rule string

// The rules, by the names of the pages.
const (
	ruleFault   Rule = "Fault"
	ruleMixed   Rule = "MIXED"
	ruleUnasked Rule = "UNASKED"
	ruleTwice   Rule = "TWICE"
	ruleRefused Rule = "REFUSED"
	ruleLost    Rule = "LOST"
	ruleRecover Rule = "RECOVER"
	ruleHarness Rule = "harness" // the run itself failed
)

// Violation is a rule that was broken.
type Violation struct {
	Rule        Rule          `json:"rule"`
	At          time.Duration `json:"at"` // nanoseconds after the start of the run
	Description string        `json:"what"`
}

// record collects what was seen. It is safe for concurrent use.
type record struct {
	startedAt time.Time

	mu       sync.Mutex // guards the fields below
	breaks   []Violation
	requests map[string]*request // by ID
	events   int
	peak     map[string]resources // by program
}

// resources are what the processes of a program took at most.
type resources struct {
	MemoryMb    float64 `json:"memoryMb"`
	Descriptors int     `json:"descriptors"`
}

func newRecord() *record {
	return &record{startedAt: time.Now(), requests: map[string]*request{}, peak: map[string]resources{}}
}

// broken notes a broken rule.
func (r *record) broken(rule Rule, format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.brokenLocked(rule, format, arguments...)
}

func (r *record) brokenLocked(rule Rule, format string, arguments ...any) {
	what := fmt.Sprintf(format, arguments...)
	r.breaks = append(r.breaks, Violation{Rule: rule, At: time.Since(r.startedAt), Description: what})
}
