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

// Distributor hands notifications to the data plane nodes, and knows which state they
// belong to.
type Distributor interface {
	// LatestConfiguration returns the newest configuration held here, or nil.
	LatestConfiguration() *routing.Configuration
	// PurgePosition returns the log index up to which purges are held here.
	PurgePosition() uint64
	// AddNotifications has nodes notified; those that it knows are left out.
	AddNotifications(notifications []distribution.OutboxNotification)
}

// NodeStorage keeps values of this node alone.
type NodeStorage interface {
	// NodeValue returns a stored value, or nil.
	NodeValue(key string) []byte
	// QueueNodeValue stores a value soon.
	QueueNodeValue(key string, value []byte)
}

// ConsumerOptions are what a Consumer needs.
type ConsumerOptions struct {
	State       StateReader
	Distributor Distributor
	Storage     NodeStorage
	Quarantine  *Quarantine
	// OnConfiguration is called when a configuration comes into force here, and may be
	// called again with the same one.
	OnConfiguration func(*routing.Configuration)
	Log             *logging.Logger
}

// Consumer is this control node as a receiver of notifications: the rows of the outbox reach
// it with the log of the meta cell.
type Consumer struct {
	options ConsumerOptions
	wakeup  chan struct{} // holds an element when the outbox may have changed

	quarantining taskgroup.Group // commits to the quarantine

	mu                sync.Mutex // guards the fields below
	inbox             *outbox.Inbox
	loggedQuarantines map[string]bool // event IDs whose quarantine was logged
}

// NewConsumer returns a Consumer that goes on from the stored inbox.
func NewConsumer(options ConsumerOptions) *Consumer {
	return &Consumer{
		options:           options,
		wakeup:            make(chan struct{}, 1),
		inbox:             loadInbox(options.Storage),
		loggedQuarantines: map[string]bool{},
	}
}

// loadInbox returns the stored inbox, or an empty one if none can be read.
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

// Wake has Run look at the outbox soon. It does not block.
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

// Receive takes notifications from a publisher. It reports, for each of them, whether this
// node is done with it, now or from before.
func (c *Consumer) Receive(notifications []outbox.Notification) (done []bool) {
	c.Apply() // what the log of the meta cell has brought already
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range notifications {
		notification := &notifications[i]
		// Only what comes with the log is applied, since the log has the order. What has
		// not come yet is not done, and the publisher tries again.
		invalid := notification.Validate() != nil
		applied := c.inbox.AppliedVersions[notification.Aggregate] >= notification.Version
		done = append(done, invalid || applied)
	}
	return done
}

// AppliedVersions returns, by aggregate, up to which version notifications were applied.
func (c *Consumer) AppliedVersions() map[string]uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.inbox.AppliedVersions)
}

// Apply decides what the outbox holds before it brings anything into force here, and passes
// it on to the nodes that this control node feeds.
func (c *Consumer) Apply() {
	rows := outboxRows(c.options.State)
	c.mu.Lock()
	defer c.mu.Unlock()
	configuration := c.options.Distributor.LatestConfiguration()
	heldVersions := map[string]uint64{outbox.AggregatePurges: c.options.Distributor.PurgePosition()}
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

// decideLocked decides the rows in their order. It returns what nodes may be notified of,
// and whether the inbox has changed.
func (c *Consumer) decideLocked(
	rows []schema.StoredRow, heldVersions map[string]uint64,
) (decided []distribution.OutboxNotification, changed bool) {
	// Nodes ask for what is after the newest index that they know: what comes after a
	// notification that is deferred, or at its index, waits with it.
	deferredIndex := uint64(math.MaxUint64)
	for i := range rows {
		notification := &rows[i].Row.Notification
		index := schema.LogIndexOfKey(rows[i].Key, schema.OutboxKeyPrefix)
		held := heldVersions[notification.Aggregate]
		applied := c.inbox.AppliedVersions[notification.Aggregate]
		if notification.Version <= held && notification.PreviousVersion > applied {
			// What was between is in the state that is held here; its rows are swept.
			c.inbox.SetBaseVersion(notification.Aggregate, notification.PreviousVersion)
		}
		decision, reason := c.inbox.Decide(notification, held)
		switch decision {
		case outbox.Applied, outbox.Duplicate: // a duplicate may be new to a distributor that has just started
			changed = changed || decision == outbox.Applied
			decided = append(decided, distribution.OutboxNotification{LogIndex: index, Notification: *notification})
		case outbox.Deferred:
			deferredIndex = min(deferredIndex, index)
		case outbox.Quarantined:
			c.quarantineLocked(notification, reason)
		}
	}
	decided = slices.DeleteFunc(decided, func(n distribution.OutboxNotification) bool {
		return n.LogIndex >= deferredIndex
	})
	return decided, changed
}

// quarantineLocked logs and quarantines a notification once. The commit must not hold up the
// notifications that follow.
func (c *Consumer) quarantineLocked(notification *outbox.Notification, reason error) {
	if c.loggedQuarantines[notification.EventID] {
		return
	}
	c.loggedQuarantines[notification.EventID] = true
	c.options.Log.Error(logging.NotificationQuarantined).Str("eventId", notification.EventID).Err(reason).
		Msg("a notification is quarantined")
	c.quarantining.Go(func() { c.options.Quarantine.Add(notification, reason.Error()) })
}

// catchUpLocked notes a configuration that came with the state instead of a notification. It
// reports whether there was one.
func (c *Consumer) catchUpLocked(rows []schema.StoredRow, version uint64) bool {
	if c.inbox.AppliedVersions[outbox.AggregateConfiguration] >= version || c.hasUndecidedLocked(rows, version) {
		return false
	}
	c.inbox.SetBaseVersion(outbox.AggregateConfiguration, version)
	return true
}

// hasUndecidedLocked reports whether the outbox holds a configuration change, up to a version,
// that is not applied.
func (c *Consumer) hasUndecidedLocked(rows []schema.StoredRow, version uint64) bool {
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
