package distribution

import "comethold/internal/outbox"

// OutboxNotification is a notification with the position of its outbox row.
type OutboxNotification struct {
	// LogIndex is the position of the row in the meta cell's log.
	LogIndex     uint64              `cbor:"1,keyasint"`
	Notification outbox.Notification `cbor:"2,keyasint"`
}

// NotificationUpdate holds the notifications after the log index that the receiver holds.
type NotificationUpdate struct {
	// LogIndex is the position in the meta cell's log up to which the notifications go.
	LogIndex      uint64               `cbor:"1,keyasint"`
	Notifications []OutboxNotification `cbor:"2,keyasint,omitempty"`
	// Reset says that there are no notifications from there: the other parts of the same
	// update are the state after all of them up to LogIndex.
	Reset bool `cbor:"3,keyasint,omitempty"`
	// BaseVersions, with Reset, holds the newest version of each aggregate at LogIndex.
	BaseVersions map[string]uint64 `cbor:"4,keyasint,omitempty"`
}
