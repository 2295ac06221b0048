package controlclient

import (
	"comethold/internal/distribution"
	"comethold/internal/logging"
	"comethold/internal/outbox"
	"comethold/internal/rpc"
)

// maxDeferredNotifications bounds the early notifications that a node keeps.
const maxDeferredNotifications = 128

// applyNotificationsLocked decides the deferred notifications and the ones of an update,
// which may be nil, and acts on the ones that apply. The state that they refer to must be
// applied before.
func (s *appliedState) applyNotificationsLocked(u *distribution.NotificationUpdate) {
	heldVersions := map[string]uint64{outbox.AggregatePurges: s.purgeIndex.Load()}
	if table := s.routeTable.Load(); table != nil {
		heldVersions[outbox.AggregateConfiguration] = table.Version
	}
	undecided := s.deferred
	if u != nil && u.LogIndex > s.notificationIndex {
		if u.Reset {
			undecided = nil
			for aggregate, version := range u.BaseVersions {
				s.inbox.SetBaseVersion(aggregate, version)
			}
		}
		undecided = append(undecided, u.Notifications...)
		s.notificationIndex = u.LogIndex
	}
	s.deferred = nil
	for i := range undecided {
		n := &undecided[i]
		s.decideNotificationLocked(n, heldVersions[n.Notification.Aggregate])
	}
}

// decideNotificationLocked decides one notification and acts on it if it applies. held is
// the version of its aggregate that this node holds.
func (s *appliedState) decideNotificationLocked(n *distribution.OutboxNotification, held uint64) {
	message := &n.Notification
	if message.Version <= held {
		// Notifications are sent in order: a missing earlier one will not arrive any more,
		// but the held state already has its change.
		s.inbox.SetBaseVersion(message.Aggregate, message.PreviousVersion)
	}
	switch decision, err := s.inbox.Decide(message, held); decision {
	case outbox.Applied:
		s.actOnNotificationLocked(message)
	case outbox.Duplicate:
	case outbox.Deferred:
		if len(s.deferred) < maxDeferredNotifications {
			s.deferred = append(s.deferred, *n)
		}
	case outbox.Quarantined:
		s.log.Error(logging.NotificationQuarantined).
			Str("eventId", message.EventID).
			Err(err).
			Msg("a notification is quarantined")
	}
}

// actOnNotificationLocked acts on a notification that applies: after a change of the
// configuration it calls onTenantsChanged.
func (s *appliedState) actOnNotificationLocked(message *outbox.Notification) {
	if message.Aggregate != outbox.AggregateConfiguration {
		return
	}
	var change outbox.ConfigurationChange
	if rpc.Unmarshal(message.Payload, &change) == nil {
		s.onTenantsChanged(change.Tenants)
	}
}
