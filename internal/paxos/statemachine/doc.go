// Package statemachine implements the state that a cell replicates: a typed key-value store that
// is changed by transactions, and the memberships of the cell itself.
//
// The package does not depend on consensus: package paxos applies the transactions of committed
// log entries to a State in log order, and exchanges Snapshots of it. Replicas that have applied
// the same entries must hold the same state, even if they run different versions. Therefore the
// meaning of an operation must never change; only new operations may be added.
//
// The data model follows section 2.3 of the paper "Millions of Tiny Databases", and memberships
// follow its section 2.4.
package statemachine
