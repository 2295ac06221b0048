// Package outboxpublisher delivers the rows of the transactional outbox to every control node.
//
// A change of the state and the notification of it are committed in one transaction, so the
// outbox in the meta cell holds exactly the committed changes. Two types work on it:
//
//   - Publisher runs on the control node that holds the placement lease. It claims the rows
//     that are due, delivers their notifications to every live control node, and marks a row
//     as published once each of them has acknowledged it; otherwise the row is retried later.
//   - Consumer runs on every control node. It decides each notification with its inbox
//     (applied, duplicate, deferred or quarantined), passes applied and duplicate ones to the
//     distributor, and puts a new configuration into effect on this node.
//
// A notification that is invalid or conflicts with an earlier one is stored in the Quarantine
// for the operator to inspect.
//
// Operators don't wait for this package: a change is acknowledged when its transaction is
// committed.
package outboxpublisher
