package outboxpublisher

import (
	"fmt"
	"slices"
	"testing"

	"comethold/internal/controlplane/schema"
	"comethold/internal/outbox"
	"comethold/internal/paxos"
	"comethold/internal/rpc"
)

// TestNotificationWaitsForItsState: nodes are not notified of a change, nor of what comes
// after it, before this node holds the configuration that the change speaks of.
func TestNotificationWaitsForItsState(t *testing.T) {
	f := newFixture(t)
	f.hold(1)
	f.consumer.Apply()
	f.wantApplied(1)
	f.change("configuration/3", 3, 1)
	f.change("configuration/5", 5, 3)
	f.consumer.Apply()
	f.wantNotified()
	f.hold(3)
	f.consumer.Apply()
	f.wantNotified("configuration/3")
	f.wantApplied(3)
	f.hold(5)
	f.consumer.Apply()
	f.wantNotified("configuration/3", "configuration/5")
	f.wantApplied(5)
	if got := slices.Compact(f.configurations); !slices.Equal(got, []uint64{1, 3, 5}) {
		t.Errorf("in force came %v", got)
	}
}

// TestInboxOutlivesRestart: what was decided before a restart is known after it, and nodes
// are notified of it again, as the distributor starts empty.
func TestInboxOutlivesRestart(t *testing.T) {
	f := newFixture(t)
	f.hold(3)
	f.change("configuration/3", 3, 0)
	f.consumer.Apply()
	f.wantApplied(3)
	f.restart()
	f.distributor.added = nil
	f.distributor.configuration = nil
	f.wantApplied(3)
	f.consumer.Apply()
	f.wantNotified("configuration/3")
}

// TestUnreadableInboxStartsEmpty: a stored inbox that can't be read is passed over.
func TestUnreadableInboxStartsEmpty(t *testing.T) {
	f := newFixture(t)
	f.storage.QueueNodeValue(InboxStorageKey, []byte("no inbox"))
	f.restart()
	f.wantApplied(0)
}

// TestContradictionIsQuarantined: a notification that contradicts an earlier one of the same
// event is quarantined once, is not passed on, and holds up nothing.
func TestContradictionIsQuarantined(t *testing.T) {
	f := newFixture(t)
	f.hold(5)
	f.change("configuration/3", 3, 0)
	f.change("configuration/3", 4, 3)
	f.change("configuration/5", 5, 3)
	f.consumer.Apply()
	f.consumer.Apply()
	f.consumer.quarantining.Close()
	f.wantNotified("configuration/3", "configuration/5")
	f.wantApplied(5)
	if got := f.quarantined(); !slices.Equal(got, []string{schema.QuarantineKeyPrefix + "configuration/3"}) {
		t.Errorf("in quarantine are %v", got)
	}
}

// TestReceiveTellsWhatIsDone: a publisher is told that this node is done with what it has
// applied and with what can't be used, and not with what has not come with the log.
func TestReceiveTellsWhatIsDone(t *testing.T) {
	f := newFixture(t)
	f.hold(3)
	f.change("configuration/3", 3, 0)
	applied := f.rows()["configuration/3"].Notification
	unseen, err := outbox.Notification{
		EventID:         "configuration/5",
		Aggregate:       outbox.AggregateConfiguration,
		Version:         5,
		PreviousVersion: 3,
	}.WithPayload(nil)
	if err != nil {
		t.Fatal(err)
	}
	invalid := applied
	invalid.EventID = ""
	done := f.consumer.Receive([]outbox.Notification{applied, unseen, invalid})
	if !slices.Equal(done, []bool{true, false, true}) {
		t.Errorf("done is %v", done)
	}
}

// TestQuarantineIsBounded: the oldest records make room, and what is in quarantine stays as
// it was added first.
func TestQuarantineIsBounded(t *testing.T) {
	f := newFixture(t)
	quarantine := NewQuarantine(f.cell, "n1")
	for i := range 2 * maxQuarantined {
		eventID := fmt.Sprintf("event/%04d", i)
		quarantine.Add(&outbox.Notification{EventID: eventID}, "first")
		quarantine.Add(&outbox.Notification{EventID: eventID}, "second")
	}
	keys := f.quarantined()
	if len(keys) > maxQuarantined {
		t.Errorf("%d records are kept", len(keys))
	}
	f.cell.View(func(replica *paxos.Replica) {
		for _, key := range keys {
			var record schema.QuarantineRecord
			value, _ := replica.Get(key)
			if rpc.Unmarshal(value.Bytes, &record) != nil || record.Reason != "first" || record.ReportedBy != "n1" {
				t.Errorf("%s is %+v", key, record)
			}
		}
	})
}
