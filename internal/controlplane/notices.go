package controlplane

import (
	"context"
	"fmt"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"comethold/internal/controlplane/replicahost"
	"comethold/internal/controlplane/schema"
	"comethold/internal/distribution"
	"comethold/internal/logging"
	"comethold/internal/outbox"
	"comethold/internal/paxos"
	"comethold/internal/rpc"
)

// Bounds of the tables. Ours; see docs/design.md.
const (
	maxQuarantined  = 64
	publishInterval = 500 * time.Millisecond
	deliveryTimeout = 1500 * time.Millisecond
	InboxStorageKey = "inbox" // in the vault
)

// Consumer is this registrar as a receiver of notices: the rows of the outbox reach it
// with the cell's log.
type Consumer struct {
	mu                sync.Mutex
	inbox             *outbox.Inbox
	loggedQuarantines map[string]bool // rows whose quarantine was logged
	wakeup            chan struct{}
}

func NewConsumer(saved []byte) *Consumer {
	b := &Consumer{inbox: outbox.NewInbox(), loggedQuarantines: map[string]bool{}, wakeup: make(chan struct{}, 1)}
	if saved != nil {
		in := outbox.NewInbox()
		if rpc.Unmarshal(saved, in) == nil && in.AppliedVersions != nil {
			b.inbox = in
		}
	}
	return b
}

func (r *Server) outboxRows() (rows []schema.StoredRow) {
	r.host.View(schema.MetaCell, func(m *paxos.Replica) {
		rows = schema.OutboxRows(m)
	})
	return rows
}

// applyNotifications decides what the outbox holds before it brings anything into force here,
// and passes it on to the nodes that this registrar feeds.
func (r *Server) applyNotifications() {
	rows := r.outboxRows()
	b := r.notices
	b.mu.Lock()
	defer b.mu.Unlock()
	cfg := r.board.LatestConfiguration()
	have := map[string]uint64{outbox.AggregatePurges: r.board.recallPos()}
	if cfg != nil {
		have[outbox.AggregateConfiguration] = cfg.Version
	}
	changed := false
	// Nodes go by the newest position that they were told of: what comes after a notice
	// that waits, or at its position, is told after it.
	told, waits := []distribution.OutboxNotification(nil), uint64(math.MaxUint64)
	for i := range rows {
		n, slot := &rows[i].Row.Notification, schema.LogIndexOfKey(rows[i].Key, schema.OutboxKeyPrefix)
		if n.Version <= have[n.Aggregate] && n.PreviousVersion > b.inbox.AppliedVersions[n.Aggregate] {
			// What was between is in the state that is held here; its rows are swept.
			b.inbox.SetBaseVersion(n.Aggregate, n.PreviousVersion)
		}
		switch d, why := b.inbox.Decide(n, have[n.Aggregate]); d {
		case outbox.Applied:
			changed = true
			told = append(told, distribution.OutboxNotification{LogIndex: slot, Notification: *n})
		case outbox.Duplicate: // it may be new to a board that has just started
			told = append(told, distribution.OutboxNotification{LogIndex: slot, Notification: *n})
		case outbox.Deferred:
			waits = min(waits, slot)
		case outbox.Quarantined:
			if !b.loggedQuarantines[n.EventID] {
				b.loggedQuarantines[n.EventID] = true
				r.log.Error(logging.NotificationQuarantined).Str("eventId", n.EventID).Err(why).Msg("a notice is quarantined")
				go r.quarantine(n, why.Error())
			}
		}
	}
	r.board.addNotices(slices.DeleteFunc(told, func(n distribution.OutboxNotification) bool { return n.LogIndex >= waits }))
	if cfg == nil {
		return
	}
	if b.inbox.AppliedVersions[outbox.AggregateConfiguration] < cfg.Version && !hasUndecidedConfiguration(rows, b.inbox, cfg.Version) {
		b.inbox.SetBaseVersion(outbox.AggregateConfiguration, cfg.Version) // a state that came without notices
		changed = true
	}
	if b.inbox.AppliedVersions[outbox.AggregateConfiguration] >= cfg.Version {
		r.quotas.SetTenants(cfg)
	}
	if changed {
		if raw, err := rpc.Marshal(b.inbox); err == nil {
			r.storage.QueueNodeValue(InboxStorageKey, raw)
		}
	}
}

