// Package outbox holds the rules of the transactional outbox, the inbox and the receipts of
// requests, after "Usage Billing Part 3: Microservices, Outbox, and Inbox".
//
// A change, the receipt of the request for it and its notification are committed in one
// transaction of a cell. The notification is stored in the outbox as a Row. A publisher claims
// the row and sends it until the delivery is acknowledged. A receiver checks each notification with
// its Inbox before it changes any state, so that a repeated, early or damaged notification has no
// effect. A Receipt records the outcome of a request under its idempotency key.
//
// The types are stored and sent: the numbers in their cbor tags must not change.
//
// The package does no I/O.
package outbox

import "errors"

// Errors of notifications and rows. Check for them with errors.Is.
var (
	// ErrInvalidNotification is returned if a notification is incomplete or damaged.
	ErrInvalidNotification = errors.New("outbox: the notification is invalid")
	// ErrInvalidState is returned if a row's state doesn't allow the transition.
	ErrInvalidState = errors.New("outbox: the state of the row does not allow the transition")
	// ErrNotOwner is returned if another publisher has claimed the row.
	ErrNotOwner = errors.New("outbox: the row is claimed by another publisher")
	// ErrContentMismatch is returned if an event ID was received before with different content.
	ErrContentMismatch = errors.New("outbox: the event ID is known with other content")
)
