package paxos

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/anishathalye/porcupine"
)

// The history of a chaosRun is checked against the model of a register with compare-and-set: each
// change is conditional on the value that it replaces.

// change is the input of an operation that replaces the value base with value. A read has a nil
// input.
type change struct{ base, value string }

// changeOutcome is the output of a change. The output of a read is the value as a string.
type changeOutcome int

const (
	outcomeUnknown changeOutcome = iota
	outcomeCommitted
	outcomeIgnored
)

// registerModel is the sequential specification of registerKey. Its state is the value, "" if the key
// does not exist.
var registerModel = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		proposed, isChange := input.(change)
		if !isChange {
			return output == state, state
		}
		matches := proposed.base == state
		switch output {
		case outcomeCommitted:
			return matches, proposed.value
		case outcomeIgnored:
			return !matches, state
		}
		return false, state
	},
}

// startChange records a change that is proposed now. Until its outcome is known it has no end.
func (c *chaosRun) startChange(id string) {
	c.changes[id] = &porcupine.Operation{
		Input:  change{c.baseOf[id], c.valueOf[id]},
		Output: outcomeUnknown,
		Call:   int64(c.now),
		Return: int64(unboundedStaleness),
	}
}

// startRead records a read that starts now.
func (c *chaosRun) startRead(ticket uint64) {
	c.pendingReads[ticket] = &porcupine.Operation{Call: int64(c.now)}
}

// recordHistory sets the callbacks that record the ends and results of changes and reads.
func (c *chaosRun) recordHistory() {
	c.onOutcome = func(_ *simulatedNode, outcome Outcome) {
		operation := c.changes[outcome.TxnID]
		if operation == nil || outcome.Unknown || operation.Output != outcomeUnknown {
			return
		}
		operation.Return = int64(c.now)
		operation.Output = outcomeIgnored
		if outcome.Committed {
			operation.Output = outcomeCommitted
		}
	}
	c.onRead = func(node *simulatedNode, ticket uint64) {
		operation := c.pendingReads[ticket]
		if operation == nil {
			return
		}
		value, _ := node.replica.Get(registerKey)
		operation.Return = int64(c.now)
		operation.Output = string(value.Bytes)
		c.finishedReads = append(c.finishedReads, *operation)
		delete(c.pendingReads, ticket)
	}
}

// history returns the operations to check. Each change that takes effect writes a key with
// changeKeyPrefix. A change with an unknown outcome is omitted if the leader lacks that key, and
// counted as committed otherwise.
func (c *chaosRun) history() []porcupine.Operation {
	operations := slices.Clone(c.finishedReads)
	for _, id := range slices.Sorted(maps.Keys(c.changes)) {
		operation := *c.changes[id]
		if operation.Output == outcomeUnknown {
			if _, ok := c.findNode("leader").replica.Get(changeKeyPrefix + c.valueOf[id]); !ok {
				continue
			}
			operation.Output = outcomeCommitted
		}
		if operation.Output == outcomeIgnored && operation.Return-operation.Call > int64(time.Second) {
			continue // a long ignored change hardly constrains the history, and many of them slow the check down
		}
		operations = append(operations, operation)
	}
	for i := range operations {
		operations[i].ClientId = i
	}
	return operations
}

// checkLinearizable checks that the history is linearizable. The check must end within 20 s.
func (c *chaosRun) checkLinearizable() {
	const timeout = 20 * time.Second
	operations := c.history()
	switch porcupine.CheckOperationsTimeout(registerModel, operations, timeout) {
	case porcupine.Illegal:
		c.t.Fatalf("%s: the history of %d changes and reads is not linearizable, want a linearizable one",
			c.name, len(operations))
	case porcupine.Unknown:
		c.t.Errorf("%s: the check of a history of %d changes and reads did not end within 20 s", c.name, len(operations))
	case porcupine.Ok:
	}
}

// checkAcknowledged checks that the history is linearizable, that every running voter has all
// acknowledged changes, and that no two acknowledged changes replace the same value.
func (c *chaosRun) checkAcknowledged() {
	c.checkLinearizable()
	c.putUntilCommitted("last"+strconv.Itoa(c.lastOperation), "x")
	c.settleAndCheckAcknowledged()
	for id, status := range c.txnStatus {
		value, isChange := c.valueOf[id]
		if !isChange || status != statusCommitted {
			continue
		}
		base := c.baseOf[id]
		if other, taken := c.successorOf[base]; taken && other != value {
			c.t.Fatalf("%s at %v: %s and %s were both acknowledged as replacements of %q, want one",
				c.name, c.now, other, value, base)
		}
		c.successorOf[base] = value
	}
}
