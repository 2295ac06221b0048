package outboxpublisher

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"time"

	"comethold/internal/controlplane/replicahost"
	"comethold/internal/controlplane/schema"
	"comethold/internal/controlplane/schematest"
	"comethold/internal/distribution"
	"comethold/internal/logging"
	"comethold/internal/outbox"
	"comethold/internal/paxos"
	"comethold/internal/routing"
)

const selfAddress = "10.0.0.1"

var errUnreachable = errors.New("unreachable")

// fakeDistributor records the notifications that it receives, each event once.
type fakeDistributor struct {
	configuration *routing.Configuration
	purgeLogIndex uint64
	added         []distribution.OutboxNotification
}

func (d *fakeDistributor) LatestConfiguration() *routing.Configuration { return d.configuration }

func (d *fakeDistributor) PurgeLogIndex() uint64 { return d.purgeLogIndex }

func (d *fakeDistributor) AddNotifications(notifications []distribution.OutboxNotification) {
	for _, added := range notifications {
		isKnown := func(known distribution.OutboxNotification) bool {
			return known.Notification.EventID == added.Notification.EventID
		}
		if !slices.ContainsFunc(d.added, isKnown) {
			d.added = append(d.added, added)
		}
	}
}

// memoryStorage is a NodeStorage in memory.
type memoryStorage struct {
	mu     sync.Mutex // guards values
	values map[string][]byte
}

func newMemoryStorage() *memoryStorage { return &memoryStorage{values: map[string][]byte{}} }

func (s *memoryStorage) NodeValue(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.values[key]
}

func (s *memoryStorage) QueueNodeValue(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.values[key] = value
}

// fakePeers simulates the live control nodes, including this one. Each of the others
// acknowledges a fixed set of notifications.
type fakePeers struct {
	acknowledged map[string][]string // event IDs by address; a node with nil does not answer
}

func (p *fakePeers) LivePeers(time.Duration) map[string]replicahost.PeerInfo {
	live := map[string]replicahost.PeerInfo{selfAddress: {Addr: selfAddress}}
	for address := range p.acknowledged {
		live[address] = replicahost.PeerInfo{Addr: address}
	}
	return live
}

func (p *fakePeers) CallPeer(_ context.Context, address, _ string, request, response any) error {
	acknowledged := p.acknowledged[address]
	notifications, isList := request.([]outbox.Notification)
	answer, takesList := response.(*[]bool)
	if acknowledged == nil || !isList || !takesList {
		return errUnreachable
	}
	for _, notification := range notifications {
		*answer = append(*answer, slices.Contains(acknowledged, notification.EventID))
	}
	return nil
}

// fixture is a control node with an outbox.
type fixture struct {
	t              *testing.T
	cell           *schematest.Cell
	distributor    *fakeDistributor
	storage        *memoryStorage
	configurations []uint64 // versions that took effect, in order
	consumer       *Consumer
	peers          *fakePeers
	publisher      *Publisher
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{
		t:           t,
		cell:        schematest.NewCell(t),
		distributor: &fakeDistributor{},
		storage:     newMemoryStorage(),
		peers:       &fakePeers{acknowledged: map[string][]string{}},
	}
	f.restart()
	f.publisher = NewPublisher(PublisherOptions{
		State: f.cell,
		Peers: f.peers,
		Local: f.consumer,
		Self:  replicahost.PeerInfo{ID: "a", Addr: selfAddress},
		Log:   logging.Nop(),
	})
	return f
}

// restart replaces the consumer with a new one that reads the stored inbox.
func (f *fixture) restart() {
	f.consumer = NewConsumer(ConsumerOptions{
		State:       f.cell,
		Distributor: f.distributor,
		Storage:     f.storage,
		Quarantine:  NewQuarantine(f.cell, "n1"),
		OnConfiguration: func(configuration *routing.Configuration) {
			f.configurations = append(f.configurations, configuration.Version)
		},
		Log: logging.Nop(),
	})
}

// commitChange commits an outbox row with the notification of a configuration change.
func (f *fixture) commitChange(eventID string, version, previous uint64) {
	f.t.Helper()
	notification, err := outbox.Notification{
		EventID:         eventID,
		Aggregate:       outbox.AggregateConfiguration,
		Version:         version,
		PreviousVersion: previous,
	}.WithPayload(nil)
	if err != nil {
		f.t.Fatal(err)
	}
	f.commitNotification(notification)
}

func (f *fixture) commitNotification(notification outbox.Notification) {
	f.t.Helper()
	row := schema.MustEncode(outbox.Row{Notification: notification})
	appendRow := paxos.Op{Kind: paxos.OpAppend, Key: schema.OutboxKeyPrefix, Value: row}
	if !f.cell.Commit(paxos.Txn{Ops: []paxos.Op{appendRow}}) {
		f.t.Fatalf("commit of the outbox row of %s returned false, want true", notification.EventID)
	}
}

// setConfiguration sets the newest configuration that this node holds.
func (f *fixture) setConfiguration(version uint64) {
	f.distributor.configuration = &routing.Configuration{Version: version}
}

func (f *fixture) wantNotified(eventIDs ...string) {
	f.t.Helper()
	var got []string
	for _, added := range f.distributor.added {
		got = append(got, added.Notification.EventID)
	}
	if !slices.Equal(got, eventIDs) {
		f.t.Errorf("the distributor received %v, want %v", got, eventIDs)
	}
}

func (f *fixture) wantApplied(version uint64) {
	f.t.Helper()
	if got := f.consumer.AppliedVersions()[outbox.AggregateConfiguration]; got != version {
		f.t.Errorf("configurations are applied up to version %d, want %d", got, version)
	}
}

// rowsByEventID returns the rows of the outbox by event ID.
func (f *fixture) rowsByEventID() map[string]outbox.Row {
	rows := map[string]outbox.Row{}
	for _, stored := range outboxRows(f.cell) {
		rows[stored.Row.Notification.EventID] = stored.Row
	}
	return rows
}

func (f *fixture) quarantined() (keys []string) {
	f.cell.View(func(replica *paxos.Replica) {
		keys = replica.KeysWithPrefix(schema.QuarantineKeyPrefix, schema.QuarantineKeyPrefix)
	})
	return keys
}
