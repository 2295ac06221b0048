// Package outbox holds the rules of the transactional outbox, the inbox and the receipts of
// requests, after "Usage Billing Part 3: Microservices, Outbox, and Inbox".
//
// A change, the receipt of the request for it and its notification are committed in one
// transaction of a cell. The notification lies in the outbox as a Row, which a publisher
// claims and sends, again and again until it is published. A receiver decides each
// notification against its Inbox before it changes anything, so that one that is repeated,
// early or damaged does no harm. A Receipt remembers the answer under a request's
// idempotency key.
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
	// ErrContentMismatch says that an event ID came before with other content.
	ErrContentMismatch = errors.New("outbox: the event ID is known with other content")
)