// hasUndecidedConfiguration reports whether the outbox holds a notice up to the version that is not done.
func hasUndecidedConfiguration(rows []schema.StoredRow, in *outbox.Inbox, version uint64) bool {
	for _, k := range rows {
		if n := &k.Row.Notification; n.Aggregate == outbox.AggregateConfiguration && n.Version <= version && n.Version > in.AppliedVersions[n.Aggregate] {
			return true
		}
	}
	return false
}

// consumeLoop decides as the outbox moves.
func (r *Server) consumeLoop() {
	for {
		select {
		case <-r.notices.wakeup:
			r.applyNotifications()
		case <-r.quit:
			return
		}
	}
}

func (r *Server) wakeConsumer() {
	select {
	case r.notices.wakeup <- struct{}{}:
	default:
	}
}

// receiveNotifications is where a publisher sends notices. It says which of them this registrar
// has decided, here or before.
func (r *Server) receiveNotifications(list []outbox.Notification) (done []bool) {
	r.applyNotifications() // what the cell has told already
	r.notices.mu.Lock()
	defer r.notices.mu.Unlock()
	for i := range list {
		n := &list[i]
		// Only what the cell tells is applied: the log has the order. What it has not
		// told yet is deferred, and the publisher comes again.
		done = append(done, n.Validate() != nil || r.notices.inbox.AppliedVersions[n.Aggregate] >= n.Version)
	}
	return done
}

// publishLoop sends what the outbox holds, at the holder of the mover's duty. Nobody
// who waits for an acknowledgement waits for it.
func (r *Server) publishLoop() {
	seen := map[string]observedRow{}
	for {
		select {
		case <-time.After(publishInterval):
		case <-r.quit:
			return
		}
		if term, ok := r.placementLease.Held(); ok {
			r.publish(fmt.Sprintf("%s/%d", r.host.Self.ID, term), seen)
		} else {
			clear(seen)
		}
	}
}

// observedRow is since when a row is seen as it is.
type observedRow struct {
	raw   string
	since time.Time
}

// publish claims what is due, sends it and notes what became of it.
func (r *Server) publish(owner string, seen map[string]observedRow) {
	t, rows, dropped := SweepRows(r.outboxRows())
	if len(t.Ops) > 0 && r.propose(schema.MetaCell, t) {
		for _, id := range dropped {
			r.log.Warn(logging.NotificationDropped).Str("eventId", id).Msg("a notice that not every registrar has taken is dropped for newer ones")
		}
	}
	t, claimed := claimRows(rows, owner, seen, time.Now())
	if len(t.Ops) == 0 || !r.propose(schema.MetaCell, t) || len(claimed) == 0 {
		return
	}
	sent := r.deliverToAll(claimed)
	t = paxos.Txn{}
	for i, k := range claimed {
		next, err := k.Row.MarkPublished(owner)
		if !sent[i] {
			next, err = k.Row.ScheduleRetry(owner)
			r.log.Warn(logging.NotificationRetry).Str("eventId", k.Row.Notification.EventID).Int("tries", k.Row.Attempts).Msg("a notice was not taken by every registrar; it is sent again")
		}
		if err != nil {
			continue
		}
		t.Conditions = append(t.Conditions, paxos.Condition{Key: k.Key, Equals: paxos.Bytes(k.Raw)})
		t.Ops = append(t.Ops, paxos.Op{Kind: paxos.OpPut, Key: k.Key, Value: schema.MustEncode(next)})
	}
	r.propose(schema.MetaCell, t)
}

