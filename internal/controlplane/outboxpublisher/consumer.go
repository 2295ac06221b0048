package outboxpublisher

import (
	"context"
	"maps"
	"math"
	"slices"
	"sync"

	"comethold/internal/controlplane/schema"
	"comethold/internal/controlplane/taskgroup"
	"comethold/internal/distribution"
	"comethold/internal/logging"
	"comethold/internal/outbox"
	"comethold/internal/routing"
	"comethold/internal/rpc"
)

// InboxStorageKey is the key of the node's storage under which the inbox is kept.
const InboxStorageKey = "inbox"

// Distributor sends notifications to the data plane nodes. It also holds the state that the
// notifications announce.
type Distributor interface {
	// LatestConfiguration returns the newest configuration that this node holds, or nil.
	LatestConfiguration() *routing.Configuration
	// PurgeLogIndex returns the log index up to which this node holds purges.
	PurgeLogIndex() uint64
	// AddNotifications queues notifications for the data plane nodes, except known ones.
	AddNotifications(notifications []distribution.OutboxNotification)
}

// NodeStorage stores values that belong to this node.
type NodeStorage interface {
	// NodeValue returns a stored value, or nil.
	NodeValue(key string) []byte
	// QueueNodeValue stores a value without waiting for it to become durable.
	QueueNodeValue(key string, value []byte)
}

// ConsumerOptions are the dependencies of a Consumer.
type ConsumerOptions struct {
	State       StateReader
	Distributor Distributor
	Storage     NodeStorage
	Quarantine  *Quarantine
	// OnConfiguration is called when a configuration takes effect on this node. It may be
	// called again with the same configuration.
	OnConfiguration func(*routing.Configuration)
	Log             *logging.Logger
}

// Consumer applies the notifications of the outbox on this control node. It reads the rows
// from the local replica of the meta cell.
type Consumer struct {
	options ConsumerOptions
	wakeup  chan struct{} // holds an element when the outbox may have changed

	quarantining taskgroup.Group // pending commits to the quarantine

	mu                sync.Mutex // guards the fields below
	inbox             *outbox.Inbox
	loggedQuarantines map[string]bool // event IDs whose quarantine was logged
}

// NewConsumer returns a Consumer that continues with the stored inbox.
func NewConsumer(options ConsumerOptions) *Consumer {
	return &Consumer{
		options:           options,
		wakeup:            make(chan struct{}, 1),
		inbox:             loadInbox(options.Storage),
		loggedQuarantines: map[string]bool{},
	}
}

// loadInbox returns the stored inbox, or an empty one if none is stored or it can't be decoded.
func loadInbox(storage NodeStorage) *outbox.Inbox {
	raw := storage.NodeValue(InboxStorageKey)
	if raw == nil {
		return outbox.NewInbox()
	}
	inbox := outbox.NewInbox()
	if rpc.Unmarshal(raw, inbox) != nil || inbox.AppliedVersions == nil {
		return outbox.NewInbox()
	}
	return inbox
}

// Wake makes Run check the outbox. It does not block.
func (c *Consumer) Wake() {
	select {
	case c.wakeup <- struct{}{}:
	default:
	}
}

// Run applies notifications as the outbox changes, until the context ends.
func (c *Consumer) Run(ctx context.Context) {
	defer c.quarantining.Close()
	for {
		select {
		case <-c.wakeup:
			c.Apply()
		case <-ctx.Done():
			return
		}
	}
}

// Receive handles a delivery from a publisher. For each notification it returns whether this
// node acknowledges it: the node has applied it, or it is invalid and can never be applied.
// Receive applies only rows in the local replica, because the log defines their order. The
// publisher retries the notifications that are not acknowledged.
func (c *Consumer) Receive(notifications []outbox.Notification) (acknowledged []bool) {
	c.Apply()
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range notifications {
		notification := &notifications[i]
		invalid := notification.Validate() != nil
		applied := c.inbox.AppliedVersions[notification.Aggregate] >= notification.Version
		acknowledged = append(acknowledged, invalid || applied)
	}
	return acknowledged
}

// AppliedVersions returns, by aggregate, the version up to which notifications were applied.
func (c *Consumer) AppliedVersions() map[string]uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.inbox.AppliedVersions)
}

