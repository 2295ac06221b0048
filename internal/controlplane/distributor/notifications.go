package distributor

import (
	"cmp"
	"maps"
	"slices"
	"sort"

	"comethold/internal/controlplane/schema"
	"comethold/internal/distribution"
)

// notificationLog holds the latest notifications of the outbox, ordered by log index. It holds at
// most schema.MaxPublishedRows.
type notificationLog struct {
	notifications []distribution.OutboxNotification // replaced, never modified
	lowWatermark  uint64                            // notifications up to this log index were removed
	baseVersions  map[string]uint64                 // newest version by aggregate
}

func newNotificationLog() notificationLog {
	return notificationLog{baseVersions: map[string]uint64{}}
}

// add adds those notifications that are new, and reports whether there were any.
func (l *notificationLog) add(notifications []distribution.OutboxNotification) bool {
	isHeld := map[string]bool{}
	for i := range l.notifications {
		isHeld[l.notifications[i].Notification.EventID] = true
	}
	next := slices.Clone(l.notifications)
	for _, added := range notifications {
		eventID := added.Notification.EventID
		if added.LogIndex <= l.lowWatermark || isHeld[eventID] {
			continue
		}
		isHeld[eventID] = true
		next = append(next, added)
		aggregate := added.Notification.Aggregate
		l.baseVersions[aggregate] = max(l.baseVersions[aggregate], added.Notification.Version)
	}
	if len(next) == len(l.notifications) {
		return false
	}
	slices.SortStableFunc(next, func(a, b distribution.OutboxNotification) int {
		return cmp.Compare(a.LogIndex, b.LogIndex)
	})
	if excess := len(next) - schema.MaxPublishedRows; excess > 0 {
		l.lowWatermark = next[excess-1].LogIndex
		next = next[excess:]
	}
	l.notifications = next
	return true
}

// updateFrom returns the update for a node that holds the notifications up to the log index held,
// or nil if the node is up to date. If the node holds no notifications, or lacks some that were
// removed, the update contains the newest versions instead of notifications. These suffice
// because the other parts of the update contain the state after all notifications.
func (l *notificationLog) updateFrom(held uint64) *distribution.NotificationUpdate {
	end := len(l.notifications)
	if end == 0 || l.notifications[end-1].LogIndex <= held {
		return nil
	}
	update := &distribution.NotificationUpdate{LogIndex: l.notifications[end-1].LogIndex}
	begin := sort.Search(end, func(i int) bool { return l.notifications[i].LogIndex > held })
	if held == 0 || held < l.lowWatermark {
		begin = end
		update.Reset = true
		update.BaseVersions = maps.Clone(l.baseVersions)
	}
	update.Notifications = l.notifications[begin:end:end]
	return update
}
