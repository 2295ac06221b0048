package outboxpublisher

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"time"

	"comethold/internal/controlplane/replicahost"
	"comethold/internal/controlplane/schema"
	"comethold/internal/logging"
	"comethold/internal/outbox"
	"comethold/internal/paxos"
)

// DeliverPath is the RPC path of deliveries of notifications.
const DeliverPath = "/notices"

const (
	publishInterval = 500 * time.Millisecond
	deliveryTimeout = 1500 * time.Millisecond // of one delivery to one control node
)

// Lease is the lease that a node must hold to publish.
type Lease interface {
	// Held returns whether this node holds the lease now, and the term of the lease.
	Held() (term uint64, held bool)
}

// Peers are the control nodes that notifications are delivered to.
type Peers interface {
	// LivePeers returns, by address, this node and the control nodes from which it received a
	// message within the given time.
	LivePeers(within time.Duration) map[string]replicahost.PeerInfo
	// CallPeer makes an RPC to a control node.
	CallPeer(ctx context.Context, address, path string, request, response any) error
}

// PublisherOptions are the dependencies of a Publisher.
type PublisherOptions struct {
	State State
	Lease Lease
	Peers Peers
	Local *Consumer // the consumer of this node, called without an RPC
	Self  replicahost.PeerInfo
	Log   *logging.Logger
}

// Publisher delivers the rows of the outbox while this node holds the lease.
type Publisher struct {
	options PublisherOptions

	// observed holds, by key, the content of each row and since when it has been unchanged, by
	// this node's clock. Claim leases and retry delays start at that time. Only Run's goroutine
	// uses it.
	observed map[string]observedRow
}

// observedRow is the content of a row and the time when this node first read that content.
type observedRow struct {
	raw   string
	since time.Time
}

// NewPublisher returns a Publisher; Run starts it.
func NewPublisher(options PublisherOptions) *Publisher {
	return &Publisher{options: options, observed: map[string]observedRow{}}
}

// Run publishes while this node holds the lease, until the context ends. It completes a
// delivery that is in progress.
func (p *Publisher) Run(ctx context.Context) {
	for {
		select {
		case <-time.After(publishInterval):
		case <-ctx.Done():
			return
		}
		term, held := p.options.Lease.Held()
		if !held {
			clear(p.observed)
			continue
		}
		p.publish(context.WithoutCancel(ctx), fmt.Sprintf("%s/%d", p.options.Self.ID, term))
	}
}

// publish removes old rows, claims the rows that are due, delivers them and records the
// outcome. owner is the token of its claims.
func (p *Publisher) publish(ctx context.Context, owner string) {
	swept := SweepRows(outboxRows(p.options.State))
	if len(swept.Txn.Ops) > 0 && p.options.State.Commit(swept.Txn) {
		for _, eventID := range swept.DroppedEvents {
			p.options.Log.Warn(logging.NotificationDropped).Str("eventId", eventID).
				Msg("notification dropped before every control node acknowledged it: the outbox has too many unpublished rows")
		}
	}
	claimed, txn := p.claimRows(swept.Remaining, owner, time.Now())
	if len(claimed) == 0 || !p.options.State.Commit(txn) {
		return
	}
	delivered := p.deliver(ctx, claimed)
	p.recordDeliveries(claimed, delivered, owner)
}

// recordDeliveries marks delivered rows as published and schedules a retry of the others.
func (p *Publisher) recordDeliveries(claimed []schema.StoredRow, delivered []bool, owner string) {
	var txn paxos.Txn
	for i, stored := range claimed {
		next, err := stored.Row.MarkPublished(owner)
		if !delivered[i] {
			next, err = stored.Row.ScheduleRetry(owner)
			p.options.Log.Warn(logging.NotificationRetry).Str("eventId", stored.Row.Notification.EventID).
				Int("attempts", stored.Row.Attempts).
				Msg("not every live control node acknowledged the notification; retry scheduled")
		}
		if err != nil {
			continue
		}
		txn.Conditions = append(txn.Conditions, stored.Unchanged())
		txn.Ops = append(txn.Ops, schema.PutOp(stored.Key, next))
	}
	p.options.State.Commit(txn)
}

// claimRows builds the transaction that claims the rows that are due, on condition that they
// are unchanged. It returns these rows as they will be stored.
func (p *Publisher) claimRows(
	rows []schema.StoredRow, owner string, now time.Time,
) (claimed []schema.StoredRow, txn paxos.Txn) {
	p.observe(rows, now)
	for _, stored := range rows {
		if stored.Row.State == outbox.Published {
			continue
		}
		next, err := stored.Row.Claim(owner, now.Sub(p.observed[stored.Key].since))
		if err != nil {
			continue // not due yet
		}
		put := schema.PutOp(stored.Key, next)
		txn.Conditions = append(txn.Conditions, stored.Unchanged())
		txn.Ops = append(txn.Ops, put)
		claimed = append(claimed, schema.StoredRow{Key: stored.Key, Raw: put.Value.Bytes, Row: next})
	}
	return claimed, txn
}

// observe updates observed from the current rows and removes rows that no longer exist.
func (p *Publisher) observe(rows []schema.StoredRow, now time.Time) {
	present := map[string]bool{}
	for _, stored := range rows {
		present[stored.Key] = true
		if seen, found := p.observed[stored.Key]; !found || seen.raw != string(stored.Raw) {
			p.observed[stored.Key] = observedRow{raw: string(stored.Raw), since: now}
		}
	}
	maps.DeleteFunc(p.observed, func(key string, _ observedRow) bool { return !present[key] })
}

// deliver sends notifications to every live control node. It returns, for each notification,
// whether all nodes acknowledged it; see Consumer.Receive.
func (p *Publisher) deliver(ctx context.Context, rows []schema.StoredRow) []bool {
	notifications := make([]outbox.Notification, len(rows))
	delivered := make([]bool, len(rows))
	for i := range rows {
		notifications[i] = rows[i].Row.Notification
		delivered[i] = true
	}
	var mu sync.Mutex // guards delivered
	var deliveries sync.WaitGroup
	for address := range p.options.Peers.LivePeers(replicahost.LearnerTimeout) {
		deliveries.Go(func() {
			acknowledged := p.deliverTo(ctx, address, notifications)
			mu.Lock()
			defer mu.Unlock()
			for i := range delivered {
				delivered[i] = delivered[i] && i < len(acknowledged) && acknowledged[i]
			}
		})
	}
	deliveries.Wait()
	return delivered
}

// deliverTo sends notifications to one control node. It returns, for each notification,
// whether the node acknowledged it, or nil if the call failed.
func (p *Publisher) deliverTo(ctx context.Context, address string, notifications []outbox.Notification) []bool {
	if address == p.options.Self.Addr {
		return p.options.Local.Receive(notifications)
	}
	ctx, cancel := context.WithTimeout(ctx, deliveryTimeout)
	defer cancel()
	var acknowledged []bool
	if p.options.Peers.CallPeer(ctx, address, DeliverPath, notifications, &acknowledged) != nil {
		return nil
	}
	return acknowledged
}
