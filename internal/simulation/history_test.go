package simulation_test

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
)

// operatorCall is a change of the configuration, or a read of it.
type operatorCall struct {
	read          bool
	version, base uint64
	body          string
}

type operatorAnswer struct {
	status int // 0: no answer
	body   string
}

// history records the operators' calls and answers. A logical clock numbers calls and returns, since several
// of them can happen at the same simulated time.
type history struct {
	mu    sync.Mutex // guards the fields below
	clock int64
	ops   []porcupine.Operation
}

func (h *history) tick() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.clock++
	return h.clock
}

// record records a completed call that began at a tick. It ignores failed reads and malformed changes.
func (h *history) record(from int64, c operatorCall, a operatorAnswer) {
	if !c.read {
		var v struct {
			Version uint64 `json:"version"`
		}
		if json.Unmarshal([]byte(c.body), &v) != nil {
			return
		}
		c.version = v.Version
	} else if a.status != http.StatusOK && a.status/100 != 4 {
		return // a failed read does not constrain the history
	}
	to := h.tick()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{Input: c, Call: from, Output: a, Return: to})
}

// configurationChain is a state of the configuration: the last accepted change and all before it. Equal
// states share one pointer, so that the checker can compare states by pointer.
type configurationChain struct {
	operatorCall
	previous *configurationChain
}

func (s *configurationChain) contains(c operatorCall) bool {
	for ; s != nil; s = s.previous {
		if s.operatorCall == c {
			return true
		}
	}
	return false
}

// isIndeterminate reports whether the outcome of a change is unknown after this answer.
func (a operatorAnswer) isIndeterminate() bool {
	switch a.status {
	case 0, http.StatusRequestTimeout, http.StatusTooManyRequests:
		return true
	}
	return a.status/100 == 5
}

// configurationModel returns the sequential specification: a compare-and-swap register, where a change
// succeeds only if its base is the current version.
func configurationModel() porcupine.Model {
	known := map[configurationChain]*configurationChain{}
	return porcupine.Model{
		Init: func() any { return (*configurationChain)(nil) },
		Step: func(state, input, output any) (bool, any) {
			s, _ := state.(*configurationChain) // nil before the first change
			c, a := inputOf(input), outputOf(output)
			current, body := uint64(0), ""
			if s != nil {
				current, body = s.version, s.body
			}
			switch {
			case c.read && a.status == http.StatusOK:
				return s != nil && a.body == body, s
			case c.read:
				return a.status == http.StatusNotFound && s == nil, s
			case s.contains(c):
				return a.status == http.StatusOK || a.isIndeterminate(), s
			case a.status == http.StatusOK || a.isIndeterminate() && current == c.base && c.version > current:
				if current != c.base || c.version <= current {
					return false, s
				}
				next := configurationChain{c, s}
				if known[next] == nil {
					known[next] = &next
				}
				return true, known[next]
			case a.isIndeterminate(): // the change had no effect
				return true, s
			case a.status == http.StatusPreconditionFailed:
				return current != c.base, s
			}
			return c.version <= c.base, s // rejected as invalid
		},
	}
}

// inputOf and outputOf return the input and output that record put into an operation.
func inputOf(input any) operatorCall {
	c, _ := input.(operatorCall)
	return c
}

func outputOf(output any) operatorAnswer {
	a, _ := output.(operatorAnswer)
	return a
}

// operations returns the recorded calls in order. It merges all calls of the same change with an unknown
// outcome into one that never returns: the change may take effect at any time after the first call, or never.
func (h *history) operations() []porcupine.Operation {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []porcupine.Operation
	seen := map[operatorCall]bool{}
	byCall := func(a, b porcupine.Operation) int { return cmp.Compare(a.Call, b.Call) }
	for _, op := range slices.SortedFunc(slices.Values(h.ops), byCall) {
		if outputOf(op.Output).isIndeterminate() {
			c := inputOf(op.Input)
			if seen[c] {
				continue
			}
			seen[c] = true
			op.Return = h.clock + 1
		}
		out = append(out, op)
	}
	return out
}

// check returns an error unless the history is linearizable. It must not run on simulated time, where its
// time limit would never expire.
func (h *history) check() error {
	ops := h.operations()
	result := porcupine.CheckOperationsTimeout(configurationModel(), ops, 30*time.Second)
	if result == porcupine.Ok {
		return nil
	}
	var b strings.Builder
	for _, op := range ops {
		c, a := inputOf(op.Input), outputOf(op.Output)
		_, mark, _ := strings.Cut(c.body, `"name":`)
		description := fmt.Sprintf("replace %d on %d (%.6s)", c.version, c.base, mark)
		if c.read {
			var v struct{ Version uint64 }
			_ = json.Unmarshal([]byte(a.body), &v)
			description = fmt.Sprintf("read %d", v.Version)
		}
		fmt.Fprintf(&b, "\n%d..%d %s: %d", op.Call, op.Return, description, a.status)
	}
	return fmt.Errorf("the history is not linearizable (%s):%s", result, b.String())
}

