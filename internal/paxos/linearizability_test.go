package paxos

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/anishathalye/porcupine"
)

// The history of a chaosRun is checked against a register with compare-and-set: each change names
// the value that it replaces.

// change is the input of an operation that replaces one value by another; a read has none.
type change struct{ base, value string }

// changeOutcome is the output of a change; that of a read is the value.
type changeOutcome int

const (
	outcomeUnknown changeOutcome = iota
	outcomeCommitted
	outcomeIgnored
)

// registerModel is the specification.
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

// startChange records that a change is proposed now.
func (c *chaosRun) startChange(id string) {
	c.changes[id] = &porcupine.Operation{
		Input:  change{c.baseOf[id], c.valueOf[id]},
		Output: outcomeUnknown,
		Call:   int64(c.now),
		Return: int64(unboundedStaleness),
	}
}

// startRead records that a read starts now.
func (c *chaosRun) startRead(ticket uint64) {
	c.pendingReads[ticket] = &porcupine.Operation{Call: int64(c.now)}
}

// recordHistory records when changes and reads end.
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

// history returns the operations to check. Every change leaves a key in the state: of those
// with an unknown outcome, the ones without that key never took effect.
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
			continue // it says next to nothing, and many of them take too long to check
		}
		operations = append(operations, operation)
	}
	for i := range operations {
		operations[i].ClientId = i
	}
	return operations
}

// checkLinearizable checks the history.
func (c *chaosRun) checkLinearizable() {
	const timeout = 20 * time.Second
	operations := c.history()
	switch porcupine.CheckOperationsTimeout(registerModel, operations, timeout) {
	case porcupine.Illegal:
		c.t.Fatalf("%s: the history of %d changes and reads is not linearizable", c.name, len(operations))
	case porcupine.Unknown:
		c.t.Errorf("%s: a history of %d changes and reads could not be checked in time", c.name, len(operations))
	case porcupine.Ok:
	}
}

// checkAcknowledged checks the history, that all acknowledged changes are there, and that no
// two of them build on the same value.
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
			c.t.Fatalf("%s at %v: %s and %s were both acknowledged on top of %q", c.name, c.now, other, value, base)
		}
		c.successorOf[base] = value
	}
}
