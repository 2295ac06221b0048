package controlplane

import (
	"cmp"
	"maps"
	"slices"
	"sort"

	"comethold/internal/controlplane/schema"
	"comethold/internal/distribution"
)

// AddNotifications puts those that are new on the board, in order of position, all at once.
func (b *Distributor) AddNotifications(list []distribution.OutboxNotification) {
	b.mu.Lock()
	defer b.mu.Unlock()
	known := map[string]bool{}
	for i := range b.notifications {
		known[b.notifications[i].Notification.EventID] = true
	}
	next := slices.Clone(b.notifications)
	for _, n := range list {
		if id := n.Notification.EventID; n.LogIndex > b.notificationLowWatermark && !known[id] {
			known[id] = true
			next = append(next, n)
			b.notificationBaseVersions[n.Notification.Aggregate] = max(b.notificationBaseVersions[n.Notification.Aggregate], n.Notification.Version)
		}
	}
	if len(next) == len(b.notifications) {
		return
	}
	slices.SortStableFunc(next, func(a, b distribution.OutboxNotification) int { return cmp.Compare(a.LogIndex, b.LogIndex) })
	if over := len(next) - schema.MaxPublishedRows; over > 0 {
		b.notificationLowWatermark = next[over-1].LogIndex
		next = next[over:]
	}
	b.notifications = next
	b.notifyLocked()
}

// addNotificationsLocked adds the notices that the caller lacks.
func (b *Distributor) addNotificationsLocked(h distribution.HeldVersions, n *distribution.Update) {
	k := len(b.notifications)
	if k == 0 || b.notifications[k-1].LogIndex <= h.NotificationIndex {
		return
	}
	ns := &distribution.NotificationUpdate{LogIndex: b.notifications[k-1].LogIndex, Reset: h.NotificationIndex == 0 || h.NotificationIndex < b.notificationLowWatermark}
	at := sort.Search(k, func(i int) bool { return b.notifications[i].LogIndex > h.NotificationIndex })
	if ns.Reset {
		at, ns.BaseVersions = k, maps.Clone(b.notificationBaseVersions) // the state that it is given tells all that came before
	}
	ns.Notifications = b.notifications[at:k:k]
	n.Notifications = ns
}

// PurgePosition is the position up to which purges are held here.
func (b *Distributor) PurgePosition() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.purgePosition
}
