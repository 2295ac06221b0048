// Package outboxpublisher brings what the transactional outbox holds to every control node.
//
// A change of the state and the notification of it are committed in one transaction, so the
// outbox in the meta cell holds exactly the changes that stand. Two types work on it:
//
//   - Publisher runs on the control node that holds the placement lease. It claims the rows
//     that are due, delivers their notifications to every live control node, and marks a row
//     as published once each of them has applied it; otherwise the row is retried later.
//   - Consumer runs on every control node. It decides each notification with its inbox
//     (apply, duplicate, defer or quarantine), hands it to the data plane nodes that this
//     control node feeds, and brings the new configuration into force here.
//
// A notification that contradicts an earlier one goes to the Quarantine, where an operator
// finds it.
//
// Nothing that a client waits for waits for this package: a change is acknowledged when its
// transaction is committed.
package outboxpublisher
