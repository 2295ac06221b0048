// Package paxos is a replicated state machine on Multi-Paxos, without input or output.
//
// A cell, the term of "Millions of Tiny Databases" (the paper below), is one replicated
// group: its voters agree on the entries of a log, and each of them applies the committed
// entries in order to its copy of a small key-value store. A Replica is one voter or learner
// of one cell.
//
// # Use
//
// The package reads no clock, no socket and no file. The owner of a Replica has one goroutine
// that calls it, and calls Ready after each of these:
//
//   - Step delivers a message from another replica.
//   - Tick passes the current time: it drives heartbeats, elections and retransmission.
//   - Propose queues a transaction on the leader; its Outcome comes with a later Ready.
//   - Read asks the leader for a linearizable read: its ticket comes back in
//     Ready.ConfirmedReads, and from then on Get returns all that was acknowledged before.
//
// Ready returns what the owner must do: sync Ready.Writes to disk, send Ready.Messages at
// once, and send Ready.MessagesAfterSync after these writes and all earlier ones are synced.
// A message to the replica itself goes back into Step. The example of Replica shows the loop.
// All times are readings of one monotonic clock of the owner's choice.
//
// # The steps of Paxos
//
// One distinguished proposer, here the leader, runs phase 1 once for all open log indexes and
// then phase 2 for each entry (the paper's section 2.2):
//
//   - phase 1a, Prepare: Replica.campaign in election.go, after the term is on disk
//   - phase 1b, Promise: handlePrepare in acceptor.go
//   - phase 2a, Accept: fillPipeline in proposer.go; at most Alpha entries are in flight, and
//     what a Promise reported is proposed again before anything new
//   - phase 2b, Accepted: handleAccept in acceptor.go
//   - learning: handleAccepted in proposer.go commits on the leader; followers learn from its
//     messages (learner.go), and by log segment or snapshot (catch_up.go, section 2.4)
//
// An Entry is committed once a majority of the voters of its index has accepted it under one
// proposal number. A membership change committed at index i decides who votes from index
// i+Alpha on (membership.go, the paper's section 2.4 and figure 6).
//
// Each file states what it owns and which invariant it keeps. Nothing in the package is safe
// for concurrent use.
package paxos
