// Package statemachine is what a cell replicates: a typed key-value store that changes by
// transactions, and the memberships of the cell itself.
//
// It knows nothing of consensus: package paxos applies to a State the transactions of the
// committed log entries in order, and exchanges its Snapshots. Given the same entries, all
// replicas hold the same state, whatever version they run: an operation must never change
// its meaning, only new ones may be added.
//
// The data model is that of "Millions of Tiny Databases", section 2.3; memberships follow its
// section 2.4.
package statemachine