// Apply decides the rows of the outbox with the inbox, passes applied and duplicate
// notifications to the distributor, and calls OnConfiguration once the current configuration
// is applied.
func (c *Consumer) Apply() {
	rows := outboxRows(c.options.State)
	c.mu.Lock()
	defer c.mu.Unlock()
	configuration := c.options.Distributor.LatestConfiguration()
	heldVersions := map[string]uint64{outbox.AggregatePurges: c.options.Distributor.PurgeLogIndex()}
	if configuration != nil {
		heldVersions[outbox.AggregateConfiguration] = configuration.Version
	}
	decided, changed := c.decideLocked(rows, heldVersions)
	c.options.Distributor.AddNotifications(decided)
	if configuration == nil {
		return
	}
	if c.catchUpLocked(rows, configuration.Version) {
		changed = true
	}
	if c.inbox.AppliedVersions[outbox.AggregateConfiguration] >= configuration.Version {
		c.options.OnConfiguration(configuration)
	}
	if changed {
		c.storeInboxLocked()
	}
}

// decideLocked decides the rows in order. It returns the notifications to distribute, and
// whether the inbox has changed.
func (c *Consumer) decideLocked(
	rows []schema.StoredRow, heldVersions map[string]uint64,
) (decided []distribution.OutboxNotification, changed bool) {
	// Data plane nodes request the notifications after the newest index that they hold, so a
	// node would miss a deferred notification if it received a later one first. Notifications
	// at or after the first deferred index are therefore withheld.
	firstDeferredIndex := uint64(math.MaxUint64)
	for i := range rows {
		notification := &rows[i].Row.Notification
		index := schema.LogIndexOfKey(rows[i].Key, schema.OutboxKeyPrefix)
		held := heldVersions[notification.Aggregate]
		applied := c.inbox.AppliedVersions[notification.Aggregate]
		if notification.Version <= held && notification.PreviousVersion > applied {
			// The rows in between were swept, but the state on this node includes their changes.
			c.inbox.SetBaseVersion(notification.Aggregate, notification.PreviousVersion)
		}
		decision, reason := c.inbox.Decide(notification, held)
		switch decision {
		case outbox.Applied, outbox.Duplicate: // a duplicate may be new to a distributor that has just started
			changed = changed || decision == outbox.Applied
			decided = append(decided, distribution.OutboxNotification{LogIndex: index, Notification: *notification})
		case outbox.Deferred:
			firstDeferredIndex = min(firstDeferredIndex, index)
		case outbox.Quarantined:
			c.quarantineLocked(notification, reason)
		}
	}
	decided = slices.DeleteFunc(decided, func(n distribution.OutboxNotification) bool {
		return n.LogIndex >= firstDeferredIndex
	})
	return decided, changed
}

// quarantineLocked logs and quarantines a notification, once for each event ID. It does not
// wait for the commit, so that later notifications are not delayed.
func (c *Consumer) quarantineLocked(notification *outbox.Notification, reason error) {
	if c.loggedQuarantines[notification.EventID] {
		return
	}
	c.loggedQuarantines[notification.EventID] = true
	c.options.Log.Error(logging.NotificationQuarantined).Str("eventId", notification.EventID).Err(reason).
		Msg("notification quarantined")
	c.quarantining.Go(func() { c.options.Quarantine.Add(notification, reason.Error()) })
}

// catchUpLocked records the version of a configuration that this node received as part of the
// state and whose notification is not in the outbox. It reports whether the inbox has changed.
func (c *Consumer) catchUpLocked(rows []schema.StoredRow, version uint64) bool {
	if c.inbox.AppliedVersions[outbox.AggregateConfiguration] >= version || c.hasUnappliedChangeLocked(rows, version) {
		return false
	}
	c.inbox.SetBaseVersion(outbox.AggregateConfiguration, version)
	return true
}

// hasUnappliedChangeLocked reports whether the outbox holds an unapplied configuration change of at
// most the given version.
func (c *Consumer) hasUnappliedChangeLocked(rows []schema.StoredRow, version uint64) bool {
	applied := c.inbox.AppliedVersions[outbox.AggregateConfiguration]
	return slices.ContainsFunc(rows, func(stored schema.StoredRow) bool {
		notification := &stored.Row.Notification
		return notification.Aggregate == outbox.AggregateConfiguration &&
			notification.Version <= version && notification.Version > applied
	})
}

func (c *Consumer) storeInboxLocked() {
	if raw, err := rpc.Marshal(c.inbox); err == nil {
		c.options.Storage.QueueNodeValue(InboxStorageKey, raw)
	}
}
