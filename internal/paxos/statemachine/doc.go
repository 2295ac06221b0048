// Package statemachine is the state that a cell replicates: a typed key-value store changed by
// transactions, and the memberships of the cell itself.
//
// It knows nothing of consensus: package paxos applies the transactions of committed log entries
// to a State in order, and exchanges its Snapshots. Given the same entries, all replicas hold
// the same state, whatever version they run. So the meaning of an operation must never change;
// only new operations may be added.
//
// The data model is that of "Millions of Tiny Databases", section 2.3; memberships follow its
// section 2.4.
package statemachine