// claimRows makes the transaction that claims what is due; it holds only for rows that are
// as they were seen.
func claimRows(rows []schema.StoredRow, owner string, seen map[string]observedRow, now time.Time) (t paxos.Txn, claimed []schema.StoredRow) {
	known := map[string]bool{}
	for _, k := range rows {
		known[k.Key] = true
		if s, ok := seen[k.Key]; !ok || s.raw != string(k.Raw) {
			seen[k.Key] = observedRow{string(k.Raw), now}
		}
		if k.Row.State == outbox.Published {
			continue
		}
		next, err := k.Row.Claim(owner, now.Sub(seen[k.Key].since))
		if err != nil {
			continue
		}
		t.Conditions = append(t.Conditions, paxos.Condition{Key: k.Key, Equals: paxos.Bytes(k.Raw)})
		put := paxos.Op{Kind: paxos.OpPut, Key: k.Key, Value: schema.MustEncode(next)}
		t.Ops = append(t.Ops, put)
		claimed = append(claimed, schema.StoredRow{Key: k.Key, Raw: put.Value.Bytes, Row: next})
	}
	maps.DeleteFunc(seen, func(key string, _ observedRow) bool { return !known[key] })
	return t, claimed
}

// SweepRows makes the transaction that forgets the oldest rows, by themselves: what
// registrars claim of the others must not hold it up. Those that stay are handed back.
func SweepRows(rows []schema.StoredRow) (t paxos.Txn, stay []schema.StoredRow, dropped []string) {
	published, unsent := 0, 0
	for i := len(rows) - 1; i >= 0; i-- {
		k := rows[i]
		n, most := &unsent, schema.MaxUnsentRows
		if k.Row.State == outbox.Published {
			n, most = &published, schema.MaxPublishedRows
		}
		if *n++; *n <= most {
			stay = append(stay, k)
			continue
		}
		t.Ops = append(t.Ops, paxos.Op{Kind: paxos.OpDelete, Key: k.Key})
		if n == &published {
			t.Conditions = append(t.Conditions, paxos.Condition{Key: k.Key, Equals: paxos.Bytes(k.Raw)}) // it may be redriven
		} else { // whatever has become of it: no row comes back under its key
			dropped = append(dropped, k.Row.Notification.EventID)
		}
	}
	return t, stay, dropped
}

// deliverToAll tells every registrar that is live; a notice is sent where each of them
// has decided it.
func (r *Server) deliverToAll(rows []schema.StoredRow) []bool {
	list := make([]outbox.Notification, len(rows))
	all := make([]bool, len(rows))
	for i := range rows {
		list[i], all[i] = rows[i].Row.Notification, true
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for addr := range r.host.LivePeers(replicahost.LearnerTimeout) {
		wg.Go(func() {
			var done []bool
			if addr == r.settings.IPAddress {
				done = r.receiveNotifications(list)
			} else {
				ctx, cancel := context.WithTimeout(context.Background(), deliveryTimeout)
				defer cancel()
				if r.host.CallPeer(ctx, addr, "/notices", list, &done) != nil {
					done = nil
				}
			}
			mu.Lock()
			defer mu.Unlock()
			for i := range all {
				all[i] = all[i] && i < len(done) && done[i]
			}
		})
	}
	wg.Wait()
	return all
}

// AppliedVersions returns up to which version each aggregate is applied here.
func (b *Consumer) AppliedVersions() map[string]uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	versions := map[string]uint64{}
	maps.Copy(versions, b.inbox.AppliedVersions)
	return versions
}

// quarantine notes a notice for the operator, apart from the healthy ones.
func (r *Server) quarantine(n *outbox.Notification, why string) {
	key := schema.QuarantineKeyPrefix + n.EventID
	t := paxos.Txn{Conditions: []paxos.Condition{{Key: key, Absent: true}},
		Ops: []paxos.Op{{Kind: paxos.OpPut, Key: key, Value: schema.MustEncode(schema.QuarantineRecord{Notification: *n, Reason: why, ReportedBy: r.settings.NodeName})}}}
	var keys []string
	r.host.View(schema.MetaCell, func(m *paxos.Replica) {
		keys = m.KeysWithPrefix(schema.QuarantineKeyPrefix, schema.QuarantineKeyPrefix)
	})
	for i := 0; i+maxQuarantined <= len(keys); i++ {
		t.Ops = append(t.Ops, paxos.Op{Kind: paxos.OpDelete, Key: keys[i]})
	}
	r.propose(schema.MetaCell, t)
}

// Actions of a redrive.
const ()
