// Package paxos implements a replicated state machine on Multi-Paxos. It performs no I/O.
//
// A cell is one replicated group. The term comes from "Millions of Tiny Databases", which the
// comments of this package call the paper. The voters of a cell agree on the entries of a log, and
// each of them applies the committed entries in order to its copy of a small key-value store. A
// Replica is one voter or learner of one cell.
//
// # Use
//
// The package reads no clock, no socket and no file. The owner of a Replica, which is the code
// that drives it and performs its I/O, calls it from one goroutine. The owner calls Ready after
// each of these:
//
//   - Step delivers a message from another replica.
//   - Tick passes the current time: it drives heartbeats, elections and retransmission.
//   - Propose queues a transaction on the leader; a later Ready contains its Outcome.
//   - Read starts a linearizable read on the leader. Once Ready.ConfirmedReads contains the ticket
//     of the read, Get reflects every transaction that was acknowledged before Read was called.
//
// Ready returns what the owner must do: sync Ready.Writes to disk, send Ready.Messages at
// once, and send Ready.MessagesAfterSync after these writes and all earlier ones are synced.
// The owner calls Step with each message that is addressed to the replica itself. The example of
// Replica shows the loop.
// All times are readings of one monotonic clock that the owner chooses.
//
// # The steps of Paxos
//
// One distinguished proposer, here the leader, runs phase 1 once for all open log indexes and
// then phase 2 for each entry (the paper's section 2.2):
//
//   - phase 1a, Prepare: Replica.campaign in election.go, after the term is on disk
//   - phase 1b, Promise: handlePrepare in acceptor.go
//   - phase 2a, Accept: fillPipeline in proposer.go; at most Alpha entries are in flight, and
//     entries that a Promise reported are proposed again before new ones
//   - phase 2b, Accepted: handleAccept in acceptor.go
//   - learning: handleAccepted in proposer.go commits on the leader; followers learn from its
//     messages (learner.go), and from log segments or snapshots (catch_up.go, section 2.4)
//
// An Entry is committed once a majority of the voters of its index has accepted it under one
// proposal number. A membership change committed at index i determines the voters from index
// i+Alpha on (membership.go, the paper's section 2.4 and figure 6).
//
// A comment in each file states which data the file owns and which invariant it keeps. The
// package is not safe for concurrent use.
package paxos
