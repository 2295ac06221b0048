// Package outbox holds the rules of the transactional outbox, the inbox and the receipts of
// requests, after "Usage Billing Part 3: Microservices, Outbox, and Inbox".
//
// A change, the receipt of the request for it and its notification are committed in one
// transaction of a cell. The notification is stored in the outbox as a Row, which a publisher
// claims and sends until it is published. A receiver decides each notification with its Inbox
// before it changes anything, so that a repeated, early or damaged notification does no harm.
// A Receipt records the answer to a request under its idempotency key.
//
// The types are stored and sent: the numbers in their cbor tags must not change.
//
// The package does no input or output.
package outbox

import "errors"

// Errors of notifications and rows. Test for them with errors.Is.
var (
	// ErrInvalidNotification says that a notification is incomplete or damaged.
	ErrInvalidNotification = errors.New("outbox: the notification is invalid")
	// ErrInvalidState says that a row's state doesn't allow the transition.
	ErrInvalidState = errors.New("outbox: the row is not in a state that allows this")
	// ErrNotOwner says that another publisher has claimed the row.
	ErrNotOwner = errors.New("outbox: the row is claimed by another publisher")
	// ErrContentMismatch says that an event ID was received before with other content.
	ErrContentMismatch = errors.New("outbox: the event ID is known with other content")
)
