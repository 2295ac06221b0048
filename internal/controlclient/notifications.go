package controlclient

import (
	"comethold/internal/distribution"
	"comethold/internal/logging"
	"comethold/internal/outbox"
	"comethold/internal/rpc"
)

// maxDeferredNotifications bounds the deferred notifications that a node keeps. Further ones are
// dropped.
const maxDeferredNotifications = 128

// applyNotificationsLocked passes the deferred notifications and those of u, which may be nil, to
// the inbox, and acts on those that the inbox applies. The state that the notifications refer to
// must be applied before the call.
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

// decideNotificationLocked passes one notification to the inbox and handles its decision. held is
// the version of the aggregate that this node holds.
func (s *appliedState) decideNotificationLocked(n *distribution.OutboxNotification, held uint64) {
	message := &n.Notification
	if message.Version <= held {
		// Notifications are sent in order, so missing earlier ones will not arrive. The held
		// state already contains their changes.
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
			Msg("notification quarantined")
	}
}

// actOnNotificationLocked acts on an applied notification: it calls onTenantsChanged after a
// change of the configuration.
func (s *appliedState) actOnNotificationLocked(message *outbox.Notification) {
	if message.Aggregate != outbox.AggregateConfiguration {
		return
	}
	var change outbox.ConfigurationChange
	if rpc.Unmarshal(message.Payload, &change) == nil {
		s.onTenantsChanged(change.Tenants)
	}
}