// TestHistory guards against a checker that accepts histories that are not linearizable, or rejects linearizable
// ones.
// A change is FROM-TO:VERSION/BASE/MARK=STATUS, a read FROM-TO:VERSION/MARK=STATUS; status 0 means no answer.
func TestHistory(t *testing.T) {
	cases := []struct {
		name, calls string
		ok          bool
	}{
		{"empty history", "", true},
		{"sequential changes and reads", "1-2:3/0/a=200 3-4:3/a=200 5-6:5/3/a=200 7-8:5/a=200", true},
		{"read before the first change", "1-2:0/=404 3-4:3/0/a=200", true},
		{"read finds no configuration after an acknowledged change", "1-2:3/0/a=200 3-4:0/=404", false},
		{"two versions acknowledged on one base", "1-6:3/0/a=200 2-5:5/0/a=200", false},
		{"two contents acknowledged for one version", "1-6:3/0/a=200 2-5:3/0/b=200", false},
		{"one of two concurrent changes rejected", "1-6:3/0/a=200 2-5:5/0/a=412", true},
		{"rejected for its base before any other change", "1-2:3/0/a=412 3-4:5/0/a=200", false},
		{"rejected for its base, which is current", "1-2:3/0/a=200 3-4:5/3/a=412", false},
		{"rejected when repeated after its acknowledgement", "1-2:3/0/a=200 3-4:3/0/a=412", false},
		{"rejected when repeated after a later change", "1-2:3/0/a=200 3-4:5/3/a=200 5-6:3/0/a=412", false},
		{"acknowledged again when repeated", "1-2:3/0/a=200 3-4:5/3/a=200 5-6:3/0/a=200 7-8:5/a=200", true},
		{"unknown outcome, took effect", "1-2:3/0/a=503 3-4:3/a=200 5-6:3/0/a=200", true},
		{"unknown outcome, took effect after a read", "1-2:3/0/a=0 3-4:0/=404 5-6:3/a=200", true},
		{"unknown outcome, no effect, rejected when repeated", "1-2:3/0/a=0 3-4:5/0/a=200 5-6:3/0/a=412", true},
		{"unknown outcome, took effect after another change on its base", "1-2:3/0/a=0 3-4:5/0/a=200 5-6:3/a=200", false},
		{"rejected, but took effect", "1-2:3/0/a=503 3-4:3/0/a=412 5-6:3/a=200", false},
		{"rejected as invalid, then acknowledged", "1-2:3/0/a=400 3-4:3/0/a=200", false},
		{"stale read after a later change", "1-2:3/0/a=200 3-4:5/3/a=200 5-6:3/a=200", false},
		{"second read older than the first", "1-9:3/0/a=503 2-3:3/a=200 4-5:0/=404", false},
		{"read concurrent with a change", "1-2:3/0/a=200 3-6:5/3/a=200 4-5:3/a=200", true},
		{"read returns other content", "1-2:3/0/a=200 3-4:3/b=200", false},
		{"version not above its base", "1-2:5/0/a=200 3-4:4/5/a=400 5-6:4/5/b=200", false},
	}
	for _, c := range cases {
		h := &history{clock: 99}
		for _, word := range strings.Fields(c.calls) {
			h.ops = append(h.ops, parseOperation(t, word))
		}
		if err := h.check(); (err == nil) != c.ok {
			t.Errorf("%s: check returned %v, want linearizable: %v", c.name, err, c.ok)
		}
	}
}

// parseOperation reads FROM-TO:VERSION/BASE/MARK=STATUS, or FROM-TO:VERSION/MARK=STATUS.
func parseOperation(t *testing.T, word string) porcupine.Operation {
	t.Helper()
	times, rest, _ := strings.Cut(word, ":")
	input, status, _ := strings.Cut(rest, "=")
	var op porcupine.Operation
	var answer operatorAnswer
	_, timesErr := fmt.Sscanf(times, "%d-%d", &op.Call, &op.Return)
	_, statusErr := fmt.Sscan(status, &answer.status)
	call := operatorCall{read: true}
	var callErr error
	if fields := strings.Split(input, "/"); len(fields) == 2 {
		answer.body = input
	} else {
		call = operatorCall{body: fields[0] + "/" + fields[2]}
		_, callErr = fmt.Sscan(fields[0]+" "+fields[1], &call.version, &call.base)
	}
	if err := errors.Join(timesErr, statusErr, callErr); err != nil {
		t.Fatalf("operation %q can't be parsed: %v", word, err)
	}
	op.Input = call
	op.Output = answer
	return op
}
