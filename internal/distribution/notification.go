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
	// LogIndex is the position in the meta cell's log up to which notifications are included.
	LogIndex      uint64               `cbor:"1,keyasint"`
	Notifications []OutboxNotification `cbor:"2,keyasint,omitempty"`
	// Reset is set if the notifications since the receiver's log index are not included. The
	// other parts of the same update then hold the state after all of them up to LogIndex.
	Reset bool `cbor:"3,keyasint,omitempty"`
	// BaseVersions holds the newest version of each aggregate at LogIndex. It is set with Reset.
	BaseVersions map[string]uint64 `cbor:"4,keyasint,omitempty"`
}
